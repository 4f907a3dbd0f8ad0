package admit

import "croftmoor.dev/kernel/clock"

const (
	// minRetryDelay is the least time that a caller is told: it comes to another instance,
	// which may have room now, and is still in time if it comes at once.
	minRetryDelay = 10 * clock.Millis(1)
	// maxRetryDelay bounds the time that a caller is told: further ahead nothing is known of
	// the load.
	maxRetryDelay = 5 * clock.Second
)

// retrySchedule spreads refused callers over the time to come. It answers the wave of callers
// who, told one fixed time, come back together and are refused together again.
type retrySchedule struct {
	// nextFree is the nextFree moment that is not given to anybody.
	nextFree clock.Millis
	// fraction is the fraction of a millisecond beyond next.
	fraction float64
}

// assignDelay returns in how long a caller should come back, one assignDelay the other at the rate,
// in requests a second.
func (r *retrySchedule) assignDelay(now clock.Millis, rate float64) clock.Millis {
	earliest := now + minRetryDelay
	if r.nextFree < earliest {
		r.nextFree, r.fraction = earliest, 0
	}
	assigned := r.nextFree
	r.fraction += float64(clock.Second) / max(rate, 1)
	r.nextFree += clock.Millis(r.fraction)
	r.fraction -= float64(clock.Millis(r.fraction))
	r.nextFree = min(r.nextFree, now+maxRetryDelay)
	return assigned - now
}
