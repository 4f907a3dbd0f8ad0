// Package proxy sends live calls to the backend servers of a route. It picks the server,
// retries at others where the route allows it, and returns the whole answer of one server or
// an error whose kind says whether the call may have run.
package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"

	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/admit"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/poison"
	"croftmoor.dev/kernel/rope"
	"croftmoor.dev/kernel/route"
	"croftmoor.dev/kernel/trail"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// NotRun means that the call has not run and will not.
	NotRun Kind = "NotRun"
	// Late means that the deadline passed while a server may have been running the call.
	Late Kind = "Late"
	// Lost means that the call may have run and its answer is lost.
	Lost Kind = "Lost"
	// Harmful means that the call has not run because servers exited while running equal ones.
	Harmful Kind = "Harmful"
	// Left means that the caller has disconnected.
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
	Body    rope.Rope
	// Organisation is the caller's organisation; empty if it has none.
	Organisation ident.Organisation
	// Internal is true for calls of the system itself, on behalf of items. Where capacity is
	// shared, they have the share of one organisation. They are never held for servers that
	// ended under them.
	Internal bool
	// Priority orders calls that wait for capacity; 0 is the highest.
	Priority int
	// Deadline is when the caller stops waiting, by the monotonic clock.
	Deadline clock.Millis
}

// Verdict is the meaning of a server's answer.
type Verdict struct {
	// NotRun is true if the server has not run the call.
	NotRun bool
	// Failed is true if the server itself failed.
	Failed bool
	// Load is the load that the server reported with the answer, if HasLoad is true.
	Load    pool.Report
	HasLoad bool
}

// Protocol defines the headers of requests to backend servers and the meaning of answers.
type Protocol interface {
	// Headers returns the headers for one attempt at a server; left is the time until the
	// call's deadline.
	Headers(r *Request, server ident.BackendName, left clock.Millis) []httpc.Header
	// Resume adds the header that asks a server to continue a stream after the event lastID.
	Resume(headers []httpc.Header, lastID string) []httpc.Header
	// Own reports whether an answer belongs to the call.
	Own(r *Request, a *httpc.Answer) bool
	// Check returns what is wrong with an answer that belongs to the call, as an error with an
	// httpc.Defect, or nil.
	Check(a *httpc.Answer) error
	// Judge returns the meaning of an answer.
	Judge(a *httpc.Answer) Verdict
}

// Proxy sends calls to backend servers. Set the exported fields before use.
type Proxy struct {
	Pool     *pool.Pool
	Protocol Protocol
	Client   *httpc.Client
	Clock    *clock.Clock
	Trail    *trail.Trail
	// AttemptTimeout is how long a repeatable call waits for one server before it is retried at
	// another.
	AttemptTimeout clock.Millis
	// Usage counts the calls of organisations that servers may have started; it may be nil.
	Usage Usage
	// Metrics may be nil.
	Metrics Metrics
	// Guard may be nil.
	Guard Guard
	// Rooms limits calls; nil means no limits.
	Rooms Rooms
}

// Metrics counts events for operators.
type Metrics interface {
	// ServerEnded counts a server of a service that exited while it ran a call.
	ServerEnded(service ident.Service)
}

// Usage counts calls per organisation.
type Usage interface {
	// Began counts a call; at is when it was sent to the server, by the monotonic clock.
	Began(organisation ident.Organisation, at clock.Millis)
}

// minTimeToSend is the minimum time to the deadline for a call to be sent to a server.
const minTimeToSend = 5 * clock.Millis(1)

// maxUnreached is the maximum number of servers per call that received no byte of it and do
// not count as attempts. Servers that have exited stay listed for 2 to 3 s, and would
// otherwise use up the attempts beside an idle server. Each costs a round trip, some 2 ms;
// beyond the maximum, the whole service is probably down.
const maxUnreached = 4

// Do sends a call and returns the whole answer of one server. Errors are of type Error.
func (p *Proxy) Do(ctx context.Context, r Request) (*httpc.Answer, error) {
	if r.Route.Timeout > 0 {
		r.Deadline = min(r.Deadline, p.Clock.Mono()+r.Route.Timeout)
	}
	state := &callState{service: p.drawService(&r.Route)}
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

// drawService draws the service of a call by the weights of its route, among the services that
// have a server which is not leaving; among all if none has.
func (p *Proxy) drawService(route *paths.Route) ident.Service {
	drawn := route.DrawServices(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if usable := slices.IndexFunc(drawn, p.hasServers); usable > 0 {
		return drawn[usable]
	}
	return drawn[0]
}

// hasServers reports whether a service has a server that is not leaving.
func (p *Proxy) hasServers(service ident.Service) bool {
	return slices.ContainsFunc(p.Pool.Fleet.View().Backends[service], func(m fleet.Member) bool {
		return m.State != fleet.Leaving && !p.Pool.Fleet.MarkedLeaving(m.Name)
	})
}

// callState is the progress of a call.
type callState struct {
	service ident.Service
	// attempts counts the servers that were picked, unreached those of them that received no
	// byte of the call, up to maxUnreached.
	attempts  int
	unreached int
	tried     []ident.BackendName
	// mayHaveRun is true if a server may have run the call, answered if one has answered other
	// than that it has not run it. sentAt is when the call was sent to the last server that
	// answered it, or else to the last that may have run it, by the monotonic clock.
	mayHaveRun bool
	answered   bool
	sentAt     clock.Millis
	lastErr    error
	// cachedFingerprint is empty until fingerprint is called. held is true if the call must not
	// be sent to another server.
	cachedFingerprint poison.Fingerprint
	held              bool
	// admitted is true if Rooms let the call in. usesRetryBudget is true if another attempt is
	// taken from the retry budget.
	admitted        bool
	usesRetryBudget bool
	// granted is the server whose slot Rooms granted for the first attempt, grant the grant; 0
	// is none.
	granted     ident.BackendName
	grant       admit.GrantID
	grantReason string
}

// hasAttempts reports whether the call may be sent to one more server.
func (s *callState) hasAttempts(route paths.Route) bool {
	return s.attempts-s.unreached < max(route.MaxAttempts, 1)
}

// pick chooses a server that was not tried, and logs the choice. It returns nil if there is
// none.
func (p *Proxy) pick(r Request, s *callState) *pool.Server {
	query := pool.Query{
		ID: r.ID, Exclude: s.tried, Live: true, LiveOnly: s.admitted,
		Service: conf.Service{Name: s.service, Policy: route.Balanced, Slots: p.slots(s.service)},
	}
	server, runnerUp, reason := p.takeGranted(s), ident.BackendName(""), s.grantReason
	if server == nil {
		server, runnerUp, reason = p.Pool.Pick(query)
	}
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

// takeGranted returns the server whose slot was granted for the first attempt. It returns nil
// if there is none, or it can't be used any more.
func (p *Proxy) takeGranted(s *callState) *pool.Server {
	if s.grant == 0 || s.attempts > 0 {
		return nil
	}
	return p.Pool.Take(s.service, s.granted)
}

// recordUsage counts a call that a server may have run. A call counts once, however many
// servers it was sent to.
func (p *Proxy) recordUsage(r Request, s *callState) {
	if p.Usage != nil && r.Organisation != "" && (s.mayHaveRun || s.answered) {
		p.Usage.Began(r.Organisation, s.sentAt)
	}
}

// slots returns how many requests a server of the service runs at once, according to the
// first listed server that has a number; 1 if none has.
func (p *Proxy) slots(service ident.Service) int {
	for _, m := range p.Pool.Fleet.View().Backends[service] {
		if m.Slots > 0 {
			return m.Slots
		}
	}
	return 1
}

// try sends the call to one server. Without an answer, it reports whether the call may be
// retried at another.
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
		// A call that must not be repeated keeps waiting: it may have reached the restarted
		// server.
		defer server.OnRestart(cancel)()
	}
	call := &httpc.Call{
		Address: server.Address(), Method: r.Method, Path: r.Target, LongBody: r.Body, InSegments: true, FreshConn: !repeatable,
		Headers: p.Protocol.Headers(&r, server.Name, left),
		Accept:  func(a *httpc.Answer) bool { return p.Protocol.Own(&r, a) },
		Check:   p.Protocol.Check,
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
	p.observeCapacity(r, s, server.Name, answer, verdict, latency)
	server.Release(p.Clock, true, latency, !verdict.NotRun && !verdict.Failed)
	if verdict.NotRun {
		s.lastErr = fault.New("proxy.try", NotRun, string(server.Name)+" answered "+http.StatusText(answer.Status))
		p.logDecision(r, trail.Retry, server, "the server has not run it")
		return nil, true
	}
	if verdict.Failed {
		p.recordFailure(r, server, "ejected after answers of failure")
	}
	if verdict.Failed && repeatable && s.hasAttempts(r.Route) {
		s.mayHaveRun, s.usesRetryBudget = true, true
		s.lastErr = fault.New("proxy.try", Lost, string(server.Name)+" answered "+http.StatusText(answer.Status))
		p.logDecision(r, trail.Retry, server, fmt.Sprintf("the server failed it with %d", answer.Status))
		return nil, true
	}
	return answer, false
}

// logDecision adds a decision about a server to the decision log.
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
