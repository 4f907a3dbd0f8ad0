// Package proxy passes live calls on to the backend servers of a route: it
// chooses the server, tries others where the route allows it, and returns the
// whole answer of one server or says truly that the call has not run.
package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"

	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/poison"
	"croftmoor.dev/kernel/route"
	"croftmoor.dev/kernel/trail"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// NotRun means that the call has not run and never will.
	NotRun Kind = "NotRun"
	// Late means that the time was up while a server may have worked on it.
	Late Kind = "Late"
	// Lost means that the call may have run and its answer is lost.
	Lost Kind = "Lost"
	// Harmful means that the call has not run, since servers ended under it before.
	Harmful Kind = "Harmful"
	// Left means that the caller has gone.
	Left Kind = "Left"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Request is a live call.
type Request struct {
	ID      ident.RequestID
	Route   paths.Route
	Method  string
	Target  string
	Headers []httpc.Header
	Body    []byte
	// Organisation is whose call it is; empty if nobody's.
	Organisation ident.Organisation
	// Internal tells that the system itself makes the call. Where room is shared out, its calls
	// share it as one more organisation: beside callers with more time they came last.
	Internal bool
	// Priority is its rank, 0 first.
	Priority int
	// Deadline is when the caller stops waiting, by the steady clock.
	Deadline clock.Millis
}

// Verdict is what a server's answer means for the call.
type Verdict struct {
	// NotRun tells that the server has not run the call.
	NotRun bool
	// Failed tells that the server itself failed.
	Failed bool
	// Load is what the server told of its load; it counts if HasLoad is set.
	Load    pool.Report
	HasLoad bool
}

// Protocol speaks to backend servers.
type Protocol interface {
	// Headers returns the headers for one try at a server, with the time that is
	// left to it.
	Headers(r *Request, server ident.BackendName, left clock.Millis) []httpc.Header
	// Resume adds to the headers that the answer is to go on after an event.
	Resume(headers []httpc.Header, lastID string) []httpc.Header
	// Own tells whether an answer belongs to the call.
	Own(r *Request, a *httpc.Answer) bool
	// Judge tells what an answer means.
	Judge(a *httpc.Answer) Verdict
}

// Proxy passes calls on. Set the exported fields before use.
type Proxy struct {
	Pool     *pool.Pool
	Protocol Protocol
	Client   *httpc.Client
	Clock    *clock.Clock
	Trail    *trail.Trail
	// AttemptTimeout is how long a repeatable call waits for one server before it is
	// tried at another.
	AttemptTimeout clock.Millis
	// Usage is told of calls of organisations that began to run; it may be nil.
	Usage Usage
	// Metrics may be nil.
	Metrics Metrics
	// Guard may be nil.
	Guard Guard
	// Rooms lets calls in; nil lets all in.
	Rooms Rooms
}

// Metrics counts what operators watch.
type Metrics interface {
	// ServerEnded counts a server of a service that ended while it ran a call.
	ServerEnded(service ident.Service)
}

// Usage counts what organisations use.
type Usage interface {
	// Began counts a call that a server began at a time of the steady clock.
	Began(organisation ident.Organisation, at clock.Millis)
}

// minTimeToSend is the time below which a call is not sent any more: the server
// could not answer in it.
const minTimeToSend = 5 * clock.Millis(1)

// maxUnreached is how many servers that took no byte of a call are not counted among its
// attempts. Servers that ended stay listed for 2 to 3 s; when three of four had, calls
// with two attempts were refused 10 times in 20 beside an idle server. Each costs a round
// trip, some 2 ms; beyond these the service is more likely gone as a whole.
const maxUnreached = 4

// Do carries a call to its end.
func (p *Proxy) Do(ctx context.Context, r Request) (*httpc.Answer, error) {
	if r.Route.Timeout > 0 {
		r.Deadline = min(r.Deadline, p.Clock.Mono()+r.Route.Timeout)
	}
	state := &callState{service: r.Route.Service(newRandom())}
	defer func() { p.recordUsage(r, state) }()
	leave, err := p.enter(ctx, r, state)
	if err != nil {
		return nil, err
	}
	defer leave()
	for state.hasAttempts(r.Route) && p.mayRetry(state) {
		if ctx.Err() != nil || r.Deadline-p.Clock.Mono() < minTimeToSend || p.refuseIfHeld(&r, state) {
			break
		}
		server := p.pick(r, state)
		if server == nil {
			break
		}
		state.attempts++
		state.tried = append(state.tried, server.Name)
		answer, retry := p.try(ctx, r, server, state)
		if answer != nil {
			return answer, nil
		}
		if !retry {
			break
		}
	}
	return nil, p.giveUp(ctx, r, state)
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// callState is how far a call has got.
type callState struct {
	service ident.Service
	// attempts counts the servers that were chosen, vain those of them that no byte of the
	// call was sent to.
	attempts  int
	unreached int
	tried     []ident.BackendName
	// mayHaveRun tells that a server may have run the call, answered that one certainly did;
	// began is when the call was last sent to one that did.
	mayHaveRun bool
	answered   bool
	sentAt     clock.Millis
	lastErr    error
	// cachedFingerprint is the call's fingerprint, if it was needed; held that the call goes to no
	// server any more.
	cachedFingerprint poison.Fingerprint
	held              bool
	// admitted tells that the call was let in to the service's admitted room; costly that
	// another try at a server comes out of the budget.
	admitted        bool
	usesRetryBudget bool
}

// hasAttempts tells whether the call may go to one more server.
func (s *callState) hasAttempts(route paths.Route) bool {
	return s.attempts-s.unreached < max(route.MaxAttempts, 1)
}

func (p *Proxy) pick(r Request, s *callState) *pool.Server {
	query := pool.Query{
		ID: r.ID, Exclude: s.tried, Live: true, LiveOnly: s.admitted,
		Service: conf.Service{Name: s.service, Policy: route.Balanced, Slots: p.slots(s.service)},
	}
	server, runnerUp, reason := p.Pool.Pick(query)
	action := trail.Route
	if s.attempts > 0 {
		action = trail.Retry
	}
	if server == nil {
		action = trail.Refuse
	}
	choice := ident.BackendName("")
	if server != nil {
		choice = server.Name
	}
	p.Trail.Add(trail.Decision{ID: string(r.ID), Action: action, Choice: string(choice), RunnerUp: string(runnerUp),
		Reason: fmt.Sprintf("try %d, %d ms left, %s", s.attempts+1, r.Deadline-p.Clock.Mono(), reason)})
	return server
}

// recordUsage tells the meter of a call that a server began. A call counts once, however
// many servers it came to: callers see one.
func (p *Proxy) recordUsage(r Request, s *callState) {
	if p.Usage != nil && r.Organisation != "" && (s.mayHaveRun || s.answered) {
		p.Usage.Began(r.Organisation, s.sentAt)
	}
}

// slots returns how many requests a server of the service runs at once.
func (p *Proxy) slots(service ident.Service) int {
	for _, m := range p.Pool.Fleet.View().Backends[service] {
		if m.Slots > 0 {
			return m.Slots
		}
	}
	return 1
}

// try sends the call to one server. It reports whether another may be tried.
func (p *Proxy) try(ctx context.Context, r Request, server *pool.Server, s *callState) (answer *httpc.Answer, retry bool) {
	repeatable := r.Route.Kind == paths.Repeatable
	left := r.Deadline - p.Clock.Mono()
	timeout := left
	if repeatable && s.hasAttempts(r.Route) {
		timeout = min(left, p.AttemptTimeout)
	}
	tryCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	if repeatable {
		// A call that may not be repeated is waited for: it may have reached the new start.
		defer server.OnRestart(cancel)()
	}
	call := &httpc.Call{
		Address: server.Address(), Method: r.Method, Path: r.Target, Body: r.Body, FreshConn: !repeatable,
		Headers: p.Protocol.Headers(&r, server.Name, left),
		Accept:  func(a *httpc.Answer) bool { return p.Protocol.Own(&r, a) },
	}
	began := p.Clock.Mono()
	answer, err := p.Client.Do(tryCtx, call)
	latency := p.Clock.Mono() - began
	if err != nil {
		s.recordNoAnswer(err, began)
		server.Release(p.Clock, true, latency, false)
		if fault.KindOf[httpc.Kind](err) == httpc.Lost {
			p.detectServerExit(tryCtx, &r, s, server, latency)
		}
		return nil, p.recordFailedAttempt(ctx, r, server, s, repeatable, err)
	}
	verdict := p.Protocol.Judge(answer)
	p.recordAnswer(&r, s, verdict, began)
	p.recordLoad(server, verdict)
	p.observeRoom(r, s, server.Name, answer, verdict, latency)
	server.Release(p.Clock, true, latency, !verdict.NotRun && !verdict.Failed)
	if verdict.NotRun {
		s.lastErr = fault.New("proxy.try", NotRun, string(server.Name)+" answered "+http.StatusText(answer.Status))
		p.logDecision(r, trail.Retry, server, "the server has not run it")
		return nil, true
	}
	if verdict.Failed && server.Breaker.RecordFailure(p.Clock.Mono()) {
		p.logDecision(r, trail.Hold, server, "ejected after answers of failure")
	}
	if verdict.Failed && repeatable && s.hasAttempts(r.Route) {
		s.mayHaveRun, s.usesRetryBudget = true, true
		s.lastErr = fault.New("proxy.try", Lost, string(server.Name)+" answered "+http.StatusText(answer.Status))
		p.logDecision(r, trail.Retry, server, fmt.Sprintf("the server failed it with %d", answer.Status))
		return nil, true
	}
	return answer, false
}

// recordAnswer notes a server's answer to a call that was sent to it at a time.
func (p *Proxy) recordAnswer(r *Request, s *callState, v Verdict, at clock.Millis) {
	if v.NotRun {
		return
	}
	s.answered, s.sentAt = true, at
	p.reportAnswered(r, s)
}

// recordNoAnswer notes a call without an answer.
func (s *callState) recordNoAnswer(err error, at clock.Millis) {
	if fault.KindOf[httpc.Kind](err) == httpc.NotSent {
		s.unreached = min(s.unreached+1, maxUnreached)
		return
	}
	s.mayHaveRun, s.usesRetryBudget = true, true
	if !s.answered {
		s.sentAt = at
	}
}

func (p *Proxy) recordLoad(server *pool.Server, v Verdict) {
	if v.HasLoad {
		server.RecordLoad(v.Load, p.Clock.Mono())
	}
}

// recordFailedAttempt notes a try without an answer, and reports whether another may follow.
func (p *Proxy) recordFailedAttempt(ctx context.Context, r Request, server *pool.Server, s *callState, repeatable bool, err error) bool {
	s.lastErr = err
	sent := fault.KindOf[httpc.Kind](err) != httpc.NotSent
	if ctx.Err() != nil {
		return false
	}
	if server.Breaker.RecordFailure(p.Clock.Mono()) {
		p.logDecision(r, trail.Hold, server, "ejected after failures")
	}
	p.logDecision(r, trail.Retry, server, err.Error())
	return repeatable || !sent
}

func (p *Proxy) logDecision(r Request, action trail.Action, server *pool.Server, reason string) {
	p.Trail.Add(trail.Decision{ID: string(r.ID), Action: action, Choice: string(server.Name), Reason: reason})
}

// giveUp returns the error of a call that got no answer.
func (p *Proxy) giveUp(ctx context.Context, r Request, s *callState) error {
	kind := NotRun
	switch {
	case ctx.Err() != nil:
		kind = Left
	case s.held && !s.mayHaveRun:
		kind = Harmful
	case s.mayHaveRun && r.Deadline-p.Clock.Mono() < minTimeToSend:
		kind = Late
	case s.mayHaveRun:
		kind = Lost
	}
	summary := fmt.Sprintf("service %s after %d tries", s.service, s.attempts)
	p.Trail.Add(trail.Decision{ID: string(r.ID), Action: trail.Refuse, Choice: string(kind), Reason: summary})
	failed := fault.New("proxy.Do", kind, summary)
	if s.lastErr != nil {
		failed = fault.Wrap("proxy.Do", kind, s.lastErr, summary)
	}
	if kind == NotRun && s.admitted {
		failed.RetryAfter = p.Rooms.ComeBack(s.service, r.shareOwner())
	}
	return failed
}
