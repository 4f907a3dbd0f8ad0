package jobs

import (
	"cmp"
	"slices"

	"croftmoor.dev/kernel/ident"
)

// WindowUse is what the ledger says of a window of use.
type WindowUse struct {
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

// mostWindows is how many windows are remembered: five minutes of the shortest that
// the users' deployments have, 5 s.
const mostWindows = 60

// window returns a window's state, forgetting the oldest ones.
func (b *Book) window(w ident.Window) *WindowUse {
	if b.Use[w] == nil {
		b.Use[w] = &WindowUse{Counts: map[ident.Organisation]int64{}}
	}
	for len(b.Use) > mostWindows {
		oldest := w
		for known := range b.Use {
			oldest = min(oldest, known)
		}
		if oldest == w {
			break
		}
		delete(b.Use, oldest)
	}
	return b.Use[w]
}

// applyUse folds a record on use.
func (b *Book) applyUse(record Record) {
	switch r := record.(type) {
	case Used:
		b.used(r)
	case Usage:
		b.usage(r)
	case Reported:
		b.reported(r)
	}
}

func (b *Book) used(u Used) {
	w := b.window(u.Window)
	for _, c := range u.Counts {
		if w.Settled {
			w.Late += c.Requests
			continue
		}
		w.Counts[c.Organisation] += c.Requests
	}
}

func (b *Book) usage(u Usage) {
	if b.Holds[u.Role].Fence != u.Fence {
		return
	}
	if w := b.window(u.Window); !w.Settled {
		w.Sum, w.Settled = u.Counts, true
	}
}

func (b *Book) reported(r Reported) { b.window(r.Window).Reported = true }

// Sorted returns the counts told so far, by organisation; none for a window of which
// nobody told.
func (w *WindowUse) Sorted() []Count {
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
