package jobs

import (
	"cmp"
	"slices"

	"croftmoor.dev/kernel/ident"
)

// WindowUsage is the request counts of one accounting window.
type WindowUsage struct {
	// Counts sums the deltas until the total is settled. Late counts the requests of later
	// deltas, which are in no report.
	Counts map[ident.Organisation]int64
	Late   int64
	// Sum is the reported total. It is final once Settled is set.
	Sum     []Count
	Settled bool
	// Reported is set once the platform has accepted the report.
	Reported bool
}

// maxWindows is the number of windows that are kept: five minutes of windows of 5 s.
const maxWindows = 60

// window returns the state of a window, creating it if needed. Beyond maxWindows it drops
// the oldest windows, but not w.
func (s *State) window(w ident.Window) *WindowUsage {
	if s.Usage[w] == nil {
		s.Usage[w] = &WindowUsage{Counts: map[ident.Organisation]int64{}}
	}
	for len(s.Usage) > maxWindows {
		oldest := w
		for known := range s.Usage {
			oldest = min(oldest, known)
		}
		if oldest == w {
			break
		}
		delete(s.Usage, oldest)
	}
	return s.Usage[w]
}

func (s *State) applyUsage(record Record) {
	switch r := record.(type) {
	case UsageDelta:
		s.usageDelta(r)
	case UsageTotal:
		s.usageTotal(r)
	case UsageReported:
		s.usageReported(r)
	}
}

func (s *State) usageDelta(u UsageDelta) {
	w := s.window(u.Window)
	for _, c := range u.Counts {
		if w.Settled {
			w.Late += c.Requests
			continue
		}
		w.Counts[c.Organisation] += c.Requests
	}
}

func (s *State) usageTotal(u UsageTotal) {
	if s.RoleHolders[u.Role].Fence != u.Fence {
		return
	}
	if w := s.window(u.Window); !w.Settled {
		w.Sum, w.Settled = u.Counts, true
	}
}

func (s *State) usageReported(r UsageReported) { s.window(r.Window).Reported = true }

// Sorted returns the counts so far, ordered by organisation; nil for a nil window.
func (w *WindowUsage) Sorted() []Count {
	if w == nil {
		return nil
	}
	list := make([]Count, 0, len(w.Counts))
	for organisation, n := range w.Counts {
		list = append(list, Count{Organisation: organisation, Requests: n})
	}
	slices.SortFunc(list, func(a, b Count) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return list
}
