package admit

import (
	"cmp"
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// Request is the part of a request that decides its place in the queue.
type Request struct {
	// Organisation may be empty; such requests share as one organisation.
	Organisation ident.Organisation
	// Priority orders requests before everything else; 0 is the highest.
	Priority int
	// StartBy is the latest useful start; a request that cannot start by then is refused.
	// For a Limiter with Adaptive it is when the response is due: Offer subtracts the mean
	// latency of a call.
	StartBy clock.Millis
	// Deadline is when the caller stops waiting.
	Deadline clock.Millis
}

// Ticket is a request with its ID in the queue.
type Ticket struct {
	Request
	ID int64
	// virtualStart is the fair-queueing start tag, compared within a priority.
	virtualStart float64
}

// maxOrganisations is the number of entries at which nextStart is pruned.
const maxOrganisations = 4096

// fairQueue holds the waiting requests in the order in which they start: by priority, then
// by start-time fair queueing between organisations. An organisation that sends more than
// its share gets later and later virtual starts, so its own requests are the ones that
// miss their start time.
type fairQueue struct {
	waiting []Ticket
	// nextStart is the earliest virtual start of each organisation's next request.
	nextStart map[ident.Organisation]float64
	// virtualTime is the latest virtual start of the started requests.
	virtualTime float64
	// newestFirst serves the requests of one organisation by the latest deadline first
	// instead of the earliest. Under overload the oldest requests are late anyway, and
	// serving them first makes the new ones late too.
	newestFirst bool
	// returnedLast lets requests of one organisation that have less time left than others go
	// behind them: their callers were refused before and are late whatever happens.
	returnedLast bool
}

// assignStart returns the virtual start of a new request of an organisation.
func (q *fairQueue) assignStart(organisation ident.Organisation) float64 {
	if q.nextStart == nil || len(q.nextStart) >= maxOrganisations {
		q.nextStart = q.overShareStarts()
	}
	start := max(q.virtualTime, q.nextStart[organisation])
	q.nextStart[organisation] = start + 1
	return start
}

// overShareStarts returns the entries of nextStart that still matter: those of the
// organisations over their fair share.
func (q *fairQueue) overShareStarts() map[ident.Organisation]float64 {
	kept := map[ident.Organisation]float64{}
	for organisation, next := range q.nextStart {
		if next > q.virtualTime {
			kept[organisation] = next
		}
	}
	return kept
}

// isOverShare reports whether an organisation is over its fair share: its next request
// would wait behind those of organisations that have requested less.
func (q *fairQueue) isOverShare(organisation ident.Organisation) bool {
	return q.nextStart[organisation] > q.virtualTime
}

// startImmediately accounts for a request that starts without waiting.
func (q *fairQueue) startImmediately(organisation ident.Organisation) {
	q.virtualTime = q.assignStart(organisation)
}

// insert adds a request. Within one organisation and priority it reassigns the virtual
// starts so that their order follows precedes.
func (q *fairQueue) insert(t Ticket) {
	t.virtualStart = q.assignStart(t.Organisation)
	for i := range q.waiting {
		waiter := &q.waiting[i]
		if waiter.sameFlow(t) && q.precedes(t, *waiter) {
			waiter.virtualStart, t.virtualStart = t.virtualStart, waiter.virtualStart
			*waiter, t = t, *waiter
		}
	}
	at, _ := slices.BinarySearchFunc(q.waiting, t, compareTickets)
	q.waiting = slices.Insert(q.waiting, at, t)
}

// precedes reports which of two requests of one organisation goes first.
func (q *fairQueue) precedes(a, b Ticket) bool {
	if q.newestFirst {
		return a.Deadline > b.Deadline
	}
	if q.returnedLast {
		if slack := a.slack() - b.slack(); slack > returnedAfter || slack < -returnedAfter {
			return slack > 0
		}
	}
	return a.Deadline < b.Deadline
}

// returnedAfter is how much less time a request must have left than another to count as
// returned.
const returnedAfter = 100 * clock.Millis(1)

// slack returns how long the caller goes on waiting after the latest useful start.
func (t *Ticket) slack() clock.Millis { return t.Deadline - t.StartBy }

// sameFlow reports whether two requests have the same organisation and priority.
func (t *Ticket) sameFlow(other Ticket) bool {
	return t.Organisation == other.Organisation && t.Priority == other.Priority
}

func compareTickets(a, b Ticket) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.virtualStart, b.virtualStart), cmp.Compare(a.ID, b.ID))
}

// pop removes the first request and advances the virtual time to its start.
func (q *fairQueue) pop() Ticket {
	first := q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	q.virtualTime = max(q.virtualTime, first.virtualStart)
	return first
}

// remove removes the request at an index without charging its organisation: each later
// request of the same flow takes over the virtual start before its own.
func (q *fairQueue) remove(at int) Ticket {
	removed := q.waiting[at]
	q.waiting = slices.Delete(q.waiting, at, at+1)
	freeStart := removed.virtualStart
	for i := range q.waiting {
		if waiter := &q.waiting[i]; waiter.sameFlow(removed) && waiter.virtualStart > freeStart {
			waiter.virtualStart, freeStart = freeStart, waiter.virtualStart
		}
	}
	q.nextStart[removed.Organisation]--
	slices.SortFunc(q.waiting, compareTickets)
	return removed
}

// find returns the index of a request, or -1.
func (q *fairQueue) find(id int64) int {
	return slices.IndexFunc(q.waiting, func(t Ticket) bool { return t.ID == id })
}
