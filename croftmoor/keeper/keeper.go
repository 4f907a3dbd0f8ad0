// Package keeper distributes the weights that trainers publish to the engines. For
// each model service the instance that holds the lease (see home.Lease) sends load
// orders. It reconciles periodically: it compares the versions that engines report
// with the newest ones in the weight store and sends orders for the difference, so
// that an order that was lost, refused or partly executed is sent again.
package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/engine"
	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fold"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/place"
	"croftmoor.dev/kernel/trail"
)

// Kind classifies the errors of this package.
type Kind string

// Unavailable means that the weight store could not be read.
const Unavailable Kind = "Unavailable"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Leaser grants leases on roles; see home.Lease.
type Leaser interface {
	Lease(ctx context.Context, role string) (ident.Fence, bool)
	Holds(role string) (ident.Fence, bool)
}

// Keeper sends orders to load weights. Set the exported fields before Run; mu guards
// orders and newestVersions.
type Keeper struct {
	Reader *fold.Reader
	Pool   *pool.Pool
	Leaser Leaser
	Engine engine.Protocol
	Clock  *clock.Clock
	Trail  *trail.Trail
	// Weights is the address of the weight store; if it is empty, no orders are sent.
	Weights ident.Address
	// OrderTimeout must not exceed the time for which a lease is guaranteed to last
	// (home.MaxActionTime), so that orders of two lease holders never overlap.
	OrderTimeout clock.Millis

	client httpc.Client
	group  conc.WaitGroup
	mu     sync.Mutex
	// orders maps a target to 0 while its order is in flight, then to the time before
	// which no other order is sent to it.
	orders         map[target]clock.Millis
	newestVersions map[ident.Trainer]ident.Version
	rounds         int
}

// target is one adapter on one engine.
type target struct {
	server  ident.BackendName
	trainer ident.Trainer
}

const (
	reconcileInterval = 200 * clock.Millis(1)
	storeTimeout      = 2 * clock.Second
	// reportDelay is how long an executed order may take to appear in load reports.
	reportDelay = 1500 * clock.Millis(1)
	rolePrefix  = "weights/"
)

// Role returns the role whose lease allows an instance to order weights for a service.
func Role(service ident.Service) string {
	return rolePrefix + string(service)
}

// Run sends orders until ctx ends, then waits for those in flight.
func (k *Keeper) Run(ctx context.Context) {
	k.orders = map[target]clock.Millis{}
	k.newestVersions = map[ident.Trainer]ident.Version{}
	defer k.group.Wait()
	k.Clock.Every(ctx, reconcileInterval, func() { k.reconcileAll(ctx) })
}

// reconcileAll reconciles the trainers whose service this instance holds the lease for.
func (k *Keeper) reconcileAll(ctx context.Context) {
	state := k.Reader.Current()
	if state == nil || k.Weights == "" {
		return
	}
	fetched := false
	trainers := state.Conf.Trainers()
	k.rounds++
	for i := range trainers {
		// Each round starts at a different trainer, so that none starves while the
		// number of orders in flight is at its limit.
		trainer := trainers[(i+k.rounds)%len(trainers)]
		role := Role(trainer.Service)
		fence, held := k.Leaser.Lease(ctx, role)
		service, ok := state.Conf.Service(trainer.Service)
		if !held || !ok {
			continue
		}
		if !fetched {
			k.fetchNewestVersions(ctx)
			fetched = true
		}
		policy, err := place.Policies.New(trainer.Placement)
		if err != nil {
			continue
		}
		engines := policy.EnginesPerTrainer(len(k.Pool.Servers(service.Name)), countTrainers(trainers, service.Name))
		k.reconcile(ctx, trainer.Name, service, role, fence, engines)
	}
}

func countTrainers(trainers []conf.Trainer, service ident.Service) int {
	n := 0
	for _, t := range trainers {
		if t.Service == service {
			n++
		}
	}
	return n
}

// reconcile orders the trainer's newest version at its servers (as many as engines says)
// that report an older one, within the service's limit of concurrent swaps.
func (k *Keeper) reconcile(ctx context.Context, trainer ident.Trainer, service conf.Service, role string, fence ident.Fence, engines int) {
	newest := k.newestVersion(trainer)
	now := k.Clock.Mono()
	for _, server := range k.Pool.TrainerServers(service.Name, trainer, engines) {
		if newest == 0 || server.Version(trainer) >= newest {
			continue
		}
		if !k.beginOrder(target{server.Name, trainer}, service.SwapsAtOnce, now) {
			continue
		}
		order := engine.Order{Fence: fence, Adapter: trainer, Version: newest}
		k.group.Go(func() { k.sendOrder(ctx, server, role, order) })
	}
}

// sendOrder sends one order if the lease is still held under the order's fencing number.
func (k *Keeper) sendOrder(ctx context.Context, server *pool.Server, role string, order engine.Order) {
	id := fmt.Sprintf("%s@%s", order.Adapter, server.Name)
	defer k.endOrder(target{server.Name, order.Adapter})
	ctx, cancel := context.WithTimeout(ctx, k.OrderTimeout.Duration())
	defer cancel()
	if fence, held := k.Leaser.Holds(role); !held || fence != order.Fence {
		k.Trail.Add(trail.Decision{ID: id, Action: trail.Cancel, Choice: string(server.Name), Reason: "the lease on " + role + " expired"})
		return
	}
	k.Trail.Add(trail.Decision{
		ID: id, Action: trail.Order, Choice: string(server.Name),
		Reason: fmt.Sprintf("version %d, fence %d, now %d", order.Version, order.Fence, server.Version(order.Adapter)),
	})
	if err := k.Engine.Execute(ctx, server.Address(), order); err != nil {
		k.Trail.Add(trail.Decision{ID: id, Action: trail.Hold, Choice: string(server.Name), Reason: err.Error()})
	}
}

// beginOrder marks an order to t as in flight. It returns false if one is in flight, if
// the last one is too recent to appear in load reports, or if limit orders are in flight.
func (k *Keeper) beginOrder(t target, limit int, now clock.Millis) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	inFlight := 0
	for _, until := range k.orders {
		if until == 0 {
			inFlight++
		}
	}
	if until, ok := k.orders[t]; ok && (until == 0 || now < until) {
		return false
	}
	if inFlight >= limit {
		return false
	}
	k.orders[t] = 0
	return true
}

func (k *Keeper) endOrder(t target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.orders[t] = k.Clock.Mono() + reportDelay
}

func (k *Keeper) newestVersion(trainer ident.Trainer) ident.Version {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newestVersions[trainer]
}

type adapterWire struct {
	Adapter string
	Version int64
}

type newestWire struct {
	Adapters []adapterWire
}

// fetchNewestVersions reads the newest published versions from the weight store. If the
// store does not answer, the versions read before remain in use.
func (k *Keeper) fetchNewestVersions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	call := &httpc.Call{Address: k.Weights, Method: http.MethodGet, Path: "/newest"}
	answer, err := k.client.Do(ctx, call)
	if err != nil || answer.Status != http.StatusOK {
		return
	}
	var w newestWire
	if json.Unmarshal(answer.Body, &w) != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, a := range w.Adapters {
		trainer := ident.Trainer(a.Adapter)
		k.newestVersions[trainer] = max(k.newestVersions[trainer], ident.Version(a.Version))
	}
}
