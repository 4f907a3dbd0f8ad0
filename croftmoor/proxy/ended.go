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

// Guard knows the requests that end the servers that run them, as far as any instance
// has seen. What a caller sends again has a new id each time, and comes to any
// instance, so that nothing that one attempt or one instance remembers can stop it.
type Guard interface {
	// Quiet tells that no request is suspected, so that none needs to be looked up.
	Quiet() bool
	// Held returns for how long a request goes to no server, and why; 0 if it may.
	Held(request poison.Fingerprint) (left clock.Millis, why string)
	// Ended tells that a server ended while it ran a request.
	Ended(request poison.Fingerprint, server ident.BackendName)
	// Answered tells that a server answered a request.
	Answered(request poison.Fingerprint)
}

// HeldFor returns for how long a call goes to no server; 0 if it may.
func (p *Proxy) HeldFor(r *Request) clock.Millis {
	left, _ := p.held(r, &callState{})
	return left
}

func (p *Proxy) held(r *Request, s *callState) (left clock.Millis, why string) {
	if p.Guard == nil || p.Guard.Quiet() {
		return 0, ""
	}
	return p.Guard.Held(s.fingerprint(r))
}

// refuseIfHeld tells whether the call goes to no server any more. It is asked before each try:
// the try before may have been the one that showed it.
func (p *Proxy) refuseIfHeld(r *Request, s *callState) bool {
	left, why := p.held(r, s)
	if left == 0 {
		return false
	}
	s.held = true
	p.Trail.Add(trail.Decision{ID: string(r.ID), Action: trail.Refuse, Choice: string(Harmful), Reason: why})
	return true
}

// detectServerExit finds out whether a server ended while it ran a call that got no answer:
// nobody listens at its address any more. An answer that was lost on the way, a cut
// and a call that ran out of time leave no such trace; one that said it would leave
// ended for its own reasons.
func (p *Proxy) detectServerExit(ctx context.Context, r *Request, s *callState, server *pool.Server, elapsed clock.Millis) {
	if ctx.Err() != nil || server.Leaving() || !p.Client.ConnectionRefused(ctx, server.Address()) {
		return
	}
	if p.Metrics != nil {
		p.Metrics.ServerEnded(server.Service)
	}
	request := s.fingerprint(r)
	if p.Guard != nil {
		p.Guard.Ended(request, server.Name)
	}
	p.Trail.Add(trail.Decision{
		ID: string(r.ID), Action: trail.Ended, Choice: string(server.Name),
		Reason: fmt.Sprintf("request %s, %s %s, %d ms after it was sent: nobody listens at %s any more", request, r.Method, r.Target, elapsed, server.Address()),
	})
}

// reportAnswered tells that a server answered a call, if any call is suspected.
func (p *Proxy) reportAnswered(r *Request, s *callState) {
	if p.Guard != nil && !p.Guard.Quiet() {
		p.Guard.Answered(s.fingerprint(r))
	}
}

// fingerprint returns what the call shares with others that ask for the same.
func (s *callState) fingerprint(r *Request) poison.Fingerprint {
	if s.cachedFingerprint == "" {
		s.cachedFingerprint = poison.Subject{Organisation: r.Organisation, Host: r.Route.Host, Method: r.Method, Target: r.Target, Body: r.Body}.Fingerprint()
	}
	return s.cachedFingerprint
}
