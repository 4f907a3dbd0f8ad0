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
	Self   ident.InstanceName
	Zone   ident.Zone
	Client *Client
	Fleet  *fleet.Table
	Clock  *clock.Clock
	News   func() News
	// Behind is called when a peer has read more of the log than this instance.
	Behind func(ctx context.Context, peer ident.InstanceName, upTo ident.Offset)
	// Partners lists instances that must be pinged each time.
	Partners func() []ident.InstanceName

	mu    sync.Mutex
	heard map[ident.InstanceName]heard
	lives map[string]ident.InstanceName
	// suspects is when calls got no answer.
	suspects map[ident.InstanceName]clock.Millis
	started  clock.Millis
	members  int
	changed  clock.Millis
}

type heard struct {
	at   clock.Millis
	news News
}

const (
	pingPeriod  = 500 * clock.Millis(1)
	pingTimeout = 900 * clock.Millis(1)
	// aliveTerm is how long a peer counts as reachable after it was heard.
	aliveTerm = 1800 * clock.Millis(1)
	// reachTerm is the same for counting most of the instances.
	reachTerm = 3 * clock.Second
	// LostAfter is how long a peer must be silent before its state counts as lost.
	LostAfter = 15 * clock.Second
	// settleTerm is how long the set of live instances must stay the same
	// before shards move without need.
	settleTerm = 2 * clock.Second
	// pingAll is the number of instances up to which all ping each other.
	pingAll = 16
	// pingSome is how many at random an instance pings beyond that, besides its
	// partners, and manyTerm how long one then counts as live without news.
	pingSome = 2
	manyTerm = 60 * clock.Second
)

// Run pings until ctx ends.
func (h *Health) Run(ctx context.Context) {
	h.mu.Lock()
	h.started = h.Clock.Mono()
	h.mu.Unlock()
	for {
		h.round(ctx)
		if !h.Clock.Sleep(ctx, pingPeriod) {
			return
		}
	}
}

func (h *Health) round(ctx context.Context) {
	var group conc.WaitGroup
	for _, name := range h.targets() {
		group.Go(func() { h.ping(ctx, name) })
	}
	group.Wait()
	h.noteChange()
	if peer, upTo := h.ahead(); upTo > h.News().UpTo {
		h.Behind(ctx, peer, upTo)
	}
}

// ahead returns the peer that has read the most of the log, of those heard lately.
func (h *Health) ahead() (peer ident.InstanceName, upTo ident.Offset) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Mono()
	for name, seen := range h.heard {
		if now-seen.at <= aliveTerm && seen.news.UpTo > upTo {
			peer, upTo = name, seen.news.UpTo
		}
	}
	return peer, upTo
}

// targets returns whom to ping: all while there are few, else the partners
// and a random few, so that the cost of an instance does not grow. A ping
// carries news both ways, so that of two instances one pings the other.
func (h *Health) targets() []ident.InstanceName {
	var names []ident.InstanceName
	self := h.Self.ListName()
	entries := h.Fleet.View().Entries
	if len(entries) <= pingAll {
		for _, m := range entries {
			if m.Name != self && pings(self, m.Name) {
				names = append(names, ident.InstanceName(m.Name))
			}
		}
		return names
	}
	for range pingSome {
		if m := entries[rand.IntN(len(entries))]; m.Name != self {
			names = append(names, ident.InstanceName(m.Name))
		}
	}
	for _, partner := range h.Partners() {
		if pings(self, partner.ListName()) {
			names = append(names, partner)
		}
	}
	return names
}

// pings tells whether a is the one of the two that pings.
func pings(a, b string) bool {
	first, second := min(a, b), max(a, b)
	even := ident.Hash(first, second)%2 == 0
	return (a == first) == even
}

func (h *Health) ping(ctx context.Context, name ident.InstanceName) {
	pingCtx, cancel := context.WithTimeout(ctx, pingTimeout.Duration())
	news, err := h.Client.Ping(pingCtx, name, h.News())
	cancel()
	if err != nil {
		return
	}
	h.Heard(news)
}

// Heard notes news from a peer.
func (h *Health) Heard(news News) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.heard == nil {
		h.heard = map[ident.InstanceName]heard{}
		h.lives = map[string]ident.InstanceName{}
	}
	delete(h.suspects, news.Instance)
	h.heard[news.Instance] = heard{at: h.Clock.Mono(), news: news}
	h.lives[news.Instance.ListName()] = news.Instance
}

func (h *Health) noteChange() {
	live := len(h.Live())
	h.mu.Lock()
	defer h.mu.Unlock()
	if live != h.members {
		h.members = live
		h.changed = h.Clock.Mono()
	}
}

// Settled tells whether the set of live instances has not changed lately.
func (h *Health) Settled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Clock.Mono()-h.changed >= settleTerm
}

// Alive tells whether the instance was heard of lately.
func (h *Health) Alive(name ident.InstanceName) bool {
	return name == h.Self || h.silent(name) <= aliveTerm
}

// Gone tells whether the instance has been silent for so long that its state
// counts as lost.
func (h *Health) Gone(name ident.InstanceName) bool {
	return name != h.Self && h.silent(name) >= LostAfter
}

func (h *Health) silent(name ident.InstanceName) clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := h.started
	if seen, ok := h.heard[name]; ok {
		since = seen.at
	} else if h.Clock.Mono()-h.started < LostAfter {
		// Nobody has had the time to be heard of yet.
		return aliveTerm + 1
	}
	return h.Clock.Mono() - since
}

// Live returns the instances that take part: on the list as live, heard of
// lately and not draining; self among them unless it is draining.
func (h *Health) Live() []views.Member {
	var live []views.Member
	draining := h.News().Draining
	for _, m := range h.Fleet.View().Entries {
		if m.Name == h.Self.ListName() {
			continue
		}
		if name, ok := h.active(m); ok {
			live = append(live, views.Member{Name: name, Zone: m.Zone})
		}
	}
	if !draining {
		live = append(live, views.Member{Name: h.Self, Zone: h.Zone})
	}
	return live
}

func (h *Health) active(m fleet.Member) (ident.InstanceName, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name, ok := h.lives[m.Name]
	if !ok || m.State != fleet.Live {
		return "", false
	}
	seen := h.heard[name]
	suspected, ok := h.suspects[name]
	if ok && suspected >= seen.at {
		return "", false
	}
	return name, !seen.news.Draining && h.Clock.Mono()-seen.at <= h.term(aliveTerm)
}

// term returns for how long news counts: longer where few are pinged each round.
func (h *Health) term(few clock.Millis) clock.Millis {
	if len(h.Fleet.View().Entries) > pingAll {
		return manyTerm
	}
	return few
}

// Suspect notes that a call to the instance got no answer: it does not count as
// live until it is heard of again. That says nothing of its state being lost.
func (h *Health) Suspect(name ident.InstanceName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.suspects == nil {
		h.suspects = map[ident.InstanceName]clock.Millis{}
	}
	h.suspects[name] = h.Clock.Mono()
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
		if seen, ok := h.heard[h.lives[m.Name]]; ok && h.Clock.Mono()-seen.at <= h.term(reachTerm) {
			reached++
		}
	}
	return 2*reached > all
}

// Peers lists what was heard from each listed instance, for operators.
func (h *Health) Peers() []News {
	var list []News
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.Fleet.View().Entries {
		if seen, ok := h.heard[h.lives[m.Name]]; ok && h.Clock.Mono()-seen.at <= reachTerm {
			list = append(list, seen.news)
		}
	}
	return list
}
