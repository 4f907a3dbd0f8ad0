// Package jobs is the state of batch jobs, folded from the records of a ledger:
// acceptances, claims, results and ends, and which instances are alive and who
// orders weights. Everything that instances must agree on is decided by the
// order of these records. The package does no I/O.
package jobs

import (
	"cmp"

	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Corrupt means that a record could not be read.
	Corrupt Kind = "Corrupt"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Span is where a blob lies: consecutive records of one stream.
type Span struct {
	Stream ident.Stream
	First  ident.Offset
	Count  int
}

// ItemSpec is what every instance knows of an item without reading its body.
type ItemSpec struct {
	ID    ident.Item
	Group ident.Group
	// Expect is how many tokens the caller expects the answer to have.
	Expect ident.Tokens
	// Body is where the item's body lies within the job's span.
	Body Span
}

// Accept makes a job part of the state. The first acceptance of a job counts.
type Accept struct {
	Job  ident.Job
	Host string
	// Prefix is the path prefix of the job's route.
	Prefix  string
	Service ident.Service
	Model   ident.Model
	Step    ident.Step
	// MinVersion is the oldest version whose tokens the job takes.
	MinVersion ident.Version
	// WantedGroups is how many whole groups its trainer waits for; 0 is all.
	WantedGroups int
	// SingleVersion tells that one version must have made the whole of a text.
	SingleVersion bool
	Items         []ItemSpec
	// Organisation is whose job it is; empty if nobody's.
	Organisation ident.Organisation
}

// Target is one item that a claim is for. Replaces is the claim that it takes
// the place of, or 0; the claim only counts if that one still stands.
type Target struct {
	Index    int
	Replaces ident.Offset
}

// Claim gives items of a job to an instance, By, to be run at an engine.
type Claim struct {
	Job     ident.Job
	By      ident.InstanceName
	Engine  ident.BackendName
	Targets []Target
	// Dealer is the instance that wrote the claim; empty if By did so itself.
	Dealer ident.InstanceName
}

// Writer returns the instance that wrote the claim.
func (c Claim) Writer() ident.InstanceName { return cmp.Or(c.Dealer, c.By) }

// Yield gives claimed items back. Partial is the text that was made so far, if
// any; whoever claims the item next may go on from there.
type Yield struct {
	Job     ident.Job
	By      ident.InstanceName
	Index   int
	Partial Partial
	// Failed tells that the engine itself failed the item.
	Failed bool
	Speed  Timing
}

// SavePartial keeps the beginning of a text while the rest is being made, so that it
// is not lost with the instance or the engine.
type SavePartial struct {
	Job     ident.Job
	By      ident.InstanceName
	Index   int
	Partial Partial
}

// Timing is how long an engine took for a number of events; everybody learns the
// speed of the engine from it.
type Timing struct {
	Engine ident.BackendName
	Events int
	Millis int
}

// Avoid tells that an engine did not do its work; nobody gives it items for a
// while.
type Avoid struct {
	By     ident.InstanceName
	Engine ident.BackendName
	Millis int
}

// Defer keeps an item from all engines for a while, since engines ended under it.
type Defer struct {
	Job    ident.Job
	By     ident.InstanceName
	Index  int
	Millis int
}

// Partial is the beginning of a text, or all of it.
type Partial struct {
	// Texts are its parts in order; a line feed stands between two of them.
	Texts    []Span
	Events   int
	Versions []ident.Version
	// Complete tells that nothing but the reward is missing.
	Complete bool
}

// Fits tells whether the text may be used in a job that takes tokens of least
// and newer versions, of a single one if single is set.
func (p Partial) Fits(least ident.Version, single bool) bool {
	if p.Events == 0 || (single && len(p.Versions) > 1) {
		return false
	}
	for _, v := range p.Versions {
		if v < least {
			return false
		}
	}
	return true
}

// Outcome is how an item ended.
type Outcome string

// States of items.
const (
	Completed  Outcome = "Completed"
	Terminated Outcome = "Terminated"
)

// Finish is the result of an item. The first one of an item counts.
type Finish struct {
	Job      ident.Job
	By       ident.InstanceName
	Index    int
	State    Outcome
	Versions []ident.Version
	Score    string
	Texts    []Span
	// Events is the length of the whole text.
	Events int
	Speed  Timing
}

// End closes a job: nothing of it needs to run any more.
type End struct {
	Job ident.Job
}

// Heartbeat tells that an instance is alive. Leaving tells that it takes no more
// work.
type Heartbeat struct {
	By      ident.InstanceName
	Zone    ident.Zone
	Leaving bool
	// Address takes other instances' calls.
	Address ident.Address
}

// Hold makes an instance the holder of a role, if Replaces is the hold that
// stands. Its offset is the fencing number.
type Hold struct {
	Role     string
	By       ident.InstanceName
	Replaces ident.Offset
}

// LoadOrder tells that the holder of a role is about to order an engine to load a
// version. It counts only while Fence is the hold that stands.
type LoadOrder struct {
	Role    string
	Fence   ident.Fence
	Engine  ident.BackendName
	Model   ident.Model
	Version ident.Version
}

// Loaded tells that an engine was seen to run a version.
type Loaded struct {
	Engine  ident.BackendName
	Model   ident.Model
	Version ident.Version
}

// Count is how many requests of an organisation began to run.
type Count struct {
	Organisation ident.Organisation
	Requests     int64
}

// UsageDelta adds requests that an instance saw begin in a window.
type UsageDelta struct {
	By     ident.InstanceName
	Window ident.Window
	Counts []Count
}

// UsageTotal is the sum of a window that is reported: it counts only while Fence is the
// hold on Role that stands, and the first one of a window counts.
type UsageTotal struct {
	Role   string
	Fence  ident.Fence
	Window ident.Window
	Counts []Count
}

// UsageReported tells that the platform has taken the report of a window.
type UsageReported struct {
	Window ident.Window
}

// Record is one of the types above.
type Record interface {
	kind() recordKind
}

type recordKind uint8

// The numbers are on the wire: they are never given to another record.
const (
	acceptKind recordKind = 1 + iota
	claimKind
	yieldKind
	finishKind
	endKind
	heartbeatKind
	holdKind
	loadOrderKind
	loadedKind
	avoidKind
	savePartialKind
	usageDeltaKind
	usageTotalKind
	usageReportedKind
	deferKind
)

func (Accept) kind() recordKind        { return acceptKind }
func (Claim) kind() recordKind         { return claimKind }
func (Yield) kind() recordKind         { return yieldKind }
func (Finish) kind() recordKind        { return finishKind }
func (End) kind() recordKind           { return endKind }
func (Heartbeat) kind() recordKind     { return heartbeatKind }
func (Hold) kind() recordKind          { return holdKind }
func (LoadOrder) kind() recordKind     { return loadOrderKind }
func (Loaded) kind() recordKind        { return loadedKind }
func (Avoid) kind() recordKind         { return avoidKind }
func (SavePartial) kind() recordKind   { return savePartialKind }
func (UsageDelta) kind() recordKind    { return usageDeltaKind }
func (UsageTotal) kind() recordKind    { return usageTotalKind }
func (UsageReported) kind() recordKind { return usageReportedKind }
func (Defer) kind() recordKind         { return deferKind }
