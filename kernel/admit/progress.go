package admit

import "croftmoor.dev/kernel/clock"

const (
	// progressWindow is the span over which the rate of an arriving request is taken, and for which
	// nothing of it may come before it counts as stalled.
	progressWindow = 2 * clock.Second
	// leastRate, in bytes a second, is below what the slowest link carries on which a caller can
	// be answered in time.
	leastRate = 4 << 10
	// longestArrival is how long a request may take for what has arrived of it, at its latest rate:
	// callers wait no longer.
	longestArrival = 30 * clock.Second
)

// progress is the rate at which a request arrives.
type progress struct {
	// since is when the window began, bytes are those that have arrived in it, latest is when the
	// last ones did.
	since, latest clock.Millis
	bytes         int64
	// rate is that of the window before, in bytes a second; known is whether there is one.
	rate  int64
	known bool
}

// add counts bytes that have arrived.
func (p *progress) add(now clock.Millis, bytes int) {
	if span := now - p.since; span >= progressWindow {
		*p = progress{since: now, rate: p.bytes * int64(clock.Second) / int64(span), known: true}
	}
	p.bytes += int64(bytes)
	p.latest = now
}

// stalled reports whether a request of which size bytes are held arrives more slowly than it must.
func (p *progress) stalled(now clock.Millis, size int64) bool {
	required := max(leastRate, size*int64(clock.Second)/int64(longestArrival))
	return now-p.latest >= progressWindow || p.known && p.rate < required
}
