package admit

import (
	"context"
	"sync"
	"time"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// AllocatorGate makes requests to one service wait until an Allocator starts them. Set the
// exported fields before use. The other fields are guarded by mu.
type AllocatorGate struct {
	Clock *clock.Clock

	mu        sync.Mutex
	allocator Allocator
	waiters   waiters
	timer     *time.Timer
}

// SetServers sets the servers whose slots are handed out, and the maximum number of waiting
// requests.
func (g *AllocatorGate) SetServers(slots map[ident.BackendName]int, maxQueued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allocator.MaxQueued = maxQueued
	g.allocator.SetServers(slots)
}

// Enter waits until the request may start; End must be called with the decision's Grant then.
// On a refusal it returns an error of kind Refused and the decision with its RetryAfter.
func (g *AllocatorGate) Enter(ctx context.Context, request Request) (Decision, error) {
	g.mu.Lock()
	decision, refused := g.allocator.Offer(g.Clock.Mono(), request)
	var decided chan Decision
	if decision.Verdict == Wait {
		decided = g.waiters.add(decision.Ticket)
	}
	g.deliver(refused)
	g.mu.Unlock()
	if decision.Verdict == Wait {
		decision = g.await(ctx, decision.Ticket, decided)
	}
	if decision.Verdict == Refuse {
		return decision, fault.New("admit.Enter", Refused, decision.Reason)
	}
	return decision, nil
}

// End ends a grant with what the server's response showed.
func (g *AllocatorGate) End(id GrantID, s Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.allocator.Done(g.Clock.Mono(), id, s))
}

// await returns the decision on a waiting ticket. It cancels the ticket when ctx ends.
func (g *AllocatorGate) await(ctx context.Context, ticket Ticket, decided chan Decision) Decision {
	return awaitDecision(ctx, ticket, decided, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.waiters, ticket.ID)
		return g.allocator.Cancel(ticket)
	}, func(decision Decision) { g.End(decision.Grant, Signal{}) })
}

// deliver sends decisions to the goroutines that wait for them, and sets the timer for the
// next ones; the caller holds mu.
func (g *AllocatorGate) deliver(decisions []Decision) {
	g.waiters.deliver(decisions)
	now := g.Clock.Mono()
	at, ok := g.allocator.NextAdvance(now)
	if !ok {
		return
	}
	if g.timer == nil {
		g.timer = g.Clock.AfterFunc(at-now, g.advance)
		return
	}
	g.timer.Reset((at - now).Duration())
}

func (g *AllocatorGate) advance() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.allocator.Advance(g.Clock.Mono()))
}
