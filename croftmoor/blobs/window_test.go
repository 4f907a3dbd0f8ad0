package blobs

import (
	"testing"

	"croftmoor.dev/kernel/clock"
)

func wantWindow(t *testing.T, w window, want int) {
	t.Helper()
	if w.limit != want {
		t.Errorf("a window of %d bytes, want %d", w.limit, want)
	}
}

func TestWindow(t *testing.T) {
	cases := []struct {
		name    string
		latency clock.Millis
		ok      bool
		want    int
	}{
		{"quick reads widen it", 60, true, initialWindowBytes + minReadBytes},
		{"a log at sixty times its time is quick enough", 240, true, initialWindowBytes + minReadBytes},
		{"others leave it", fastReadTime, true, initialWindowBytes},
		{"slow reads halve it", slowReadTime, true, initialWindowBytes / 2},
		{"reads that fail as well", 5, false, initialWindowBytes / 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWindow()
			w.tryAcquire(minReadBytes)
			w.release(minReadBytes)
			w.update(minReadBytes, tc.latency, tc.ok)
			wantWindow(t, w, tc.want)
		})
	}
	t.Run("it has bounds", func(t *testing.T) {
		w := newWindow()
		for range 1000 {
			w.tryAcquire(maxReadBytes)
			w.release(maxReadBytes)
			w.update(maxReadBytes, 1, true)
		}
		wantWindow(t, w, maxWindowBytes)
		for range 1000 {
			w.tryAcquire(minReadBytes)
			w.release(minReadBytes)
			w.update(minReadBytes, readTimeout, false)
		}
		wantWindow(t, w, minWindowBytes)
	})
	t.Run("it is full when its bytes are under way, and has room for one read of any size", func(t *testing.T) {
		w := newWindow()
		if !w.tryAcquire(2*initialWindowBytes) || w.tryAcquire(1) {
			t.Error("want room for one large read, and none beside it")
		}
	})
}
