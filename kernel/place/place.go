// Package place schedules the samples of training steps: their order, how loaded an
// engine may be, how old its weights may be, and when an answer moves to another engine.
// Policies do no I/O and register themselves by name.
package place

import (
	"cmp"
	"math"

	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/plug"
)

// Slot is a sample of a step that has not been started.
type Slot struct {
	Index ident.Slot
	// Expected is the predicted length of the answer.
	Expected ident.Tokens
}

// Limits holds the settings of the service and the trainer that a policy needs.
type Limits struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// StalenessBound is the trainer's maximum staleness in versions.
	StalenessBound ident.Version
	// IdleWeight trades idle engine time against staleness: 1 minimises idle time, 0
	// minimises staleness.
	IdleWeight float64
}

// Policy decides how samples are scheduled.
type Policy interface {
	// Compare orders two slots of a step; it returns a negative number if a starts
	// first.
	Compare(a, b Slot) int
	// MaxLoad returns the number of requests at which an engine gets no further
	// samples; 0 means no limit.
	MaxLoad(l Limits) int
	// MaxVersionsBehind returns how many versions an engine's weights may be behind
	// the newest. stepsBefore is the number of the trainer's open steps that precede
	// the sample's step.
	MaxVersionsBehind(l Limits, stepsBefore int) ident.Version
	// EnginesPerTrainer returns how many of the engines hold one trainer's weights
	// when that number of trainers shares them.
	EnginesPerTrainer(engines, trainers int) int
	// ShouldMove reports whether an answer should be finished on another engine.
	ShouldMove(m MoveCandidate) bool
	// Priority returns the priority that engines give to the samples of a step; higher
	// runs first. stepsBefore is as for MaxVersionsBehind.
	Priority(stepsBefore int) int
}

// Policies holds the policies by the name that configuration uses.
var Policies plug.Registry[Policy]

// Names of the policies.
const (
	// Longest starts the samples with the longest expected answers first.
	Longest = "Longest"
	// Arrival starts samples in slot order without limits; it is the baseline.
	Arrival = "Arrival"
)

func init() {
	Policies.Register(Longest, func() Policy { return longest{} })
	Policies.Register(Arrival, func() Policy { return arrival{} })
}

// MoveCandidate describes an answer in progress and the best other engine for it.
type MoveCandidate struct {
	// LastOfStep is true if all samples of the step have been started, so that only
	// answers in progress delay its end.
	LastOfStep bool
	// TokensLeft is the predicted number of tokens still to be generated. Callers may
	// count in another unit, such as stream events, if both rates use it too.
	TokensLeft ident.Tokens
	// Rate is the current speed of the answer in tokens per second, and OtherRate the
	// expected speed on the other engine.
	Rate      float64
	OtherRate float64
	// Moves is how often the answer has been moved already.
	Moves int
}

const (
	// spreadFactor is the multiple of its even share of the engines on which a
	// trainer's weights are loaded. A higher value balances load better, a lower one
	// distributes new weights sooner.
	spreadFactor = 1.5
	// minEngines lets a trainer continue when one engine fails.
	minEngines = 2
	// moveSeconds is the time that a move takes. Speeds are estimates, so a move must
	// save more than minSecondsSaved and minShareSaved of the remaining time. maxMoves
	// bounds the moves of one answer.
	moveSeconds     = 0.15
	minShareSaved   = 0.1
	minSecondsSaved = 0.3
	maxMoves        = 3
)

type longest struct{}

// EnginesPerTrainer returns spreadFactor times the trainer's even share. It does not use
// all engines, because the store's rate limit delays new weights with each one.
func (longest) EnginesPerTrainer(engines, trainers int) int {
	wantedEngines := spreadFactor * float64(engines) / float64(max(trainers, 1))
	return min(engines, max(minEngines, int(math.Ceil(wantedEngines))))
}

// ShouldMove moves the last answers of a step if that saves enough time.
func (longest) ShouldMove(m MoveCandidate) bool {
	if !m.LastOfStep || m.Moves >= maxMoves || m.Rate <= 0 || m.OtherRate <= m.Rate {
		return false
	}
	staySeconds := float64(m.TokensLeft) / m.Rate
	totalMoveSeconds := float64(m.TokensLeft)/m.OtherRate + moveSeconds
	return staySeconds-totalMoveSeconds > max(minSecondsSaved, minShareSaved*staySeconds)
}

// Compare puts the longer answer first, because a step ends with its last sample.
func (longest) Compare(a, b Slot) int {
	return cmp.Or(cmp.Compare(b.Expected, a.Expected), cmp.Compare(a.Index, b.Index))
}

// MaxLoad returns the number of slots, which keeps samples from queueing at an engine. No
// slot is reserved for live requests, because engines serve them ahead of samples.
func (longest) MaxLoad(l Limits) int { return l.Slots }

// rounding is added before truncation to round to the nearest integer.
const rounding = 0.5

// MaxVersionsBehind returns StalenessBound scaled by IdleWeight. It leaves room for the
// versions that the trainer is likely to publish before the step is handed over: one, and
// one more for each earlier step.
func (longest) MaxVersionsBehind(l Limits, stepsBefore int) ident.Version {
	allowed := ident.Version(float64(l.StalenessBound)*l.IdleWeight + rounding)
	return max(0, min(allowed, l.StalenessBound-1-ident.Version(stepsBefore)))
}

// maxPriority is the priority of the step that a trainer waits for. It must stay below
// the priority of live requests.
const maxPriority = 5

// Priority ranks earlier steps of the trainer higher.
func (longest) Priority(stepsBefore int) int {
	return max(0, maxPriority-stepsBefore)
}

type arrival struct{}

// EnginesPerTrainer returns the number of engines.
func (arrival) EnginesPerTrainer(engines, _ int) int { return engines }

// ShouldMove returns false.
func (arrival) ShouldMove(MoveCandidate) bool { return false }

// Compare orders slots by index.
func (arrival) Compare(a, b Slot) int { return cmp.Compare(a.Index, b.Index) }

// MaxLoad returns 0, no limit.
func (arrival) MaxLoad(Limits) int { return 0 }

// MaxVersionsBehind returns the staleness bound.
func (arrival) MaxVersionsBehind(l Limits, _ int) ident.Version { return l.StalenessBound }

// Priority returns 0 for all steps.
func (arrival) Priority(int) int { return 0 }
