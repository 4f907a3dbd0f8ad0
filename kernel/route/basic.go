package route

import (
	"math/rand/v2"
	"sync/atomic"
)

// Names of the baseline policies.
const (
	Random        = "Random"
	RoundRobin    = "RoundRobin"
	LeastReported = "LeastReported"
)

func init() {
	Policies.Register(Random, func() Policy { return randomPolicy{} })
	Policies.Register(RoundRobin, func() Policy { return &roundRobin{} })
	Policies.Register(LeastReported, func() Policy { return leastReported{} })
}

type randomPolicy struct{}

// Pick chooses a usable candidate at random.
func (randomPolicy) Pick(_ Request, candidates []Candidate, random *rand.Rand) Choice {
	available := usable(candidates, random)
	if len(available) == 0 {
		return None
	}
	return Choice{Index: available[random.IntN(len(available))], RunnerUp: -1, Reason: "random"}
}

type roundRobin struct {
	next atomic.Uint64
}

// Pick chooses the next usable candidate in turn.
func (p *roundRobin) Pick(_ Request, candidates []Candidate, random *rand.Rand) Choice {
	available := usable(candidates, random)
	if len(available) == 0 {
		return None
	}
	turn := p.next.Add(1) % uint64(len(available))
	return Choice{Index: available[turn], RunnerUp: -1, Reason: "in turn"}
}

type leastReported struct{}

// Pick chooses the usable candidate with the lowest reported load.
func (leastReported) Pick(_ Request, candidates []Candidate, random *rand.Rand) Choice {
	choice := None
	for _, i := range usable(candidates, random) {
		if choice.Index < 0 || candidates[i].Reported < candidates[choice.Index].Reported {
			choice = Choice{Index: i, RunnerUp: choice.Index, Reason: "lowest reported load"}
		}
	}
	return choice
}
