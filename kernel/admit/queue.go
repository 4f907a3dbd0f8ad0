package admit

import (
	"cmp"
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// Request is what the queue goes by for one request.
type Request struct {
	// Organisation is whose request it is; those of nobody share as one organisation.
	Organisation ident.Organisation
	// Priority is its urgency, 0 first.
	Priority int
	// StartBy is the latest start that is of use: later ones are refused.
	StartBy clock.Millis
	// Deadline is when the caller stops waiting.
	Deadline clock.Millis
}

// Ticket stands for one request.
type Ticket struct {
	Request
	ID int64
	// start is its virtual start among the organisations of its rank.
	start float64
}

// mostOrganisations bounds how many organisations are remembered as ahead of their
// share.
const mostOrganisations = 4096

// line is the waiting requests in the order in which they start: by rank, among equals by
// start-time fair queueing between organisations. It answers one organisation that sends
// many times its share: its requests get later and later virtual starts, so that those of
// the others go before them, and those that can't start in time any more are its own.
type line struct {
	waiting []Ticket
	// next is the earliest virtual start of an organisation's next request.
	next map[ident.Organisation]float64
	// now is the virtual time: the virtual start of the request that was started last.
	now float64
	// newest has those of one organisation go first who have the most time left, not the
	// least. Callers who were refused before have less than new ones, and are late whatever
	// becomes of them; going first they made new ones late in their turn: at 1.2 times what
	// the servers do 0.29 of it was in time, 0.73 with the newest first (TestRoomInTime's load).
	newest bool
}

// charge returns the virtual start of a further request of an organisation.
func (l *line) charge(organisation ident.Organisation) float64 {
	if l.next == nil || len(l.next) >= mostOrganisations {
		l.next = l.stillAhead()
	}
	start := max(l.now, l.next[organisation])
	l.next[organisation] = start + 1
	return start
}

// stillAhead returns the organisations that are ahead of their share, with the virtual start
// of their next request; the others need not be remembered.
func (l *line) stillAhead() map[ident.Organisation]float64 {
	kept := map[ident.Organisation]float64{}
	for organisation, next := range l.next {
		if next > l.now {
			kept[organisation] = next
		}
	}
	return kept
}

// isAhead tells whether an organisation is ahead of its share: its next request would stand
// behind one of an organisation that has asked for less.
func (l *line) isAhead(organisation ident.Organisation) bool {
	return l.next[organisation] > l.now
}

// pass counts a request that starts without waiting.
func (l *line) pass(organisation ident.Organisation) {
	l.now = l.charge(organisation)
}

// insert places a request. Its organisation's virtual starts go to its requests in the order
// in which these go before each other.
func (l *line) insert(t Ticket) {
	t.start = l.charge(t.Organisation)
	for i := range l.waiting {
		w := &l.waiting[i]
		if w.same(t) && l.before(t, *w) {
			w.start, t.start = t.start, w.start
			*w, t = t, *w
		}
	}
	at, _ := slices.BinarySearchFunc(l.waiting, t, order)
	l.waiting = slices.Insert(l.waiting, at, t)
}

// before tells which of two requests of one organisation goes first.
func (l *line) before(a, b Ticket) bool {
	if l.newest {
		return a.Deadline > b.Deadline
	}
	return a.Deadline < b.Deadline
}

// same tells whether two requests may change places.
func (t *Ticket) same(other Ticket) bool {
	return t.Organisation == other.Organisation && t.Priority == other.Priority
}

func order(a, b Ticket) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.start, b.start), cmp.Compare(a.ID, b.ID))
}

// pop starts the first request.
func (l *line) pop() Ticket {
	first := l.waiting[0]
	l.waiting = slices.Delete(l.waiting, 0, 1)
	l.now = max(l.now, first.start)
	return first
}

// remove takes the request at a place out. Its organisation is not charged for it: its
// later requests move up by one each.
func (l *line) remove(at int) Ticket {
	gone := l.waiting[at]
	l.waiting = slices.Delete(l.waiting, at, at+1)
	free := gone.start
	for i := range l.waiting {
		if w := &l.waiting[i]; w.same(gone) && w.start > free {
			w.start, free = free, w.start
		}
	}
	l.next[gone.Organisation]--
	slices.SortFunc(l.waiting, order)
	return gone
}

// find returns the place of a request, or -1.
func (l *line) find(id int64) int {
	return slices.IndexFunc(l.waiting, func(t Ticket) bool { return t.ID == id })
}
