package lanes

import (
	"testing"

	"croftmoor.dev/kernel/clock"
)

func assertWidth(t *testing.T, w *Width, own int, now clock.Millis, low, high int) {
	t.Helper()
	const instances, engines, slots = 10, 12, 8
	got := w.Engines(own, instances, engines, slots, now)
	if got < low || got > high {
		t.Fatalf("at %d ms with %d own requests: %d engines, want %d to %d", now, own, got, low, high)
	}
}

func TestWidth(t *testing.T) {
	t.Run("it widens quickly and narrows slowly", func(t *testing.T) {
		w := &Width{}
		assertWidth(t, w, 2, 0, 1, 1)
		assertWidth(t, w, 2, 1000, 6, 6)
		assertWidth(t, w, 6, 1100, 8, 12)
		assertWidth(t, w, 6, 2000, 12, 12)
		assertWidth(t, w, 0, 2500, 11, 12)
		assertWidth(t, w, 0, 40_000, 1, 1)
	})
}
