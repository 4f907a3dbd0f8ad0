package calls

import (
	"context"

	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/croftmoor/refuse"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/poison"
	"croftmoor.dev/kernel/trail"
)

// Guard knows the requests that end the servers that run them, as far as any instance
// has seen.
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

// fingerprint returns what the call shares with others that ask for the same. Services
// belong to one team each, so that no team's calls are like another's.
func (r *Request) fingerprint() poison.Fingerprint {
	return poison.Subject{Host: string(r.Service.Name), Method: r.Method, Target: r.Path, Body: r.Body}.Fingerprint()
}

// checkGuard refuses a call that goes to no server, since servers ended under it before.
func (c *Caller) checkGuard(r *Request) error {
	if c.Guard == nil || c.Guard.Quiet() {
		return nil
	}
	remaining, reason := c.Guard.Held(r.fingerprint())
	if remaining == 0 {
		return nil
	}
	c.logDecision(*r, trail.Refuse, "", "", reason)
	return refuse.After("calls.Do", refuse.NotRun, reason, remaining)
}

// reportToGuard tells the guard how a try ended. A server that lost a call has ended under it
// if nobody listens at its address any more.
func (c *Caller) reportToGuard(ctx context.Context, r *Request, server *pool.Server, result tryResult) {
	switch {
	case c.Guard == nil:
	case result == answered && !c.Guard.Quiet():
		c.Guard.Answered(r.fingerprint())
	case result == lost && ctx.Err() == nil && !server.Leaving() && c.client.ConnectionRefused(ctx, server.Address()):
		c.Guard.Ended(r.fingerprint(), server.Name)
		c.logDecision(*r, trail.Ended, server.Name, "", "request "+string(r.fingerprint())+": nobody listens there any more")
	}
}
