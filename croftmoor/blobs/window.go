package blobs

import "croftmoor.dev/kernel/clock"

const (
	// minWindowBytes and maxWindowBytes bound the window's limit; initialWindowBytes is its
	// first value.
	minWindowBytes     = 4 * minReadBytes
	initialWindowBytes = 2 * minWindowBytes
	maxWindowBytes     = 4 << 20
	// A read faster than fastReadTime shows spare capacity and widens the window; one of
	// slowReadTime or longer shows congestion and halves it. A log that takes sixty times its
	// usual 4 ms is still faster than fastReadTime. A log whose own latency is at
	// least fastReadTime cannot widen the window; at slowReadTime it counts as congested.
	fastReadTime = 300 * clock.Millis(1)
	slowReadTime = 500 * clock.Millis(1)
	// minWindowReads is the least number of reads of readLimit bytes that fit into the window.
	minWindowReads = 4
)

// window is a congestion window: it limits the bytes that running reads ask for together,
// except those of reads that have run longer than slowReadTime. It grows while reads are fast,
// and a slow or failed read halves it. Without this limit, all reads of an overloaded link or
// log time out. The store's mu guards it.
type window struct {
	limit int
	inUse int
}

func newWindow() window { return window{limit: initialWindowBytes} }

// readLimit returns the most bytes that one read may ask for.
func (w *window) readLimit() int { return min(max(w.limit/minWindowReads, minReadBytes), maxReadBytes) }

// tryAcquire reserves room for a read and reports whether there was enough. A read of any
// size fits into an empty window, so that it can always run.
func (w *window) tryAcquire(bytes int) bool {
	if w.inUse > 0 && w.inUse+bytes > w.limit {
		return false
	}
	w.inUse += bytes
	return true
}

// release frees the room of a read.
func (w *window) release(bytes int) { w.inUse -= bytes }

// update adapts the window to a read that has ended.
func (w *window) update(bytes int, latency clock.Millis, ok bool) {
	switch {
	case !ok || latency >= slowReadTime:
		w.limit = max(w.limit/2, minWindowBytes)
	case latency < fastReadTime:
		w.limit = min(w.limit+bytes, maxWindowBytes)
	}
}
