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

// Sink takes the answer of a stream for the caller.
type Sink interface {
	// Head takes status and headers; it is called once, before any event.
	Head(status int, headers []httpc.Header)
	// Event takes one whole event and passes it on at once.
	Event(raw []byte) error
}

// Broke means that a stream ended in its middle, after events were passed on.
const Broke Kind = "Broke"

const (
	// streamIdleTimeout is how long a stream that may be continued elsewhere may be
	// silent: callers give up after two seconds at the earliest.
	streamIdleTimeout = 1 * clock.Second
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// maxBodyBytes bounds the body of an answer that is no stream.
	maxBodyBytes = 64 << 20
)

// Stream carries a call that is answered in events. A stream that may be
// resumed goes on at another server within the same answer; the caller sees the
// head of the first one.
func (p *Proxy) Stream(ctx context.Context, r Request, sink Sink) error {
	if r.Route.Timeout > 0 {
		r.Deadline = min(r.Deadline, p.Clock.Mono()+r.Route.Timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, (r.Deadline - p.Clock.Mono()).Duration())
	defer cancel()
	f := &streamState{callState: callState{service: r.Route.Service(newRandom())}, sink: sink}
	defer func() { p.recordUsage(r, &f.callState) }()
	for f.hasAttempts(r.Route) && ctx.Err() == nil && !p.refuseIfHeld(&r, &f.callState) {
		server := p.pick(r, &f.callState)
		if server == nil {
			break
		}
		f.attempts++
		f.tried = append(f.tried, server.Name)
		done, err := p.flow(ctx, r, server, f)
		if done {
			return nil
		}
		f.lastErr = err
		p.logDecision(r, trail.Retry, server, fmt.Sprintf("after event %q: %v", f.lastID, err))
		if f.mayHaveRun && !r.Route.Resumable {
			break
		}
	}
	if f.headSent {
		return fault.Wrap("proxy.Stream", Broke, f.lastErr, fmt.Sprintf("after event %q", f.lastID))
	}
	return p.giveUp(ctx, r, &f.callState)
}

// streamState is how far a stream has got.
type streamState struct {
	callState
	sink     Sink
	headSent bool
	// lastID is the id of the last event that was passed on.
	lastID string
}

// flow passes one server's part of a stream on. It reports whether the stream
// has come to its proper end.
func (p *Proxy) flow(ctx context.Context, r Request, server *pool.Server, f *streamState) (bool, error) {
	began := p.Clock.Mono()
	complete := false
	defer func() { server.Release(p.Clock, true, p.Clock.Mono()-began, complete) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.Route.Resumable {
		defer server.OnRestart(cancel)()
	}
	stream, err := p.Client.Open(ctx, p.streamCall(r, server, f))
	if err != nil {
		f.recordNoAnswer(err, began)
		server.Breaker.RecordFailure(p.Clock.Mono())
		if fault.KindOf[httpc.Kind](err) == httpc.Lost {
			p.detectServerExit(ctx, &r, &f.callState, server, p.Clock.Mono()-began)
		}
		return false, err
	}
	defer stream.Close()
	head := &httpc.Answer{Status: stream.Status, Headers: stream.Headers}
	verdict := p.Protocol.Judge(head)
	p.recordLoad(server, verdict)
	if verdict.NotRun {
		return false, fault.New("proxy.flow", NotRun, http.StatusText(stream.Status))
	}
	f.mayHaveRun = true
	f.answered, f.sentAt = true, began
	if f.headSent && stream.Status != http.StatusOK {
		return false, fault.New("proxy.flow", Lost, "not continued: "+http.StatusText(stream.Status))
	}
	if !f.headSent {
		f.headSent = true
		f.sink.Head(stream.Status, stream.Headers)
	}
	if stream.Status != http.StatusOK {
		p.reportAnswered(&r, &f.callState)
		body, err := io.ReadAll(io.LimitReader(stream.Body, maxBodyBytes))
		if err == nil {
			err = f.sink.Event(body)
		}
		return err == nil, err
	}
	err = p.copyEvents(r, stream, f, cancel)
	complete = err == nil
	if complete {
		p.reportAnswered(&r, &f.callState)
	}
	if fault.KindOf[Kind](err) == Lost {
		p.detectServerExit(ctx, &r, &f.callState, server, p.Clock.Mono()-began)
	}
	return complete, err
}

func (p *Proxy) streamCall(r Request, server *pool.Server, f *streamState) *httpc.Call {
	headers := p.Protocol.Headers(&r, server.Name, r.Deadline-p.Clock.Mono())
	if f.lastID != "" {
		headers = p.Protocol.Resume(headers, f.lastID)
	}
	return &httpc.Call{
		Address: server.Address(), Method: r.Method, Path: r.Target, Body: r.Body, Headers: headers,
		FreshConn: r.Route.Kind != paths.Repeatable && !r.Route.Resumable,
		Accept:    func(a *httpc.Answer) bool { return p.Protocol.Own(&r, a) },
	}
}

// copyEvents passes copyEvents on, each only once it is whole: a server may stop in the
// middle of one.
func (p *Proxy) copyEvents(r Request, stream *httpc.Stream, f *streamState, cancel context.CancelFunc) error {
	if r.Route.Resumable {
		idleTimer := p.Clock.AfterFunc(streamIdleTimeout, cancel)
		defer idleTimer.Stop()
		return pump(stream, f, func() { idleTimer.Reset(streamIdleTimeout.Duration()) })
	}
	return pump(stream, f, func() {})
}

func pump(stream *httpc.Stream, f *streamState, onEvent func()) error {
	var event bytes.Buffer
	id := ""
	for {
		line, err := stream.Body.ReadBytes('\n')
		event.Write(line)
		if errors.Is(err, io.EOF) && event.Len() == 0 {
			stream.MarkComplete()
			return nil
		}
		if err != nil {
			return fault.Wrap("proxy.pump", Lost, err, "the stream broke off")
		}
		if event.Len() > maxEventBytes {
			return fault.New("proxy.pump", Lost, "an event is too long")
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimSpace(line)) > 0 {
			continue
		}
		onEvent()
		if err := f.sink.Event(event.Bytes()); err != nil {
			return fault.Wrap("proxy.pump", Left, err, "the caller has gone")
		}
		f.lastID = id
		event.Reset()
	}
}
