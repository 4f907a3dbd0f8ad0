package poison

import (
	"cmp"
	"maps"
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

const (
	// Threshold is the number of servers that must end while running a request, with no
	// other held request to explain it, before the request is held. Servers also end for
	// unrelated reasons, and the loss of a zone can end two that ran the same request. Three
	// cost a service of four servers nearly all of it, so that there must be no more.
	Threshold = 3
	// holdDuration is how long a request is held after the last server ended while
	// running it: one that comes each second then costs a server each ten minutes. It limits
	// the servers that a repeated request can end, but lets the request run again soon after
	// the service is fixed.
	holdDuration = 10 * 60 * clock.Second
	// ambiguousHoldDuration is the hold time while another request explains the same
	// ends, until a later run shows which one is the cause. It must exceed a server's
	// restart time, 2 to 3 s, so that the innocent request finds a server that answers it.
	ambiguousHoldDuration = 5 * clock.Second
	// suspectRetention is how long ends are kept after the last one, in addition to
	// holdDuration for held requests.
	suspectRetention = 5 * 60 * clock.Second
	// renewalPeriod is how long after the last publication the ends of a held request are
	// published again. It must be well below the log's retention of 300 s so that
	// instances that start later read them.
	renewalPeriod = 100 * clock.Second
	// maxSuspects bounds the number of requests in a table, and maxEnds the ends and
	// excused ends of each: at some 100 bytes an end 6 MB at most. The oldest request that is
	// not held is evicted first.
	maxSuspects = 4096
	maxEnds     = 16
	// coincidence is how close the ends of two servers are that may have the same cause, other
	// than a request: the loss of a host, or a burst of crashes.
	coincidence = 2 * clock.Second
	// maxCoincidentEnds is the number of ends of a request from which coincidence excuses none:
	// where servers crash all the time, a harmful request ends no more of them than that.
	maxCoincidentEnds = 5
	// maxServerEnds bounds the ended servers in a table; the oldest one is evicted first.
	maxServerEnds = 1024
)

// End records that a server process ended while it ran a request.
type End struct {
	Request Fingerprint
	Server  ident.BackendName
	// At is the time of day at which that was noticed; 0 if unknown.
	At clock.Millis
}

// ServerEnd records that a server process ended, whatever it ran. At is as in End.
type ServerEnd struct {
	Server ident.BackendName
	At     clock.Millis
}

// Verdict is the state of a request.
type Verdict struct {
	// HeldFor is how much longer the request must not go to a server; 0 if it may go.
	HeldFor clock.Millis
	// Ends is the number of servers that ended while running the request, without the
	// excused ones. SinceLastEnd is the time since the last of them was noted.
	Ends         int
	SinceLastEnd clock.Millis
	// Ambiguous is true if another request explains the same number of ends and shares
	// one of them.
	Ambiguous bool
}

// Table holds the suspected requests known to one instance. It is not safe for concurrent
// use. The held requests do not depend on the order of the noted ends or on duplicates; an
// end that was noted before an answer stays excused if it is noted again.
type Table struct {
	suspects map[Fingerprint]*suspect
	// oldestFirst lists the suspects in the order of their first end, for eviction.
	oldestFirst []Fingerprint
	// overThreshold holds the suspects with at least Threshold ends. held is the subset
	// that is held, recomputed by updateHeld after each change to overThreshold.
	overThreshold map[Fingerprint]*suspect
	held          map[Fingerprint]hold
	// servers are the servers that are known to have ended.
	servers map[ident.BackendName]serverEnd
}

// serverEnd is when a server ended, by the time of day, and when that was noted.
type serverEnd struct {
	at, notedAt clock.Millis
}

// suspect is a request that was running when servers ended. An answer excuses all ends
// before it, because the request was not their cause.
type suspect struct {
	ends    map[ident.BackendName]bool
	excused map[ident.BackendName]bool
	// lastEnd is when the last new end was noted.
	lastEnd clock.Millis
	// publishedAt is when an end of the request was last read from the log.
	publishedAt clock.Millis
}

// hold describes a held request; ambiguous is as in Verdict.
type hold struct {
	ambiguous bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		suspects: map[Fingerprint]*suspect{}, overThreshold: map[Fingerprint]*suspect{}, held: map[Fingerprint]hold{},
		servers: map[ident.BackendName]serverEnd{},
	}
}

// Empty reports whether the table has no requests.
func (t *Table) Empty() bool { return len(t.suspects) == 0 }

// Suspected reports whether a server ended while running the request, and none has
// answered it since.
func (t *Table) Suspected(request Fingerprint) bool {
	s := t.suspects[request]
	return s != nil && len(s.ends) > 0
}

// Ended notes an end and reports whether it is new. published is true if the end was read
// from the log, where all instances see it. Beyond maxEnds, ends are not stored: such an end
// is reported as new each time, and only updates lastEnd.
func (t *Table) Ended(e End, published bool, now clock.Millis) bool {
	t.ServerEnded(ServerEnd{Server: e.Server, At: e.At}, now)
	s := t.suspects[e.Request]
	if s == nil {
		t.evict()
		s = &suspect{ends: map[ident.BackendName]bool{}, excused: map[ident.BackendName]bool{}}
		t.suspects[e.Request] = s
		t.oldestFirst = append(t.oldestFirst, e.Request)
	}
	if published {
		s.publishedAt = now
	}
	if s.ends[e.Server] || s.excused[e.Server] {
		return false
	}
	s.lastEnd = now
	if len(s.ends) < maxEnds {
		s.ends[e.Server] = true
	}
	if len(s.ends) >= Threshold {
		t.overThreshold[e.Request] = s
		t.updateHeld()
	}
	return true
}

// ServerEnded notes the end of a server and reports whether it is new.
func (t *Table) ServerEnded(e ServerEnd, now clock.Millis) bool {
	known, ok := t.servers[e.Server]
	if e.At == 0 || (ok && known.at <= e.At) {
		return false
	}
	if !ok && len(t.servers) >= maxServerEnds {
		t.evictServer()
	}
	t.servers[e.Server] = serverEnd{at: e.At, notedAt: now}
	if len(t.overThreshold) > 0 {
		t.updateHeld()
	}
	return !ok
}

// evictServer removes the server end that was noted first.
func (t *Table) evictServer() {
	var oldest ident.BackendName
	for server, end := range t.servers {
		if oldest == "" || end.notedAt < t.servers[oldest].notedAt || (end.notedAt == t.servers[oldest].notedAt && server < oldest) {
			oldest = server
		}
	}
	delete(t.servers, oldest)
}

// Answered notes that a server answered a request. It excuses all ends so far, because a
// harmful request is assumed to end every server that runs it.
func (t *Table) Answered(request Fingerprint) {
	s := t.suspects[request]
	if s == nil || len(s.ends) == 0 {
		return
	}
	for server := range s.ends {
		if len(s.excused) < maxEnds {
			s.excused[server] = true
		}
	}
	clear(s.ends)
	if t.overThreshold[request] != nil {
		delete(t.overThreshold, request)
		t.updateHeld()
	}
}

// Verdict returns the state of a request at the given time.
func (t *Table) Verdict(request Fingerprint, now clock.Millis) Verdict {
	s := t.suspects[request]
	if s == nil {
		return Verdict{}
	}
	v := Verdict{Ends: len(s.ends), SinceLastEnd: now - s.lastEnd}
	if h, held := t.held[request]; held {
		v.Ambiguous = h.ambiguous
		v.HeldFor = max(h.duration()-v.SinceLastEnd, 0)
	}
	return v
}

// duration returns how long the hold lasts after the last end.
func (h hold) duration() clock.Millis {
	if h.ambiguous {
		return ambiguousHoldDuration
	}
	return holdDuration
}

// CountHeld returns the number of requests that are held at the given time.
func (t *Table) CountHeld(now clock.Millis) int {
	n := 0
	for request := range t.held {
		if t.Verdict(request, now).HeldFor > 0 {
			n++
		}
	}
	return n
}

// Forget removes the requests whose last end is older than their retention time.
func (t *Table) Forget(now clock.Millis) {
	for request, s := range t.suspects {
		retention := suspectRetention
		if _, held := t.held[request]; held {
			retention = holdDuration + suspectRetention
		}
		if now-s.lastEnd > retention {
			delete(t.suspects, request)
			delete(t.overThreshold, request)
		}
	}
	maps.DeleteFunc(t.servers, func(_ ident.BackendName, end serverEnd) bool {
		return now-end.notedAt > holdDuration+suspectRetention
	})
	t.oldestFirst = slices.DeleteFunc(t.oldestFirst, func(request Fingerprint) bool { return t.suspects[request] == nil })
	t.updateHeld()
}

// DueForRenewal returns the ends of the held requests that were last published more than
// renewalPeriod and delay ago, sorted. A different delay for each instance keeps them
// from all publishing at once.
func (t *Table) DueForRenewal(now, delay clock.Millis) []End {
	var ends []End
	for request := range t.held {
		s := t.suspects[request]
		if now-s.publishedAt < renewalPeriod+delay || t.Verdict(request, now).HeldFor == 0 {
			continue
		}
		for server := range s.ends {
			ends = append(ends, End{Request: request, Server: server, At: t.servers[server].at})
		}
	}
	slices.SortFunc(ends, func(a, b End) int {
		return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Server, b.Server))
	})
	return ends
}

// evict removes the oldest requests until the table is below maxSuspects. It removes held
// requests only if all are held.
func (t *Table) evict() {
	for inspected := 0; len(t.suspects) >= maxSuspects; inspected++ {
		oldest := t.oldestFirst[0]
		t.oldestFirst = t.oldestFirst[1:]
		if _, held := t.held[oldest]; held && inspected < maxSuspects {
			t.oldestFirst = append(t.oldestFirst, oldest)
			continue
		}
		delete(t.suspects, oldest)
		delete(t.overThreshold, oldest)
	}
}

// updateHeld recomputes which requests are held. A server that ends loses all requests
// that it runs, so updateHeld first holds the requests that explain the most ends, and
// then counts only unexplained ends for the others. Ends that are coincident with those of
// other servers do not count.
func (t *Table) updateHeld() {
	clear(t.held)
	suspected := t.suspectedEnds()
	undecided := slices.Collect(maps.Keys(t.overThreshold))
	explained := map[ident.BackendName]bool{}
	for len(undecided) > 0 {
		highest, unexplainedEnds := 0, map[Fingerprint]int{}
		for _, request := range undecided {
			unexplainedEnds[request] = t.unexplained(request, explained, suspected)
			highest = max(highest, unexplainedEnds[request])
		}
		if highest < Threshold {
			return
		}
		undecided = slices.DeleteFunc(undecided, func(request Fingerprint) bool { return unexplainedEnds[request] < Threshold })
		top := slices.DeleteFunc(slices.Clone(undecided), func(request Fingerprint) bool { return unexplainedEnds[request] < highest })
		for _, request := range top {
			t.held[request] = hold{ambiguous: t.overlaps(request, top, explained)}
		}
		for _, request := range top {
			for server := range t.suspects[request].ends {
				explained[server] = true
			}
		}
		undecided = slices.DeleteFunc(undecided, func(request Fingerprint) bool { return unexplainedEnds[request] == highest })
	}
}

// unexplained returns the number of the request's ends that neither a held request nor
// coincidence explains.
func (t *Table) unexplained(request Fingerprint, explained, suspected map[ident.BackendName]bool) int {
	s := t.suspects[request]
	n := 0
	for server := range s.ends {
		if !explained[server] && (len(s.ends) >= maxCoincidentEnds || !t.coincident(s, server, suspected)) {
			n++
		}
	}
	return n
}

// suspectedEnds returns the servers that ended under a request with at least Threshold ends.
func (t *Table) suspectedEnds() map[ident.BackendName]bool {
	suspected := map[ident.BackendName]bool{}
	for _, s := range t.overThreshold {
		for server := range s.ends {
			suspected[server] = true
		}
	}
	return suspected
}

// coincident reports whether a server ended under a request at about the same time as at
// least as many others that ran neither it nor another suspected request. Servers that crash
// by themselves in a burst, or are lost with their host, must not tell against what they
// happened to run.
func (t *Table) coincident(s *suspect, server ident.BackendName, suspected map[ident.BackendName]bool) bool {
	end, known := t.servers[server]
	if !known {
		return false
	}
	own, others := 0, 0
	for other, o := range t.servers {
		switch {
		case o.at < end.at-coincidence || o.at > end.at+coincidence:
		case s.ends[other] || s.excused[other]:
			own++
		case !suspected[other]:
			others++
		}
	}
	return others >= own
}

// overlaps reports whether one of others, which explain as many ends as request, shares an
// unexplained end with it.
func (t *Table) overlaps(request Fingerprint, others []Fingerprint, explained map[ident.BackendName]bool) bool {
	return slices.ContainsFunc(others, func(other Fingerprint) bool {
		if other == request {
			return false
		}
		for server := range t.suspects[other].ends {
			if !explained[server] && t.suspects[request].ends[server] {
				return true
			}
		}
		return false
	})
}
