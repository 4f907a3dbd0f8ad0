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
	// StartBy is the latest useful start. A request that cannot start by then is refused.
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
}

// assignStart returns the virtual start of a new request of an organisation.
func (l *fairQueue) assignStart(organisation ident.Organisation) float64 {
	if l.nextStart == nil || len(l.nextStart) >= maxOrganisations {
		l.nextStart = l.overShareStarts()
	}
	start := max(l.virtualTime, l.nextStart[organisation])
	l.nextStart[organisation] = start + 1
	return start
}

// overShareStarts returns the entries of nextStart that still matter: those of the
// organisations over their fair share.
func (l *fairQueue) overShareStarts() map[ident.Organisation]float64 {
	kept := map[ident.Organisation]float64{}
	for organisation, next := range l.nextStart {
		if next > l.virtualTime {
			kept[organisation] = next
		}
	}
	return kept
}

// isOverShare reports whether an organisation is over its fair share: its next request
// would wait behind those of organisations that have requested less.
func (l *fairQueue) isOverShare(organisation ident.Organisation) bool {
	return l.nextStart[organisation] > l.virtualTime
}

// startImmediately accounts for a request that starts without waiting.
func (l *fairQueue) startImmediately(organisation ident.Organisation) {
	l.virtualTime = l.assignStart(organisation)
}

// insert adds a request. Within one organisation and priority it reassigns the virtual
// starts so that their order follows precedes.
func (l *fairQueue) insert(t Ticket) {
	t.virtualStart = l.assignStart(t.Organisation)
	for i := range l.waiting {
		waiter := &l.waiting[i]
		if waiter.sameFlow(t) && l.precedes(t, *waiter) {
			waiter.virtualStart, t.virtualStart = t.virtualStart, waiter.virtualStart
			*waiter, t = t, *waiter
		}
	}
	at, _ := slices.BinarySearchFunc(l.waiting, t, compareTickets)
	l.waiting = slices.Insert(l.waiting, at, t)
}

// precedes reports which of two requests of one organisation goes first.
func (l *fairQueue) precedes(a, b Ticket) bool {
	if l.newestFirst {
		return a.Deadline > b.Deadline
	}
	return a.Deadline < b.Deadline
}

// sameFlow reports whether two requests have the same organisation and priority.
func (t *Ticket) sameFlow(other Ticket) bool {
	return t.Organisation == other.Organisation && t.Priority == other.Priority
}

func compareTickets(a, b Ticket) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.virtualStart, b.virtualStart), cmp.Compare(a.ID, b.ID))
}

// pop removes the first request and advances the virtual time to its start.
func (l *fairQueue) pop() Ticket {
	first := l.waiting[0]
	l.waiting = slices.Delete(l.waiting, 0, 1)
	l.virtualTime = max(l.virtualTime, first.virtualStart)
	return first
}

// remove removes the request at an index without charging its organisation: each later
// request of the same flow takes over the virtual start before its own.
func (l *fairQueue) remove(at int) Ticket {
	removed := l.waiting[at]
	l.waiting = slices.Delete(l.waiting, at, at+1)
	freeStart := removed.virtualStart
	for i := range l.waiting {
		if waiter := &l.waiting[i]; waiter.sameFlow(removed) && waiter.virtualStart > freeStart {
			waiter.virtualStart, freeStart = freeStart, waiter.virtualStart
		}
	}
	l.nextStart[removed.Organisation]--
	slices.SortFunc(l.waiting, compareTickets)
	return removed
}

// find returns the index of a request, or -1.
func (l *fairQueue) find(id int64) int {
	return slices.IndexFunc(l.waiting, func(t Ticket) bool { return t.ID == id })
}
