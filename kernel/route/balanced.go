package route

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"croftmoor.dev/kernel/clock"
)

// Balanced is the name of croftmoor's own policy.
const Balanced = "Balanced"

const (
	// reportHalfLife is the age at which a report counts half.
	reportHalfLife = 2 * clock.Second
	// paceHalfLife is the age at which a told pace counts half. Servers that share their
	// machine change it several times a second, so that it tells of the calls that begin
	// now and of few after them.
	paceHalfLife = 300 * clock.Millis(1)
	// cacheGain is the share of a request's work that a whole cached prompt saves.
	cacheGain = 0.1
	// liveSpread weighs an own live request there when the request is live.
	liveSpread = 2.0
	// sampled is how many candidates are compared. Comparing a few at random
	// keeps instances that saw the same stale report from choosing alike.
	sampled = 2
	// coldCost is what a new connection costs in milliseconds: its round trip, and
	// the time for which it holds a slot of the server.
	coldCost = 4
)

func init() {
	Policies.Register(Balanced, func() Policy { return balanced{} })
}

// balanced compares the expected time of a few candidates: the own load, which
// is fresh, the others' load, which fades as the report ages towards the mean
// of all, the crossing between zones and the believed cache.
type balanced struct{}

// Pick chooses the lowest expected time among the sampled candidates.
func (balanced) Pick(request Request, candidates []Candidate, random *rand.Rand) Choice {
	open := usable(candidates, random)
	mean := meanOthers(candidates, open)
	choice := None
	best, second := 0.0, 0.0
	for _, i := range sample(request, candidates, open, random) {
		cost := Cost(request, &candidates[i], mean)
		switch {
		case choice.Index < 0 || cost < best:
			choice.RunnerUp, second = choice.Index, best
			choice.Index, best = i, cost
		case choice.RunnerUp < 0 || cost < second:
			choice.RunnerUp, second = i, cost
		}
	}
	if choice.Index >= 0 {
		choice.Reason = fmt.Sprintf("expected %.0f ms, runner-up %.0f ms", best, second)
	}
	return choice
}

// sample returns a few random candidates, one more that is believed to have the
// prompt cached, and one to which a connection rests, which spares a new one where
// the loads are alike. With all of those, instances would choose alike.
func sample(_ Request, candidates []Candidate, open []int, random *rand.Rand) []int {
	if len(open) <= sampled {
		return open
	}
	random.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	chosen := slices.Clone(open[:sampled])
	cached, warm := false, false
	for _, i := range open[sampled:] {
		c := &candidates[i]
		if (c.Cached > 0 && !cached) || (c.Warm && !warm) {
			chosen = append(chosen, i)
		}
		cached, warm = cached || c.Cached > 0, warm || c.Warm
	}
	return chosen
}

// Cost returns the expected milliseconds until a request is done at a
// candidate, given the mean load that other instances cause.
func Cost(request Request, c *Candidate, meanOthers float64) float64 {
	load := float64(c.Own) + others(c, meanOthers)
	if request.yields() {
		// A live request waits for no rollout, so that beyond full slots only
		// other live requests count; those of other instances are spread alike.
		load = min(load, float64(c.Slots)) + liveSpread*float64(c.OwnLive)
	}
	work := float64(max(request.Work, 1)) * (1 - cacheGain*c.Cached)
	if c.Speed > 0 {
		work /= speedOf(request, c)
	}
	work *= paceOf(c)
	cost := work * (1 + load/float64(max(c.Slots, 1)))
	if over := load + 1 - float64(c.Slots); over > 0 && !request.yields() {
		cost += work * over / float64(max(c.Slots, 1))
	}
	if c.Zone != request.Zone {
		cost += 2 * float64(request.ZoneLatency)
	}
	if !c.Warm {
		cost += coldCost
	}
	return cost
}

// yields tells whether the load beyond full slots does not count for the request.
func (r Request) yields() bool { return r.Live && !r.LiveOnly }

// speedOf returns the candidate's speed. Live requests only shun slow servers:
// if all instances went for those that look fast, these would be full.
func speedOf(request Request, c *Candidate) float64 {
	if request.Live {
		return min(c.Speed, 1)
	}
	return c.Speed
}

// paceOf returns how many times as long as usual work is expected to take.
func paceOf(c *Candidate) float64 {
	if c.Slowdown <= 0 {
		return 1
	}
	return 1 + (c.Slowdown-1)*halving(c.ReportAge, paceHalfLife)
}

func others(c *Candidate, mean float64) float64 {
	if !c.HasReport {
		return mean
	}
	told := float64(max(c.Reported-c.OwnAtReport, 0))
	trust := halving(c.ReportAge, reportHalfLife)
	return told*trust + mean*(1-trust)
}

func halving(age, halfLife clock.Millis) float64 {
	return 1 / (1 + float64(max(age, 0))/float64(halfLife))
}

func meanOthers(candidates []Candidate, open []int) float64 {
	sum, n := 0.0, 0.0
	for _, i := range open {
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
