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

// Pick chooses any usable candidate.
func (randomPolicy) Pick(_ Request, candidates []Candidate, random *rand.Rand) Choice {
	open := usable(candidates, random)
	if len(open) == 0 {
		return None
	}
	return Choice{Index: open[random.IntN(len(open))], RunnerUp: -1, Reason: "random"}
}

// roundRobin counts its picks.
type roundRobin struct {
	next atomic.Uint64
}

// Pick chooses the next usable candidate in turn.
func (p *roundRobin) Pick(_ Request, candidates []Candidate, random *rand.Rand) Choice {
	open := usable(candidates, random)
	if len(open) == 0 {
		return None
	}
	turn := p.next.Add(1) % uint64(len(open))
	return Choice{Index: open[turn], RunnerUp: -1, Reason: "in turn"}
}

type leastReported struct{}

// Pick chooses the lowest reported load.
func (leastReported) Pick(_ Request, candidates []Candidate, random *rand.Rand) Choice {
	choice := None
	for _, i := range usable(candidates, random) {
		if choice.Index < 0 || candidates[i].Reported < candidates[choice.Index].Reported {
			choice = Choice{Index: i, RunnerUp: choice.Index, Reason: "lowest reported load"}
		}
	}
	return choice
}
