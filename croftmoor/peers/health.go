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

// Health exchanges heartbeats with other instances and reports which of them can be
// reached. Set the exported fields before Run.
type Health struct {
	Self   ident.InstanceName
	Zone   ident.Zone
	Client *Client
	Fleet  *fleet.Table
	Clock  *clock.Clock
	// Heartbeat returns this instance's heartbeat.
	Heartbeat func() Heartbeat
	// OnBehind is called when a peer has read more of the log than this instance.
	OnBehind func(ctx context.Context, peer ident.InstanceName, upTo ident.Offset)
	// Partners returns the instances to ping in each round.
	Partners func() []ident.InstanceName

	// mu guards the fields below.
	mu       sync.Mutex
	received map[ident.InstanceName]receivedHeartbeat
	// incarnations maps a listed name to the incarnation that last sent a heartbeat.
	incarnations map[string]ident.InstanceName
	// suspectedAt is when a call to an instance last got no answer.
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
	// aliveTimeout is how long a peer counts as alive after its last heartbeat.
	aliveTimeout = 1800 * clock.Millis(1)
	// reachableTimeout is how long a peer counts towards MostReached, and is listed by
	// Peers, after its last heartbeat.
	reachableTimeout = 3 * clock.Second
	// LostAfter is how long a peer must be silent before its state counts as lost.
	LostAfter = 15 * clock.Second
	// stableTime is how long the number of live instances must be unchanged before
	// Settled reports true.
	stableTime = 2 * clock.Second
	// fullMeshLimit is the number of listed instances up to which each pair exchanges
	// heartbeats in every round.
	fullMeshLimit = 16
	// randomPings is the number of random instances pinged in a round, besides the
	// partners, when more than fullMeshLimit are listed.
	randomPings = 2
	// sparseTimeout replaces aliveTimeout in Live, and reachableTimeout in MostReached,
	// when more than fullMeshLimit are listed.
	sparseTimeout = 60 * clock.Second
)

// Run pings other instances periodically until ctx ends.
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

// pingTargets pings one round of instances and waits for the answers, then calls OnBehind
// if a peer has read more of the log.
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

// mostAdvanced returns the peer that has read the most of the log, among those that sent
// a heartbeat within aliveTimeout.
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

// chooseTargets returns the instances to ping in a round: all listed ones up to
// fullMeshLimit, beyond it the partners and a few random ones, so that the cost per
// instance stays constant. A ping carries heartbeats both ways, so only one instance of
// a pair initiates it; random pings do not depend on that.
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

// initiates reports whether a, and not b, initiates the pings between the two.
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

// RecordHeartbeat records a heartbeat received from a peer.
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

// updateLiveCount records when the number of live instances last changed.
func (h *Health) updateLiveCount() {
	live := len(h.Live())
	h.mu.Lock()
	defer h.mu.Unlock()
	if live != h.liveCount {
		h.liveCount = live
		h.liveChangedAt = h.Clock.Mono()
	}
}

// Settled reports whether the number of live instances has been unchanged for stableTime.
func (h *Health) Settled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Clock.Mono()-h.liveChangedAt >= stableTime
}

// Alive reports whether the instance is self or sent a heartbeat within aliveTimeout.
func (h *Health) Alive(name ident.InstanceName) bool {
	return name == h.Self || h.silence(name) <= aliveTimeout
}

// Gone reports whether the instance has been silent for LostAfter, so that its state
// counts as lost.
func (h *Health) Gone(name ident.InstanceName) bool {
	return name != h.Self && h.silence(name) >= LostAfter
}

// silence returns the time since the instance's last heartbeat, or since the start of Run
// if there was none.
func (h *Health) silence(name ident.InstanceName) clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := h.startedAt
	if seen, ok := h.received[name]; ok {
		since = seen.at
	} else if h.Clock.Mono()-h.startedAt < LostAfter {
		// Health has not run for long enough to call a peer lost: not alive, not gone.
		return aliveTimeout + 1
	}
	return h.Clock.Mono() - since
}

// Live returns the instances that can hold shards: those listed as live that sent a
// recent heartbeat, are not suspected and are not draining. Self is included unless it
// is draining.
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

// liveInstance returns the incarnation of a listed instance, and whether Live includes it.
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

// timeout returns how long a heartbeat is valid: sparseTimeout if instances ping only some
// of the others in a round, else fullMeshTimeout.
func (h *Health) timeout(fullMeshTimeout clock.Millis) clock.Millis {
	if len(h.Fleet.View().Entries) > fullMeshLimit {
		return sparseTimeout
	}
	return fullMeshTimeout
}

// Suspect records that a call to the instance got no answer. It is excluded from Live
// until its next heartbeat; Alive and Gone are unaffected.
func (h *Health) Suspect(name ident.InstanceName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.suspectedAt == nil {
		h.suspectedAt = map[ident.InstanceName]clock.Millis{}
	}
	h.suspectedAt[name] = h.Clock.Mono()
}

// MostReached reports whether this instance and those that sent a recent heartbeat are
// more than half of the listed instances.
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

// Peers returns the latest heartbeat of each listed instance that sent one within
// reachableTimeout, for operators.
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
