// Package peers is the calls between entry instances: liveness and news, the
// at-most-once shards, and trainers' steps. The calls go over connect-go with
// a MessagePack codec; wire types stand in wire.go and are mapped by hand.
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
	// Unreachable means that the peer gave no answer; the call may have worked.
	Unreachable Kind = "Unreachable"
	// Unreadable means that a message could not be read.
	Unreadable Kind = "Unreadable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Heartbeat is what instances tell each other when they ping.
type Heartbeat struct {
	Instance ident.InstanceName
	// UpTo is the offset up to which the instance has read the log.
	UpTo     ident.Offset
	Revision ident.Revision
	Draining bool
}

// Install carries a shard's state to its backup.
type Install struct {
	From     ident.InstanceName
	Snapshot once.Snapshot
}

// Record carries one change of a shard to its backup.
type Record struct {
	Shard views.Shard
	From  ident.InstanceName
	Op    once.Op
}

// Open opens a trainer's step.
type Open struct {
	Spec    steps.Spec
	Have    steps.Set
	Version ident.Version
	// HandedOver tells that the owner before opens the step, not the trainer; Ready
	// are the samples that it had ready.
	HandedOver bool
	Ready      []*steps.Sample
}

// Pull asks for samples.
type Pull struct {
	Trainer ident.Trainer
	Step    ident.Step
	// PullID is echoed, so that the trainer can tell a late answer from its own.
	PullID     string
	Have       steps.Set
	Version    ident.Version
	MaxSamples int
	Wait       clock.Millis
}

// Pulled answers a Pull.
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

// Publication says that a trainer has published weights.
type Publication struct {
	Trainer ident.Trainer
	Version ident.Version
}

// VersionRecorder takes over the sightings of other instances.
type VersionRecorder interface {
	Note(s pool.ObservedVersion)
}

// Shards is the at-most-once part of an instance as its peers use it.
type Shards interface {
	ClaimHere(ctx context.Context, request once.Request) (once.Entry, error)
	RecordHere(record Record) error
	InstallHere(install Install) error
	SettleHere(ctx context.Context, settlement once.Settlement) error
}

// Feeder is the trainers' part of an instance as its peers use it.
type Feeder interface {
	OpenHere(ctx context.Context, open Open) error
	PullHere(ctx context.Context, pull Pull) (Pulled, error)
	PublishHere(publication Publication)
}
