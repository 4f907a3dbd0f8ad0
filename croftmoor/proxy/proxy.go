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
	// Own tells that the system itself makes the call. Where room is shared out, its calls
	// share it as one more organisation: beside callers with more time they came last.
	Own bool
	// Urgent is its rank, 0 first.
	Urgent int
	// Until is when the caller stops waiting, by the steady clock.
	Until clock.Millis
}

// Verdict is what a server's answer means for the call.
type Verdict struct {
	// NotRun tells that the server has not run the call.
	NotRun bool
	// Faulty tells that the server itself failed.
	Faulty bool
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
	// Patience is how long a repeatable call waits for one server before it is
	// tried at another.
	Patience clock.Millis
	// Usage is told of calls of organisations that began to run; it may be nil.
	Usage Usage
	// Counts may be nil.
	Counts Counts
	// Guard may be nil.
	Guard Guard
	// Rooms lets calls in; nil lets all in.
	Rooms Rooms
}

// Counts counts what operators watch.
type Counts interface {
	// ServerEnded counts a server of a service that ended while it ran a call.
	ServerEnded(service ident.Service)
}

// Usage counts what organisations use.
type Usage interface {
	// Began counts a call that a server began at a time of the steady clock.
	Began(organisation ident.Organisation, at clock.Millis)
}

// leastSend is the time below which a call is not sent any more: the server
// could not answer in it.
const leastSend = 5 * clock.Millis(1)

// mostVain is how many servers that took no byte of a call are not counted among its
// attempts. Servers that ended stay listed for 2 to 3 s; when three of four had, calls
// with two attempts were refused 10 times in 20 beside an idle server. Each costs a round
// trip, some 2 ms; beyond these the service is more likely gone as a whole.
const mostVain = 4

// Do carries a call to its end.
func (p *Proxy) Do(ctx context.Context, r Request) (*httpc.Answer, error) {
	if r.Route.Timeout > 0 {
		r.Until = min(r.Until, p.Clock.Mono()+r.Route.Timeout)
	}
	state := &state{service: r.Route.Service(newRandom())}
	defer func() { p.count(r, state) }()
	leave, err := p.enter(ctx, r, state)
	if err != nil {
		return nil, err
	}
	defer leave()
	for state.left(r.Route) && p.again(state) {
		if ctx.Err() != nil || r.Until-p.Clock.Mono() < leastSend || p.holds(&r, state) {
			break
		}
		server := p.pick(r, state)
		if server == nil {
			break
		}
		state.tries++
		state.tried = append(state.tried, server.Name)
		answer, again := p.try(ctx, r, server, state)
		if answer != nil {
			return answer, nil
		}
		if !again {
			break
		}
	}
	return nil, p.giveUp(ctx, r, state)
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// state is how far a call has got.
type state struct {
	service ident.Service
	// tries counts the servers that were chosen, vain those of them that no byte of the
	// call was sent to.
	tries int
	vain  int
	tried []ident.BackendName
	// ran tells that a server may have run the call, answered that one certainly did;
	// began is when the call was last sent to one that did.
	ran      bool
	answered bool
	began    clock.Millis
	last     error
	// print is the call's fingerprint, if it was needed; held that the call goes to no
	// server any more.
	print poison.Fingerprint
	held  bool
	// shared tells that the call was let in to the service's shared room; costly that
	// another try at a server comes out of the budget.
	shared bool
	costly bool
}

// left tells whether the call may go to one more server.
func (s *state) left(route paths.Route) bool { return s.tries-s.vain < max(route.MaxAttempts, 1) }

func (p *Proxy) pick(r Request, s *state) *pool.Server {
	query := pool.Query{
		ID: r.ID, Exclude: s.tried, Live: true, LiveOnly: s.shared,
		Service: conf.Service{Name: s.service, Policy: route.Balanced, Slots: p.slots(s.service)},
	}
	server, runnerUp, reason := p.Pool.Pick(query)
	action := trail.Route
	if s.tries > 0 {
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
		Reason: fmt.Sprintf("try %d, %d ms left, %s", s.tries+1, r.Until-p.Clock.Mono(), reason)})
	return server
}

// count tells the meter of a call that a server began. A call counts once, however
// many servers it came to: callers see one.
func (p *Proxy) count(r Request, s *state) {
	if p.Usage != nil && r.Organisation != "" && (s.ran || s.answered) {
		p.Usage.Began(r.Organisation, s.began)
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
func (p *Proxy) try(ctx context.Context, r Request, server *pool.Server, s *state) (answer *httpc.Answer, again bool) {
	repeatable := r.Route.Kind == paths.Repeatable
	left := r.Until - p.Clock.Mono()
	patience := left
	if repeatable && s.left(r.Route) {
		patience = min(left, p.Patience)
	}
	tryCtx, cancel := context.WithTimeout(ctx, patience.Duration())
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
	took := p.Clock.Mono() - began
	if err != nil {
		s.noteLost(err, began)
		server.Release(p.Clock, true, took, false)
		if fault.KindOf[httpc.Kind](err) == httpc.Lost {
			p.noteEnd(tryCtx, &r, s, server, took)
		}
		return nil, p.failed(ctx, r, server, s, repeatable, err)
	}
	verdict := p.Protocol.Judge(answer)
	p.noteAnswer(&r, s, verdict, began)
	p.learn(server, verdict)
	p.noteRoom(r, s, server.Name, answer, verdict, took)
	server.Release(p.Clock, true, took, !verdict.NotRun && !verdict.Faulty)
	if verdict.NotRun {
		s.last = fault.New("proxy.try", NotRun, string(server.Name)+" answered "+http.StatusText(answer.Status))
		p.note(r, trail.Retry, server, "the server has not run it")
		return nil, true
	}
	if verdict.Faulty && server.Breaker.RecordFailure(p.Clock.Mono()) {
		p.note(r, trail.Hold, server, "ejected after answers of failure")
	}
	if verdict.Faulty && repeatable && s.left(r.Route) {
		s.ran, s.costly = true, true
		s.last = fault.New("proxy.try", Lost, string(server.Name)+" answered "+http.StatusText(answer.Status))
		p.note(r, trail.Retry, server, fmt.Sprintf("the server failed it with %d", answer.Status))
		return nil, true
	}
	return answer, false
}

// noteAnswer notes a server's answer to a call that was sent to it at a time.
func (p *Proxy) noteAnswer(r *Request, s *state, v Verdict, at clock.Millis) {
	if v.NotRun {
		return
	}
	s.answered, s.began = true, at
	p.clear(r, s)
}

// noteLost notes a call without an answer.
func (s *state) noteLost(err error, at clock.Millis) {
	if fault.KindOf[httpc.Kind](err) == httpc.NotSent {
		s.vain = min(s.vain+1, mostVain)
		return
	}
	s.ran, s.costly = true, true
	if !s.answered {
		s.began = at
	}
}

func (p *Proxy) learn(server *pool.Server, v Verdict) {
	if v.HasLoad {
		server.RecordLoad(v.Load, p.Clock.Mono())
	}
}

// failed notes a try without an answer, and reports whether another may follow.
func (p *Proxy) failed(ctx context.Context, r Request, server *pool.Server, s *state, repeatable bool, err error) bool {
	s.last = err
	sent := fault.KindOf[httpc.Kind](err) != httpc.NotSent
	if ctx.Err() != nil {
		return false
	}
	if server.Breaker.RecordFailure(p.Clock.Mono()) {
		p.note(r, trail.Hold, server, "ejected after failures")
	}
	p.note(r, trail.Retry, server, err.Error())
	return repeatable || !sent
}

func (p *Proxy) note(r Request, action trail.Action, server *pool.Server, reason string) {
	p.Trail.Add(trail.Decision{ID: string(r.ID), Action: action, Choice: string(server.Name), Reason: reason})
}

// giveUp returns the error of a call that got no answer.
func (p *Proxy) giveUp(ctx context.Context, r Request, s *state) error {
	kind := NotRun
	switch {
	case ctx.Err() != nil:
		kind = Left
	case s.held && !s.ran:
		kind = Harmful
	case s.ran && r.Until-p.Clock.Mono() < leastSend:
		kind = Late
	case s.ran:
		kind = Lost
	}
	what := fmt.Sprintf("service %s after %d tries", s.service, s.tries)
	p.Trail.Add(trail.Decision{ID: string(r.ID), Action: trail.Refuse, Choice: string(kind), Reason: what})
	failed := fault.New("proxy.Do", kind, what)
	if s.last != nil {
		failed = fault.Wrap("proxy.Do", kind, s.last, what)
	}
	if kind == NotRun && s.shared {
		failed.RetryAfter = p.Rooms.ComeBack(s.service, r.sharer())
	}
	return failed
}
