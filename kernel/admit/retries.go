package admit

import "croftmoor.dev/kernel/clock"

const (
	// minRetryDelay lets the caller reach another instance, which may have capacity, while
	// its deadline can still be met.
	minRetryDelay = 10 * clock.Millis(1)
	// maxRetryDelay bounds the delay: the load further ahead cannot be predicted.
	maxRetryDelay = 5 * clock.Second
)

// retrySchedule spreads the retries of refused callers over time. With one fixed delay they
// would retry together and be refused together.
type retrySchedule struct {
	// nextFree is the earliest time that is not assigned to a caller.
	nextFree clock.Millis
	// fraction is the part of a millisecond beyond nextFree.
	fraction float64
}

// assignDelay returns the retry delay of a caller, spaced at rate requests per second.
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
