package blobs

import "croftmoor.dev/kernel/clock"

const (
	// leastWindow, firstWindow and mostWindow are the bytes that reads under way may ask
	// for together: at least a few of the smallest, and at first some.
	leastWindow = 4 * leastRead
	firstWindow = 2 * leastWindow
	mostWindow  = 4 << 20
	// quickRead is the time of a read of a log that has room, also when it takes 60 times
	// its usual 4 ms, and slowRead that of one that has to share what there is. A log
	// that is slower than quickRead by itself is taken for one without room.
	quickRead = 300 * clock.Millis(1)
	slowRead  = 500 * clock.Millis(1)
	// windowReads is how many reads the window has room for at least.
	windowReads = 4
)

// window bounds the bytes of the reads under way by what comes in time: it grows while reads
// are quick, and is halved by one that is slow or fails. Without it, more reads than the link
// or the log can serve in their time all run out of it, and none brings anything. It is pure.
type window struct {
	bytes int
	used  int
}

// newWindow returns the window to begin with.
func newWindow() window { return window{bytes: firstWindow} }

// mostPerRead returns how much one read may ask for.
func (w *window) mostPerRead() int { return min(max(w.bytes/windowReads, leastRead), mostRead) }

// take begins a read if there is room for it.
func (w *window) take(bytes int) bool {
	if w.used > 0 && w.used+bytes > w.bytes {
		return false
	}
	w.used += bytes
	return true
}

// give ends a read's claim to room.
func (w *window) give(bytes int) { w.used -= bytes }

// learn adapts the window to a read that has ended.
func (w *window) learn(bytes int, took clock.Millis, ok bool) {
	switch {
	case !ok || took >= slowRead:
		w.bytes = max(w.bytes/2, leastWindow)
	case took < quickRead:
		w.bytes = min(w.bytes+bytes, mostWindow)
	}
}
