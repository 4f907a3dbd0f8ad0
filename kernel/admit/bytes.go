package admit

import (
	"sync"

	"croftmoor.dev/kernel/ident"
)

const (
	// alwaysAllowedBytes is what is always taken: turning a small request away costs more than it
	// holds.
	alwaysAllowedBytes = 16 << 10
	// sizeWeight weighs a new answer's size against the mean so far.
	sizeWeight = 0.1
	// maxTargets bounds how many targets' sizes are remembered, some 100 bytes each.
	maxTargets = 4096
)

// MemoryBudget is a budget for what is held in memory for callers: bodies that were read, and
// answers until their callers have read them. It answers callers who read slowly, or not at
// all, and bring or ask for much: 40 of them held 608 MB in an instance that had 96. An
// organisation may hold as much as is still free, so that one alone leaves half of the
// budget to the others. Set Most before use; the rest is guarded by mu.
type MemoryBudget struct {
	// Limit is the budget; 0 is no limit.
	Limit int64

	mu   sync.Mutex
	reserved int64
	byOrganisation   map[ident.Organisation]int64
	// meanSizes is the mean size of a route's answers, last that of the last answer to a
	// target, by route and target.
	meanSizes map[string]float64
	lastSizes  map[Target]int64
}

// Target is what callers ask for.
type Target struct{ Route, Path string }

// Reservation is what is held for one request. It is used by one goroutine.
type Reservation struct {
	budget *MemoryBudget
	organisation     ident.Organisation
	size   int64
}

// Reserve holds bytes for a request of an organisation. It reports false if these would be
// more than its share of the budget. On success the caller must call Free once.
func (b *MemoryBudget) Reserve(organisation ident.Organisation, size int64) (*Reservation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Limit > 0 && size > alwaysAllowedBytes && b.byOrganisation[organisation]+size > b.Limit-b.reserved-size {
		return nil, false
	}
	h := &Reservation{budget: b, organisation: organisation}
	h.add(size)
	return h, true
}

// Reserved returns how many bytes are held.
func (b *MemoryBudget) Reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}

// ExpectedSize returns the size that the answer to a target is expected to have: that of the last
// one, or the mean of its route's.
func (b *MemoryBudget) ExpectedSize(t Target) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if size, known := b.lastSizes[t]; known {
		return size
	}
	return int64(b.meanSizes[t.Route])
}

// RecordSize notes the size of an answer.
func (b *MemoryBudget) RecordSize(t Target, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.meanSizes == nil {
		b.meanSizes = map[string]float64{}
	}
	b.meanSizes[t.Route] += sizeWeight * (float64(size) - b.meanSizes[t.Route])
	if b.lastSizes == nil || len(b.lastSizes) >= maxTargets {
		b.lastSizes = map[Target]int64{}
	}
	b.lastSizes[t] = size
}

// Resize changes how many bytes are held: what is there is there.
func (h *Reservation) Resize(size int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.add(size - h.size)
}

// Release ends the holding.
func (h *Reservation) Release() { h.Resize(0) }

// add changes the sums; the budget's mu is held.
func (h *Reservation) add(size int64) {
	b := h.budget
	if b.byOrganisation == nil {
		b.byOrganisation = map[ident.Organisation]int64{}
	}
	h.size += size
	b.reserved += size
	if b.byOrganisation[h.organisation] += size; b.byOrganisation[h.organisation] == 0 {
		delete(b.byOrganisation, h.organisation)
	}
}
