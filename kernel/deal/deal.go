// Package deal assigns the waiting items of batch jobs to engines. It has no I/O
// and no state: instances that have read the same ledger compute the same
// assignment, and each can act on its part without coordination.
package deal

import (
	"cmp"
	"math"
	"slices"

	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

// Engine is a model engine, as the ledger and the configured list describe it.
type Engine struct {
	Name  ident.BackendName
	Slots int
	// Load is the sum of the items that are claimed for the engine.
	Load jobs.Load
	// Abandoned is the number of these items whose owner is gone. The engine may still run
	// them, so Cost counts them. They leave their places to others: if they kept them, and
	// held all, none of them could ever be claimed anew.
	Abandoned int
	// MillisPerEvent is the observed time per event, in milliseconds, of an item that runs
	// alone; 0 means unknown.
	MillisPerEvent float64
	// FailureRate is the share of runs, 0 to 1, that fail through the engine's fault.
	FailureRate float64
}

// Rank says whether a step needs an item in order to end.
type Rank string

// Ranks.
const (
	// CarriedOver items belong to a group that an earlier step did not finish. The
	// trainer always waits for them.
	CarriedOver Rank = "brought"
	// Required items belong to the groups that are expected to finish first, up to
	// the number of groups that the trainer waits for.
	Required Rank = "wanted"
	// Surplus items belong to the longest groups, beyond the number that the trainer
	// waits for.
	Surplus Rank = "spare"
)

// Demand is what an item demands of its engine: the same engines can run all items of an
// equal demand.
type Demand struct {
	Job ident.Job
	// Service is the service that runs the item.
	Service ident.Service
	// TextVersion is the only weight version that can go on with the item's saved text; 0 if
	// any can, or if there is none.
	TextVersion ident.Version
}

// Fit is how well an engine meets a demand.
type Fit int

// Fits, from the worst to the best.
const (
	// Unfit engines can't run the item.
	Unfit Fit = iota
	// Anew means that the engine can run the item, but from its beginning.
	Anew
	// Fitting engines go on with the item's saved text, if there is one.
	Fitting
)

// RankedItem is a waiting item of a job, with its rank.
type RankedItem struct {
	Demand
	Target jobs.Target
	Expect ident.Tokens
	Rank   Rank
	// Deferrable items are expected to end in time even if they start later. They may
	// use only part of an engine's slots, because every concurrent item slows the
	// long ones down.
	Deferrable bool
	// FailedOn lists the engine of each failed run of the item. Assign avoids these
	// engines while more engines are eligible than FailedOn has entries.
	FailedOn []ident.BackendName
}

// Assignment is an item with the engine chosen for it.
type Assignment struct {
	Item   RankedItem
	Engine ident.BackendName
}

// WaitingItem is an item of a job without a result and without a current claim.
type WaitingItem struct {
	Demand
	Target jobs.Target
	Group  ident.Group
	Expect ident.Tokens
	// Deferrable means that the item is expected to end in time even if it starts
	// later.
	Deferrable bool
	// FailedOn lists the engine of each failed run of the item.
	FailedOn []ident.BackendName
}

// Order ranks the waiting items of a job and sorts them by expected length, longest first,
// because a step ends with its last item. requiredGroups is the number of groups that the
// trainer waits for, 0 for all. groupLengths holds the expected length of each group of
// the job, its finished items included; carriedOver marks the groups that an earlier step
// did not finish.
func Order(waiting []WaitingItem, requiredGroups int, groupLengths map[ident.Group]ident.Tokens, carriedOver map[ident.Group]bool) []RankedItem {
	surplus := surplusGroups(requiredGroups, groupLengths, carriedOver)
	items := make([]RankedItem, 0, len(waiting))
	for _, p := range waiting {
		rank := Required
		switch {
		case carriedOver[p.Group]:
			rank = CarriedOver
		case surplus[p.Group]:
			rank = Surplus
		}
		items = append(items, RankedItem{Demand: p.Demand, Target: p.Target, Expect: p.Expect, Rank: rank, Deferrable: p.Deferrable, FailedOn: p.FailedOn})
	}
	slices.SortStableFunc(items, func(a, b RankedItem) int {
		return cmp.Or(cmp.Compare(b.Expect, a.Expect), cmp.Compare(a.Target.Index, b.Target.Index))
	})
	return items
}

// surplusGroups returns the groups beyond the first requiredGroups, ordered by carried
// over first, then by length. It returns nil if the trainer waits for all groups, which a
// requiredGroups of 0 also means.
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
	// slowdownPerItem and slowdownPerKiloToken are the relative increase in the time
	// per event for each concurrent item, and for each 1,000 tokens that the
	// concurrent items are expected to produce. They follow from the step times that the
	// users' deployments state for their engines.
	slowdownPerItem      = 0.008
	slowdownPerKiloToken = 0.0014
	// paceTolerance is the relative deviation from the median time per event below
	// which an engine is treated as a median one. Differences between texts alone
	// cause such deviations.
	paceTolerance = 0.15
	// deferrableShare is the share of an engine's slots that deferrable items may use. With
	// twelve items beside it a long one takes a sixth longer.
	deferrableShare = 0.8
	// failurePenalty weighs an engine's failure rate in its cost: a failed run is
	// repeated, and the repetition starts late.
	failurePenalty = 2
)

// Assign takes the items in the given order and assigns each to the eligible engine
// with the lowest Cost, among those with capacity that fit it best. Items for which no engine
// has capacity are left out. overbook is the number of items that an engine may hold beyond
// its slots; fits returns how an engine meets a demand now.
func Assign(items []RankedItem, engines []Engine, overbook int, fits func(ident.BackendName, Demand) Fit) []Assignment {
	engines = slices.Clone(engines)
	median := MedianPace(engines)
	fitsByDemand := map[Demand][]Fit{}
	var assignments []Assignment
	for _, item := range items {
		if fitsByDemand[item.Demand] == nil {
			fitsByDemand[item.Demand] = fitsOf(engines, item.Demand, fits)
		}
		fit := fitsByDemand[item.Demand]
		avoidFailed := countEligible(fit) > len(item.FailedOn)
		best, bestFit := -1, Unfit
		cost := math.Inf(1)
		for i := range engines {
			e := &engines[i]
			if fit[i] == Unfit || !e.HasRoom(e.capacity(item, overbook)) || (avoidFailed && slices.Contains(item.FailedOn, e.Name)) {
				continue
			}
			if c := e.Cost(median); fit[i] > bestFit || (fit[i] == bestFit && c < cost) {
				best, bestFit, cost = i, fit[i], c
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

// HasRoom reports whether the engine holds fewer items than capacity, without the abandoned
// ones.
func (e *Engine) HasRoom(capacity int) bool { return e.Load.Items-e.Abandoned < capacity }

// capacity returns how many items the engine may hold when the given item is assigned to
// it.
func (e *Engine) capacity(item RankedItem, overbook int) int {
	if item.Deferrable {
		return int(math.Ceil(deferrableShare * float64(e.Slots)))
	}
	return e.Slots + overbook
}

// fitsOf returns, by engine index, how the engine meets a demand now.
func fitsOf(engines []Engine, demand Demand, fits func(ident.BackendName, Demand) Fit) []Fit {
	all := make([]Fit, len(engines))
	for i := range engines {
		all[i] = fits(engines[i].Name, demand)
	}
	return all
}

// countEligible returns the number of engines that can run the item at all.
func countEligible(fits []Fit) int {
	n := 0
	for _, fit := range fits {
		if fit != Unfit {
			n++
		}
	}
	return n
}

// Cost returns the expected time per event, in milliseconds, of one more item on the
// engine, raised by its failure rate. The median is used for an engine whose time per
// event is unknown or within paceTolerance of it.
func (e *Engine) Cost(median float64) float64 {
	pace := e.MillisPerEvent
	if pace == 0 || math.Abs(pace-median) < paceTolerance*median {
		pace = median
	}
	pace *= 1 + failurePenalty*e.FailureRate
	return pace * Slowdown(e.Load)
}

// Slowdown returns the factor, 1 or more, by which a concurrent load lengthens an event.
func Slowdown(load jobs.Load) float64 {
	return 1 + slowdownPerItem*float64(load.Items) + slowdownPerKiloToken*float64(load.Expect)/1000
}

// MedianPace returns the median time per event, in milliseconds, of the engines for which
// it is known, or 1 if there are none.
func MedianPace(engines []Engine) float64 {
	var paces []float64
	for _, e := range engines {
		if e.MillisPerEvent > 0 {
			paces = append(paces, e.MillisPerEvent)
		}
	}
	if len(paces) == 0 {
		return 1
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}
