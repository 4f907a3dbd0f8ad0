// Package once makes work that may not be repeated run at most once. Each id
// belongs to a shard; the shard's primary grants an id to one instance, which
// then runs it, and only after the shard's backup has recorded the grant.
//
//	runner            primary                 backup
//	  | claim(id, epoch) |                       |
//	  |----------------->| record(id, epoch)     |
//	  |                  |---------------------->| refuses if it has moved on
//	  |     granted      |<----------------------|
//	  |<-----------------|                       |
//	  | runs the work                            |
//	  | settle(id, outcome)                      |
//	  |----------------->|---------------------->|
//
// A backup that has moved to a later epoch never records for an earlier one,
// so a primary that was replaced while frozen can't grant anything any more.
// No clock takes part in that. The primary's own guard (see Guard) matters
// only where a state was lost or an instance is alone.
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
	// NotPrimary means that the asked instance does not lead the shard.
	NotPrimary Kind = "NotPrimary"
	// NotReady means that the shard can't grant now; nothing was granted.
	NotReady Kind = "NotReady"
	// OldEpoch means that the asked instance has moved to a later epoch.
	OldEpoch Kind = "OldEpoch"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Status is where an id stands.
type Status string

// Statuses.
const (
	// Pending ids wait for the backup.
	Pending Status = "Pending"
	// Granted ids may have been run by their runner.
	Granted Status = "Granted"
	// Done ids were run and have their answer.
	Done Status = "Done"
	// Unknown ids may have run: their runner could not tell, or they may have
	// been granted before a state was lost.
	Unknown Status = "Unknown"
)

// Answer is the backend server's answer to work that ran.
type Answer struct {
	Status  int
	Body    []byte
	Backend ident.BackendName
}

// Entry is what a shard knows of one id.
type Entry struct {
	ID     ident.RequestID
	Status Status
	Runner ident.InstanceName
	// Attempt tells the runner's own tries apart, so that a late settlement of
	// one does not free another.
	Attempt int64
	At      clock.Millis
	Answer  Answer
}

func (e Entry) sameAttempt(other Entry) bool {
	return e.Runner == other.Runner && e.Attempt == other.Attempt
}

// Op is a change that the primary passes to its backup.
type Op struct {
	Epoch ident.Offset
	// Drop removes the entry in place of recording it.
	Drop  bool
	Entry Entry
}

// Shard is one shard at one instance. It is a state machine without I/O and
// without locks of its own; see Table.
type Shard struct {
	Self         ident.InstanceName
	RepeatWindow clock.Millis

	view    views.View
	entries map[ident.RequestID]Entry
	// installedEpoch is the epoch for which this instance has the whole state.
	installedEpoch ident.Offset
	// backupEpoch is the epoch for which the backup acknowledged the whole state.
	backupEpoch ident.Offset
	lostUntil   clock.Millis
}

// View returns the view that the shard works under.
func (s *Shard) View() views.View {
	return s.view
}

// ApplyView moves the shard to a newer view.
func (s *Shard) ApplyView(view views.View, now clock.Millis) {
	if view.Epoch <= s.view.Epoch {
		return
	}
	before := s.view
	had := s.HasState()
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
	fresh := view.Base == 0 && !view.Lost
	kept := had && before.Epoch == view.Base
	if !fresh && !kept {
		s.lostUntil = now + s.RepeatWindow
	}
	s.installedEpoch = view.Epoch
}

// HasState tells whether this instance holds the whole state of the view.
func (s *Shard) HasState() bool {
	return s.view.Epoch != 0 && s.installedEpoch == s.view.Epoch && s.view.Has(s.Self)
}

// Synced tells whether the view could lose this instance's partner without
// losing state.
func (s *Shard) Synced() bool {
	if s.view.Primary == s.Self {
		return s.HasState() && (s.view.Backup == "" || s.backupEpoch == s.view.Epoch)
	}
	return s.HasState()
}

// NeedsInstall tells whether the primary still owes its backup the state.
func (s *Shard) NeedsInstall() bool {
	return s.view.Primary == s.Self && s.HasState() && s.view.Backup != "" && s.backupEpoch != s.view.Epoch
}

// Guard says why the primary must not grant although its view allows it; ""
// means that it may. Alone tells whether the view has no backup.
type Guard func(alone bool) string

// Request asks to run an id.
type Request struct {
	ID      ident.RequestID
	Runner  ident.InstanceName
	Attempt int64
	// Issued is when the caller made the id, if the id tells so; else 0.
	Issued clock.Millis
}

// maxSkew bounds how far the clocks of callers and instances differ. It
// matters only after a state was lost.
const maxSkew = 2 * clock.Second

// Claim asks to run an id. A Pending entry is new: the caller passes Op to the
// backup, then calls Confirm or Deny. Any other entry was known before.
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

// Confirm completes a claim after the backup has recorded it. It fails when
// the view changed meanwhile; then nothing was granted.
func (s *Shard) Confirm(op Op) error {
	entry, ok := s.entries[op.Entry.ID]
	if s.view.Epoch != op.Epoch || !ok || !entry.sameAttempt(op.Entry) {
		return fault.New("once.Confirm", OldEpoch, "the view changed during the claim")
	}
	entry.Status = Granted
	s.entries[op.Entry.ID] = entry
	return nil
}

// Abort ends a claim that the backup did not record. The id stays free: in
// this epoch only this primary grants, and it knows that it did not.
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
	// CannotTell means that the runner gave up without knowing.
	CannotTell Outcome = "CannotTell"
)

// Settlement tells the primary how a grant ended.
type Settlement struct {
	ID      ident.RequestID
	Runner  ident.InstanceName
	Attempt int64
	Outcome Outcome
	Answer  Answer
}

// Settle ends a grant. It reports false when the grant is not in force here,
// for instance because the settlement came late; then nothing changes.
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

// Record is the backup's part of a claim or a settlement.
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

// Entries returns all entries, for Install at the backup.
func (s *Shard) Entries() []Entry {
	entries := make([]Entry, 0, len(s.entries))
	for _, entry := range s.entries {
		if entry.Status != Pending {
			entries = append(entries, entry)
		}
	}
	return entries
}

// Snapshot is a shard's whole state on its way to a backup.
type Snapshot struct {
	Shard     views.Shard
	Epoch     ident.Offset
	Entries   []Entry
	LostUntil clock.Millis
}

// Snapshot returns the whole state.
func (s *Shard) Snapshot(shard views.Shard) Snapshot {
	return Snapshot{Shard: shard, Epoch: s.view.Epoch, Entries: s.Entries(), LostUntil: s.lostUntil}
}

// Install takes the primary's whole state at the backup.
func (s *Shard) Install(snapshot Snapshot, from ident.InstanceName) error {
	if s.view.Epoch != snapshot.Epoch || s.view.Primary != from || s.view.Backup != s.Self {
		return fault.New("once.Install", OldEpoch, "not the backup in that epoch")
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

// ConfirmInstall notes that the backup acknowledged the whole state.
func (s *Shard) ConfirmInstall(epoch ident.Offset) {
	if epoch == s.view.Epoch {
		s.backupEpoch = epoch
	}
}

// Expire forgets entries that are older than the repeat window.
func (s *Shard) Expire(now clock.Millis) {
	for id, entry := range s.entries {
		if now-entry.At > s.RepeatWindow && entry.Status != Pending {
			delete(s.entries, id)
		}
	}
}

// Len returns how many ids the shard remembers.
func (s *Shard) Len() int {
	return len(s.entries)
}
