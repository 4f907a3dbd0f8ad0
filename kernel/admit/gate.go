package admit

import (
	"context"
	"sync"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
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

// Gate lets requests of one class through a Limiter. Its state is guarded by mu.
type Gate struct {
	Clock *clock.Clock

	mu      sync.Mutex
	limiter Limiter
	turns   map[int64]chan bool
}

// Limit sets the limits; requests that run or wait stay.
func (g *Gate) Limit(rate float64, concurrency, queue int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Rate = rate
	g.limiter.Concurrency = concurrency
	g.limiter.Queue = queue
}

// Load returns how many requests run and wait.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.Running(), g.limiter.Waiting()
}

// Enter waits for the request's turn. On success the caller must call leave
// once. The decision of a refusal tells when to come back.
func (g *Gate) Enter(ctx context.Context, deadline clock.Millis) (leave func(), decision Decision, err error) {
	now := g.Clock.Mono()
	g.mu.Lock()
	decision = g.limiter.Offer(now, deadline)
	var turn chan bool
	if decision.Verdict == Wait {
		turn = make(chan bool, 1)
		if g.turns == nil {
			g.turns = map[int64]chan bool{}
		}
		g.turns[decision.Ticket.ID] = turn
	}
	g.mu.Unlock()
	if decision.Verdict == Refuse {
		return nil, decision, fault.New("admit.Enter", Refused, decision.Reason)
	}
	if decision.Verdict == Wait && !g.await(ctx, decision.Ticket, turn) {
		decision = Decision{Verdict: Refuse, Reason: deadlineNow, RetryAfter: leastWait}
		return nil, decision, fault.New("admit.Enter", Refused, deadlineNow)
	}
	started := g.Clock.Mono()
	return func() { g.done(started) }, decision, nil
}

// await returns true once the ticket's turn has come.
func (g *Gate) await(ctx context.Context, ticket Ticket, turn chan bool) bool {
	select {
	case mine := <-turn:
		return mine
	case <-ctx.Done():
	}
	g.mu.Lock()
	left := g.limiter.Leave(ticket)
	delete(g.turns, ticket.ID)
	g.mu.Unlock()
	if !left && <-turn {
		g.done(g.Clock.Mono())
	}
	return false
}

func (g *Gate) done(started clock.Millis) {
	now := g.Clock.Mono()
	g.mu.Lock()
	defer g.mu.Unlock()
	turns, expired := g.limiter.Done(now, now-started)
	g.tell(turns, true)
	g.tell(expired, false)
}

func (g *Gate) tell(tickets []Ticket, mine bool) {
	for _, t := range tickets {
		if turn, ok := g.turns[t.ID]; ok {
			turn <- mine
			delete(g.turns, t.ID)
		}
	}
}
