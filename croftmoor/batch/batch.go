// Package batch has the items of batch jobs run at model engines, and lists their
// results. The ledger decides everything that instances must agree on; this package
// writes to it and acts on what it reads back. Callers are answered by package intake.
package batch

import (
	"context"

	"croftmoor.dev/croftmoor/work"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/poison"
	"croftmoor.dev/kernel/trail"
)

// Event is a part of an engine's answer.
type Event struct {
	// Index counts the events of a text from 1.
	Index   int
	Version ident.Version
	Data    string
}

// Events is an engine's answer as it comes.
type Events interface {
	// Next returns the next event; it reports false at the proper end.
	Next() (Event, bool, error)
	// Version is the version that was named at the head of the answer.
	Version() ident.Version
	// Shares tells that the engine shares its machine with others, so that it is slow for
	// a while now and then.
	Shares() bool
	Close()
}

// EngineKind classifies what went wrong at an engine.
type EngineKind string

// What can go wrong at an engine.
const (
	// NotRun means that the engine did not begin.
	NotRun EngineKind = "NotRun"
	// Busy is NotRun because the engine is full or loads weights.
	Busy EngineKind = "Busy"
	// Broken means that the answer ended before its end.
	Broken EngineKind = "Broken"
	// Silent means that the engine said nothing for too long; it may live.
	Silent EngineKind = "Silent"
	// Failed means that the engine ran the item and failed it.
	Failed EngineKind = "Failed"
	// Slow means that the rest is better made by another engine.
	Slow EngineKind = "Slow"
	// Impossible means that no engine can ever run the item.
	Impossible EngineKind = "Impossible"
)

// EngineError is the error of an engine.
type EngineError = fault.Error[EngineKind]

// Engines runs items.
type Engines interface {
	// Run starts an item at an engine; from is the last event that is known.
	Run(ctx context.Context, engine fleet.Member, item work.Item, from int) (Events, error)
	// Ended tells whether nobody listens at an engine's address any more.
	Ended(ctx context.Context, engine fleet.Member) bool
}

// Guard knows the requests that end the engines that run them, as far as any instance
// has seen.
type Guard interface {
	// Held returns for how long a request goes to no engine, and why; 0 if it may.
	Held(request poison.Fingerprint) (left clock.Millis, why string)
	// Ended tells that an engine ended while it ran a request.
	Ended(request poison.Fingerprint, engine ident.BackendName)
	// Answered tells that an engine answered a request.
	Answered(request poison.Fingerprint)
}

// RewardKind classifies what went wrong with a reward call.
type RewardKind string

// What can go wrong with a reward call.
const (
	// RewardFailed means that the service answered that it failed.
	RewardFailed RewardKind = "RewardFailed"
	// RewardLost means that there was no answer to go by.
	RewardLost RewardKind = "RewardLost"
	// RewardHeld means that the call goes to no server, since servers ended under it.
	RewardHeld RewardKind = "RewardHeld"
)

// RewardError is the error of a reward call.
type RewardError = fault.Error[RewardKind]

// Rewards scores texts.
type Rewards interface {
	// Score makes the call; lost is how many calls of it had no answer to go by.
	Score(ctx context.Context, reward work.Reward, lost int) (string, error)
	// Attempts is how many failures of the call make its item hopeless.
	Attempts(reward work.Reward) int
}

// Ledger is the shared state as this package uses it.
type Ledger interface {
	View(visit func(*jobs.State))
	Changed() <-chan struct{}
	Append(ctx context.Context, records ...jobs.Record) (ident.Offset, error)
	Await(ctx context.Context, next ident.Offset) error
	// Hurry has the log read without a pause.
	Hurry()
	Fresh() bool
	// Away tells that the log does not answer.
	Away() bool
	// Age is how long ago the state was last known to be current.
	Age() clock.Millis
	// Idle is the same, for use within View.
	Idle() clock.Millis
	// Since is when an instance that acts for an engine must have been heard
	// last, QuietSince when the owner of an item must have been.
	Since() clock.Millis
	QuietSince() clock.Millis
}

// Blobs keeps bodies and texts.
type Blobs interface {
	PutText(ctx context.Context, job ident.Job, text []byte) (jobs.Span, error)
	Get(ctx context.Context, span jobs.Span) ([]byte, error)
	// FetchFrom asks another instance for what it holds in memory.
	FetchFrom(ctx context.Context, from ident.Address, span jobs.Span) ([]byte, error)
}

// Counts counts what becomes of items.
type Counts interface {
	Claimed(items int)
	Listed()
}

// Decisions takes a line for each decision.
type Decisions interface {
	Add(d trail.Decision)
}
