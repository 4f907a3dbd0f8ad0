package peers

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/views"
)

// Health knows which instances answer. Set the exported fields before Run;
// what was heard is guarded by mu.
type Health struct {
	Self      ident.InstanceName
	Zone      ident.Zone
	Client    *Client
	Fleet     *fleet.Table
	Clock     *clock.Clock
	Heartbeat func() Heartbeat
	// OnBehind is called when a peer has read more of the log than this instance.
	OnBehind func(ctx context.Context, peer ident.InstanceName, upTo ident.Offset)
	// Partners lists instances that must be pinged each time.
	Partners func() []ident.InstanceName

	mu           sync.Mutex
	received     map[ident.InstanceName]receivedHeartbeat
	incarnations map[string]ident.InstanceName
	// suspectedAt is when calls got no answer.
	suspectedAt   map[ident.InstanceName]clock.Millis
	startedAt     clock.Millis
	liveCount     int
	liveChangedAt clock.Millis
}

type receivedHeartbeat struct {
	at        clock.Millis
	heartbeat Heartbeat
}

const (
	pingPeriod  = 500 * clock.Millis(1)
	pingTimeout = 900 * clock.Millis(1)
	// aliveTimeout is how long a peer counts as reachable after it was heard.
	aliveTimeout = 1800 * clock.Millis(1)
	// reachableTimeout is the same for counting most of the instances.
	reachableTimeout = 3 * clock.Second
	// LostAfter is how long a peer must be silent before its state counts as lost.
	LostAfter = 15 * clock.Second
	// stableTime is how long the set of live instances must stay the same
	// before shards move without need.
	stableTime = 2 * clock.Second
	// fullMeshLimit is the number of instances up to which all ping each other.
	fullMeshLimit = 16
	// randomPings is how many at random an instance pings beyond that, besides its
	// partners, and manyTerm how long one then counts as live without news.
	randomPings   = 2
	sparseTimeout = 60 * clock.Second
)

// Run pings until ctx ends.
func (h *Health) Run(ctx context.Context) {
	h.mu.Lock()
	h.startedAt = h.Clock.Mono()
	h.mu.Unlock()
	for {
		h.pingTargets(ctx)
		if !h.Clock.Sleep(ctx, pingPeriod) {
			return
		}
	}
}

func (h *Health) pingTargets(ctx context.Context) {
	var group conc.WaitGroup
	for _, name := range h.chooseTargets() {
		group.Go(func() { h.ping(ctx, name) })
	}
	group.Wait()
	h.updateLiveCount()
	if peer, upTo := h.mostAdvanced(); upTo > h.Heartbeat().UpTo {
		h.OnBehind(ctx, peer, upTo)
	}
}

// mostAdvanced returns the peer that has read the most of the log, of those heard lately.
func (h *Health) mostAdvanced() (peer ident.InstanceName, upTo ident.Offset) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Mono()
	for name, seen := range h.received {
		if now-seen.at <= aliveTimeout && seen.heartbeat.UpTo > upTo {
			peer, upTo = name, seen.heartbeat.UpTo
		}
	}
	return peer, upTo
}

// chooseTargets returns whom to ping: all while there are few, else the partners
// and a random few, so that the cost of an instance does not grow. A ping
// carries news both ways, so that of two instances one pings the other.
func (h *Health) chooseTargets() []ident.InstanceName {
	var names []ident.InstanceName
	self := h.Self.ListName()
	entries := h.Fleet.View().Entries
	if len(entries) <= fullMeshLimit {
		for _, m := range entries {
			if m.Name != self && initiates(self, m.Name) {
				names = append(names, ident.InstanceName(m.Name))
			}
		}
		return names
	}
	for range randomPings {
		if m := entries[rand.IntN(len(entries))]; m.Name != self {
			names = append(names, ident.InstanceName(m.Name))
		}
	}
	for _, partner := range h.Partners() {
		if initiates(self, partner.ListName()) {
			names = append(names, partner)
		}
	}
	return names
}

// initiates tells whether a is the one of the two that initiates.
func initiates(a, b string) bool {
	first, second := min(a, b), max(a, b)
	even := ident.Hash(first, second)%2 == 0
	return (a == first) == even
}

func (h *Health) ping(ctx context.Context, name ident.InstanceName) {
	pingCtx, cancel := context.WithTimeout(ctx, pingTimeout.Duration())
	heartbeat, err := h.Client.Ping(pingCtx, name, h.Heartbeat())
	cancel()
	if err != nil {
		return
	}
	h.RecordHeartbeat(heartbeat)
}

// RecordHeartbeat notes news from a peer.
func (h *Health) RecordHeartbeat(heartbeat Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.received == nil {
		h.received = map[ident.InstanceName]receivedHeartbeat{}
		h.incarnations = map[string]ident.InstanceName{}
	}
	delete(h.suspectedAt, heartbeat.Instance)
	h.received[heartbeat.Instance] = receivedHeartbeat{at: h.Clock.Mono(), heartbeat: heartbeat}
	h.incarnations[heartbeat.Instance.ListName()] = heartbeat.Instance
}

func (h *Health) updateLiveCount() {
	live := len(h.Live())
	h.mu.Lock()
	defer h.mu.Unlock()
	if live != h.liveCount {
		h.liveCount = live
		h.liveChangedAt = h.Clock.Mono()
	}
}

// Settled tells whether the set of live instances has not changed lately.
func (h *Health) Settled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Clock.Mono()-h.liveChangedAt >= stableTime
}

// Alive tells whether the instance was heard of lately.
func (h *Health) Alive(name ident.InstanceName) bool {
	return name == h.Self || h.silence(name) <= aliveTimeout
}

// Gone tells whether the instance has been silent for so long that its state
// counts as lost.
func (h *Health) Gone(name ident.InstanceName) bool {
	return name != h.Self && h.silence(name) >= LostAfter
}

func (h *Health) silence(name ident.InstanceName) clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := h.startedAt
	if seen, ok := h.received[name]; ok {
		since = seen.at
	} else if h.Clock.Mono()-h.startedAt < LostAfter {
		// Nobody has had the time to be heard of yet.
		return aliveTimeout + 1
	}
	return h.Clock.Mono() - since
}

// Live returns the instances that take part: on the list as live, heard of
// lately and not draining; self among them unless it is draining.
func (h *Health) Live() []views.Member {
	var live []views.Member
	draining := h.Heartbeat().Draining
	for _, m := range h.Fleet.View().Entries {
		if m.Name == h.Self.ListName() {
			continue
		}
		if name, ok := h.liveInstance(m); ok {
			live = append(live, views.Member{Name: name, Zone: m.Zone})
		}
	}
	if !draining {
		live = append(live, views.Member{Name: h.Self, Zone: h.Zone})
	}
	return live
}

func (h *Health) liveInstance(m fleet.Member) (ident.InstanceName, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name, ok := h.incarnations[m.Name]
	if !ok || m.State != fleet.Live {
		return "", false
	}
	seen := h.received[name]
	suspected, ok := h.suspectedAt[name]
	if ok && suspected >= seen.at {
		return "", false
	}
	return name, !seen.heartbeat.Draining && h.Clock.Mono()-seen.at <= h.timeout(aliveTimeout)
}

// timeout returns for how long news counts: longer where few are pinged each round.
func (h *Health) timeout(fullMeshTimeout clock.Millis) clock.Millis {
	if len(h.Fleet.View().Entries) > fullMeshLimit {
		return sparseTimeout
	}
	return fullMeshTimeout
}

// Suspect notes that a call to the instance got no answer: it does not count as
// live until it is heard of again. That says nothing of its state being lost.
func (h *Health) Suspect(name ident.InstanceName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.suspectedAt == nil {
		h.suspectedAt = map[ident.InstanceName]clock.Millis{}
	}
	h.suspectedAt[name] = h.Clock.Mono()
}

// MostReached tells whether more than half of the listed instances, self
// included, were heard of lately.
func (h *Health) MostReached() bool {
	entries := h.Fleet.View().Entries
	reached, all := 1, 1
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range entries {
		if m.Name == h.Self.ListName() {
			continue
		}
		all++
		if seen, ok := h.received[h.incarnations[m.Name]]; ok && h.Clock.Mono()-seen.at <= h.timeout(reachableTimeout) {
			reached++
		}
	}
	return 2*reached > all
}

// Peers lists what was heard from each listed instance, for operators.
func (h *Health) Peers() []Heartbeat {
	var list []Heartbeat
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.Fleet.View().Entries {
		if seen, ok := h.received[h.incarnations[m.Name]]; ok && h.Clock.Mono()-seen.at <= reachableTimeout {
			list = append(list, seen.heartbeat)
		}
	}
	return list
}
