package batch

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/toggle"
)

const (
	// pollPeriod is the longest time between two looks at the state: some changes, like
	// an engine's leaving, come without a record.
	pollPeriod = 100 * clock.Millis(1)
	// overbook is how many items an engine may hold beyond its slots, which gives a slot
	// that becomes free its next item at once.
	overbook = 1
	// loadTimeout is how long an ordered load of weights keeps items away if its end is
	// not reported.
	loadTimeout = 2500 * clock.Millis(1)
)

// run is an item that this instance runs. Its claim is 0 if it was begun without one while
// the ledger was unreachable.
type run struct {
	claim  ident.Offset
	engine ident.BackendName
	cancel context.CancelFunc
	// generated is set once the text is complete and only scoring and saving are left.
	generated atomic.Bool
	// stopScoring cancels the scoring of a complete text; nil before that begins.
	stopScoring atomic.Pointer[context.CancelFunc]
}

// Runner claims items for engines and runs those of the engines that this instance acts
// for. Set the exported fields, then call Setup and Run. mu guards the unexported fields
// down to givenBack.
type Runner struct {
	Self    ident.InstanceName
	Ledger  Ledger
	Blobs   Blobs
	Engines Engines
	Rewards Rewards
	Fleet   *fleet.Table
	Routes  func() *paths.Table
	Clock   *clock.Clock
	Trail   Decisions
	// Counts and Guard may be nil.
	Counts Counts
	Guard  Guard
	// Without lists the disabled mechanisms; its method Enabled returns true for all others.
	Without toggle.Set

	mu      sync.Mutex
	runs    map[jobs.ItemKey]*run
	pending map[jobs.ItemKey]bool
	// idleSince is the time since which an own engine has had room for a waiting item
	// without getting one.
	idleSince map[ident.BackendName]clock.Millis
	// lastIdleCheck is the time of the last check for such engines.
	lastIdleCheck clock.Millis
	// lastQueueCheck is the time of the last look at the queues, standstillLogged that of a
	// service's last line.
	lastQueueCheck   clock.Millis
	standstillLogged map[ident.Service]clock.Millis
	// servedAt is when each service last had an engine that may get items.
	servedAt map[ident.Service]clock.Millis
	// prefetched are the open jobs whose prefetch is scheduled or done.
	prefetched map[ident.Job]bool
	actors     actors
	// probes are those of the zones that are silent now.
	probes map[ident.Zone]*zoneProbe
	starts engineStarts
	// leaving is set once nothing more is claimed, givenBack once all runs are stopped
	// and yielded as well.
	leaving   bool
	givenBack bool
	group     conc.WaitGroup
	wakeups   chan struct{}
}

// Setup initialises the runner; it is called before Run.
func (r *Runner) Setup() {
	r.runs = map[jobs.ItemKey]*run{}
	r.pending = map[jobs.ItemKey]bool{}
	r.idleSince = map[ident.BackendName]clock.Millis{}
	r.lastIdleCheck, r.lastQueueCheck = -idleCheckPeriod, -queueCheckPeriod
	r.standstillLogged = map[ident.Service]clock.Millis{}
	r.servedAt = map[ident.Service]clock.Millis{}
	r.prefetched = map[ident.Job]bool{}
	r.probes = map[ident.Zone]*zoneProbe{}
	r.wakeups = make(chan struct{}, 1)
}

// Run claims and runs items until ctx ends. It returns when all runs have ended; until then it
// stops the scoring of texts that can't be listed any more.
func (r *Runner) Run(ctx context.Context) {
	defer r.awaitRuns()
	for ctx.Err() == nil {
		changed := r.Ledger.Changed()
		r.syncRuns(ctx)
		r.claimItems(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-r.wakeups:
		case <-r.Clock.After(pollPeriod):
		}
	}
}

// awaitRuns waits until all runs have ended.
func (r *Runner) awaitRuns() {
	ended := make(chan struct{})
	var waiting conc.WaitGroup
	defer waiting.Wait()
	waiting.Go(func() {
		defer close(ended)
		r.group.Wait()
	})
	for {
		changed := r.Ledger.Changed()
		r.mu.Lock()
		r.Ledger.View(r.stopUnwantedScoring)
		r.mu.Unlock()
		select {
		case <-ended:
			return
		case <-changed:
		}
	}
}

// Leave stops claiming items; runs continue.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// GiveBack stops claiming items and cancels all runs, which yield their items to other
// instances.
func (r *Runner) GiveBack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving, r.givenBack = true, true
	for _, run := range r.runs {
		run.cancel()
	}
}

// Running returns how many items this instance runs.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// claimed is an item that this instance is to run.
type claimed struct {
	key    jobs.ItemKey
	item   jobs.Item
	accept jobs.Accept
}

// syncRuns starts the items that this instance has claimed, unless the state is outdated. It
// cancels the runs whose claim is gone or whose engine has restarted, and the scoring of texts
// that can't be listed any more.
func (r *Runner) syncRuns(ctx context.Context) {
	assigned := map[jobs.ItemKey]claimed{}
	open := map[ident.Job]bool{}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ledger.View(func(state *jobs.State) {
		for _, id := range state.JobOrder {
			if state.Jobs[id].Open() {
				open[id] = true
			}
		}
		r.collect(state, assigned)
		r.stopUnwantedScoring(state)
	})
	r.schedulePrefetch(ctx, open)
	starts := r.listedStarts()
	for key, run := range r.runs {
		c, ok := assigned[key]
		if ok && run.claim == 0 {
			run.claim = c.item.Claim
		}
		if !ok || c.item.Claim != run.claim || (starts.restarted(run.engine) && !run.generated.Load()) {
			run.cancel()
		}
	}
	if r.givenBack || !r.mayBegin() {
		return
	}
	for key, c := range assigned {
		if r.runs[key] == nil {
			r.begin(ctx, c)
		}
	}
}

// stopUnwantedScoring cancels the reward calls of items whose job has ended or whose result is
// listed. The caller holds mu.
func (r *Runner) stopUnwantedScoring(state *jobs.State) {
	for key, run := range r.runs {
		if stop := run.stopScoring.Load(); stop != nil && !canBeListed(state, key) {
			(*stop)()
		}
	}
}

// mayBegin reports whether items may be begun from the state: if it is fresh, or if the
// ledger is silent and the state not older than maxStateAge. While records are still unread,
// they may end the jobs or replace the claims. A run needs the routes as well.
func (r *Runner) mayBegin() bool {
	if r.Routes() == nil {
		return false
	}
	return r.Ledger.Fresh() || (r.Ledger.Away() && r.Ledger.Age() <= maxStateAge)
}

// collect adds to assigned the items that this instance has claimed, and those that it runs
// without a claim and nobody has claimed. The caller holds mu.
func (r *Runner) collect(state *jobs.State, assigned map[jobs.ItemKey]claimed) {
	add := func(key jobs.ItemKey, job *jobs.Job) {
		assigned[key] = claimed{key: key, item: job.Items[key.Index], accept: job.Accept}
	}
	for key := range state.Claims[r.Self] {
		if job := state.Jobs[key.Job]; job.Open() {
			add(key, job)
		}
	}
	for key, run := range r.runs {
		job := state.Jobs[key.Job]
		if run.claim != 0 || job == nil || !job.Open() {
			continue
		}
		if item := &job.Items[key.Index]; item.Claim == 0 && !item.Done {
			add(key, job)
		}
	}
}

// begin starts a run. The caller holds mu.
func (r *Runner) begin(ctx context.Context, c claimed) {
	ctx, cancel := context.WithCancel(ctx)
	own := &run{claim: c.item.Claim, engine: c.item.Engine, cancel: cancel}
	r.runs[c.key] = own
	r.group.Go(func() {
		defer cancel()
		defer r.forget(c.key)
		r.performOrYield(ctx, c, own)
	})
}

// forget removes a run that has ended.
func (r *Runner) forget(key jobs.ItemKey) {
	r.mu.Lock()
	delete(r.runs, key)
	r.mu.Unlock()
	r.wake()
}

// performOrYield runs an item, and yields it if that panics. The engine is avoided for a while,
// but the item has not failed. The group would keep the panic until the process ends, and the
// item its claim.
func (r *Runner) performOrYield(ctx context.Context, c claimed, own *run) {
	var catcher panics.Catcher
	catcher.Try(func() { r.perform(ctx, c, own) })
	if panicked := catcher.Recovered(); panicked != nil {
		r.yieldItem(ctx, &progress{runner: r, claim: c}, jobs.Yield{}, "panic: "+panicked.String(),
			jobs.Avoid{By: r.Self, Engine: c.item.Engine, Millis: avoidBrokenMillis})
	}
}

func (r *Runner) wake() {
	select {
	case r.wakeups <- struct{}{}:
	default:
	}
}
