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
	// urgentLag is how many versions an engine may be behind before the next step
	// can't use it; one that is less far behind is loaded only when the items of the
	// step that the version was named for have begun, startTerm after its naming.
	urgentLag = 2
	startTerm = 500 * clock.Millis(1)
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

	// vacant tells that the role is seen to have no holder, since vacantAt; only the
	// rounds use them, one after the other.
	vacant   bool
	vacantAt clock.Millis

	mu      sync.Mutex
	loading map[jobs.EngineModel]bool
	// counts are the engines' counts of orders after their last load here.
	counts map[ident.BackendName]int64
	notYet map[jobs.EngineModel]clock.Millis
	// seen is when this instance first saw the newest version of a model.
	seen    map[ident.Model]sighting
	leaving bool
	group   conc.WaitGroup
}

// sighting is when a version was first seen to be named.
type sighting struct {
	version ident.Version
	at      clock.Millis
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
	k.loading = map[jobs.EngineModel]bool{}
	k.notYet = map[jobs.EngineModel]clock.Millis{}
	k.counts = map[ident.BackendName]int64{}
	k.seen = map[ident.Model]sighting{}
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
	follows := false
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
		turn := turnOf(k.Self, b.Live(since))
		follows = turn >= 0 && now-k.vacantAt >= clock.Millis(turn)*turnTerm
	})
	if holding.By == k.Self {
		return holding.Fence, k.Ledger.Heard() < holdTerm
	}
	if !follows {
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
// -1 if it is none of them.
func turnOf(self ident.InstanceName, live []jobs.Member) int {
	members := make([]views.Member, 0, len(live))
	for _, m := range live {
		members = append(members, views.Member{Name: m.Name, Zone: m.Zone})
	}
	return slices.IndexFunc(views.Rank(role, members), func(m views.Member) bool { return m.Name == self })
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
			engines := view.Backends[name]
			free := max(leastAtOnce, len(engines)/shareAtOnce) - k.loadingAt(engines)
			wants := k.behind(b, service, engines, fence, now, mannerOf(table, name))
			for _, w := range wants[:max(0, min(free, len(wants)))] {
				k.loading[w.key] = true
				begin = append(begin, w)
			}
		}
	})
	return begin
}

// loadingAt counts the loads under way at a service's engines; mu is held.
func (k *Keeper) loadingAt(engines []fleet.Member) int {
	n := 0
	for key := range k.loading {
		if slices.ContainsFunc(engines, func(m fleet.Member) bool { return m.Name == string(key.Engine) }) {
			n++
		}
	}
	return n
}

// behind returns the engines that run older versions of the models they follow
// than the newest, those first that are furthest behind; mu is held.
func (k *Keeper) behind(b *jobs.Book, service paths.Service, engines []fleet.Member, fence ident.Fence, now clock.Millis, manner Manner) []want {
	var wants []want
	engines = slices.DeleteFunc(slices.Clone(engines), func(m fleet.Member) bool { return m.State == fleet.Leaving })
	lag := func(m fleet.Member, model ident.Model) ident.Version { return k.lagOf(b, m, model) }
	home := homes(engines, service.Models, homesEach(len(engines), len(service.Models)), lag)
	for _, m := range engines {
		for _, model := range home[ident.BackendName(m.Name)] {
			key := jobs.EngineModel{Engine: ident.BackendName(m.Name), Model: model}
			if k.due(b, key, lag(m, model), fence, now) {
				version := k.Named(model)
				wants = append(wants, want{engine: m, key: key, has: version - lag(m, model), version: version, manner: manner})
			}
		}
	}
	slices.SortFunc(wants, func(a, b want) int {
		return cmp.Or(cmp.Compare(a.has-a.version, b.has-b.version), cmp.Compare(a.key.Engine, b.key.Engine))
	})
	// An engine carries out one order at a time.
	begun := map[ident.BackendName]bool{}
	return slices.DeleteFunc(wants, func(w want) bool {
		again := begun[w.key.Engine]
		begun[w.key.Engine] = true
		return again
	})
}

// due tells whether an engine that is so many versions behind may be ordered to
// load now; mu is held.
func (k *Keeper) due(b *jobs.Book, key jobs.EngineModel, lag ident.Version, fence ident.Fence, now clock.Millis) bool {
	if lag == 0 || now < k.notYet[key] || k.busy(key.Engine) {
		return false
	}
	if lag < urgentLag && now-k.namedAt(key.Model, now) < startTerm {
		return false
	}
	return k.leased(b, key.Engine, fence, now)
}

// leased tells whether the holder with a fencing number may order an engine: the
// last order of an earlier holder, of whatever model, is a lease term ago.
func (k *Keeper) leased(b *jobs.Book, engine ident.BackendName, fence ident.Fence, now clock.Millis) bool {
	last := b.LastOrders[engine]
	return last.Fence == 0 || last.Fence == fence || now-last.Seen >= k.LeaseTerm
}

// namedAt returns when the newest version of a model was first seen here; mu is
// held.
func (k *Keeper) namedAt(model ident.Model, now clock.Millis) clock.Millis {
	if version := k.Named(model); k.seen[model].version != version {
		k.seen[model] = sighting{version: version, at: now}
	}
	return k.seen[model].at
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
