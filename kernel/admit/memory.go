package admit

import (
	"cmp"
	"sync"

	"croftmoor.dev/kernel/clock"
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

// MemoryBudget limits the memory that an instance holds for its callers: request bodies as they
// arrive, and responses until their callers have read them. It protects the instance against
// callers that read slowly while they ask for large responses, and against those that send much and
// stop: 40 of them can hold many times the memory of an instance. If there is no room, requests that
// are being received and make no progress are given up first. A reservation of an organisation
// succeeds if the organisation then holds no more than what stays free, so one organisation alone
// takes at most half of the budget, but for its first request. Set Limit before use. The other
// fields are guarded by mu.
type MemoryBudget struct {
	// Limit is the budget in bytes; 0 is no limit. AnswerLimit is that for a response beside what
	// is held already; 0 means Limit.
	Limit       int64
	AnswerLimit int64

	mu             sync.Mutex
	reserved       int64
	byOrganisation map[ident.Organisation]int64
	// receiving holds the reservations of requests that have not arrived as a whole.
	receiving map[*Reservation]struct{}
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
	// progress is set while the request is being received; giveUp ends that.
	progress progress
	giveUp   func()
}

// Reserve reserves size bytes for a request of an organisation, or for one without if callers need
// none. It returns false if there is no room, or the organisation would exceed its share. On success
// the caller must call Release once.
func (b *MemoryBudget) Reserve(organisation ident.Organisation, size int64) (*Reservation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &Reservation{budget: b, organisation: organisation}
	if size > alwaysAllowedBytes && !b.allowsAnswer(r, size) {
		return nil, false
	}
	r.add(size)
	return r, true
}

// Receive is Reserve for a request whose body arrives from now on, for which Grow reserves more.
// giveUp must end the receiving without delay. It is called, with the budget locked, if the request
// makes no progress while others need its memory.
func (b *MemoryBudget) Receive(now clock.Millis, organisation ident.Organisation, size int64, giveUp func()) (*Reservation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &Reservation{budget: b, organisation: organisation, giveUp: giveUp, progress: progress{since: now, latest: now}}
	if size > alwaysAllowedBytes && !b.makeRoom(now, r, func() bool { return b.allowsAnswer(r, size) }) {
		return nil, false
	}
	r.add(size)
	if b.receiving == nil {
		b.receiving = map[*Reservation]struct{}{}
	}
	b.receiving[r] = struct{}{}
	return r, true
}

// allowsAnswer reports whether there is room for a response of size bytes. The caller holds mu.
func (b *MemoryBudget) allowsAnswer(r *Reservation, size int64) bool {
	if b.Limit == 0 {
		return true
	}
	held := b.byOrganisation[r.organisation]
	if held == r.size && size <= b.Limit-b.reserved {
		return true
	}
	return held+size <= cmp.Or(b.AnswerLimit, b.Limit)-b.reserved-size
}

// allowsBody reports whether there is room for size bytes more of a body. The caller holds mu.
func (b *MemoryBudget) allowsBody(r *Reservation, size int64) bool {
	if b.Limit == 0 {
		return true
	}
	free := b.Limit - b.reserved - size
	if free < 0 {
		return false
	}
	held := b.byOrganisation[r.organisation]
	return r.organisation == "" || held == r.size || held+size <= free
}

// makeRoom gives up other requests that make no progress until allowed returns true for r. It
// returns false if there are none left. The caller holds mu.
func (b *MemoryBudget) makeRoom(now clock.Millis, r *Reservation, allowed func() bool) bool {
	for !allowed() {
		var slowest *Reservation
		for other := range b.receiving {
			if other != r && other.stalled(now) && (slowest == nil || other.size > slowest.size) {
				slowest = other
			}
		}
		if slowest == nil {
			return false
		}
		delete(b.receiving, slowest)
		slowest.add(-slowest.size)
		slowest.giveUp()
	}
	return true
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

// Grow reserves size bytes more for a request that is being received. It returns false if there is
// no room.
func (r *Reservation) Grow(now clock.Millis, size int64) bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if _, receiving := r.budget.receiving[r]; !receiving || !r.budget.makeRoom(now, r, func() bool { return r.budget.allowsBody(r, size) }) {
		return false
	}
	r.add(size)
	return true
}

// Arrived counts bytes of a request that is being received as its progress.
func (r *Reservation) Arrived(now clock.Millis, bytes int) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.progress.add(now, bytes)
}

// Received ends the receiving of a request, which is not given up any more. It returns false if it
// has been.
func (r *Reservation) Received() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	_, receiving := r.budget.receiving[r]
	delete(r.budget.receiving, r)
	return receiving
}

// stalled reports whether the request makes no progress. The caller holds mu.
func (r *Reservation) stalled(now clock.Millis) bool { return r.progress.stalled(now, r.size) }

// Resize sets the reservation to size bytes. It always succeeds, also beyond the budget.
func (r *Reservation) Resize(size int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.add(size - r.size)
}

// Fit sets the reservation to the size of a response that was received. It returns false, and leaves
// the reservation as it is, if that is not small and there is no room: a call that has run is given
// more than one that has not.
func (r *Reservation) Fit(size int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	more := size - r.size
	limit := cmp.Or(b.AnswerLimit, b.Limit)
	alone := b.reserved == r.size
	if b.Limit > 0 && size > alwaysAllowedBytes && more > 0 && !alone && b.reserved+more > limit {
		return false
	}
	r.add(more)
	return true
}

// Release gives the reserved memory back.
func (r *Reservation) Release() {
	r.Received()
	r.Resize(0)
}

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
