package admit

import (
	"context"
	"errors"
	"sync"
	"time"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Refused means that the request was not started.
	Refused Kind = "Refused"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Gate lets requests of one class, or to one service, through a Limiter. Set the exported
// fields before use. Its state is guarded by mu.
type Gate struct {
	Clock *clock.Clock
	// Adaptive is the learnt limit; nil is none.
	Adaptive *AdaptiveLimiter

	mu      sync.Mutex
	limiter Limiter
	waiters   map[int64]chan Decision
	timer   *time.Timer
}

// SetLimits sets the limits; requests that run or wait stay.
func (g *Gate) SetLimits(rate float64, concurrency, queue int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Rate = rate
	g.limiter.Concurrency = concurrency
	g.limiter.MaxQueued = queue
	g.limiter.Adaptive = g.Adaptive
}

// Load returns how many requests run and wait.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.Running(), g.limiter.Waiting()
}

// Rate returns the learnt rate in requests a second; 0 if there is none.
func (g *Gate) Rate() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Adaptive == nil {
		return 0
	}
	return g.Adaptive.Rate()
}

// Observe learns from a server's answer.
func (g *Gate) Observe(s Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Adaptive.Observe(g.Clock.Mono(), s)
}

// RetryAfter returns when a caller should come back who was let in, but found the servers
// full.
func (g *Gate) RetryAfter(organisation ident.Organisation) clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.RetryAfter(g.Clock.Mono(), organisation)
}

// Enter waits for the request's turn. On success the caller must call leave
// once. The decision of a refusal tells when to come back.
func (g *Gate) Enter(ctx context.Context, ask Request) (leave func(), decision Decision, err error) {
	g.mu.Lock()
	decision, refused := g.limiter.Offer(g.Clock.Mono(), ask)
	var decided chan Decision
	if decision.Verdict == Wait {
		decided = make(chan Decision, 1)
		if g.waiters == nil {
			g.waiters = map[int64]chan Decision{}
		}
		g.waiters[decision.Ticket.ID] = decided
	}
	g.deliver(refused)
	g.scheduleAdvance()
	g.mu.Unlock()
	if decision.Verdict == Wait {
		decision = g.await(ctx, decision.Ticket, decided)
	}
	if decision.Verdict == Refuse {
		return nil, decision, fault.New("admit.Enter", Refused, decision.Reason)
	}
	started := g.Clock.Mono()
	return func() { g.done(started) }, decision, nil
}

// await returns the decision on a ticket that waits.
func (g *Gate) await(ctx context.Context, ticket Ticket, decided chan Decision) Decision {
	select {
	case decision := <-decided:
		return decision
	case <-ctx.Done():
	}
	g.mu.Lock()
	canceled := g.limiter.Cancel(ticket)
	delete(g.waiters, ticket.ID)
	g.mu.Unlock()
	if !canceled {
		if decision := <-decided; decision.Verdict == Start {
			g.done(g.Clock.Mono())
		}
	}
	reason := deadlinePassed
	if errors.Is(context.Cause(ctx), context.Canceled) {
		reason = callerCanceled
	}
	return Decision{Verdict: Refuse, Ticket: ticket, Reason: reason, RetryAfter: baseRetryAfter}
}

func (g *Gate) done(started clock.Millis) {
	now := g.Clock.Mono()
	g.mu.Lock()
	defer g.mu.Unlock()
	turns, refused := g.limiter.Done(now, now-started)
	g.startTickets(turns)
	g.deliver(refused)
	g.scheduleAdvance()
}

// scheduleAdvance has the queue advanced when the learnt rate allows its first request; mu is held.
func (g *Gate) scheduleAdvance() {
	at, ok := g.limiter.NextAdvance(g.Clock.Mono())
	if !ok {
		return
	}
	delay := at - g.Clock.Mono()
	if g.timer == nil {
		g.timer = g.Clock.AfterFunc(delay, g.advance)
		return
	}
	g.timer.Reset(delay.Duration())
}

func (g *Gate) advance() {
	g.mu.Lock()
	defer g.mu.Unlock()
	started, refused := g.limiter.Advance(g.Clock.Mono())
	g.startTickets(started)
	g.deliver(refused)
	g.scheduleAdvance()
}

// startTickets tells tickets that their turn has come; mu is held.
func (g *Gate) startTickets(tickets []Ticket) {
	decisions := make([]Decision, 0, len(tickets))
	for _, t := range tickets {
		decisions = append(decisions, g.limiter.describe(Decision{Verdict: Start, Ticket: t, Reason: "its turn has come"}))
	}
	g.deliver(decisions)
}

// deliver hands decisions to those who wait for them; mu is held.
func (g *Gate) deliver(decisions []Decision) {
	for _, d := range decisions {
		if decided, ok := g.waiters[d.Ticket.ID]; ok {
			decided <- d
			delete(g.waiters, d.Ticket.ID)
		}
	}
}
