package usage

import (
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

const (
	// soonTerm is when a window is settled if every instance could write what it saw:
	// a call of a second and a half, a flush, and a write that is repeated.
	soonTerm = 3 * clock.Second
	// sendTerm is what is left of the time until a report is due once its window is
	// settled at the latest: several tries at an API that is away for 2 s.
	sendTerm = 2500 * clock.Millis(1)
	// steadyTerm is how long the log must have answered again before counts that
	// waited for it are known to be in.
	steadyTerm = 1500 * clock.Millis(1)
	// missedTerm is the silence after which an instance may hold back counts, and
	// goneTerm that after which it will write none any more.
	missedTerm = 1500 * clock.Millis(1)
	goneTerm   = 10 * clock.Second
	// reachBack is how many windows before one must be known for its own records to be
	// all there: what is told of a window comes within 30 s, the longest cut and a margin.
	reachBack = 6
)

// settles tells whether a window's sum is settled so long after its end: soon if
// nobody can still hold back counts, else as late as leaves time to report it. A cut
// of a zone takes some 5.5 s on the users' deployments: its counts of the window's
// last seconds come within the time that is waited.
func settles(after, due clock.Millis, whole bool) bool {
	if whole {
		return after >= min(soonTerm, due-sendTerm)
	}
	return after >= due-sendTerm
}

// allHeard tells whether every instance that may have counted has been heard lately.
func allHeard(b *jobs.State, now clock.Millis) bool {
	for _, m := range b.Members {
		silence := now - m.LastHeard
		if !m.Superseded && !m.Leaving && silence > missedTerm && silence < goneTerm {
			return false
		}
	}
	return true
}

// wholeHistory tells whether all records of a window are known to have been read. They
// are if nothing was found to be missing, if the window began after that was found, or if
// the history that is left reaches back far enough.
func wholeHistory(b *jobs.State, w ident.Window, missing bool, foundIn ident.Window) bool {
	if !missing || w > foundIn {
		return true
	}
	for known := range b.Usage {
		if known <= w-reachBack {
			return true
		}
	}
	return false
}
