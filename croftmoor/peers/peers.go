// Package peers implements the calls between entry instances: heartbeats, the shards of
// at-most-once calls, and trainers' steps. The calls use connect-go with a MessagePack
// codec; wire.go has the wire types and their conversions.
package peers

import (
	"context"

	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/once"
	"croftmoor.dev/kernel/steps"
	"croftmoor.dev/kernel/views"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Unreachable means that the peer gave no answer; the call may have had its effect.
	Unreachable Kind = "Unreachable"
	// Unreadable means that a message could not be read.
	Unreadable Kind = "Unreadable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Heartbeat is the state of an instance that pings exchange.
type Heartbeat struct {
	Instance ident.InstanceName
	// UpTo is the offset up to which the instance has read the log.
	UpTo     ident.Offset
	Revision ident.Revision
	Draining bool
}

// Install is a request to a shard's backup to replace its state with Snapshot.
type Install struct {
	From     ident.InstanceName
	Snapshot once.Snapshot
}

// Record is a request to a shard's backup to apply one change.
type Record struct {
	Shard views.Shard
	From  ident.InstanceName
	Op    once.Op
}

// Open is a request to open a trainer's step. Have is the set of slots whose samples the
// trainer already holds, and Version the newest version that the sender knows.
type Open struct {
	Spec    steps.Spec
	Have    steps.Set
	Version ident.Version
	// HandedOver means that the step's previous owner sends the request, not the trainer.
	// Ready are the finished samples that the previous owner had not delivered.
	HandedOver bool
	Ready      []*steps.Sample
}

// Pull is a request for samples of a step.
type Pull struct {
	Trainer ident.Trainer
	Step    ident.Step
	// PullID is returned in the answer, so that the trainer can discard the answer to an
	// earlier pull.
	PullID     string
	Have       steps.Set
	Version    ident.Version
	MaxSamples int
	// Wait bounds the time that the owner waits for samples if none are ready.
	Wait clock.Millis
}

// Pulled is the answer to a Pull. Missing, Running, Ready and Held count the step's slots.
type Pulled struct {
	PullID  string
	Step    ident.Step
	Owner   ident.InstanceName
	Samples []*steps.Sample
	Missing int
	Running int
	Ready   int
	Held    int
}

// Publication is a notification that a trainer has published weights.
type Publication struct {
	Trainer ident.Trainer
	Version ident.Version
}

// VersionRecorder records weights versions that other instances observed.
type VersionRecorder interface {
	Note(observed pool.ObservedVersion)
}

// Shards handles the peers' calls to the shards of at-most-once calls on this instance.
type Shards interface {
	ClaimHere(ctx context.Context, request once.Request) (once.Entry, error)
	RecordHere(record Record) error
	InstallHere(install Install) error
	SettleHere(ctx context.Context, settlement once.Settlement) error
}

// Feeder handles the peers' calls to the trainers' steps on this instance.
type Feeder interface {
	OpenHere(ctx context.Context, open Open) error
	PullHere(ctx context.Context, pull Pull) (Pulled, error)
	PublishHere(publication Publication)
}
