// Package deal decides which waiting item of a batch job goes to which engine.
// It is pure: instances that know the same ledger come to the same deal, so
// that each may act on its own part of it without asking the others.
package deal

import (
	"cmp"
	"math"
	"slices"

	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

// Engine is a model engine as the ledger and the list show it.
type Engine struct {
	Name  ident.BackendName
	Slots int
	// Load is what is claimed to run there.
	Load jobs.Load
	// PerEvent is the observed time of an event in milliseconds while nothing runs
	// beside; 0 is unknown.
	PerEvent float64
	// FailureRate is the share of its runs that the engine itself fails.
	FailureRate float64
}

// Rank tells how a step depends on an item.
type Rank string

// Ranks.
const (
	// CarriedOver items are of a group that an earlier step did not finish: the
	// trainer waits for them whatever else is whole.
	CarriedOver Rank = "brought"
	// Required items are expected to be among those that the trainer waits for.
	Required Rank = "wanted"
	// Surplus items are of the groups that are expected to take longest, beyond
	// those that the trainer waits for.
	Surplus Rank = "spare"
)

// RankedItem is an item that waits.
type RankedItem struct {
	Job    ident.Job
	Target jobs.Target
	Expect ident.Tokens
	Rank   Rank
	// Deferrable items end in time also if they start later. They fill engines to a part
	// only: what runs beside a long item makes it longer.
	Deferrable bool
	// FailedOn are the engines that have failed the item; it goes to another one.
	FailedOn []ident.BackendName
}

// Assignment gives a piece to an engine.
type Assignment struct {
	Item   RankedItem
	Engine ident.BackendName
}

// PendingItem is an item of a job that has neither a result nor a claim that stands.
type PendingItem struct {
	Target jobs.Target
	Group  ident.Group
	Expect ident.Tokens
	// Deferrable tells that the item ends in time also if it starts later.
	Deferrable bool
	// FailedOn are the engines that have failed the item.
	FailedOn []ident.BackendName
}

// Order returns the waiting items of a job in the order in which they should
// start: longest first, because a step ends with its last item. Wanted is how
// many groups its trainer waits for, out of all; the groups that are expected to
// take longest beyond these come last, except brought ones. Longest gives the
// expected length of each group of the job, its finished items included.
func Order(job ident.Job, pending []PendingItem, requiredGroups int, groupLengths map[ident.Group]ident.Tokens, carriedOver map[ident.Group]bool) []RankedItem {
	surplus := surplusGroups(requiredGroups, groupLengths, carriedOver)
	items := make([]RankedItem, 0, len(pending))
	for _, p := range pending {
		rank := Required
		switch {
		case carriedOver[p.Group]:
			rank = CarriedOver
		case surplus[p.Group]:
			rank = Surplus
		}
		items = append(items, RankedItem{Job: job, Target: p.Target, Expect: p.Expect, Rank: rank, Deferrable: p.Deferrable, FailedOn: p.FailedOn})
	}
	slices.SortStableFunc(items, func(a, b RankedItem) int {
		return cmp.Or(cmp.Compare(b.Expect, a.Expect), cmp.Compare(a.Target.Index, b.Target.Index))
	})
	return items
}

func surplusGroups(requiredGroups int, groupLengths map[ident.Group]ident.Tokens, carriedOver map[ident.Group]bool) map[ident.Group]bool {
	if requiredGroups <= 0 || requiredGroups >= len(groupLengths) {
		return nil
	}
	groups := make([]ident.Group, 0, len(groupLengths))
	for g := range groupLengths {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b ident.Group) int {
		if carriedOver[a] != carriedOver[b] {
			if carriedOver[a] {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(groupLengths[a], groupLengths[b]), cmp.Compare(a, b))
	})
	surplus := map[ident.Group]bool{}
	for _, g := range groups[requiredGroups:] {
		surplus[g] = true
	}
	return surplus
}

const (
	// slowdownPerItem is how much longer an event takes for each item that runs beside,
	// as a share, and crowdToken for each 1,000 tokens that these hold; from the
	// step times that the users' deployments give for their engines.
	slowdownPerItem = 0.008
	crowdToken      = 0.0014
	// paceTolerance is the difference in pace, as a share of the median, below which
	// two engines count as alike: it is within what the texts themselves cause.
	paceTolerance = 0.15
	// deferrableShare is the part of an engine's slots that patient items may fill. With
	// twelve items beside it a long one takes a sixth longer; a half, 0.7 and 0.8 were
	// measured, see docs/POLICY.md.
	deferrableShare = 0.8
	// failurePenalty is what a failed run costs beside itself: it is begun anew, later.
	failurePenalty = 2
)

// Assign gives the pieces, in their order, to the engines with the shortest
// expected time of an event. Over is how many pieces an engine may hold beyond
// its slots. Allowed tells whether an engine can run a job's items now.
func Assign(items []RankedItem, engines []Engine, overbook int, allowed func(ident.BackendName, ident.Job) bool) []Assignment {
	engines = slices.Clone(engines)
	median := MedianPace(engines)
	eligibleByJob := map[ident.Job][]bool{}
	var assignments []Assignment
	for _, item := range items {
		if eligibleByJob[item.Job] == nil {
			eligibleByJob[item.Job] = eligibility(engines, item.Job, allowed)
		}
		eligible := eligibleByJob[item.Job]
		avoidFailed := countTrue(eligible) > len(item.FailedOn)
		best := -1
		cost := math.Inf(1)
		for i := range engines {
			e := &engines[i]
			if !eligible[i] || e.Load.Items >= e.capacity(item, overbook) || (avoidFailed && slices.Contains(item.FailedOn, e.Name)) {
				continue
			}
			if c := e.Cost(median); c < cost {
				best, cost = i, c
			}
		}
		if best < 0 {
			continue
		}
		engines[best].Load.Items++
		engines[best].Load.Expect += item.Expect
		assignments = append(assignments, Assignment{Item: item, Engine: engines[best].Name})
	}
	return assignments
}

// capacity returns how many items an engine may hold for the sake of a piece.
func (e *Engine) capacity(item RankedItem, overbook int) int {
	if item.Deferrable {
		return int(math.Ceil(deferrableShare * float64(e.Slots)))
	}
	return e.Slots + overbook
}

// eligibility tells for each engine whether it can run a job's items now.
func eligibility(engines []Engine, job ident.Job, allowed func(ident.BackendName, ident.Job) bool) []bool {
	eligible := make([]bool, len(engines))
	for i := range engines {
		eligible[i] = allowed(engines[i].Name, job)
	}
	return eligible
}

func countTrue(eligible []bool) int {
	n := 0
	for _, ok := range eligible {
		if ok {
			n++
		}
	}
	return n
}

// Cost returns the expected time of an event of one more item, in milliseconds;
// median stands in for an engine of which nothing or nothing special is known.
func (e *Engine) Cost(median float64) float64 {
	pace := e.PerEvent
	if pace == 0 || math.Abs(pace-median) < paceTolerance*median {
		pace = median
	}
	pace *= 1 + failurePenalty*e.FailureRate
	return pace * Slowdown(e.Load)
}

// Slowdown returns how many times longer an event takes beside a load.
func Slowdown(load jobs.Load) float64 {
	return 1 + slowdownPerItem*float64(load.Items) + crowdToken*float64(load.Expect)/1000
}

// MedianPace returns the median of the known paces, or 1.
func MedianPace(engines []Engine) float64 {
	var paces []float64
	for _, e := range engines {
		if e.PerEvent > 0 {
			paces = append(paces, e.PerEvent)
		}
	}
	if len(paces) == 0 {
		return 1
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}
