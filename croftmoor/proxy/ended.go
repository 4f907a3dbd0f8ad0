package proxy

import (
	"context"
	"fmt"

	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/poison"
	"croftmoor.dev/kernel/trail"
)

// Guard tracks requests that crash the servers that run them, as seen by all instances.
// Callers resend such a request with a new ID and to any instance, so it is identified by its
// fingerprint.
type Guard interface {
	// Quiet reports whether no request is suspected, in which case no look-up is needed.
	Quiet() bool
	// Held returns how much longer a request must not be sent to any server, and why; 0 if it
	// may be sent.
	Held(request poison.Fingerprint) (left clock.Millis, why string)
	// Ended records that a server exited while it ran a request, ServerEnded that one exited
	// while it ran a call of the system itself, which is never the cause.
	Ended(request poison.Fingerprint, server ident.BackendName)
	ServerEnded(server ident.BackendName)
	// Answered records that a server answered a request.
	Answered(request poison.Fingerprint)
}

// HeldFor returns how much longer a call must not be sent to any server; 0 if it may be sent.
func (p *Proxy) HeldFor(r *Request) clock.Millis {
	left, _ := p.held(r, &callState{})
	return left
}

func (p *Proxy) held(r *Request, s *callState) (left clock.Millis, why string) {
	if p.Guard == nil || r.Internal || p.Guard.Quiet() {
		return 0, ""
	}
	return p.Guard.Held(s.fingerprint(r))
}

// refuseIfHeld reports whether the call must not be sent to another server, and logs the
// refusal. It is called before each attempt, since the previous one may have led to the hold.
func (p *Proxy) refuseIfHeld(r *Request, s *callState) bool {
	left, why := p.held(r, s)
	if left == 0 {
		return false
	}
	s.held = true
	p.Trail.Add(trail.Decision{ID: string(r.ID), Action: trail.Refuse, Choice: string(Harmful), Reason: why})
	return true
}

// detectServerExit checks whether a server exited while it ran a call that got no answer, and
// reports it to the guard and the metrics. A server has exited if its address refuses
// connections; after a lost answer, a network partition or a timeout it does not refuse them.
// A server that is listed as leaving is ignored.
func (p *Proxy) detectServerExit(ctx context.Context, r *Request, s *callState, server *pool.Server, elapsed clock.Millis) {
	if ctx.Err() != nil || server.Leaving() || !p.Client.ConnectionRefused(ctx, server.Address()) {
		return
	}
	if p.Metrics != nil {
		p.Metrics.ServerEnded(server.Service)
	}
	request := s.fingerprint(r)
	switch {
	case p.Guard == nil:
	case r.Internal:
		p.Guard.ServerEnded(server.Name)
	default:
		p.Guard.Ended(request, server.Name)
	}
	p.Trail.Add(trail.Decision{
		ID: string(r.ID), Action: trail.Ended, Choice: string(server.Name),
		Reason: fmt.Sprintf("request %s, %s %s, %d ms after it was sent: nobody listens at %s any more", request, r.Method, r.Target, elapsed, server.Address()),
	})
}

// reportAnswered reports to the guard that a server answered a call, if any call is suspected.
func (p *Proxy) reportAnswered(r *Request, s *callState) {
	if p.Guard != nil && !r.Internal && !p.Guard.Quiet() {
		p.Guard.Answered(s.fingerprint(r))
	}
}

// fingerprint returns the call's fingerprint, which equal calls of an organisation share. It
// is computed on first use.
func (s *callState) fingerprint(r *Request) poison.Fingerprint {
	if s.cachedFingerprint == "" {
		s.cachedFingerprint = poison.Subject{Organisation: r.Organisation, Host: r.Route.Host, Method: r.Method, Target: r.Target, Body: r.Body}.Fingerprint()
	}
	return s.cachedFingerprint
}
