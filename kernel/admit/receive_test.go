package admit

import (
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// arrival is a request that is being received.
type arrival struct {
	*Reservation
	givenUp bool
}

func receive(t *testing.T, b *MemoryBudget, now clock.Millis, by ident.Organisation) *arrival {
	t.Helper()
	a := &arrival{}
	r, ok := b.Receive(now, by, 0, func() { a.givenUp = true })
	if !ok {
		t.Fatal("a request without an expected answer is not received")
	}
	a.Reservation = r
	return a
}

func assertGrow(t *testing.T, a *arrival, now clock.Millis, size int64, want bool) {
	t.Helper()
	if got := a.Grow(now, size); got != want {
		t.Fatalf("grew by %d bytes: %v, want %v; %d reserved", size, got, want, a.budget.Reserved())
	}
	if want {
		a.Arrived(now, int(size))
	}
}

func assertGivenUp(t *testing.T, a *arrival, want bool) {
	t.Helper()
	if a.givenUp != want {
		t.Fatalf("given up: %v, want %v", a.givenUp, want)
	}
}

func TestReceive(t *testing.T) {
	const start = 10 * clock.Second
	t.Run("one request may take the whole budget", func(t *testing.T) {
		for _, by := range []ident.Organisation{"", "a"} {
			b := &MemoryBudget{Limit: 2 * mib}
			a := receive(t, b, start, by)
			assertGrow(t, a, start, mib, true)
			assertGrow(t, a, start, mib, true)
			assertGrow(t, a, start, 1, false)
		}
	})
	t.Run("a request that makes no progress gives way", func(t *testing.T) {
		b := &MemoryBudget{Limit: 2 * mib}
		stalled := receive(t, b, start, "")
		assertGrow(t, stalled, start, 2*mib, true)
		now := start + progressWindow
		other := receive(t, b, now, "")
		assertGrow(t, other, now, mib, true)
		assertGivenUp(t, stalled, true)
		assertGrow(t, stalled, now, 1, false)
		if stalled.Received() {
			t.Error("a request that was given up was received")
		}
		stalled.Release()
		if b.Reserved() != mib {
			t.Errorf("%d bytes reserved", b.Reserved())
		}
	})
}

func TestProgress(t *testing.T) {
	const start = 10 * clock.Second
	t.Run("a slow request that makes progress does not give way", func(t *testing.T) {
		b := &MemoryBudget{Limit: 2 * mib}
		slow := receive(t, b, start, "")
		assertGrow(t, slow, start, 64<<10, true)
		now := start
		for range 10 {
			now += progressWindow / 2
			slow.Arrived(now, leastRate)
		}
		other := receive(t, b, now, "")
		assertGrow(t, other, now, 2*mib, false)
		assertGivenUp(t, slow, false)
	})
	t.Run("one that trickles while it holds much gives way", func(t *testing.T) {
		b := &MemoryBudget{Limit: 2 * mib}
		trickling := receive(t, b, start, "")
		assertGrow(t, trickling, start, mib, true)
		now := start
		for range 10 {
			now += progressWindow / 2
			trickling.Arrived(now, leastRate)
		}
		other := receive(t, b, now, "")
		assertGrow(t, other, now, 2*mib, true)
		assertGivenUp(t, trickling, true)
	})
	t.Run("one that was received does not give way", func(t *testing.T) {
		b := &MemoryBudget{Limit: 2 * mib}
		whole := receive(t, b, start, "")
		assertGrow(t, whole, start, 2*mib, true)
		if !whole.Received() {
			t.Fatal("it was not received")
		}
		now := start + 10*progressWindow
		assertGrow(t, receive(t, b, now, ""), now, mib, false)
		assertGivenUp(t, whole, false)
	})
	t.Run("the one that holds the most goes first", func(t *testing.T) {
		b := &MemoryBudget{Limit: 3 * mib}
		small, large := receive(t, b, start, ""), receive(t, b, start, "")
		assertGrow(t, small, start, mib, true)
		assertGrow(t, large, start, 2*mib, true)
		now := start + progressWindow
		assertGrow(t, receive(t, b, now, ""), now, mib, true)
		assertGivenUp(t, small, false)
		assertGivenUp(t, large, true)
	})
}

func TestFit(t *testing.T) {
	const start = 10 * clock.Second
	b := &MemoryBudget{Limit: 4 * mib, AnswerLimit: 2 * mib}
	first, second, third := receive(t, b, start, ""), receive(t, b, start, ""), receive(t, b, start, "")
	for _, a := range []*arrival{first, second} {
		if !a.Fit(mib) {
			t.Fatal("a response does not fit that has room")
		}
	}
	if third.Fit(mib) || b.Reserved() != 2*mib {
		t.Errorf("a response fits that has no room; %d bytes reserved", b.Reserved())
	}
	if !third.Fit(alwaysAllowedBytes) {
		t.Error("a small response does not fit")
	}
	first.Release()
	second.Release()
	if !third.Fit(3 * mib) {
		t.Error("the only response does not fit")
	}
}
