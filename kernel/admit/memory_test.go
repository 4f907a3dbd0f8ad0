package admit

import (
	"testing"

	"croftmoor.dev/kernel/ident"
)

const mib = 1 << 20

func assertReserve(t *testing.T, b *MemoryBudget, by ident.Organisation, size int64, want bool) *Reservation {
	t.Helper()
	h, ok := b.Reserve(by, size)
	if ok != want {
		t.Fatalf("%d bytes for %s: reserved %v, want %v; %d reserved in total", size, by, ok, want, b.Reserved())
	}
	return h
}

func TestBytes(t *testing.T) {
	t.Run("one organisation leaves half to the others", func(t *testing.T) {
		b := &MemoryBudget{Limit: 16 * mib}
		for range 8 {
			assertReserve(t, b, "a", mib, true)
		}
		assertReserve(t, b, "a", mib, false)
		assertReserve(t, b, "b", 4*mib, true)
		assertReserve(t, b, "c", mib, true)
	})
	t.Run("what is small is always taken", func(t *testing.T) {
		b := &MemoryBudget{Limit: mib}
		assertReserve(t, b, "a", mib/2, true)
		assertReserve(t, b, "a", mib/2, false)
		assertReserve(t, b, "a", alwaysAllowedBytes, true)
	})
	t.Run("what ends is free again", func(t *testing.T) {
		b := &MemoryBudget{Limit: 2 * mib}
		h := assertReserve(t, b, "a", mib, true)
		h.Resize(2 * mib)
		assertReserve(t, b, "b", mib, false)
		h.Release()
		if b.Reserved() != 0 {
			t.Fatalf("%d bytes still reserved", b.Reserved())
		}
		assertReserve(t, b, "b", mib, true)
	})
	t.Run("answers are expected to be as large as the last to the same target", func(t *testing.T) {
		b := &MemoryBudget{}
		b.RecordSize(Target{Route: "r", Path: "/long"}, 10*mib)
		if long, other := b.ExpectedSize(Target{Route: "r", Path: "/long"}), b.ExpectedSize(Target{Route: "r", Path: "/x"}); long != 10*mib || other != mib {
			t.Fatalf("expected sizes %d and %d", long, other)
		}
	})
}
