package admit

import (
	"context"
	"testing"

	"croftmoor.dev/kernel/clock"
)

func assertVerdict(t *testing.T, d Decision, want Verdict, reason string) {
	t.Helper()
	if d.Verdict != want || (reason != "" && d.Reason != reason) {
		t.Fatalf("%s %q, want %s %q", d.Verdict, d.Reason, want, reason)
	}
}

func TestLimiter(t *testing.T) {
	t.Run("the earliest deadline goes first", func(t *testing.T) {
		l := &Limiter{Rate: 1000, Concurrency: 1, Queue: 10}
		assertVerdict(t, l.Offer(1, 1000), Start, "")
		late := l.Offer(1, 900)
		soon := l.Offer(1, 500)
		assertVerdict(t, late, Wait, "")
		started, _ := l.Done(10, 5)
		if len(started) != 1 || started[0].ID != soon.Ticket.ID {
			t.Fatalf("started %v, want %v", started, soon.Ticket)
		}
	})
	t.Run("what can't be in time is refused at once", func(t *testing.T) {
		l := &Limiter{Rate: 1000, Concurrency: 1, Queue: 100}
		l.Offer(1, 1000)
		for range 5 {
			l.Offer(1, 1000)
		}
		d := l.Offer(1, 400)
		assertVerdict(t, d, Wait, "")
		for range 20 {
			l.Offer(1, 300)
		}
		d = l.Offer(1, 310)
		assertVerdict(t, d, Refuse, TooLate)
		if d.RetryAfter <= 0 {
			t.Fatal("a refusal must say when to come back")
		}
	})
	t.Run("over the rate and with a full queue", func(t *testing.T) {
		l := &Limiter{Rate: 2, Concurrency: 10, Queue: 10}
		l.Offer(1, 1000)
		l.Offer(1, 1000)
		assertVerdict(t, l.Offer(1, 1000), Refuse, OverRate)
		assertVerdict(t, l.Offer(1001, 2000), Start, "")
		full := &Limiter{Rate: 100, Concurrency: 1, Queue: 0}
		full.Offer(1, 1000)
		assertVerdict(t, full.Offer(1, 1000), Refuse, QueueFull)
	})
	t.Run("waiters whose deadline has passed are told so", func(t *testing.T) {
		l := &Limiter{Rate: 100, Concurrency: 1, Queue: 5}
		l.Offer(1, 1000)
		l.Offer(1, 50)
		started, expired := l.Done(60, 59)
		if len(started) != 0 || len(expired) != 1 {
			t.Fatalf("started %v, expired %v", started, expired)
		}
	})
}

func TestGate(t *testing.T) {
	g := &Gate{Clock: clock.New()}
	g.Limit(1000, 1, 5)
	leave, _, err := g.Enter(context.Background(), g.Clock.Mono()+clock.Minute)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, _, err := g.Enter(ctx, g.Clock.Mono()+clock.Minute); err == nil {
		t.Fatal("a caller that has gone was let in")
	}
	leave()
	running, waiting := g.Load()
	if running != 0 || waiting != 0 {
		t.Fatalf("%d running, %d waiting", running, waiting)
	}
}
