// Package swaps brings the versions that trainers name to the engines. One
// instance holds the role at a time, by a record of the ledger whose offset is
// the fencing number. It notes each order in the ledger before it gives it, so
// that a successor knows when the last one can have been given.
package swaps

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/toggle"
	"croftmoor.dev/kernel/trail"
	"croftmoor.dev/kernel/views"
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
	View(look func(*jobs.Book))
	Append(ctx context.Context, records ...jobs.Record) (ident.Offset, error)
	Await(ctx context.Context, next ident.Offset) error
	Fresh() bool
	Heard() clock.Millis
	Since() clock.Millis
}

const (
	role   = "weights"
	period = 100 * clock.Millis(1)
	// holdTerm is how long after its last acknowledged sign of life the holder
	// may still give orders; it is far below the silence after which another
	// takes the role.
	holdTerm = 1500 * clock.Millis(1)
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
	// turnTerm is how long an instance leaves a vacant role to each of those that
	// come before it: one that has just died or is cut off still counts as alive.
	// Of several that take the role at once the ledger's order decides.
	turnTerm = 300 * clock.Millis(1)
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

	// vacant tells that the role is seen to have no holder, since vacantAt; only the
	// rounds use them, one after the other.
	vacant   bool
	vacantAt clock.Millis

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
	fence, ok := k.hold(ctx)
	if !ok {
		return
	}
	for _, w := range k.wanted(fence) {
		k.group.Go(func() { k.load(ctx, w, fence) })
	}
}

// hold returns the fencing number if this instance holds the role. It takes the
// role if its holder is gone and this instance is the one to follow.
func (k *Keeper) hold(ctx context.Context) (ident.Fence, bool) {
	var holding jobs.Holding
	mine := false
	now := k.Clock.Mono()
	k.Ledger.View(func(b *jobs.Book) {
		holding = b.Holds[role]
		since := k.Ledger.Since()
		holder := b.Members[holding.By]
		if b.Alive(holding.By, since) && holder != nil && !holder.Leaving {
			k.vacant = false
			return
		}
		if !k.vacant {
			k.vacant, k.vacantAt = true, now
		}
		last := holding.By
		if !k.Without.On(toggle.Succession) {
			last = ""
		}
		turn := turnOf(k.Self, last, b.Live(since))
		mine = turn >= 0 && now-k.vacantAt >= clock.Millis(turn)*turnTerm
	})
	if holding.By == k.Self {
		return holding.Fence, k.Ledger.Heard() < holdTerm
	}
	if !mine {
		return 0, false
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTerm.Duration())
	defer cancel()
	offset, err := k.Ledger.Append(callCtx, jobs.Hold{Role: role, By: k.Self, Replaces: ident.Offset(holding.Fence)})
	if err == nil {
		err = k.Ledger.Await(callCtx, offset+1)
	}
	reason := fmt.Sprintf("after %s with fence %d, offset %d", holding.By, holding.Fence, offset)
	if err != nil {
		reason += ": " + err.Error()
	}
	k.Trail.Add(trail.Decision{ID: role, Action: trail.Grant, Choice: string(k.Self), Reason: reason})
	return 0, false
}

// turnOf returns how many members come before this instance in holding the role;
// -1 if it is none of them. A new life of the last holder comes first: it need not
// wait for the lease of its own orders.
func turnOf(self, last ident.InstanceName, live []jobs.Member) int {
	members := make([]views.Member, 0, len(live))
	for _, m := range live {
		members = append(members, views.Member{Name: m.Name, Zone: m.Zone})
	}
	ranked := views.Rank(role, members)
	slices.SortStableFunc(ranked, func(a, b views.Member) int {
		return cmp.Compare(follows(a.Name, last), follows(b.Name, last))
	})
	return slices.IndexFunc(ranked, func(m views.Member) bool { return m.Name == self })
}

// follows orders the members that may hold the role: 0 for a new life of the last
// holder, else 1.
func follows(name, last ident.InstanceName) int {
	if name.ListName() == last.ListName() {
		return 0
	}
	return 1
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
	k.Ledger.View(func(b *jobs.Book) {
		for name, service := range table.Services {
			engines := slices.DeleteFunc(slices.Clone(view.Backends[name]), func(m fleet.Member) bool { return m.State == fleet.Leaving })
			free := max(leastAtOnce, len(engines)/shareAtOnce) - k.loadingAt(engines, now)
			if len(service.Models) == 0 || free <= 0 {
				continue
			}
			s := &survey{keeper: k, book: b, service: service, engines: engines, fence: fence, now: now}
			for _, load := range s.plan(free) {
				w := s.want(load, mannerOf(table, name))
				k.loading[w.key] = loading{version: w.version, began: now}
				begin = append(begin, w)
			}
		}
	})
	return begin
}

// loading is a load under way.
type loading struct {
	version ident.Version
	began   clock.Millis
}

// loadingAt counts the loads under way at a service's engines that still take the
// weight store's time: engines tell late that they have loaded, and an order may
// be lost; mu is held.
func (k *Keeper) loadingAt(engines []fleet.Member, now clock.Millis) int {
	n := 0
	for key, load := range k.loading {
		if k.Without.On(toggle.EarlyOrders) && float64(now-load.began) >= storeShare*float64(k.took) {
			continue
		}
		if slices.ContainsFunc(engines, func(m fleet.Member) bool { return m.Name == string(key.Engine) }) {
			n++
		}
	}
	return n
}

// leased tells whether the holder with a fencing number may order an engine: the
// last order of another instance, of whatever model, is a lease term ago. Earlier
// lives of this instance have ended, and count as itself.
func (k *Keeper) leased(b *jobs.Book, engine ident.BackendName, fence ident.Fence, now clock.Millis) bool {
	last := b.LastOrders[engine]
	own := last.Fence == fence || (k.Without.On(toggle.Succession) && last.By.ListName() == k.Self.ListName())
	return last.Fence == 0 || own || now-last.Seen >= k.LeaseTerm
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

// mannerOf lets runs end first where a text must be of one version.
func mannerOf(table *paths.Table, service ident.Service) Manner {
	if table.SingleVersionAt(service) {
		return Drain
	}
	return Keep
}
