// Package jobs folds the records of a ledger into the state of batch jobs: accepted
// jobs, claims, results, live instances and which instance may order weights. The order
// of the records decides everything on which instances must agree. Each instance is a
// reader that folds the records itself; all times in the state are on its own clock. The
// package does no I/O.
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
	// Corrupt marks a record that could not be decoded.
	Corrupt Kind = "Corrupt"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Span locates a blob: Count consecutive records of one stream, from First on.
type Span struct {
	Stream ident.Stream
	First  ident.Offset
	Count  int
}

// ItemSpec is what each instance knows of an item without reading its body.
type ItemSpec struct {
	ID    ident.Item
	Group ident.Group
	// Expect is the answer length that the caller expects.
	Expect ident.Tokens
	// Body locates the item's body.
	Body Span
}

// Accept creates a job. Only the first Accept of a job counts.
type Accept struct {
	Job  ident.Job
	Host string
	// Prefix is the path prefix of the job's route.
	Prefix  string
	Service ident.Service
	Model   ident.Model
	Step    ident.Step
	// MinVersion is the oldest weight version whose tokens the job accepts.
	MinVersion ident.Version
	// WantedGroups is the number of complete groups that the trainer needs; 0 means all.
	WantedGroups int
	// SingleVersion requires that a single weight version generates the whole text.
	SingleVersion bool
	Items         []ItemSpec
	// Organisation owns the job; empty if none does.
	Organisation ident.Organisation
}

// Target is one item of a claim. Replaces is the offset of the claim that it replaces,
// or 0 for none; the new claim counts only if that is still the item's current claim.
type Target struct {
	Index    int
	Replaces ident.Offset
}

// Claim assigns items of a job to the instance By, to be run on Engine.
type Claim struct {
	Job     ident.Job
	By      ident.InstanceName
	Engine  ident.BackendName
	Targets []Target
	// Dealer is the instance that wrote the claim; empty if By wrote it.
	Dealer ident.InstanceName
}

// Writer returns the instance that wrote the claim.
func (c Claim) Writer() ident.InstanceName { return cmp.Or(c.Dealer, c.By) }

// Yield releases a claimed item without a result. Partial is the text generated so far,
// if any; the next owner may continue from it.
type Yield struct {
	Job     ident.Job
	By      ident.InstanceName
	Index   int
	Partial Partial
	// Failed reports whether the engine failed the item.
	Failed bool
	Timing Timing
}

// SavePartial stores the text generated so far, so that it survives a failure of the
// instance or the engine.
type SavePartial struct {
	Job     ident.Job
	By      ident.InstanceName
	Index   int
	Partial Partial
}

// Timing is the time, in milliseconds, that an engine took for a number of events. It
// feeds the engine's Pace.
type Timing struct {
	Engine ident.BackendName
	Events int
	Millis int
}

// Avoid reports an engine that failed to do its work: no instance assigns it items for
// Millis milliseconds.
type Avoid struct {
	By     ident.InstanceName
	Engine ident.BackendName
	Millis int
}

// Defer held an item back for Millis milliseconds. Older versions of the program write it; it
// has no effect but as a sign of life.
type Defer struct {
	Job    ident.Job
	By     ident.InstanceName
	Index  int
	Millis int
}

// Partial is a prefix of a text, or all of it.
type Partial struct {
	// Texts locates the parts in order; they are joined by line feeds.
	Texts    []Span
	Events   int
	Versions []ident.Version
	// Complete reports whether the text is finished and lacks only its reward.
	Complete bool
}

// Fits reports whether a job that accepts tokens of minVersion and newer may reuse the
// text; with singleVersion, one version must have generated all of it. An empty text does
// not fit.
func (p Partial) Fits(minVersion ident.Version, singleVersion bool) bool {
	if p.Events == 0 || (singleVersion && len(p.Versions) > 1) {
		return false
	}
	for _, v := range p.Versions {
		if v < minVersion {
			return false
		}
	}
	return true
}

// newestVersion returns the newest version that made a part of the text; 0 if it is empty.
func (p Partial) newestVersion() ident.Version {
	newest := ident.Version(0)
	for _, v := range p.Versions {
		newest = max(newest, v)
	}
	return newest
}

// OnlyVersion returns the version that must make the rest of the text, where one must make all
// of it; 0 if any may, or if there is no text to go on with.
func (p Partial) OnlyVersion(singleVersion bool) ident.Version {
	if !singleVersion || p.Complete || len(p.Versions) != 1 {
		return 0
	}
	return p.Versions[0]
}

// Outcome is how an item ended.
type Outcome string

// Outcomes of items.
const (
	Completed  Outcome = "Completed"
	Terminated Outcome = "Terminated"
)

// Finish is the result of an item. Only the first one of an item counts.
type Finish struct {
	Job      ident.Job
	By       ident.InstanceName
	Index    int
	Outcome  Outcome
	Versions []ident.Version
	Score    string
	Texts    []Span
	// Events is the length of the whole text.
	Events int
	Timing Timing
}

// End closes a job: none of its items needs to run any more.
type End struct {
	Job ident.Job
}

// Heartbeat reports that an instance is alive. If Leaving is set, the instance accepts no
// more work.
type Heartbeat struct {
	By      ident.InstanceName
	Zone    ident.Zone
	Leaving bool
	// Address accepts calls from other instances.
	Address ident.Address
	// Start orders the starts of an instance: it is the offset of a record of this start whose
	// append was acknowledged before this heartbeat was written. An instance that starts after
	// another start of it has ended has the greater one, however late the records of the other
	// are appended. It is 0 until a record was acknowledged; such a start neither supersedes
	// others nor is superseded.
	Start ident.Offset
	// Roles are those that the instance holds. They tell them to readers for which the log has
	// dropped the Hold.
	Roles []HeldRole
}

// HeldRole is a role with the fencing token under which its holder acts.
type HeldRole struct {
	Role  string
	Fence ident.Fence
}

// Hold makes an instance the holder of a role, provided that Replaces is the offset of
// the role's current Hold. Its own offset becomes the fencing token.
type Hold struct {
	Role     string
	By       ident.InstanceName
	Replaces ident.Offset
}

// LoadOrder announces that the holder of a role is about to order an engine to load a
// version. It counts only while Fence is the fencing token of the role's current holder.
type LoadOrder struct {
	Role    string
	Fence   ident.Fence
	Engine  ident.BackendName
	Model   ident.Model
	Version ident.Version
	// Within is the longest time, in milliseconds, from this record until the engine takes
	// the order. An older version of the program writes none.
	Within int
}

// OrderSettled reports that a load order is no longer on its way: the engine has taken or
// refused it.
type OrderSettled struct {
	Engine ident.BackendName
	// Order is the offset of its LoadOrder.
	Order ident.Offset
}

// Loaded reports that an engine was observed running a version.
type Loaded struct {
	Engine  ident.BackendName
	Model   ident.Model
	Version ident.Version
}

// Count is the number of requests of an organisation that began to run.
type Count struct {
	Organisation ident.Organisation
	Requests     int64
}

// UsageDelta adds requests that began on an instance within a window.
type UsageDelta struct {
	By     ident.InstanceName
	Window ident.Window
	Counts []Count
}

// UsageTotal fixes the counts of a window for its report. It counts only while Fence is
// the fencing token of the holder of Role, and only the first one of a window counts.
type UsageTotal struct {
	Role   string
	Fence  ident.Fence
	Window ident.Window
	Counts []Count
}

// UsageReported records that the platform accepted the report of a window.
type UsageReported struct {
	Window ident.Window
}

// Record is one of the record types above.
type Record interface {
	kind() recordKind
}

type recordKind uint8

// The numbers are stored in the ledger: never reuse or reassign one.
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
	orderSettledKind
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
func (OrderSettled) kind() recordKind  { return orderSettledKind }
