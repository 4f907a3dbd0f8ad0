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

// held refuses a call that goes to no server, since servers ended under it before.
func (c *Caller) held(r *Request) error {
	if c.Guard == nil || c.Guard.Quiet() {
		return nil
	}
	left, why := c.Guard.Held(r.fingerprint())
	if left == 0 {
		return nil
	}
	c.note(*r, trail.Refuse, "", "", why)
	return refuse.After("calls.Do", refuse.NotRun, why, left)
}

// learn tells the guard how a try ended. A server that lost a call has ended under it
// if nobody listens at its address any more.
func (c *Caller) learn(ctx context.Context, r *Request, server *pool.Server, how sent) {
	switch {
	case c.Guard == nil:
	case how == answered && !c.Guard.Quiet():
		c.Guard.Answered(r.fingerprint())
	case how == lost && ctx.Err() == nil && !server.Leaving() && c.client.ConnectionRefused(ctx, server.Address()):
		c.Guard.Ended(r.fingerprint(), server.Name)
		c.note(*r, trail.Ended, server.Name, "", "request "+string(r.fingerprint())+": nobody listens there any more")
	}
}
