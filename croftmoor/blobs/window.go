package blobs

import "croftmoor.dev/kernel/clock"

const (
	// minWindowBytes, initialWindowBytes and maxWindowBytes bound the sum of the bytes that
	// running reads ask for.
	leastWindow = 4 * leastRead
	firstWindow = 2 * leastWindow
	mostWindow  = 4 << 20
	// A read faster than fastReadTime shows spare capacity and widens the window; one of
	// slowReadTime or longer shows congestion and halves it.
	quickRead = 300 * clock.Millis(1)
	slowRead  = 500 * clock.Millis(1)
	// minWindowReads is the number of reads of the largest size that fit into the window.
	windowReads = 4
)

// window is a congestion window: it limits the bytes that running reads ask for together. It
// grows while reads are fast, and a slow or failed read halves it. Without this limit, a link
// or log that is overloaded lets all reads time out. The store's mu guards it.
type window struct {
	bytes int
	used  int
}

func newWindow() window { return window{bytes: firstWindow} }

// readLimit returns the most bytes that one read may ask for.
func (w *window) mostPerRead() int { return min(max(w.bytes/windowReads, leastRead), mostRead) }

// tryAcquire reserves room for a read and reports whether there was enough. A read of any
// size fits into an empty window, so that it can always run.
func (w *window) take(bytes int) bool {
	if w.used > 0 && w.used+bytes > w.bytes {
		return false
	}
	w.used += bytes
	return true
}

// release returns the room of a read.
func (w *window) give(bytes int) { w.used -= bytes }

// update adapts the window to a read that has ended.
func (w *window) learn(bytes int, took clock.Millis, ok bool) {
	switch {
	case !ok || took >= slowRead:
		w.bytes = max(w.bytes/2, leastWindow)
	case took < quickRead:
		w.bytes = min(w.bytes+bytes, mostWindow)
	}
}
