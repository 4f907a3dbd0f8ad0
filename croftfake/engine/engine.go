// Package engine stands in for a model engine: continuous batching at a token
// rate that falls with the batch, a prefix cache in limited memory, priorities
// with preemption, streams that resume and cancel, lagging load reports, and
// orders to load weights, with or without fencing.
package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"croftmoor.dev/croftfake/stand"
	"croftmoor.dev/croftfake/words"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/gone"
	"croftmoor.dev/kernel/guess"
	"croftmoor.dev/kernel/httpc"
)

// Engine is one engine. Set the exported fields before Run.
type Engine struct {
	Listen string
	Name   string
	Clock  *clock.Clock
	// Weights is the weight store's address; empty means that swaps need no fetch.
	Weights string
	// Slots is how many sequences run at once.
	Slots int
	// Rate is the tokens a second of a sequence that runs alone; at HalfBatch
	// running sequences each gets half of it.
	Rate      float64
	HalfBatch float64
	// Prefill is the time before the first token of an uncached prompt.
	Prefill clock.Millis
	// CachePrompts is how many prompt families the cache holds.
	CachePrompts int
	// LoadLag is how old a load report is.
	LoadLag clock.Millis
	// MeanLength is the mean length of answers in tokens.
	MeanLength int
	// CacheGaps is the share of load reports that leave the cache out.
	CacheGaps float64
	// ChecksFence makes orders with an old fencing number be refused.
	ChecksFence bool

	faults  stand.Injector
	watcher gone.Watcher
	client  httpc.Client

	mu       sync.Mutex
	running  []*sequence
	waiting  []*sequence
	versions map[string]int64
	claimed  map[string]int64
	fence    int64
	slow     float64
	partial  int
	down     bool
	role     string
	imported map[string]int
	cache    []string
	reports  []Load
	orders   []Order
	tokens   int64
	lost     int64
	made     map[string][]TokenRun
	madeIDs  []string
}

// TokenRun is a run of tokens that was generated for a request.
type TokenRun struct {
	Index   int
	Tokens  int
	Version int64
}

// Load is what the engine reports of itself, late.
type Load struct {
	Running  int
	Waiting  int
	Slots    int
	Draining bool
	Versions []AdapterVersion
	// Cached lists prompt families in the cache.
	Cached []string
	Role   string
	At     int64
}

// AdapterVersion is the version of one adapter.
type AdapterVersion struct {
	Adapter string
	Version int64
}

// Order tells the engine to load a version of an adapter, or to take a role.
// An engine in the role Live takes no rollouts, one in the role Rollout no live
// requests, and one without a role takes both.
type Order struct {
	Fence   int64
	Adapter string
	Version int64
	Role    string
}

// Roles.
const (
	LiveRole    = "Live"
	RolloutRole = "Rollout"
	// livePriority is the least priority that counts as live.
	livePriority = 10
)

// KV is the state of a sequence on its way to another engine.
type KV struct {
	ID     string
	Prompt string
	Tokens int
}

type sequence struct {
	request Request
	length  int
	next    int
	credit  float64
	out     chan chunk
	ended   bool
}

// chunk is a run of tokens of one version, or the end.
type chunk struct {
	index   int
	tokens  int
	version int64
	text    string
	end     bool
}

const (
	tick          = 20 * clock.Millis(1)
	outBuffer     = 1024
	reportsKept   = 400
	madeKept      = 50_000
	cachedPrefill = 0.2
)

// Run serves until a signal.
func (e *Engine) Run() error {
	e.versions = map[string]int64{}
	e.claimed = map[string]int64{}
	e.made = map[string][]TokenRun{}
	e.imported = map[string]int{}
	e.slow = 1
	e.faults.Clock = e.Clock
	e.watcher.Clock = e.Clock
	return stand.Serve(e.app(), e.Listen, e.simulate, e.watcher.Run)
}

// simulate advances the sequences until ctx ends.
func (e *Engine) simulate(ctx context.Context) {
	last := e.Clock.Mono()
	e.Clock.Every(ctx, tick, func() {
		now := e.Clock.Mono()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.schedule()
		e.advance(now - last)
		e.report()
		last = now
	})
}

// schedule starts waiting sequences by priority and preempts running ones of
// a lower priority.
func (e *Engine) schedule() {
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s.ended })
	e.waiting = slices.DeleteFunc(e.waiting, func(s *sequence) bool { return s.ended })
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int { return b.request.Priority - a.request.Priority })
	for len(e.waiting) > 0 {
		head := e.waiting[0]
		if len(e.running) >= e.Slots && !e.preempt(head.request.Priority) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, head)
		head.credit = -e.prefill(head)
	}
}

// preempt moves the running sequence of the lowest priority below the given
// one back to the queue; it will need its prefill again.
func (e *Engine) preempt(priority int) bool {
	lowest := -1
	for i, s := range e.running {
		if s.request.Priority < priority && (lowest < 0 || s.request.Priority <= e.running[lowest].request.Priority) {
			lowest = i
		}
	}
	if lowest < 0 {
		return false
	}
	e.waiting = append(e.waiting, e.running[lowest])
	e.running = slices.Delete(e.running, lowest, lowest+1)
	return true
}

// prefill returns the tokens' worth of time before the first token.
func (e *Engine) prefill(s *sequence) float64 {
	if tokens, ok := e.imported[s.request.ID]; ok && tokens >= s.next {
		delete(e.imported, s.request.ID)
		return 0
	}
	family := guess.Family(s.request.Prompt)
	cost := float64(e.Prefill) / float64(clock.Second) * e.Rate
	at := slices.Index(e.cache, family)
	if at >= 0 {
		e.cache = slices.Delete(e.cache, at, at+1)
		cost *= cachedPrefill
	}
	e.cache = append(e.cache, family)
	if len(e.cache) > e.CachePrompts {
		e.cache = slices.Delete(e.cache, 0, len(e.cache)-e.CachePrompts)
	}
	return cost
}

func (e *Engine) advance(span clock.Millis) {
	if e.faults.Active().Hang {
		return
	}
	rate := e.Rate * e.slow / (1 + float64(len(e.running))/e.HalfBatch)
	for _, s := range e.running {
		s.credit += rate * float64(span) / float64(clock.Second)
		e.emit(s, int(s.credit))
	}
}

func (e *Engine) emit(s *sequence, n int) {
	n = min(n, s.length-s.next)
	if n > 0 && len(s.out) < cap(s.out)-1 {
		s.out <- chunk{
			index: s.next, tokens: n, version: e.versions[s.request.Adapter],
			text: words.Text(s.request.Prompt, s.next, s.next+n),
		}
		e.note(s.request.ID, TokenRun{Index: s.next, Tokens: n, Version: e.versions[s.request.Adapter]})
		s.next += n
		s.credit -= float64(n)
		e.tokens += int64(n)
	}
	if s.next >= s.length && !s.ended {
		s.out <- chunk{end: true}
		s.ended = true
	}
}

// note remembers what was made for a request, so that labels can be checked.
func (e *Engine) note(id string, m TokenRun) {
	runs, known := e.made[id]
	if !known {
		e.madeIDs = append(e.madeIDs, id)
		if len(e.madeIDs) > madeKept {
			delete(e.made, e.madeIDs[0])
			e.madeIDs = e.madeIDs[1:]
		}
	}
	if n := len(runs); n > 0 && runs[n-1].Version == m.Version && runs[n-1].Index+runs[n-1].Tokens == m.Index {
		runs[n-1].Tokens += m.Tokens
		return
	}
	e.made[id] = append(runs, m)
}

func (e *Engine) report() {
	load := Load{
		Running: len(e.running), Waiting: len(e.waiting), Slots: e.Slots, Draining: e.faults.Active().Draining,
		Role: e.role, At: int64(e.Clock.Now()),
	}
	if rand.Float64() >= e.CacheGaps {
		load.Cached = slices.Clone(e.cache)
	}
	for adapter, version := range e.claimed {
		load.Versions = append(load.Versions, AdapterVersion{Adapter: adapter, Version: version})
	}
	e.reports = append(e.reports, load)
	if len(e.reports) > reportsKept {
		e.reports = slices.Delete(e.reports, 0, len(e.reports)-reportsKept)
	}
}

// laggingLoad returns the newest report that is at least LoadLag old.
func (e *Engine) laggingLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	shown := Load{Slots: e.Slots}
	newest := int64(e.Clock.Now() - e.LoadLag)
	for _, load := range e.reports {
		if load.At <= newest {
			shown = load
		}
	}
	return shown
}

// submit queues a request's sequence.
func (e *Engine) submit(r Request) *sequence {
	length := words.Length(r.Prompt, r.Seed, e.MeanLength, r.MaxTokens)
	s := &sequence{request: r, length: length, next: min(r.ResumeFrom, length), out: make(chan chunk, outBuffer)}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting = append(e.waiting, s)
	return s
}

// takes tells whether the engine's role lets it take a request.
func (e *Engine) takes(r Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	live := r.Priority >= livePriority
	return e.role == "" || (live && e.role == LiveRole) || (!live && e.role == RolloutRole)
}

// export returns the state of a sequence that runs or waits here.
func (e *Engine) export(id string) (KV, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Concat(e.running, e.waiting) {
		if s.request.ID == id && !s.ended {
			return KV{ID: id, Prompt: s.request.Prompt, Tokens: s.next}, true
		}
	}
	return KV{}, false
}

// importKV takes the state of a sequence; memory for it is limited.
func (e *Engine) importKV(kv KV) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.imported) >= e.CachePrompts {
		return false
	}
	e.imported[kv.ID] = kv.Tokens
	return true
}

// cancel ends a sequence whose receiver has gone.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !s.ended {
		e.lost += int64(s.next)
	}
	s.ended = true
}

// obey carries out an order: it fetches the weights and swaps. Sequences in
// flight go on with the new version from their next token.
func (e *Engine) obey(ctx context.Context, order Order) (accepted bool) {
	e.mu.Lock()
	if e.ChecksFence && order.Fence < e.fence {
		e.mu.Unlock()
		return false
	}
	e.fence = max(e.fence, order.Fence)
	e.orders = append(e.orders, order)
	if order.Role != "" {
		e.role = order.Role
		e.mu.Unlock()
		return true
	}
	e.mu.Unlock()
	if e.Weights != "" {
		if _, err := stand.Post(ctx, &e.client, e.Weights, "/fetch", struct{}{}); err != nil {
			return true
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.claimed[order.Adapter] = order.Version
	if e.partial > 0 {
		e.partial--
		return true
	}
	e.versions[order.Adapter] = order.Version
	return true
}
