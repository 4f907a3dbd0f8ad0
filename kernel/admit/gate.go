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

// Gate makes requests of one class, or to one service, wait until a Limiter admits them.
// Set the exported fields before use. The other fields are guarded by mu.
type Gate struct {
	Clock *clock.Clock
	// Adaptive is the learned rate limit; nil is no limit. SetLimits applies it.
	Adaptive *AdaptiveLimiter

	mu      sync.Mutex
	limiter Limiter
	waiters waiters
	timer   *time.Timer
}

// waiters are the channels of the tickets that wait for a decision.
type waiters map[int64]chan Decision

// add returns the channel of a ticket that waits.
func (w *waiters) add(t Ticket) chan Decision {
	if *w == nil {
		*w = waiters{}
	}
	decided := make(chan Decision, 1)
	(*w)[t.ID] = decided
	return decided
}

// deliver sends decisions to the goroutines that wait for them.
func (w waiters) deliver(decisions []Decision) {
	for _, d := range decisions {
		if decided, ok := w[d.Ticket.ID]; ok {
			decided <- d
			delete(w, d.Ticket.ID)
		}
	}
}

// withdrawn is the decision on a request whose context has ended.
func withdrawn(ctx context.Context, ticket Ticket) Decision {
	reason := deadlinePassed
	if errors.Is(context.Cause(ctx), context.Canceled) {
		reason = callerCanceled
	}
	return Decision{Verdict: Refuse, Ticket: ticket, Reason: reason, RetryAfter: baseRetryAfter}
}

// SetLimits sets the limits: rate in requests per second, the numbers of running and of
// waiting requests. Requests that already run or wait are not affected.
func (g *Gate) SetLimits(rate float64, concurrency, queue int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Rate = rate
	g.limiter.Concurrency = concurrency
	g.limiter.MaxQueued = queue
	g.limiter.Adaptive = g.Adaptive
}

// Load returns the numbers of running and of waiting requests.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.Running(), g.limiter.Waiting()
}

// Rate returns the learned rate limit in requests per second; 0 is no limit.
func (g *Gate) Rate() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Adaptive == nil {
		return 0
	}
	return g.Adaptive.Rate()
}

// Observe updates the learned rate limit from a backend server's response. Adaptive must
// not be nil.
func (g *Gate) Observe(s Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Adaptive.Observe(g.Clock.Mono(), s)
}

// CountSend counts a request that an Allocator admitted; see AdaptiveLimiter.CountSend.
func (g *Gate) CountSend() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Adaptive.CountSend(g.Clock.Mono())
}

// RetryAfter returns the retry delay for a caller that was admitted but found the backend
// servers full.
func (g *Gate) RetryAfter(organisation ident.Organisation) clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.RetryAfter(g.Clock.Mono(), organisation)
}

// Enter waits until the request may start. On success the caller must call leave once. On
// a refusal it returns an error of kind Refused and the decision with its RetryAfter.
func (g *Gate) Enter(ctx context.Context, request Request) (leave func(), decision Decision, err error) {
	g.mu.Lock()
	decision, refused := g.limiter.Offer(g.Clock.Mono(), request)
	var decided chan Decision
	if decision.Verdict == Wait {
		decided = g.waiters.add(decision.Ticket)
	}
	g.waiters.deliver(refused)
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

// await returns the decision on a waiting ticket. It cancels the ticket when ctx ends.
func (g *Gate) await(ctx context.Context, ticket Ticket, decided chan Decision) Decision {
	return awaitDecision(ctx, ticket, decided, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.waiters, ticket.ID)
		return g.limiter.Cancel(ticket)
	}, func(Decision) { g.done(g.Clock.Mono()) })
}

// awaitDecision returns the decision on a waiting ticket. When ctx ends it calls cancel, which
// reports whether the ticket was still waiting; if it was started meanwhile, it calls end.
func awaitDecision(ctx context.Context, ticket Ticket, decided <-chan Decision, cancel func() bool, end func(Decision)) Decision {
	select {
	case decision := <-decided:
		return decision
	case <-ctx.Done():
	}
	if !cancel() {
		if decision := <-decided; decision.Verdict == Start {
			end(decision)
		}
	}
	return withdrawn(ctx, ticket)
}

func (g *Gate) done(startedAt clock.Millis) {
	now := g.Clock.Mono()
	g.mu.Lock()
	defer g.mu.Unlock()
	started, refused := g.limiter.Done(now, now-startedAt)
	g.startTickets(started)
	g.waiters.deliver(refused)
	g.scheduleAdvance()
}

// scheduleAdvance sets the timer to the time at which the learned rate allows the first
// waiting request; the caller holds mu.
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
	g.waiters.deliver(refused)
	g.scheduleAdvance()
}

// startTickets delivers a Start decision on each ticket; the caller holds mu.
func (g *Gate) startTickets(tickets []Ticket) {
	decisions := make([]Decision, 0, len(tickets))
	for _, t := range tickets {
		decisions = append(decisions, g.limiter.describe(Decision{Verdict: Start, Ticket: t, Reason: "its turn has come"}))
	}
	g.waiters.deliver(decisions)
}
