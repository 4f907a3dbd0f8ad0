// Package batch takes batch jobs, has their items run at model engines, and
// lists the results. The ledger decides everything that instances must agree
// on; this package writes to it and acts on what it reads back.
package batch

import (
	"context"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/trail"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// NotTaken means that nothing of the request has been or will be done.
	NotTaken Kind = "NotTaken"
	// Uncertain means that it may have been done; asking again is harmless.
	Uncertain Kind = "Uncertain"
	// Unknown means that there is no such job or item.
	Unknown Kind = "Unknown"
	// Unsure means that this instance can't tell at the moment.
	Unsure Kind = "Unsure"
	// Invalid means that the request itself is at fault.
	Invalid Kind = "Invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Reward is the call that scores a text.
type Reward struct {
	ID   ident.RequestID
	Host string
	Path string
	Body []byte
}

// Item is what runs at an engine, and how its text is scored.
type Item struct {
	ID      ident.Item
	Group   ident.Group
	Expect  ident.Tokens
	Host    string
	Path    string
	Headers []httpc.Header
	Body    []byte
	// Reward is nil if texts are not scored.
	Reward *Reward
}

// Submission is a batch job as its caller hands it in.
type Submission struct {
	Job    ident.Job
	Route  paths.Route
	Step   ident.Step
	Model  ident.Model
	Least  ident.Version
	Wanted int
	Items  []Item
}

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
	Run(ctx context.Context, engine fleet.Member, item Item, from int) (Events, error)
}

// RewardKind classifies what went wrong with a reward call.
type RewardKind string

// What can go wrong with a reward call.
const (
	// RewardFailed means that the service answered that it failed.
	RewardFailed RewardKind = "RewardFailed"
	// RewardLost means that there was no answer to go by.
	RewardLost RewardKind = "RewardLost"
)

// RewardError is the error of a reward call.
type RewardError = fault.Error[RewardKind]

// Rewards scores texts.
type Rewards interface {
	// Score makes the call; lost is how many calls of it had no answer to go by.
	Score(ctx context.Context, reward Reward, lost int) (string, error)
	// Attempts is how many failures of the call make its item hopeless.
	Attempts(reward Reward) int
}

// Ledger is the shared state as this package uses it.
type Ledger interface {
	View(look func(*jobs.Book))
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
	PutBodies(ctx context.Context, job ident.Job, blobs [][]byte) ([]jobs.Span, error)
	PutText(ctx context.Context, job ident.Job, text []byte) (jobs.Span, error)
	Get(ctx context.Context, span jobs.Span) ([]byte, error)
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
