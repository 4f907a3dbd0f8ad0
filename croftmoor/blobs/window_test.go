package blobs

import (
	"testing"

	"croftmoor.dev/kernel/clock"
)

func wantWindow(t *testing.T, w window, want int) {
	t.Helper()
	if w.bytes != want {
		t.Errorf("a window of %d bytes, want %d", w.bytes, want)
	}
}

func TestWindow(t *testing.T) {
	cases := []struct {
		name string
		took clock.Millis
		ok   bool
		want int
	}{
		{"quick reads widen it", 60, true, firstWindow + leastRead},
		{"a log at sixty times its time is quick enough", 240, true, firstWindow + leastRead},
		{"others leave it", quickRead, true, firstWindow},
		{"slow reads halve it", slowRead, true, firstWindow / 2},
		{"reads that fail as well", 5, false, firstWindow / 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWindow()
			w.take(leastRead)
			w.give(leastRead)
			w.learn(leastRead, tc.took, tc.ok)
			wantWindow(t, w, tc.want)
		})
	}
	t.Run("it has bounds", func(t *testing.T) {
		w := newWindow()
		for range 1000 {
			w.take(mostRead)
			w.give(mostRead)
			w.learn(mostRead, 1, true)
		}
		wantWindow(t, w, mostWindow)
		for range 1000 {
			w.take(leastRead)
			w.give(leastRead)
			w.learn(leastRead, readTimeout, false)
		}
		wantWindow(t, w, leastWindow)
	})
	t.Run("it is full when its bytes are under way, and has room for one read of any size", func(t *testing.T) {
		w := newWindow()
		if !w.take(2*firstWindow) || w.take(1) {
			t.Error("want room for one large read, and none beside it")
		}
	})
}
