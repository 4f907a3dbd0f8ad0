package proxy

import (
	"context"
	"fmt"
	"net/http"

	"croftmoor.dev/kernel/admit"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/trail"
)

// Rooms limits the calls that this instance sends to a service, and shares the capacity among
// organisations.
type Rooms interface {
	// Shared reports whether calls to a service are limited.
	Shared(service ident.Service) bool
	// Enter waits until a call may start; leave must be called once when it has ended. On
	// refusal, decision.RetryAfter is when the caller should retry.
	Enter(ctx context.Context, service ident.Service, ask admit.Request) (leave func(), decision admit.Decision, err error)
	// Note adjusts a service's limit to a server's answer.
	Note(service ident.Service, s admit.Signal)
	// TryAgain takes one further attempt of a call from the service's retry budget. It reports
	// false if the budget is used up.
	TryAgain(service ident.Service) bool
	// ComeBack returns after how long an organisation should retry a call that found all
	// servers full.
	ComeBack(service ident.Service, by ident.Organisation) clock.Millis
}

// internalCalls is the share of the system's own calls; no organisation has this name.
const internalCalls = ident.Organisation("\x00own")

// shareOwner returns the organisation whose share of the capacity the call uses.
func (r *Request) shareOwner() ident.Organisation {
	if r.Internal {
		return internalCalls
	}
	return r.Organisation
}

// enter waits until the call may start at its service. A refused call has not run.
func (p *Proxy) enter(ctx context.Context, r Request, s *callState) (leave func(), err error) {
	if p.Rooms == nil || !p.Rooms.Shared(s.service) {
		return func() {}, nil
	}
	now := p.Clock.Mono()
	ask := admit.Request{Organisation: r.shareOwner(), Priority: r.Priority, StartBy: r.Deadline, Deadline: r.Deadline}
	if r.Route.LatencyObjective > 0 {
		ask.StartBy = min(now+r.Route.LatencyObjective, r.Deadline)
	}
	waitCtx, cancel := context.WithTimeout(ctx, (r.Deadline - now).Duration())
	defer cancel()
	leave, decision, err := p.Rooms.Enter(waitCtx, s.service, ask)
	if err == nil {
		s.admitted = true
		s.granted, s.grant, s.grantReason = decision.Server, decision.Grant, decision.Reason
		return leave, nil
	}
	kind := NotRun
	if ctx.Err() != nil {
		kind = Left
	}
	p.Trail.Add(trail.Decision{
		ID: string(r.ID), Action: trail.Refuse, Choice: string(kind),
		Reason: fmt.Sprintf("service %s: %s; sharing as %q, rank %d, %d wait, %.0f calls a second, waited %d ms, back in %d ms",
			s.service, decision.Reason, ask.Organisation, r.Priority, decision.Waiting, decision.Rate, p.Clock.Mono()-now, decision.RetryAfter),
	})
	refused := fault.Wrap("proxy.enter", kind, err, "service "+string(s.service))
	refused.RetryAfter = decision.RetryAfter
	return nil, refused
}

// mayRetry reports whether the call may be sent to a server. First attempts always may.
// Further ones are taken from a retry budget if servers refused the call or may have run it,
// since retries add load to servers that may be full.
func (p *Proxy) mayRetry(s *callState) bool {
	return !s.usesRetryBudget || !s.admitted || p.Rooms.TryAgain(s.service)
}

// observeCapacity reports to Rooms what an answer says about its server's load.
func (p *Proxy) observeCapacity(r Request, s *callState, server ident.BackendName, a *httpc.Answer, v Verdict, latency clock.Millis) {
	if !s.admitted {
		return
	}
	shed := v.NotRun && a.Status == http.StatusServiceUnavailable
	s.usesRetryBudget = s.usesRetryBudget || shed
	signal := admit.Signal{Server: server, Shed: shed, Latency: latency, Objective: r.Route.LatencyObjective}
	if v.HasLoad {
		signal.Waiting, signal.Running, signal.Slots, signal.Slowdown = v.Load.Waiting, v.Load.Running, v.Load.Slots, v.Load.Slowdown
	}
	if server == s.granted {
		signal.Grant = s.grant
	}
	p.Rooms.Note(s.service, signal)
}
