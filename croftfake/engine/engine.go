// Package engine simulates a model engine: continuous batching with a token
// rate that falls as the batch grows, a prefix cache of limited size, priorities
// with preemption, streams that can be resumed and cancelled, delayed load
// reports, and orders to load weights, with or without fencing.
package engine

import (
	"context"
	"slices"
	"sync"

	"croftmoor.dev/croftfake/stand"
	"croftmoor.dev/croftfake/words"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/gone"
	"croftmoor.dev/kernel/guess"
	"croftmoor.dev/kernel/httpc"
)

// Engine is a simulated engine. Set the exported fields before Run.
type Engine struct {
	Listen string
	Name   string
	Clock  *clock.Clock
	// Weights is the address of the weight store; if it is empty, weights are
	// swapped without a fetch.
	Weights string
	// Slots is the maximum number of sequences that run at once.
	Slots int
	// Rate / (1 + n/HalfBatch) is the rate of each of n running sequences in
	// tokens per second.
	Rate      float64
	HalfBatch float64
	// Prefill is the prefill time of an uncached prompt for a sequence that
	// runs at Rate.
	Prefill clock.Millis
	// CachePrompts is the capacity of the prefix cache in prompt families. It
	// also limits the number of imported KV states.
	CachePrompts int
	// LoadLag is the age of the load report that the engine returns.
	LoadLag clock.Millis
	// MeanLength is the mean length of answers in tokens.
	MeanLength int
	// CacheGaps is the fraction of load reports without the cached families.
	CacheGaps float64
	// ChecksFence enables refusing orders with an old fencing number.
	ChecksFence bool

	faults  stand.Injector
	watcher gone.Watcher
	client  httpc.Client

	// mu guards the fields below.
	mu      sync.Mutex
	running []*sequence
	waiting []*sequence
	// loadedVersions are the versions that generate tokens, reportedVersions
	// those in load reports. They differ after a partial swap.
	loadedVersions   map[string]int64
	reportedVersions map[string]int64
	newestFence      int64
	rateFactor       float64
	// partialSwaps is the number of swaps still to fail as Faults.PartialSwaps says.
	partialSwaps int
	down         bool
	role         string
	// importedTokens is the number of tokens of each imported KV state, by request ID.
	importedTokens map[string]int
	// cachedFamilies is in order of use, the least recently used first.
	cachedFamilies []string
	// loadReports is in order of time.
	loadReports     []Load
	orders          []Order
	generatedTokens int64
	lostTokens      int64
	// runsByRequest holds the generated runs of the requests in requestIDs, which
	// is in order of their first token.
	runsByRequest map[string][]TokenRun
	requestIDs    []string
}

// AdapterVersion is a version of an adapter's weights.
type AdapterVersion struct {
	Adapter string
	Version int64
}

// Order tells the engine to load a version of an adapter or, if Role is set, to
// change its role. An engine in LiveRole refuses rollouts, one in RolloutRole
// refuses live requests, and one without a role accepts both.
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
	// livePriority is the lowest priority of a live request.
	livePriority = 10
)

// sequence is a request that waits or runs. It is guarded by Engine.mu, except
// for out, from which the request handler receives.
type sequence struct {
	request Request
	// length is the number of tokens of the whole answer.
	length int
	// nextIndex is the index of the next token to generate.
	nextIndex int
	// tokenCredit is the number of tokens that may be generated now; it is
	// negative during prefill.
	tokenCredit float64
	out         chan chunk
	ended       bool
}

// chunk is a run of tokens of one version, or the end of the stream.
type chunk struct {
	index   int
	tokens  int
	version int64
	text    string
	end     bool
}

const (
	tickInterval        = 20 * clock.Millis(1)
	streamBufferChunks  = 1024
	maxLoadReports      = 400
	maxRecordedRequests = 50_000
	// cachedPrefillFactor is the prefill time of a cached prompt relative to that
	// of an uncached one.
	cachedPrefillFactor = 0.2
)

// Run serves until SIGINT or SIGTERM.
func (e *Engine) Run() error {
	e.loadedVersions = map[string]int64{}
	e.reportedVersions = map[string]int64{}
	e.runsByRequest = map[string][]TokenRun{}
	e.importedTokens = map[string]int{}
	e.rateFactor = 1
	e.faults.Clock = e.Clock
	e.watcher.Clock = e.Clock
	return stand.Serve(e.app(), e.Listen, e.simulate, e.watcher.Run)
}

// simulate schedules and advances the sequences until ctx is done.
func (e *Engine) simulate(ctx context.Context) {
	last := e.Clock.Mono()
	e.Clock.Every(ctx, tickInterval, func() {
		now := e.Clock.Mono()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.schedule()
		e.advance(now - last)
		e.recordLoad()
		last = now
	})
}

// schedule starts waiting sequences in order of priority. If all slots are in
// use, it preempts running sequences of lower priority. mu is held.
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
		head.tokenCredit = -e.prefillTokens(head)
	}
}

// preempt moves the running sequence with the lowest priority back to the queue
// if that priority is below the given one. The sequence needs its prefill again.
// mu is held.
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

// prefillTokens returns the prefill time of a sequence, as the number of tokens
// generated in that time at Rate, and adds its prompt to the cache. It is 0 if
// the KV state was imported. mu is held.
func (e *Engine) prefillTokens(s *sequence) float64 {
	if tokens, ok := e.importedTokens[s.request.ID]; ok && tokens >= s.nextIndex {
		delete(e.importedTokens, s.request.ID)
		return 0
	}
	family := guess.Family(s.request.Prompt)
	cost := float64(e.Prefill) / float64(clock.Second) * e.Rate
	at := slices.Index(e.cachedFamilies, family)
	if at >= 0 {
		e.cachedFamilies = slices.Delete(e.cachedFamilies, at, at+1)
		cost *= cachedPrefillFactor
	}
	e.cachedFamilies = append(e.cachedFamilies, family)
	if len(e.cachedFamilies) > e.CachePrompts {
		e.cachedFamilies = slices.Delete(e.cachedFamilies, 0, len(e.cachedFamilies)-e.CachePrompts)
	}
	return cost
}

// advance generates the tokens of a time span. mu is held.
func (e *Engine) advance(span clock.Millis) {
	if e.faults.Active().Hang {
		return
	}
	rate := e.Rate * e.rateFactor / (1 + float64(len(e.running))/e.HalfBatch)
	for _, s := range e.running {
		s.tokenCredit += rate * float64(span) / float64(clock.Second)
		e.emit(s, int(s.tokenCredit))
	}
}

// emit sends up to n tokens of a sequence to its stream, and the end after the
// last one. It sends none while the stream's buffer is full but for the place
// reserved for the end. mu is held.
func (e *Engine) emit(s *sequence, n int) {
	n = min(n, s.length-s.nextIndex)
	if n > 0 && len(s.out) < cap(s.out)-1 {
		s.out <- chunk{
			index: s.nextIndex, tokens: n, version: e.loadedVersions[s.request.Adapter],
			text: words.Text(s.request.Prompt, s.nextIndex, s.nextIndex+n),
		}
		e.recordRun(s.request.ID, TokenRun{Index: s.nextIndex, Tokens: n, Version: e.loadedVersions[s.request.Adapter]})
		s.nextIndex += n
		s.tokenCredit -= float64(n)
		e.generatedTokens += int64(n)
	}
	if s.nextIndex >= s.length && !s.ended {
		s.out <- chunk{end: true}
		s.ended = true
	}
}

// submit queues a request's sequence.
func (e *Engine) submit(r Request) *sequence {
	length := words.Length(r.Prompt, r.Seed, e.MeanLength, r.MaxTokens)
	s := &sequence{request: r, length: length, nextIndex: min(r.ResumeFrom, length), out: make(chan chunk, streamBufferChunks)}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting = append(e.waiting, s)
	return s
}

// roleAccepts reports whether the engine accepts the request in its role.
func (e *Engine) roleAccepts(r Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	live := r.Priority >= livePriority
	return e.role == "" || (live && e.role == LiveRole) || (!live && e.role == RolloutRole)
}

// cancel ends a sequence whose stream was closed. The tokens of an unfinished
// sequence count as lost.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !s.ended {
		e.lostTokens += int64(s.nextIndex)
	}
	s.ended = true
}

// applyOrder changes the role, or fetches the weights and swaps them. Running
// sequences use the new version from their next token. An order is accepted
// even if its fetch fails; the version is then unchanged.
func (e *Engine) applyOrder(ctx context.Context, order Order) (accepted bool) {
	e.mu.Lock()
	if e.ChecksFence && order.Fence < e.newestFence {
		e.mu.Unlock()
		return false
	}
	e.newestFence = max(e.newestFence, order.Fence)
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
	e.reportedVersions[order.Adapter] = order.Version
	if e.partialSwaps > 0 {
		e.partialSwaps--
		return true
	}
	e.loadedVersions[order.Adapter] = order.Version
	return true
}
