package proxy

import (
	"context"
	"fmt"

	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/poison"
	"croftmoor.dev/kernel/trail"
)

// noteEnd finds out whether a server ended while it ran a call that got no answer:
// nobody listens at its address any more. An answer that was lost on the way, a cut
// and a call that ran out of time leave no such trace.
func (p *Proxy) noteEnd(ctx context.Context, r Request, server *pool.Server, took clock.Millis) {
	if ctx.Err() != nil || !p.Client.Refuses(ctx, server.Address()) {
		return
	}
	if p.Counts != nil {
		p.Counts.ServerEnded(server.Service)
	}
	p.Trail.Add(trail.Decision{
		ID: string(r.ID), Action: trail.Ended, Choice: string(server.Name),
		Reason: fmt.Sprintf("request %s, %s %s, %d ms after it was sent: nobody listens at %s any more", r.fingerprint(), r.Method, r.Target, took, server.Address()),
	})
}

// fingerprint returns what the call shares with others that ask for the same.
func (r *Request) fingerprint() poison.Fingerprint {
	return poison.Subject{Organisation: r.Organisation, Host: r.Route.Host, Method: r.Method, Target: r.Target, Body: r.Body}.Fingerprint()
}
