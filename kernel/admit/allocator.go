package admit

import (
	"maps"
	"math"
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

const (
	// overloadAfter is how long the queue must have had waiting requests until the newest start
	// first. A shorter time refuses requests in brief spells that would still be in time.
	overloadAfter = 1 * clock.Second
	// initialMessages is the assumed time of the messages of a grant before any was seen.
	initialMessages = 4.0
	// serverDelay is the time of the messages between an instance and a server.
	serverDelay = 2.0
	// aheadFactor is how many times the time of all messages requests wait ahead at a server:
	// some take longer than the mean, and an idle slot costs more than a short wait.
	aheadFactor = 2
	// overloadWait is how long a request may have to wait where the newest start first. Who
	// has longer to wait will be overtaken until it is too late.
	overloadWait = 25 * clock.Millis(1)
	// initialWork is the assumed time of a request at a server before any was seen.
	initialWork = 20.0
	// workWeight is the weight of a new request in the moving averages of work and latency.
	workWeight = 0.05
	// foreignWeight is the weight of a new report in the estimate of the requests that were
	// sent without a grant.
	foreignWeight = 0.2
	// allocatorTick is the interval at which waiting requests are looked at again.
	allocatorTick = 5 * clock.Millis(1)
	// maxGrantTime bounds the time for which a slot is kept for an instance that does not
	// report the end of its request.
	maxGrantTime = 5 * clock.Second
)

// GrantID identifies a grant of an Allocator.
type GrantID int64

// Allocator hands out the slots of a service's backend servers to the requests of all
// instances. It counts them exactly, and requests wait in its one queue: they reach a server
// only when it has a free slot, or will have one by the time they get there. Who starts next is
// decided as late as possible. The order is that of a Limiter, except that the requests of one
// organisation start in the order of arrival as long as there is no lasting overload. It is not
// safe for concurrent use.
type Allocator struct {
	// MaxQueued is the maximum number of waiting requests.
	MaxQueued int

	queue   fairQueue
	retries retrySchedule
	nextID  int64
	servers map[ident.BackendName]*slotCount
	// names are the servers in a fixed order.
	names  []ident.BackendName
	grants map[GrantID]grant
	// meanWork and meanLatency are the moving averages of the time of a request without and with
	// its wait at the server, in milliseconds.
	meanWork, meanLatency float64
	// meanMessages is the moving average of the time that a grant exists beyond the request's time
	// at the server, in milliseconds: the messages between the instances take it.
	meanMessages float64
	// busySince is since when requests have been waiting; it is valid while some are.
	busySince clock.Millis
}

// slotCount is what an Allocator knows of a server.
type slotCount struct {
	slots int
	// granted is the number of outstanding grants, foreign the estimated number of requests
	// that were sent without one.
	granted int
	foreign float64
	// slowdown is the server's last report of it, which slowdownAt is the time of.
	slowdown   float64
	slowdownAt clock.Millis
}

// grant is a slot that was handed out.
type grant struct {
	server  ident.BackendName
	began   clock.Millis
	expires clock.Millis
}

// SetServers sets the servers whose slots are handed out, with the number of slots of each.
func (a *Allocator) SetServers(slots map[ident.BackendName]int) {
	if a.servers == nil {
		a.servers, a.grants = map[ident.BackendName]*slotCount{}, map[GrantID]grant{}
		a.queue.returnedLast = true
		a.meanWork, a.meanLatency, a.meanMessages = initialWork, initialWork, initialMessages
	}
	for name := range a.servers {
		if _, listed := slots[name]; !listed {
			delete(a.servers, name)
		}
	}
	for name, n := range slots {
		if a.servers[name] == nil {
			a.servers[name] = &slotCount{granted: a.grantsOf(name)}
		}
		a.servers[name].slots = max(n, 1)
	}
	a.names = slices.Sorted(maps.Keys(a.servers))
}

// grantsOf counts the outstanding grants of a server, which may have been unlisted meanwhile.
func (a *Allocator) grantsOf(server ident.BackendName) int {
	n := 0
	for _, g := range a.grants {
		if g.server == server {
			n++
		}
	}
	return n
}

// Offer decides on a request at the time now. If the request overtakes waiting ones that
// then cannot start in time, Offer returns these as refused.
func (a *Allocator) Offer(now clock.Millis, request Request) (decision Decision, refused []Decision) {
	a.nextID++
	request.StartBy -= clock.Millis(a.meanLatency)
	ticket := Ticket{ID: a.nextID, Request: request}
	if len(a.queue.waiting) == 0 {
		if server, ok := a.pick(now); ok {
			a.queue.startImmediately(request.Organisation)
			return a.start(now, ticket, server), nil
		}
	}
	if len(a.queue.waiting) == 0 {
		a.busySince = now
	}
	a.queue.newestFirst = now-a.busySince > overloadAfter
	a.queue.insert(ticket)
	decision = a.describe(now, Decision{Verdict: Wait, Ticket: ticket, Reason: "waits for a slot"})
	for _, r := range a.refuse(now) {
		if r.Ticket.ID == ticket.ID {
			decision = r
			continue
		}
		refused = append(refused, r)
	}
	return decision, refused
}

// Done ends a grant with what the server's response showed, and returns the decisions on
// waiting requests. A grant that has expired, or is of another Allocator, is no error.
func (a *Allocator) Done(now clock.Millis, id GrantID, s Signal) []Decision {
	if server := a.servers[s.Server]; server != nil {
		server.observe(now, s)
		a.updateMeans(now, id, s)
	}
	a.release(id)
	return a.Advance(now)
}

// Advance returns the decisions on waiting requests that start now or cannot start in time.
func (a *Allocator) Advance(now clock.Millis) []Decision {
	for id, g := range a.grants {
		if now >= g.expires {
			a.release(id)
		}
	}
	decisions := a.refuse(now)
	for len(a.queue.waiting) > 0 {
		server, ok := a.pick(now)
		if !ok {
			break
		}
		decisions = append(decisions, a.start(now, a.queue.pop(), server))
	}
	return decisions
}

// NextAdvance returns when to call Advance next; ok is false if no request waits.
func (a *Allocator) NextAdvance(now clock.Millis) (at clock.Millis, ok bool) {
	return now + allocatorTick, len(a.queue.waiting) > 0
}

// Cancel removes a waiting ticket. It returns false if the ticket no longer waits.
func (a *Allocator) Cancel(ticket Ticket) bool {
	i := a.queue.find(ticket.ID)
	if i >= 0 {
		a.queue.remove(i)
	}
	return i >= 0
}

func (a *Allocator) start(now clock.Millis, t Ticket, server ident.BackendName) Decision {
	a.servers[server].granted++
	id := GrantID(t.ID)
	a.grants[id] = grant{server: server, began: now, expires: min(t.Deadline, now+maxGrantTime)}
	return a.describe(now, Decision{Verdict: Start, Ticket: t, Reason: "a slot is free", Server: server, Grant: id})
}

func (a *Allocator) release(id GrantID) {
	g, ok := a.grants[id]
	if !ok {
		return
	}
	delete(a.grants, id)
	if server := a.servers[g.server]; server != nil {
		server.granted--
	}
}

func (a *Allocator) describe(now clock.Millis, d Decision) Decision {
	d.Waiting, d.Rate = len(a.queue.waiting), a.throughput(now)*float64(clock.Second)
	return d
}

// refuse removes the requests that cannot start in time and those beyond MaxQueued.
func (a *Allocator) refuse(now clock.Millis) []Decision {
	var refused []Decision
	perMilli := a.throughput(now)
	for index := 0; index < len(a.queue.waiting); {
		wait := clock.Millis(float64(index+1) / perMilli)
		late := now+wait > a.queue.waiting[index].StartBy || (a.queue.newestFirst && wait > overloadWait)
		if !late && index < a.MaxQueued {
			index++
			continue
		}
		overShare := a.queue.waiting[index].virtualStart > a.queue.virtualTime
		reason := NoCapacity
		if !late {
			reason = QueueFull
		}
		removed := a.queue.remove(index)
		delay := minRetryDelay
		if overShare {
			delay = a.retries.assignDelay(now, perMilli*float64(clock.Second))
		}
		refused = append(refused, a.describe(now, Decision{Verdict: Refuse, Ticket: removed, Reason: reason, RetryAfter: delay}))
	}
	return refused
}

// throughput returns the number of requests per millisecond that the servers complete.
func (a *Allocator) throughput(now clock.Millis) float64 {
	sum := 0.0
	for _, name := range a.names {
		s := a.servers[name]
		sum += float64(s.slots) / s.expectedSlowdown(now)
	}
	return max(sum/a.meanWork, minRate/float64(clock.Second))
}

// pick returns the server with the lowest expected time among those that have a free slot, or
// will have one by the time that a request gets there.
func (a *Allocator) pick(now clock.Millis) (best ident.BackendName, ok bool) {
	bestCost := math.Inf(1)
	for _, name := range a.names {
		s := a.servers[name]
		slowdown := s.expectedSlowdown(now)
		ahead := math.Ceil(float64(s.slots) * min(aheadFactor*(a.meanMessages+serverDelay)/(a.meanWork*slowdown), 1))
		load := float64(s.granted) + s.foreign
		if load+1 > float64(s.slots)+ahead {
			continue
		}
		cost := slowdown * (1 + load/float64(s.slots))
		if cost < bestCost || (cost == bestCost && name < best) {
			best, bestCost = name, cost
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// updateMeans updates the moving averages from the response to a granted request.
func (a *Allocator) updateMeans(now clock.Millis, id GrantID, s Signal) {
	if s.Shed {
		return
	}
	if g, ok := a.grants[id]; ok {
		a.meanMessages += workWeight * (float64(max(now-g.began-s.Latency, 0)) - a.meanMessages)
	}
	slowdown := max(s.Slowdown, 1)
	a.meanLatency += workWeight * (float64(s.Latency) - a.meanLatency)
	a.meanWork += workWeight * (max((float64(s.Latency)-s.queueTime())/slowdown, 1) - a.meanWork)
}

// observe updates the count from a response. The grant of the request itself is still counted.
func (s *slotCount) observe(now clock.Millis, signal Signal) {
	if signal.Slots > 0 {
		s.slots = signal.Slots
	}
	reported := float64(signal.Running + signal.Waiting)
	s.foreign += foreignWeight * (max(reported-float64(s.granted), 0) - s.foreign)
	// One request must always go through, since only responses show that the load has ended.
	s.foreign = min(s.foreign, float64(s.slots-1))
	s.slowdown, s.slowdownAt = signal.Slowdown, now
}

// slowdownHalfLife is the age at which a reported slowdown counts half.
const slowdownHalfLife = 300 * clock.Millis(1)

func (s *slotCount) expectedSlowdown(now clock.Millis) float64 {
	if s.slowdown <= 1 {
		return 1
	}
	return 1 + (s.slowdown-1)/(1+float64(max(now-s.slowdownAt, 0))/float64(slowdownHalfLife))
}
