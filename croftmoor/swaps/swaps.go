// Package swaps brings the versions that trainers name to the engines. One
// instance holds the role at a time, by a record of the ledger whose offset is
// the fencing number. It notes each order in the ledger before it gives it, so
// that a successor knows when the last one can have been given.
package swaps

import (
	"context"
	"slices"
	"sync"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/lease"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/toggle"
	"croftmoor.dev/kernel/trail"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Busy means that the engine carries out another order, or its count of
	// orders is not the expected one.
	Busy Kind = "Busy"
	// Fenced means that the engine has seen a higher fencing number.
	Fenced Kind = "Fenced"
	// Refused means that the engine can't carry out the order at all.
	Refused Kind = "Refused"
	// Unsure means that the order may be carried out, now or later.
	Unsure Kind = "Unsure"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Manner is what happens to the runs of an engine that loads a version.
type Manner string

// Manners.
const (
	// Keep lets runs go on under the new version.
	Keep Manner = "Keep"
	// Drain lets runs end first.
	Drain Manner = "Drain"
)

// Order is an order to load a version.
type Order struct {
	Model   ident.Model
	Version ident.Version
	Manner  Manner
	Holder  ident.InstanceName
	Fence   ident.Fence
	// Count is the engine's count of orders, as last reported.
	Count int64
}

// Report is what an engine says of itself.
type Report struct {
	Busy     bool
	Count    int64
	Versions map[ident.Model]ident.Version
}

// Engines gives orders to engines.
type Engines interface {
	Report(ctx context.Context, engine fleet.Member) (Report, error)
	Load(ctx context.Context, engine fleet.Member, order Order) error
}

// Ledger is the shared state as this package uses it.
type Ledger interface {
	lease.Ledger
	Fresh() bool
}

const (
	role   = "weights"
	period = 100 * clock.Millis(1)
	// shareAtOnce is the part of a service's engines that load at once; more are
	// served no sooner by the weight store, and would take no items meanwhile.
	shareAtOnce = 5
	leastAtOnce = 2
	// loadFirst is when an engine is first asked whether it has loaded: a load
	// takes 0.9 s and somewhat more when two run; loadPoll is the pause between two questions and loadTerm when
	// the order counts as lost.
	// firstTook is the time of a load until one was seen, and storeShare the part of
	// it in which the store is busy, 0.9 s of 1.05 s as measured: the rest are calls
	// and the lag of reports.
	firstTook  = 1 * clock.Second
	storeShare = 0.85
	loadFirst  = 1020 * clock.Millis(1)
	loadPoll   = 150 * clock.Millis(1)
	loadTerm   = 4 * clock.Second
	callTerm   = 800 * clock.Millis(1)
	appendTerm = 1500 * clock.Millis(1)
	// orderTerm is how long an engine may take an order after its record was written.
	orderTerm = appendTerm + callTerm
	// retryTerm keeps an engine from orders after one failed.
	retryTerm = 1 * clock.Second
)

// Keeper orders versions. Set the exported fields before Run. Loads under way
// are guarded by mu.
type Keeper struct {
	Self    ident.InstanceName
	Ledger  Ledger
	Engines Engines
	Fleet   *fleet.Table
	Routes  func() *paths.Table
	// Named returns the newest version that was named of a model; 0 if none.
	Named func(ident.Model) ident.Version
	Clock *clock.Clock
	Trail *trail.Trail
	// LeaseTerm is the least time between orders of two holders to one engine.
	LeaseTerm clock.Millis
	// Without are the mechanisms that are switched off.
	Without toggle.Set

	// lease has no term of its own: the ledger knows the last order of each engine.
	lease lease.Lease

	mu      sync.Mutex
	loading map[jobs.EngineModel]loading
	// took is the smoothed time of a load.
	took clock.Millis
	// counts are the engines' counts of orders after their last load here.
	counts  map[ident.BackendName]int64
	notYet  map[jobs.EngineModel]clock.Millis
	leaving bool
	group   conc.WaitGroup
}

// Run holds the role when it falls to this instance, and gives orders, until
// ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.setup()
	defer k.group.Wait()
	k.Clock.Every(ctx, period, func() { k.round(ctx) })
}

func (k *Keeper) setup() {
	k.lease = lease.Lease{Role: role, Self: k.Self, Ledger: k.Ledger, Clock: k.Clock, Trail: k.Trail, Without: k.Without}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loading = map[jobs.EngineModel]loading{}
	k.took = firstTook
	k.notYet = map[jobs.EngineModel]clock.Millis{}
	k.counts = map[ident.BackendName]int64{}
}

// Leave gives no more orders.
func (k *Keeper) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
}

func (k *Keeper) round(ctx context.Context) {
	k.mu.Lock()
	leaving := k.leaving
	k.mu.Unlock()
	if leaving || !k.Ledger.Fresh() || k.Routes() == nil {
		return
	}
	fence, ok := k.lease.Hold(ctx)
	if !ok {
		return
	}
	for _, w := range k.wanted(fence) {
		k.group.Go(func() { k.load(ctx, w, fence) })
	}
}

// want is an engine that is to load a version.
type want struct {
	engine  fleet.Member
	key     jobs.EngineModel
	has     ident.Version
	version ident.Version
	manner  Manner
}

// wanted returns the loads that are to begin now and marks them.
func (k *Keeper) wanted(fence ident.Fence) []want {
	table := k.Routes()
	view := k.Fleet.View()
	now := k.Clock.Mono()
	var begin []want
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Ledger.View(func(b *jobs.State) {
		for name, service := range table.Services {
			engines := slices.DeleteFunc(slices.Clone(view.Backends[name]), func(m fleet.Member) bool { return m.State == fleet.Leaving })
			free := max(leastAtOnce, regular(engines)/shareAtOnce) - k.loadingAt(engines, now)
			if len(service.Models) == 0 || free <= 0 {
				continue
			}
			s := &survey{keeper: k, book: b, service: service, engines: engines, fence: fence, now: now}
			for _, load := range s.plan(free) {
				w := s.want(load, s.manner(table))
				k.loading[w.key] = loading{version: w.version, began: now}
				begin = append(begin, w)
			}
		}
	})
	return begin
}

// regular counts the engines that stay: the store of weights is sized for them, and
// serves spot engines no loads more.
func regular(engines []fleet.Member) int {
	n := 0
	for _, m := range engines {
		if !m.Spot {
			n++
		}
	}
	return n
}

// loading is a load under way.
type loading struct {
	version ident.Version
	began   clock.Millis
	// answered is when the engine answered the order, or the order was given up.
	answered clock.Millis
}

// loadingAt counts the loads under way at a service's engines that still take the
// weight store's time: engines tell late that they have loaded, and an order may
// be lost; mu is held.
func (k *Keeper) loadingAt(engines []fleet.Member, now clock.Millis) int {
	n := 0
	for key, load := range k.loading {
		if k.Without.Enabled(toggle.EarlyOrders) && float64(now-load.began) >= storeShare*float64(k.took) {
			continue
		}
		if slices.ContainsFunc(engines, func(m fleet.Member) bool { return m.Name == string(key.Engine) }) {
			n++
		}
	}
	return n
}

// leased tells whether the holder with a fencing number may order an engine: the
// engine took the last order of another instance, of whatever model, a lease term ago. Earlier
// lives of this instance have ended, and count as itself.
func (k *Keeper) leased(b *jobs.State, engine ident.BackendName, fence ident.Fence, now clock.Millis) bool {
	last := b.LastOrders[engine.ListName()]
	own := last.Fence == fence || (k.Without.Enabled(toggle.Succession) && last.By.ListName() == k.Self.ListName())
	return last.Fence == 0 || own || now-last.TakenBy >= k.LeaseTerm
}

// busy tells whether an engine loads any model; mu is held.
func (k *Keeper) busy(engine ident.BackendName) bool {
	for key := range k.loading {
		if key.Engine == engine {
			return true
		}
	}
	return false
}
