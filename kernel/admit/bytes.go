package admit

import (
	"sync"

	"croftmoor.dev/kernel/ident"
)

const (
	// smallBytes is what is always taken: turning a small request away costs more than it
	// holds.
	smallBytes = 16 << 10
	// sizeBlend weighs a new answer's size against the mean so far.
	sizeBlend = 0.1
	// mostTargets bounds how many targets' sizes are remembered, some 100 bytes each.
	mostTargets = 4096
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
	held int64
	by   map[ident.Organisation]int64
	// usual is the mean size of a route's answers, last that of the last answer to a
	// target, by route and target.
	usual map[string]float64
	last  map[Target]int64
}

// Target is what callers ask for.
type Target struct{ Route, Path string }

// Reservation is what is held for one request. It is used by one goroutine.
type Reservation struct {
	budget *MemoryBudget
	by     ident.Organisation
	size   int64
}

// Reserve holds bytes for a request of an organisation. It reports false if these would be
// more than its share of the budget. On success the caller must call Free once.
func (b *MemoryBudget) Reserve(by ident.Organisation, size int64) (*Reservation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Limit > 0 && size > smallBytes && b.by[by]+size > b.Limit-b.held-size {
		return nil, false
	}
	h := &Reservation{budget: b, by: by}
	h.add(size)
	return h, true
}

// Reserved returns how many bytes are held.
func (b *MemoryBudget) Reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// ExpectedSize returns the size that the answer to a target is expected to have: that of the last
// one, or the mean of its route's.
func (b *MemoryBudget) ExpectedSize(t Target) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if size, known := b.last[t]; known {
		return size
	}
	return int64(b.usual[t.Route])
}

// RecordSize notes the size of an answer.
func (b *MemoryBudget) RecordSize(t Target, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.usual == nil {
		b.usual = map[string]float64{}
	}
	b.usual[t.Route] += sizeBlend * (float64(size) - b.usual[t.Route])
	if b.last == nil || len(b.last) >= mostTargets {
		b.last = map[Target]int64{}
	}
	b.last[t] = size
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
	if b.by == nil {
		b.by = map[ident.Organisation]int64{}
	}
	h.size += size
	b.held += size
	if b.by[h.by] += size; b.by[h.by] == 0 {
		delete(b.by, h.by)
	}
}
