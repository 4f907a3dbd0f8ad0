// Package place decides how the samples of steps are started: in which order,
// on how loaded engines, and on how old weights. Policies are pure and register
// themselves by name.
package place

import (
	"cmp"
	"math"

	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/plug"
)

// Slot is a sample that is to be started.
type Slot struct {
	Index  ident.Slot
	Expect ident.Tokens
}

// Limits is what a policy knows of the service and the trainer.
type Limits struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// Bound is the trainer's staleness bound.
	Bound ident.Version
	// IdleWeight weighs idle time (1) against staleness (0).
	IdleWeight float64
}

// Policy decides how samples are started.
type Policy interface {
	// Compare orders two slots of a step: negative if a starts first.
	Compare(a, b Slot) int
	// Most is the load that an engine may be believed to have and still get a
	// sample; 0 is no limit.
	Most(l Limits) int
	// Behind is how many versions an engine may be behind and still get a
	// sample, given how many open steps of the trainer come before its step.
	Behind(l Limits, stepsBefore int) ident.Version
	// Carriers is how many of the engines carry one trainer's weights, when so
	// many trainers share them.
	Carriers(engines, trainers int) int
	// Move tells whether an answer is better finished on another engine.
	Move(m Moving) bool
	// Priority is the engine priority of samples, given how many open steps of
	// the trainer come before.
	Priority(stepsBefore int) int
}

// Policies holds the policies by the name that configuration uses.
var Policies plug.Registry[Policy]

// Names of the policies.
const (
	// Longest starts the samples first that are expected to take longest.
	Longest = "Longest"
	// Arrival starts samples as they come, wherever; it is the baseline.
	Arrival = "Arrival"
)

func init() {
	Policies.Register(Longest, func() Policy { return longest{} })
	Policies.Register(Arrival, func() Policy { return arrival{} })
}

// Moving describes an answer that is being made, and the best other engine.
type Moving struct {
	// Last tells that no sample of its step is missing any more, so that the
	// step ends with the answers that are being made.
	Last bool
	// Left is how many more tokens are expected.
	Left ident.Tokens
	// Rate is the tokens a second that the answer gets, Other what it would get.
	Rate  float64
	Other float64
	// Moves is how often it was moved before.
	Moves int
}

const (
	// spread is how many times its even share of the engines a trainer's
	// weights are on. More smooths the load, fewer are swapped sooner.
	spread = 1.5
	// leastCarriers keeps a trainer supplied when an engine fails.
	leastCarriers = 2
	// moveCost is the time that a move takes, in seconds, by measurement; moveGain
	// is the share of the remaining time that it must save, and moveLeast the time
	// itself in seconds, since speeds are only estimates; maxMoves bounds moves.
	moveCost  = 0.15
	moveGain  = 0.1
	moveLeast = 0.3
	maxMoves  = 3
)

type longest struct{}

// Carriers gives each trainer somewhat more than its even share: weights reach
// fewer engines sooner under the store's rate limit.
func (longest) Carriers(engines, trainers int) int {
	even := spread * float64(engines) / float64(max(trainers, 1))
	return min(engines, max(leastCarriers, int(math.Ceil(even))))
}

// Move moves the last answers of a step when that is expected to pay.
func (longest) Move(m Moving) bool {
	if !m.Last || m.Moves >= maxMoves || m.Rate <= 0 || m.Other <= m.Rate {
		return false
	}
	stay := float64(m.Left) / m.Rate
	move := float64(m.Left)/m.Other + moveCost
	return stay-move > max(moveLeast, moveGain*stay)
}

// Compare puts the longer one first: a step ends with its last sample.
func (longest) Compare(a, b Slot) int {
	return cmp.Or(cmp.Compare(b.Expect, a.Expect), cmp.Compare(a.Index, b.Index))
}

// Most lets no sample queue at an engine. Live requests need no slot left free,
// since they go before samples there.
func (longest) Most(l Limits) int { return l.Slots }

// rounding makes a whole number of the weighed bound.
const rounding = 0.5

// Behind allows the whole bound at weight 1 and only the newest version at 0,
// less what the trainer will probably have published by the hand-over: one
// version, and one for each step before.
func (longest) Behind(l Limits, stepsBefore int) ident.Version {
	weighed := ident.Version(float64(l.Bound)*l.IdleWeight + rounding)
	return max(0, min(weighed, l.Bound-1-ident.Version(stepsBefore)))
}

// mostPriority is the priority of the step that a trainer waits for; it stays
// below that of live callers.
const mostPriority = 5

// Priority puts the step that the trainer needs first before later ones.
func (longest) Priority(stepsBefore int) int {
	return max(0, mostPriority-stepsBefore)
}

type arrival struct{}

// Carriers puts the weights on all engines.
func (arrival) Carriers(engines, _ int) int { return engines }

// Move never moves.
func (arrival) Move(Moving) bool { return false }

// Compare keeps the order of the slots.
func (arrival) Compare(a, b Slot) int { return cmp.Compare(a.Index, b.Index) }

// Most sets no limit.
func (arrival) Most(Limits) int { return 0 }

// Behind sets no limit.
func (arrival) Behind(l Limits, _ int) ident.Version { return l.Bound }

// Priority is the same for all steps.
func (arrival) Priority(int) int { return 0 }
