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
	f := &Rendezvous{engines: engines, allowed: allowed, eligibleByJob: map[ident.Job][]bool{}}
	median := MedianPace(engines)
	for i := range engines {
		pace := engines[i].PerEvent
		if pace == 0 {
			pace = median
		}
		f.weights = append(f.weights, float64(max(engines[i].Slots, 1))/pace)
		f.hashes = append(f.hashes, ident.Hash(string(engines[i].Name)))
	}
	return f
}

// Engine returns the engine for an item, or false if no engine can run the job.
func (f *Rendezvous) Engine(item ident.Item, job ident.Job) (ident.BackendName, bool) {
	if f.eligibleByJob[job] == nil {
		f.eligibleByJob[job] = eligibility(f.engines, job, f.allowed)
	}
	itemHash := ident.Hash(string(item))
	best, score := -1, math.Inf(-1)
	for i, ok := range f.eligibleByJob[job] {
		if !ok {
			continue
		}
		if s := f.weights[i] / -math.Log(mixToUnitInterval(itemHash, f.hashes[i])); s > score {
			best, score = i, s
		}
	}
	if best < 0 {
		return "", false
	}
	return f.engines[best].Name, true
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
