package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/trail"
)

// Sink receives the answer of a stream for the caller.
type Sink interface {
	// Head receives status and headers; it is called once, before any event.
	Head(status int, headers []httpc.Header)
	// Event receives one whole event, or the whole body if the status is not 200. It must
	// forward raw before it returns, since the buffer is reused.
	Event(raw []byte) error
}

// Broke means that a stream ended early, after its head was passed on.
const Broke Kind = "Broke"

const (
	// streamIdleTimeout is the maximum time between events of a resumable stream. Callers wait
	// at least 2 s, which leaves time to continue at another server.
	streamIdleTimeout = 1 * clock.Second
	// maxEventBytes is the maximum size of an event.
	maxEventBytes = 1 << 20
)

// Stream sends a call whose answer is a stream of events and passes the answer to sink. A
// resumable stream continues at another server after a failure; the caller sees only the head
// of the first answer. An error of kind Broke means that sink has got a part of the answer.
func (p *Proxy) Stream(ctx context.Context, r Request, sink Sink) error {
	if r.Route.Timeout > 0 {
		r.Deadline = min(r.Deadline, p.Clock.Mono()+r.Route.Timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, (r.Deadline - p.Clock.Mono()).Duration())
	defer cancel()
	s := &streamState{callState: callState{service: p.drawService(&r.Route)}, sink: sink}
	defer func() { p.recordUsage(r, &s.callState) }()
	for s.hasAttempts(r.Route) && ctx.Err() == nil && !p.refuseIfHeld(&r, &s.callState) {
		server := p.pick(r, &s.callState)
		if server == nil {
			break
		}
		s.attempts++
		s.tried = append(s.tried, server.Name)
		done, err := p.flow(ctx, r, server, s)
		if done {
			return nil
		}
		s.lastErr = err
		p.logDecision(r, trail.Retry, server, fmt.Sprintf("after event %q: %v", s.lastID, err))
		if fault.KindOf[Kind](err) == Left || (s.mayHaveRun && !r.Route.Resumable) {
			break
		}
	}
	if s.headSent {
		return fault.Wrap("proxy.Stream", Broke, s.lastErr, fmt.Sprintf("after event %q", s.lastID))
	}
	return p.giveUp(ctx, r, &s.callState)
}

// streamState is the progress of a stream.
type streamState struct {
	callState
	sink     Sink
	headSent bool
	// lastID is the ID of the last event that was passed on.
	lastID string
}

// pass passes a part of the answer on to the caller.
func (s *streamState) pass(raw []byte) error {
	if err := s.sink.Event(raw); err != nil {
		return fault.Wrap("proxy.pass", Left, err, "the caller has gone")
	}
	return nil
}

// flow passes on the answer of one server: its events, or its body if the status is not 200.
// It reports whether the answer was passed on whole.
func (p *Proxy) flow(ctx context.Context, r Request, server *pool.Server, s *streamState) (bool, error) {
	began := p.Clock.Mono()
	complete := false
	defer func() { server.Release(p.Clock, true, p.Clock.Mono()-began, complete) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.Route.Resumable {
		defer server.OnRestart(cancel)()
	}
	stream, err := p.Client.Open(ctx, p.streamCall(r, server, s))
	if err != nil {
		s.recordNoAnswer(err, began)
		p.recordFailure(r, server, "ejected after failures")
		if fault.KindOf[httpc.Kind](err) == httpc.Lost {
			p.detectServerExit(ctx, &r, &s.callState, server, p.Clock.Mono()-began)
		}
		return false, err
	}
	defer stream.Close()
	head := &httpc.Answer{Status: stream.Status, Headers: stream.Headers}
	verdict := p.Protocol.Judge(head)
	p.recordLoad(server, verdict)
	if verdict.NotRun {
		return false, p.refused(r, server, s, stream, began)
	}
	s.mayHaveRun = true
	s.answered, s.sentAt = true, began
	if s.headSent && stream.Status != http.StatusOK {
		return false, fault.New("proxy.flow", Lost, "not continued: "+http.StatusText(stream.Status))
	}
	if !s.headSent {
		s.headSent = true
		s.sink.Head(stream.Status, stream.Headers)
	}
	if stream.Status != http.StatusOK {
		p.reportAnswered(&r, &s.callState)
		body, err := stream.ReadAll()
		p.recordBadAnswer(r, server, err)
		if err == nil {
			err = s.pass(body)
		}
		return err == nil, err
	}
	err = p.copyEvents(r, stream, s, cancel)
	p.recordBadAnswer(r, server, err)
	complete = err == nil
	if complete {
		p.reportAnswered(&r, &s.callState)
	}
	if fault.KindOf[Kind](err) == Lost {
		p.detectServerExit(ctx, &r, &s.callState, server, p.Clock.Mono()-began)
	}
	return complete, err
}

// refused returns the error of an answer which says that its server has not run the call, of kind NotRun
// only if it is whole: a broken answer promises nothing.
func (p *Proxy) refused(r Request, server *pool.Server, s *streamState, stream *httpc.Stream, sentAt clock.Millis) error {
	if _, err := stream.ReadAll(); err != nil {
		s.recordNoAnswer(err, sentAt)
		p.recordBadAnswer(r, server, err)
		return err
	}
	return fault.New("proxy.flow", NotRun, http.StatusText(stream.Status))
}

func (p *Proxy) streamCall(r Request, server *pool.Server, s *streamState) *httpc.Call {
	headers := p.Protocol.Headers(&r, server.Name, r.Deadline-p.Clock.Mono())
	if s.lastID != "" {
		headers = p.Protocol.Resume(headers, s.lastID)
	}
	return &httpc.Call{
		Address: server.Address(), Method: r.Method, Path: r.Target, LongBody: r.Body, Headers: headers,
		FreshConn: r.Route.Kind != paths.Repeatable && !r.Route.Resumable,
		Accept:    func(a *httpc.Answer) bool { return p.Protocol.Own(&r, a) },
		Check:     p.Protocol.Check,
	}
}

// copyEvents passes on the events of a stream. cancel is called if a resumable stream is idle
// for streamIdleTimeout.
func (p *Proxy) copyEvents(r Request, stream *httpc.Stream, s *streamState, cancel context.CancelFunc) error {
	if r.Route.Resumable {
		idleTimer := p.Clock.AfterFunc(streamIdleTimeout, cancel)
		defer idleTimer.Stop()
		return pump(stream, s, func() { idleTimer.Reset(streamIdleTimeout.Duration()) })
	}
	return pump(stream, s, func() {})
}

// pump passes on each event once it is complete, since a server may stop in the middle of
// one. onEvent is called for each event.
func pump(stream *httpc.Stream, s *streamState, onEvent func()) error {
	for {
		event, err := stream.ReadEvent(maxEventBytes)
		if errors.Is(err, io.EOF) {
			stream.MarkComplete()
			return nil
		}
		if err != nil {
			return fault.Wrap("proxy.pump", Lost, err, "the stream broke off")
		}
		onEvent()
		if err := s.pass(event); err != nil {
			return err
		}
		if id := eventID(event); id != "" {
			s.lastID = id
		}
	}
}

// eventID returns the id of an event, or "" if it has none.
func eventID(event []byte) string {
	id := ""
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
