package jobs

import (
	"cmp"
	"slices"

	"croftmoor.dev/kernel/ident"
)

// WindowUsage is what the ledger says of a window of use.
type WindowUsage struct {
	// Counts is what instances have told so far, Late what they told after the sum
	// was settled: it is in no report.
	Counts map[ident.Organisation]int64
	Late   int64
	// Sum is what is reported, once Settled is set; it never changes then.
	Sum     []Count
	Settled bool
	// Reported tells that the platform has taken the report.
	Reported bool
}

// maxWindows is how many windows are remembered: five minutes of the shortest that
// the users' deployments have, 5 s.
const maxWindows = 60

// window returns a window's state, forgetting the oldest ones.
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

// applyUsage folds a record on use.
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

// Sorted returns the counts told so far, by organisation; none for a window of which
// nobody told.
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
