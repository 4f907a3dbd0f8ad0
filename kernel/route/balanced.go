package route

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"croftmoor.dev/kernel/clock"
)

// Balanced is the name of the policy that picks the lowest expected completion time.
const Balanced = "Balanced"

const (
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 2 * clock.Second
	// slowdownHalfLife is the age at which a reported slowdown counts half. It is short
	// because the slowdown of servers that share a machine changes several times a second.
	slowdownHalfLife = 300 * clock.Millis(1)
	// cacheGain is the share of a request's work that a fully cached prompt saves.
	cacheGain = 0.1
	// ownLiveWeight weighs this instance's live requests at a candidate when Cost
	// estimates the load that another live request finds there.
	ownLiveWeight = 2.0
	// sampleSize is how many random candidates are compared. Random sampling keeps
	// instances that hold the same stale report from choosing the same server.
	sampleSize = 2
	// connectCostMillis is the cost of a new connection: its round trip and the time for
	// which it occupies a slot of the server.
	connectCostMillis = 4
)

func init() {
	Policies.Register(Balanced, func() Policy { return balanced{} })
}

// balanced compares the expected completion times of a few candidates. The estimate
// uses this instance's own load, the load of other instances (which decays to the mean
// of all servers as the report ages), zone latency, and prompt cache state.
type balanced struct{}

// Pick chooses the candidate with the lowest expected time among those sampled.
func (balanced) Pick(request Request, candidates []Candidate, random *rand.Rand) Choice {
	available := usable(candidates, random)
	mean := meanOthersLoad(candidates, available)
	choice := None
	bestCost, secondCost := 0.0, 0.0
	for _, i := range sample(request, candidates, available, random) {
		cost := Cost(request, &candidates[i], mean)
		switch {
		case choice.Index < 0 || cost < bestCost:
			choice.RunnerUp, secondCost = choice.Index, bestCost
			choice.Index, bestCost = i, cost
		case choice.RunnerUp < 0 || cost < secondCost:
			choice.RunnerUp, secondCost = i, cost
		}
	}
	if choice.Index >= 0 {
		choice.Reason = fmt.Sprintf("expected %.0f ms, runner-up %.0f ms", bestCost, secondCost)
	}
	return choice
}

// sample returns sampleSize random candidates, plus the first other one that has the
// prompt cached and the first other one with an idle connection. Adding all of those
// would make instances choose the same servers. It shuffles available.
func sample(_ Request, candidates []Candidate, available []int, random *rand.Rand) []int {
	if len(available) <= sampleSize {
		return available
	}
	random.Shuffle(len(available), func(i, j int) { available[i], available[j] = available[j], available[i] })
	chosen := slices.Clone(available[:sampleSize])
	cached, warm := false, false
	for _, i := range available[sampleSize:] {
		c := &candidates[i]
		if (c.Cached > 0 && !cached) || (c.Warm && !warm) {
			chosen = append(chosen, i)
		}
		cached, warm = cached || c.Cached > 0, warm || c.Warm
	}
	return chosen
}

// Cost returns the expected time in milliseconds until a candidate completes the
// request. meanOthersLoad is the mean load per server from other instances.
func Cost(request Request, c *Candidate, meanOthersLoad float64) float64 {
	load := float64(c.Own) + othersLoad(c, meanOthersLoad)
	if request.skipsQueue() {
		// A live request does not wait for rollouts, so only live requests count
		// beyond full slots. Those of other instances are assumed evenly spread.
		load = min(load, float64(c.Slots)) + ownLiveWeight*float64(c.OwnLive)
	}
	work := float64(max(request.Work, 1)) * (1 - cacheGain*c.Cached)
	if c.Speed > 0 {
		work /= effectiveSpeed(request, c)
	}
	work *= expectedSlowdown(c)
	cost := work * (1 + load/float64(max(c.Slots, 1)))
	if over := load + 1 - float64(c.Slots); over > 0 && !request.skipsQueue() {
		cost += work * over / float64(max(c.Slots, 1))
	}
	if c.Zone != request.Zone {
		cost += 2 * float64(request.ZoneLatency)
	}
	if !c.Warm {
		cost += connectCostMillis
	}
	return cost
}

// skipsQueue reports whether the request is served ahead of the rollouts that wait at
// a server.
func (r Request) skipsQueue() bool { return r.Live && !r.LiveOnly }

// effectiveSpeed returns the candidate's relative speed. For live requests it is at most
// 1, because all instances would otherwise overload the servers that look fast.
func effectiveSpeed(request Request, c *Candidate) float64 {
	if request.Live {
		return min(c.Speed, 1)
	}
	return c.Speed
}

// expectedSlowdown returns the reported slowdown, decayed to 1 as the report ages.
func expectedSlowdown(c *Candidate) float64 {
	if c.Slowdown <= 0 {
		return 1
	}
	return 1 + (c.Slowdown-1)*decay(c.ReportAge, slowdownHalfLife)
}

// othersLoad estimates the number of requests that other instances have at a candidate.
func othersLoad(c *Candidate, mean float64) float64 {
	if !c.HasReport {
		return mean
	}
	reported := float64(max(c.Reported-c.OwnAtReport, 0))
	weight := decay(c.ReportAge, reportHalfLife)
	return reported*weight + mean*(1-weight)
}

// decay returns a weight that falls from 1 at age 0 to one half at halfLife.
func decay(age, halfLife clock.Millis) float64 {
	return 1 / (1 + float64(max(age, 0))/float64(halfLife))
}

// meanOthersLoad returns the mean load from other instances over the candidates with a
// report; available holds the indices to consider.
func meanOthersLoad(candidates []Candidate, available []int) float64 {
	sum, n := 0.0, 0.0
	for _, i := range available {
		if candidates[i].HasReport {
			sum += float64(max(candidates[i].Reported-candidates[i].OwnAtReport, 0))
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}
