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

// requestUntil returns a request without an organisation that must start by its deadline.
func requestUntil(deadline clock.Millis) Request {
	return Request{StartBy: deadline, Deadline: deadline}
}

func offer(l *Limiter, now, deadline clock.Millis) Decision {
	d, _ := l.Offer(now, requestUntil(deadline))
	return d
}

func TestLimiter(t *testing.T) {
	t.Run("the earliest deadline goes first", func(t *testing.T) {
		l := &Limiter{Rate: 1000, Concurrency: 1, MaxQueued: 10}
		assertVerdict(t, offer(l, 1, 1000), Start, "")
		late := offer(l, 1, 900)
		soon := offer(l, 1, 500)
		assertVerdict(t, late, Wait, "")
		started, _ := l.Done(10, 5)
		if len(started) != 1 || started[0].ID != soon.Ticket.ID {
			t.Fatalf("started %v, want %v", started, soon.Ticket)
		}
	})
	t.Run("what can't be in time is refused at once", func(t *testing.T) {
		l := &Limiter{Rate: 1000, Concurrency: 1, MaxQueued: 100}
		offer(l, 1, 1000)
		for range 5 {
			offer(l, 1, 1000)
		}
		d := offer(l, 1, 400)
		assertVerdict(t, d, Wait, "")
		// 15 requests can start within 300 ms at 20 ms each.
		refused := 0
		for range 20 {
			if d = offer(l, 1, 301); d.Verdict == Refuse {
				assertVerdict(t, d, Refuse, TooLate)
				refused++
			}
			if d.Verdict == Refuse && d.RetryAfter <= 0 {
				t.Fatal("refusal without a RetryAfter")
			}
		}
		if refused != 5 || l.Waiting() != 15+1+5 {
			t.Fatalf("%d refused, %d waiting", refused, l.Waiting())
		}
	})
	t.Run("those whom an urgent one makes late are refused at once", func(t *testing.T) {
		l := &Limiter{Rate: 1000, Concurrency: 1, MaxQueued: 100}
		offer(l, 1, 1000)
		last := offer(l, 1, 21)
		assertVerdict(t, last, Wait, "")
		first, refused := l.Offer(1, Request{StartBy: 500, Deadline: 20})
		assertVerdict(t, first, Wait, "")
		if len(refused) != 1 || refused[0].Ticket.ID != last.Ticket.ID || refused[0].RetryAfter <= 0 {
			t.Fatalf("refused %v", refused)
		}
	})
	t.Run("over the rate and with a full queue", func(t *testing.T) {
		l := &Limiter{Rate: 2, Concurrency: 10, MaxQueued: 10}
		offer(l, 1, 1000)
		offer(l, 1, 1000)
		assertVerdict(t, offer(l, 1, 1000), Refuse, OverRate)
		assertVerdict(t, offer(l, 1001, 2000), Start, "")
		full := &Limiter{Rate: 100, Concurrency: 1, MaxQueued: 0}
		offer(full, 1, 1000)
		assertVerdict(t, offer(full, 1, 1000), Refuse, QueueFull)
	})
	t.Run("waiters whose deadline has passed are told so", func(t *testing.T) {
		l := &Limiter{Rate: 100, Concurrency: 1, MaxQueued: 5}
		offer(l, 1, 1000)
		offer(l, 1, 50)
		started, expired := l.Done(60, 59)
		if len(started) != 0 || len(expired) != 1 {
			t.Fatalf("started %v, expired %v", started, expired)
		}
	})
}

func TestGate(t *testing.T) {
	g := &Gate{Clock: clock.New()}
	g.SetLimits(1000, 1, 5)
	leave, _, err := g.Enter(context.Background(), requestUntil(g.Clock.Mono()+clock.Minute))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, _, err := g.Enter(ctx, requestUntil(g.Clock.Mono()+clock.Minute)); err == nil {
		t.Fatal("a canceled caller was admitted")
	}
	leave()
	running, waiting := g.Load()
	if running != 0 || waiting != 0 {
		t.Fatalf("%d running, %d waiting", running, waiting)
	}
}
