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
	weights       []float64
	hashes        []uint64
	allowed       func(ident.BackendName, ident.Job) bool
	eligibleByJob map[ident.Job][]bool
}

// NewRendezvous returns an assignment to the given engines. allowed reports whether an
// engine can run a job's items; its results are cached by job.
func NewRendezvous(engines []Engine, allowed func(ident.BackendName, ident.Job) bool) *Rendezvous {
	r := &Rendezvous{engines: engines, allowed: allowed, eligibleByJob: map[ident.Job][]bool{}}
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

// Engine returns the engine for an item, or false if no engine can run the job.
func (r *Rendezvous) Engine(item ident.Item, job ident.Job) (ident.BackendName, bool) {
	if r.eligibleByJob[job] == nil {
		r.eligibleByJob[job] = eligibility(r.engines, job, r.allowed)
	}
	itemHash := ident.Hash(string(item))
	best, score := -1, math.Inf(-1)
	for i, ok := range r.eligibleByJob[job] {
		if !ok {
			continue
		}
		if s := r.weights[i] / -math.Log(mixToUnitInterval(itemHash, r.hashes[i])); s > score {
			best, score = i, s
		}
	}
	if best < 0 {
		return "", false
	}
	return r.engines[best].Name, true
}

// mixToUnitInterval mixes two hashes into a number between 0 and 1, both exclusive.
func mixToUnitInterval(a, b uint64) float64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	const bits = 53
	return (float64(x>>(64-bits)) + 0.5) / (1 << bits)
}
