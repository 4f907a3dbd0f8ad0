package poison

import (
	"cmp"
	"maps"
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

const (
	// Threshold is how many servers must have ended under a request, without another
	// request to explain it, until it is held. One end tells nothing, since servers end
	// for themselves and by their operators; that two do so under a request which comes again at once
	// happens when a zone is lost; three cost a service of four servers nearly all of it.
	Threshold = 3
	// holdDuration is how long a held request goes to no server after the last one that ended
	// under it: long enough that a request which comes each second costs a server each ten
	// minutes, short enough that one which a new release of the service runs well is
	// served again the same hour.
	holdDuration = 10 * 60 * clock.Second
	// ambiguousHoldDuration is the same while another request was there each time as well: only one
	// of the two did it, and the next run tells which. It is longer than a server takes
	// to start again, 2 to 3 s, so that an innocent request finds one to prove itself.
	ambiguousHoldDuration = 5 * clock.Second
	// suspectRetention is how long ends are remembered that are too few to hold a request.
	suspectRetention = 5 * 60 * clock.Second
	// renewalPeriod is how long after the log last told of a held request it is told again,
	// well within the 300 s that the log keeps records, so that instances which start
	// later know of it.
	renewalPeriod = 100 * clock.Second
	// mostSuspects bounds the requests that are remembered, and mostEnds the ends of
	// each: some 100 bytes an end, 6 MB at most (reckoned). The oldest that are not held give way.
	mostSuspects = 4096
	maxEnds     = 16
)

// End is a server that ended while it ran a request.
type End struct {
	Request Fingerprint
	Server  ident.BackendName
}

// Verdict is what is known of a request.
type Verdict struct {
	// HeldFor is for how long it goes to no server; 0 if it may.
	HeldFor clock.Millis
	// Ends is how many servers have ended under it, and Age how long ago the last one was
	// heard of.
	Ends int
	SinceLastEnd  clock.Millis
	// Ambiguous tells that another request was there each time as well.
	Ambiguous bool
}

// Table is what one reader knows of requests under which servers ended. It has no lock
// of its own. It is a function of what was noted, in whatever order and however often:
// an end that was noted before an answer stays answered.
type Table struct {
	suspects map[Fingerprint]*suspect
	// order has the suspects by when they were first heard of, so that the oldest is found
	// without looking at all.
	order []Fingerprint
	// many are those with ends enough to be held, and held those that are, worked out anew
	// after each change of many.
	many map[Fingerprint]*suspect
	held map[Fingerprint]hold
}

// suspect is a request under which servers ended. Ends that happened before a server
// answered it are excused: it was not the cause.
type suspect struct {
	ends    map[ident.BackendName]bool
	excused map[ident.BackendName]bool
	last    clock.Millis
	// told is when the log last told of it.
	told clock.Millis
}

type hold struct {
	doubt bool
}

// NewTable returns a table that knows nothing.
func NewTable() *Table {
	return &Table{suspects: map[Fingerprint]*suspect{}, many: map[Fingerprint]*suspect{}, held: map[Fingerprint]hold{}}
}

// Empty tells that no request is suspected, so that none needs to be looked up.
func (t *Table) Empty() bool { return len(t.suspects) == 0 }

// Suspected tells whether servers have ended under a request that no server has
// answered since.
func (t *Table) Suspected(request Fingerprint) bool {
	s := t.suspects[request]
	return s != nil && len(s.ends) > 0
}

// Ended notes an end. Told tells that the log told of it, so that the others know.
// It reports whether that was news.
func (t *Table) Ended(e End, told bool, now clock.Millis) bool {
	s := t.suspects[e.Request]
	if s == nil {
		t.makeRoom()
		s = &suspect{ends: map[ident.BackendName]bool{}, excused: map[ident.BackendName]bool{}}
		t.suspects[e.Request] = s
		t.order = append(t.order, e.Request)
	}
	if told {
		s.told = now
	}
	if s.ends[e.Server] || s.excused[e.Server] {
		return false
	}
	s.last = now
	if len(s.ends) < maxEnds {
		s.ends[e.Server] = true
	}
	if len(s.ends) >= Threshold {
		t.many[e.Request] = s
		t.judge()
	}
	return true
}

// Answered notes that a server answered a request: whatever ended servers before, it
// was not this request, which ends each one that runs it.
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
	if t.many[request] != nil {
		delete(t.many, request)
		t.judge()
	}
}

// Verdict returns what is known of a request.
func (t *Table) Verdict(request Fingerprint, now clock.Millis) Verdict {
	s := t.suspects[request]
	if s == nil {
		return Verdict{}
	}
	v := Verdict{Ends: len(s.ends), SinceLastEnd: now - s.last}
	if h, held := t.held[request]; held {
		v.Ambiguous = h.doubt
		v.HeldFor = max(h.term()-v.SinceLastEnd, 0)
	}
	return v
}

func (h hold) term() clock.Millis {
	if h.doubt {
		return ambiguousHoldDuration
	}
	return holdDuration
}

// CountHeld returns how many requests go to no server.
func (t *Table) CountHeld(now clock.Millis) int {
	n := 0
	for request := range t.held {
		if t.Verdict(request, now).HeldFor > 0 {
			n++
		}
	}
	return n
}

// Forget drops what is too old to matter.
func (t *Table) Forget(now clock.Millis) {
	for request, s := range t.suspects {
		term := suspectRetention
		if _, held := t.held[request]; held {
			term = holdDuration + suspectRetention
		}
		if now-s.last > term {
			delete(t.suspects, request)
			delete(t.many, request)
		}
	}
	t.order = slices.DeleteFunc(t.order, func(request Fingerprint) bool { return t.suspects[request] == nil })
	t.judge()
}

// DueForRenewal returns the ends of the held requests that the log has not told of for a
// while; late puts it off, so that not all instances do it at once.
func (t *Table) DueForRenewal(now, late clock.Millis) []End {
	var ends []End
	for request := range t.held {
		s := t.suspects[request]
		if now-s.told < renewalPeriod+late || t.Verdict(request, now).HeldFor == 0 {
			continue
		}
		for server := range s.ends {
			ends = append(ends, End{Request: request, Server: server})
		}
	}
	slices.SortFunc(ends, func(a, b End) int {
		return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Server, b.Server))
	})
	return ends
}

// makeRoom drops the request that was first heard of, held ones last, if there are too
// many.
func (t *Table) makeRoom() {
	for passed := 0; len(t.suspects) >= mostSuspects; passed++ {
		first := t.order[0]
		t.order = t.order[1:]
		if _, held := t.held[first]; held && passed < mostSuspects {
			t.order = append(t.order, first)
			continue
		}
		delete(t.suspects, first)
		delete(t.many, first)
	}
}

// judge works out which requests are held: those that explain the most ends first.
// What ran beside one that is held is not blamed for the same ends: the servers run
// eight to twelve requests at once, and all of them lose their answers.
func (t *Table) judge() {
	clear(t.held)
	open := slices.Collect(maps.Keys(t.many))
	explained := map[ident.BackendName]bool{}
	for len(open) > 0 {
		most, left := 0, map[Fingerprint]int{}
		for _, request := range open {
			left[request] = t.unexplained(request, explained)
			most = max(most, left[request])
		}
		if most < Threshold {
			return
		}
		open = slices.DeleteFunc(open, func(request Fingerprint) bool { return left[request] < Threshold })
		first := slices.DeleteFunc(slices.Clone(open), func(request Fingerprint) bool { return left[request] < most })
		for _, request := range first {
			t.held[request] = hold{doubt: t.shares(request, first, explained)}
		}
		for _, request := range first {
			for server := range t.suspects[request].ends {
				explained[server] = true
			}
		}
		open = slices.DeleteFunc(open, func(request Fingerprint) bool { return left[request] == most })
	}
}

// unexplained counts the ends of a request that no held one explains.
func (t *Table) unexplained(request Fingerprint, explained map[ident.BackendName]bool) int {
	n := 0
	for server := range t.suspects[request].ends {
		if !explained[server] {
			n++
		}
	}
	return n
}

// shares tells whether another request that explains as much was at one of the ends.
func (t *Table) shares(request Fingerprint, others []Fingerprint, explained map[ident.BackendName]bool) bool {
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
