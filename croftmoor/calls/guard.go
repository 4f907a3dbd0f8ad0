package calls

import (
	"context"

	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/croftmoor/refuse"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/poison"
	"croftmoor.dev/kernel/rope"
	"croftmoor.dev/kernel/trail"
)

// Guard tracks requests whose servers terminated while running them, as reported
// by all instances.
type Guard interface {
	// Quiet reports whether no request is suspected. Held and Answered can then be
	// skipped.
	Quiet() bool
	// Held returns the remaining time for which a request must not be sent to any
	// server, and the reason. The time is 0 if the request may be sent.
	Held(request poison.Fingerprint) (remaining clock.Millis, reason string)
	// Ended records that a server terminated while it ran a request.
	Ended(request poison.Fingerprint, server ident.BackendName)
	// Answered records that a server answered a request.
	Answered(request poison.Fingerprint)
}

// fingerprint identifies calls with the same service, method, path and body. A
// service belongs to one team, so calls of different teams never share a fingerprint.
func (r *Request) fingerprint() poison.Fingerprint {
	return poison.Subject{Host: string(r.Service.Name), Method: r.Method, Target: r.Path, Body: rope.Of(r.Body)}.Fingerprint()
}

// checkGuard returns a NotRun error if the guard holds the call because servers
// terminated while running it.
func (c *Caller) checkGuard(r *Request) error {
	if c.Guard == nil || r.Internal || c.Guard.Quiet() {
		return nil
	}
	remaining, reason := c.Guard.Held(r.fingerprint())
	if remaining == 0 {
		return nil
	}
	c.logDecision(*r, trail.Refuse, "", "", reason)
	return refuse.After("calls.Do", refuse.NotRun, reason, remaining)
}

// reportToGuard reports the result of a try to the guard. A server that lost the call
// counts as terminated if its address now refuses connections.
func (c *Caller) reportToGuard(ctx context.Context, r *Request, server *pool.Server, result tryResult) {
	switch {
	case c.Guard == nil || r.Internal:
	case result == answered && !c.Guard.Quiet():
		c.Guard.Answered(r.fingerprint())
	case result == lost && ctx.Err() == nil && !server.Leaving() && c.client.ConnectionRefused(ctx, server.Address()):
		c.Guard.Ended(r.fingerprint(), server.Name)
		c.logDecision(*r, trail.Ended, server.Name, "", "request "+string(r.fingerprint())+": nobody listens there any more")
	}
}
