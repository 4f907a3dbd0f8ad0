package admit

import (
	"sync"

	"croftmoor.dev/kernel/ident"
)

const (
	// alwaysAllowedBytes is the size up to which a reservation always succeeds: refusing
	// such a request costs more than the memory that it needs.
	alwaysAllowedBytes = 16 << 10
	// sizeWeight is the weight of a new response's size in the moving average.
	sizeWeight = 0.1
	// maxTargets bounds the entries of lastSizes, some 100 bytes each.
	maxTargets = 4096
)

// MemoryBudget limits the memory that an instance holds for its callers: request bodies,
// and responses until their callers have read them. It protects the instance against
// callers that read slowly while they ask for large responses: 40 of them can hold many times
// the memory of an instance. A reservation succeeds if
// the organisation then holds no more than what stays free, so one organisation alone
// takes at most half of the budget. Set Limit before use. The other fields are guarded
// by mu.
type MemoryBudget struct {
	// Limit is the budget in bytes; 0 is no limit.
	Limit int64

	mu             sync.Mutex
	reserved       int64
	byOrganisation map[ident.Organisation]int64
	// meanSizes holds the moving average of each route's response sizes in bytes, lastSizes
	// the size of the last response to each target.
	meanSizes map[string]float64
	lastSizes map[Target]int64
}

// Target is what a request asks for: the name of its route and the path of its URL.
type Target struct{ Route, Path string }

// Reservation is the memory reserved for one request. Only one goroutine may use it.
type Reservation struct {
	budget       *MemoryBudget
	organisation ident.Organisation
	size         int64
}

// Reserve reserves size bytes for a request of an organisation. It returns false if the
// organisation would exceed its share. On success the caller must call Release once.
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

// Reserved returns the total number of reserved bytes.
func (b *MemoryBudget) Reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}

// ExpectedSize returns the expected size in bytes of the response to a target: the size of
// its last response, or else the mean of its route.
func (b *MemoryBudget) ExpectedSize(t Target) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if size, known := b.lastSizes[t]; known {
		return size
	}
	return int64(b.meanSizes[t.Route])
}

// RecordSize records the size in bytes of a response.
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

// Resize sets the reservation to size bytes. It always succeeds, also beyond the budget.
func (r *Reservation) Resize(size int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.add(size - r.size)
}

// Release gives the reserved memory back.
func (r *Reservation) Release() { r.Resize(0) }

// add changes the sums by size bytes; the caller holds the budget's mu.
func (r *Reservation) add(size int64) {
	b := r.budget
	if b.byOrganisation == nil {
		b.byOrganisation = map[ident.Organisation]int64{}
	}
	r.size += size
	b.reserved += size
	if b.byOrganisation[r.organisation] += size; b.byOrganisation[r.organisation] == 0 {
		delete(b.byOrganisation, r.organisation)
	}
}
