package deal

import (
	"math"

	"croftmoor.dev/kernel/ident"
)

// Rendezvous assigns items to engines without knowledge of their load, by weighted
// rendezvous hashing. The weight of an engine is its slots divided by its time per event.
// Instances whose engine lists differ by one engine disagree only on that engine's items;
// an assignment by load would differ on all items that follow.
type Rendezvous struct {
	engines []Engine
	// weights and hashes are indexed like engines.
	weights      []float64
	hashes       []uint64
	fits         func(ident.BackendName, Demand) Fit
	fitsByDemand map[Demand][]Fit
}

// NewRendezvous returns an assignment to the given engines. fits returns how an engine meets
// a demand; its results are cached.
func NewRendezvous(engines []Engine, fits func(ident.BackendName, Demand) Fit) *Rendezvous {
	r := &Rendezvous{engines: engines, fits: fits, fitsByDemand: map[Demand][]Fit{}}
	median := MedianPace(engines)
	for i := range engines {
		pace := engines[i].MillisPerEvent
		if pace == 0 {
			pace = median
		}
		r.weights = append(r.weights, float64(max(engines[i].Slots, 1))/pace)
		r.hashes = append(r.hashes, ident.Hash(string(engines[i].Name)))
	}
	return r
}

// Engine returns the engine for an item, or false if none can run it. An engine that goes on
// with the item's text counts no more than others: it may be the only one, and have no room.
func (r *Rendezvous) Engine(item ident.Item, demand Demand) (ident.BackendName, bool) {
	if r.fitsByDemand[demand] == nil {
		r.fitsByDemand[demand] = fitsOf(r.engines, demand, r.fits)
	}
	itemHash := ident.Hash(string(item))
	best, score := -1, math.Inf(-1)
	for i, fit := range r.fitsByDemand[demand] {
		if fit == Unfit {
			continue
		}
		if s := r.weights[i] / -math.Log(ident.UnitInterval(itemHash, r.hashes[i])); s > score {
			best, score = i, s
		}
	}
	if best < 0 {
		return "", false
	}
	return r.engines[best].Name, true
}
