// Package batch claims the items of batch jobs, runs them at model engines and lists
// their results. Instances agree through the ledger: this package appends records to it
// and acts on the state that it reads back. Package intake answers the callers.
package batch

import (
	"context"

	"croftmoor.dev/croftmoor/work"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/trail"
)

// Event is one piece of an engine's answer.
type Event struct {
	// Index numbers the events of a text, from 1.
	Index   int
	Version ident.Version
	Data    string
}

// Events is a stream of the events of one answer.
type Events interface {
	// Next returns the next event; it returns false at the regular end of the answer.
	Next() (Event, bool, error)
	// Version returns the model version given at the head of the answer.
	Version() ident.Version
	// SharesMachine reports whether the engine shares its machine with others and is therefore
	// slow at times.
	SharesMachine() bool
	Close()
}

// EngineKind classifies the errors of a run at an engine.
type EngineKind string

// The kinds of engine errors.
const (
	// NotRun means that the engine did not start the item.
	NotRun EngineKind = "NotRun"
	// Busy means that the engine did not start the item because it is full or is
	// loading weights.
	Busy EngineKind = "Busy"
	// Broken means that the answer was cut off or invalid.
	Broken EngineKind = "Broken"
	// Silent means that the engine sent no event in time; it may still be running.
	Silent EngineKind = "Silent"
	// Failed means that the engine ran the item and reported a failure.
	Failed EngineKind = "Failed"
	// Slow means that another engine is expected to finish the text sooner.
	Slow EngineKind = "Slow"
	// OtherVersion means that the engine has a version that may not go on with the item's text.
	OtherVersion EngineKind = "OtherVersion"
	// Impossible means that no engine can ever run the item.
	Impossible EngineKind = "Impossible"
)

// EngineError is an error of a run at an engine.
type EngineError = fault.Error[EngineKind]

// Engines runs items at engines.
type Engines interface {
	// Run starts an item at an engine; from is the index of the last event that the
	// caller already has.
	Run(ctx context.Context, engine fleet.Member, item work.Item, from int) (Events, error)
	// Ended reports whether nothing listens at the engine's address any more.
	Ended(ctx context.Context, engine fleet.Member) bool
	// Reachable reports whether the engine's machine answers before ctx ends.
	Reachable(ctx context.Context, engine fleet.Member) bool
}

// Guard tracks requests that crash servers, as seen by all instances. Items are never such
// requests, and are sent to engines however many have ended under them: what they tell of an
// engine's end clears the live calls that ran there.
type Guard interface {
	// ServerEnded records that an engine ended while it ran an item.
	ServerEnded(engine ident.BackendName)
}

// RewardKind classifies the errors of a reward call.
type RewardKind string

// The kinds of reward errors.
const (
	// RewardFailed means that the service answered with a failure.
	RewardFailed RewardKind = "RewardFailed"
	// RewardLost means that the call got no usable answer.
	RewardLost RewardKind = "RewardLost"
)

// RewardError is an error of a reward call.
type RewardError = fault.Error[RewardKind]

// Rewards calls the reward service that scores texts.
type Rewards interface {
	// Score makes the call; lost is the number of earlier tries without a usable answer.
	Score(ctx context.Context, reward work.Reward, lost int) (string, error)
	// Attempts returns the number of failures after which the item is terminated.
	Attempts(reward work.Reward) int
}

// Ledger is the shared log of records and the state that they lead to.
type Ledger interface {
	View(visit func(*jobs.State))
	Changed() <-chan struct{}
	Append(ctx context.Context, records ...jobs.Record) (ident.Offset, error)
	Await(ctx context.Context, next ident.Offset) error
	// Hurry makes the ledger read the log now, without the usual pause between reads.
	Hurry()
	Fresh() bool
	// Away reports whether the log does not answer.
	Away() bool
	// Age returns the time since the state was last known to be current.
	Age() clock.Millis
	// Idle returns the time since the log last responded. It may be called only within
	// View, where Age must not be called.
	Idle() clock.Millis
	// Since returns the time after which a member must have sent a heartbeat to count as
	// alive. QuietSince returns that for owners of items, actors and dealers.
	Since() clock.Millis
	QuietSince() clock.Millis
}

// Blobs stores the bodies of items and the texts of results.
type Blobs interface {
	PutText(ctx context.Context, job ident.Job, text []byte) (jobs.Span, error)
	Get(ctx context.Context, span jobs.Span) ([]byte, error)
	// FetchFrom reads a span from another instance's memory.
	FetchFrom(ctx context.Context, from ident.Address, span jobs.Span) ([]byte, error)
}

// Counts counts claimed and listed items.
type Counts interface {
	Claimed(items int)
	Listed()
}

// Decisions is the decision log.
type Decisions interface {
	Add(d trail.Decision)
}
