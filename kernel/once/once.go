// Package once runs work that must not be repeated at most once. Each request id
// belongs to a shard. The shard's primary grants an id to one instance, the
// runner, only after the shard's backup has recorded the grant.
//
//	runner            primary                 backup
//	  | claim(id, epoch) |                       |
//	  |----------------->| record(id, epoch)     |
//	  |                  |---------------------->| refuses if in a later epoch
//	  |     granted      |<----------------------|
//	  |<-----------------|                       |
//	  | runs the work                            |
//	  | settle(id, outcome)                      |
//	  |----------------->|---------------------->|
//
// A backup in a later epoch never records for an earlier one, so a replaced
// primary can't grant any more, even if it was suspended in between. This does
// not depend on clocks. The primary's own guard (see Guard) is called for each
// new claim, but is needed only after a loss of state, or while the primary has
// no backup.
package once

import (
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/views"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// NotPrimary means that the called instance is not the shard's primary.
	NotPrimary Kind = "NotPrimary"
	// NotReady means that the shard can't grant now; nothing was granted.
	NotReady Kind = "NotReady"
	// OldEpoch means that the epochs of caller and called instance differ.
	OldEpoch Kind = "OldEpoch"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Status is the state of an id.
type Status string

// Statuses.
const (
	// Pending ids wait for the backup to record the grant.
	Pending Status = "Pending"
	// Granted ids may have been run by their runner.
	Granted Status = "Granted"
	// Done ids were run and have their answer.
	Done Status = "Done"
	// Unknown ids may have run: their runner could not determine it, or they may
	// have been granted before the shard lost its state.
	Unknown Status = "Unknown"
)

// Answer is the backend server's answer to the work.
type Answer struct {
	Status  int
	Body    []byte
	Backend ident.BackendName
}

// Entry is the record of one id in a shard.
type Entry struct {
	ID     ident.RequestID
	Status Status
	Runner ident.InstanceName
	// Attempt distinguishes the attempts of one runner, so that a late settlement
	// of one does not end another.
	Attempt int64
	// At is when the id was claimed, by the primary's clock.
	At     clock.Millis
	Answer Answer
}

func (e Entry) sameAttempt(other Entry) bool {
	return e.Runner == other.Runner && e.Attempt == other.Attempt
}

// Op is a change of an entry that the primary replicates to its backup.
type Op struct {
	Epoch ident.Offset
	// Drop means that the entry is removed rather than recorded.
	Drop  bool
	Entry Entry
}

// Shard is one shard at one instance. It is a state machine without I/O and without a
// lock; the caller serialises all calls.
type Shard struct {
	Self ident.InstanceName
	// RepeatWindow is how long an entry is kept after its claim.
	RepeatWindow clock.Millis

	view    views.View
	entries map[ident.RequestID]Entry
	// installedEpoch is the epoch for which this instance has the complete state.
	installedEpoch ident.Offset
	// backupEpoch is the epoch for which the backup acknowledged the complete state.
	backupEpoch ident.Offset
	// lostUntil is the time until which an id without an entry may have been granted
	// before a loss of state.
	lostUntil clock.Millis
}

// View returns the current view.
func (s *Shard) View() views.View {
	return s.view
}

// ApplyView moves the shard to a newer view; older ones are ignored. A member keeps its
// entries, a non-member drops them. A new primary that did not hold the state of the
// previous view treats the state as lost for RepeatWindow.
func (s *Shard) ApplyView(view views.View, now clock.Millis) {
	if view.Epoch <= s.view.Epoch {
		return
	}
	before := s.view
	hadState := s.HasState()
	s.view = view
	if !view.Has(s.Self) {
		s.entries = nil
		s.installedEpoch = 0
		return
	}
	if s.entries == nil {
		s.entries = map[ident.RequestID]Entry{}
	}
	if view.Primary != s.Self {
		return
	}
	firstView := view.Base == 0 && !view.Lost
	kept := hadState && before.Epoch == view.Base
	if !firstView && !kept {
		s.lostUntil = now + s.RepeatWindow
	}
	s.installedEpoch = view.Epoch
}

// HasState reports whether this instance holds the complete state of the view.
func (s *Shard) HasState() bool {
	return s.view.Epoch != 0 && s.installedEpoch == s.view.Epoch && s.view.Has(s.Self)
}

// Synced reports whether the other member could be replaced without loss of state.
func (s *Shard) Synced() bool {
	if s.view.Primary == s.Self {
		return s.HasState() && (s.view.Backup == "" || s.backupEpoch == s.view.Epoch)
	}
	return s.HasState()
}

// NeedsInstall reports whether the primary must still send the state to its backup.
func (s *Shard) NeedsInstall() bool {
	return s.view.Primary == s.Self && s.HasState() && s.view.Backup != "" && s.backupEpoch != s.view.Epoch
}

// Guard returns the reason why the primary must not grant although its view allows it, or
// "" if it may grant. withoutBackup is true if the view has no backup.
type Guard func(withoutBackup bool) string

// Request asks for the right to run an id.
type Request struct {
	ID      ident.RequestID
	Runner  ident.InstanceName
	Attempt int64
	// Issued is when the caller created the id, if the id contains the time; else 0.
	Issued clock.Millis
}

// maxSkew bounds the difference between the clocks of callers and instances. It matters
// only after a loss of state.
const maxSkew = 2 * clock.Second

// Claim asks for the right to run an id. If the returned entry is Pending, the claim is
// new: the caller sends the Op to the backup, then calls Confirm or Abort. Any other
// entry existed before, or is Unknown after a loss of state. The texts of its errors, and
// of Confirm's and Record's, appear in decision lines and must not change.
func (s *Shard) Claim(request Request, now clock.Millis, guard Guard) (Entry, Op, error) {
	if s.view.Primary != s.Self {
		return Entry{}, Op{}, fault.New("once.Claim", NotPrimary, "led by "+string(s.view.Primary))
	}
	if !s.HasState() || s.NeedsInstall() {
		return Entry{}, Op{}, fault.New("once.Claim", NotReady, "the shard's state is on its way")
	}
	if known, ok := s.entries[request.ID]; ok && now-known.At <= s.RepeatWindow {
		if known.Status == Pending {
			return Entry{}, Op{}, fault.New("once.Claim", NotReady, "the id waits for the backup")
		}
		return known, Op{}, nil
	}
	if now < s.lostUntil && request.Issued <= s.lostUntil-s.RepeatWindow+maxSkew {
		return Entry{ID: request.ID, Status: Unknown}, Op{}, nil
	}
	if reason := guard(s.view.Backup == ""); reason != "" {
		return Entry{}, Op{}, fault.New("once.Claim", NotReady, reason)
	}
	entry := Entry{ID: request.ID, Status: Pending, Runner: request.Runner, Attempt: request.Attempt, At: now}
	s.entries[request.ID] = entry
	recorded := entry
	recorded.Status = Granted
	return entry, Op{Epoch: s.view.Epoch, Entry: recorded}, nil
}

// Confirm completes a claim after the backup has recorded it. If the view has changed
// since the claim, it returns OldEpoch and nothing is granted.
func (s *Shard) Confirm(op Op) error {
	entry, ok := s.entries[op.Entry.ID]
	if s.view.Epoch != op.Epoch || !ok || !entry.sameAttempt(op.Entry) {
		return fault.New("once.Confirm", OldEpoch, "the view changed during the claim")
	}
	entry.Status = Granted
	s.entries[op.Entry.ID] = entry
	return nil
}

// Abort ends a claim that the backup did not record, and frees the id. This is safe:
// only this primary can grant in its epoch, and it did not.
func (s *Shard) Abort(op Op) {
	entry, ok := s.entries[op.Entry.ID]
	if ok && entry.Status == Pending && entry.sameAttempt(op.Entry) {
		delete(s.entries, op.Entry.ID)
	}
}

// Outcome is how the work of a granted id ended.
type Outcome string

// Outcomes.
const (
	// Ran means that the work ran and has its answer.
	Ran Outcome = "Ran"
	// DidNotRun means that the work certainly did not run; the id is free again.
	DidNotRun Outcome = "DidNotRun"
	// CannotTell means that the runner gave up without knowing whether the work ran.
	CannotTell Outcome = "CannotTell"
)

// Settlement reports to the primary how a grant ended.
type Settlement struct {
	ID      ident.RequestID
	Runner  ident.InstanceName
	Attempt int64
	Outcome Outcome
	Answer  Answer
}

// Settle ends a grant and returns the Op for the backup. It returns false and changes
// nothing if the grant is not in force here, for instance after a late settlement.
func (s *Shard) Settle(settlement Settlement) (Op, bool) {
	entry, ok := s.entries[settlement.ID]
	matches := ok && entry.Status == Granted && entry.Runner == settlement.Runner && entry.Attempt == settlement.Attempt
	if !matches || s.view.Primary != s.Self {
		return Op{}, false
	}
	switch settlement.Outcome {
	case DidNotRun:
		delete(s.entries, settlement.ID)
		return Op{Epoch: s.view.Epoch, Drop: true, Entry: entry}, true
	case Ran:
		entry.Status = Done
		entry.Answer = settlement.Answer
	case CannotTell:
		entry.Status = Unknown
	}
	s.entries[settlement.ID] = entry
	return Op{Epoch: s.view.Epoch, Entry: entry}, true
}

// Record applies an Op at the backup. It returns OldEpoch unless the sender is the
// primary and this instance the backup in the Op's epoch, and NotReady before Install.
func (s *Shard) Record(op Op, from ident.InstanceName) error {
	if s.view.Epoch != op.Epoch || s.view.Primary != from || s.view.Backup != s.Self {
		return fault.New("once.Record", OldEpoch, "not the backup in that epoch")
	}
	if !s.HasState() {
		return fault.New("once.Record", NotReady, "the state is not installed")
	}
	if op.Drop {
		if entry, ok := s.entries[op.Entry.ID]; ok && entry.sameAttempt(op.Entry) {
			delete(s.entries, op.Entry.ID)
		}
		return nil
	}
	s.entries[op.Entry.ID] = op.Entry
	return nil
}

// Entries returns all entries that are not Pending, for Install at the backup.
func (s *Shard) Entries() []Entry {
	entries := make([]Entry, 0, len(s.entries))
	for _, entry := range s.entries {
		if entry.Status != Pending {
			entries = append(entries, entry)
		}
	}
	return entries
}

// Snapshot is the complete state of a shard, sent to a new backup.
type Snapshot struct {
	Shard     views.Shard
	Epoch     ident.Offset
	Entries   []Entry
	LostUntil clock.Millis
}

// Snapshot returns the complete state, labelled with the shard's number.
func (s *Shard) Snapshot(shard views.Shard) Snapshot {
	return Snapshot{Shard: shard, Epoch: s.view.Epoch, Entries: s.Entries(), LostUntil: s.lostUntil}
}

// Install replaces the backup's state by the primary's. It returns OldEpoch unless the
// sender is the primary and this instance the backup in the snapshot's epoch.
func (s *Shard) Install(snapshot Snapshot, from ident.InstanceName) error {
	if s.view.Epoch != snapshot.Epoch || s.view.Primary != from || s.view.Backup != s.Self {
		return fault.New("once.Install", OldEpoch, "this instance is not the sender's backup in that epoch")
	}
	if s.installedEpoch == snapshot.Epoch {
		return nil
	}
	s.entries = make(map[ident.RequestID]Entry, len(snapshot.Entries))
	for _, entry := range snapshot.Entries {
		s.entries[entry.ID] = entry
	}
	s.lostUntil = snapshot.LostUntil
	s.installedEpoch = snapshot.Epoch
	return nil
}

// ConfirmInstall notes that the backup acknowledged the complete state of an epoch.
func (s *Shard) ConfirmInstall(epoch ident.Offset) {
	if epoch == s.view.Epoch {
		s.backupEpoch = epoch
	}
}

// Expire removes entries older than the repeat window, except Pending ones.
func (s *Shard) Expire(now clock.Millis) {
	for id, entry := range s.entries {
		if now-entry.At > s.RepeatWindow && entry.Status != Pending {
			delete(s.entries, id)
		}
	}
}

// Len returns the number of entries.
func (s *Shard) Len() int {
	return len(s.entries)
}
