// Package home runs this instance's part of the at-most-once shards. It answers claims
// as a primary, records them as a backup, proposes new views in the platform's log, and
// grants leases on roles. The rules are in kernel/once and kernel/views; this package
// adds the I/O and the locks.
package home

import (
	"context"
	"sync"
	"sync/atomic"

	"croftmoor.dev/croftmoor/peers"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fold"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/once"
	"croftmoor.dev/kernel/tail"
	"croftmoor.dev/kernel/views"
)

// Caller sends requests to other instances.
type Caller interface {
	Claim(ctx context.Context, to ident.InstanceName, request once.Request) (once.Entry, error)
	Record(ctx context.Context, to ident.InstanceName, record peers.Record) error
	Install(ctx context.Context, to ident.InstanceName, install peers.Install) error
	Settle(ctx context.Context, to ident.InstanceName, settlement once.Settlement) error
}

// Health reports which other instances can be reached; see views.Situation.
type Health interface {
	Alive(ident.InstanceName) bool
	Gone(ident.InstanceName) bool
	Settled() bool
	MostReached() bool
	Live() []views.Member
}

// Home holds all shards, each with its own lock. Set the exported fields and call Setup
// before Run.
type Home struct {
	Self         ident.InstanceName
	Reader       *fold.Reader
	Log          tail.Log
	Caller       Caller
	Health       Health
	Clock        *clock.Clock
	RepeatWindow clock.Millis
	// LogSeen returns when the log was last read, on the monotonic clock.
	LogSeen func() clock.Millis

	shards   [views.Shards]lockedShard
	attempts atomic.Int64
}

// lockedShard is one shard with its lock and the times of its lease, which are on the
// monotonic clock.
type lockedShard struct {
	mu    sync.Mutex
	shard once.Shard
	// previousConfirmed is the latest time at which the previous primary may have had
	// its lease confirmed.
	previousConfirmed clock.Millis
	// leaseConfirmed is when this primary sent the last confirmation request that its
	// backup acknowledged; 0 means never.
	leaseConfirmed clock.Millis
	// lastFromPrimary is when this instance, as a backup, last received a record or a
	// snapshot, also one that it refused. A later time is safe: it only makes a new
	// primary wait longer.
	lastFromPrimary clock.Millis
}

const (
	recordTimeout  = 500 * clock.Millis(1)
	installTimeout = 5 * clock.Second
	claimTimeout   = 800 * clock.Millis(1)
	retryTimeout   = 3 * clock.Second
	retryPause     = 25 * clock.Millis(1)
	settleTimeout  = 1 * clock.Second
	// maxLogSilence is how long a primary without a backup, or without contact to most
	// instances, keeps granting while it can't read the log. It must stay well below
	// peers.LostAfter, after which others may start the shard without its state.
	maxLogSilence = 5 * clock.Second
)

// Setup initialises the shards. Call it before the reader publishes its first state.
func (h *Home) Setup() {
	for i := range h.shards {
		h.shards[i].shard.Self = h.Self
		h.shards[i].shard.RepeatWindow = h.RepeatWindow
	}
}

// OnState applies the views of a newer state to the shards. For a shard of which this
// instance becomes the primary, it notes when the previous primary's lease may last have
// been confirmed.
func (h *Home) OnState(state *fold.State) {
	now := h.Clock.Now()
	for i := range h.shards {
		locked := &h.shards[i]
		locked.mu.Lock()
		before := locked.shard.View()
		hadState := locked.shard.HasState()
		locked.shard.ApplyView(state.Views.Views[i], now)
		if before.Primary != h.Self && locked.shard.View().Primary == h.Self {
			locked.previousConfirmed = h.lastConfirmation(locked, before, hadState)
		}
		locked.mu.Unlock()
	}
}

// lastConfirmation returns the latest time at which the previous primary may have had its
// lease confirmed. A backup with the state knows it, because only the backup confirms; any
// other new primary must assume now.
func (h *Home) lastConfirmation(locked *lockedShard, before views.View, hadState bool) clock.Millis {
	if before.Backup == h.Self && hadState {
		return locked.lastFromPrimary
	}
	return h.Clock.Mono()
}

// NewAttempt returns a number for an attempt that is unique at this instance.
func (h *Home) NewAttempt() int64 {
	return h.attempts.Add(1)
}

// Claim asks the shard's primary for the right to run an id, with retries. The caller may
// run it if the entry is Granted with this instance and the request's attempt; any other
// entry existed before. After an error, no usable grant exists.
func (h *Home) Claim(ctx context.Context, request once.Request) (once.Entry, error) {
	retryCtx, cancel := context.WithTimeout(ctx, retryTimeout.Duration())
	defer cancel()
	for {
		entry, err := h.tryClaim(retryCtx, request)
		if err == nil {
			return entry, nil
		}
		// Without the log no view can change, so a retry would not help.
		if h.logSilent() || !h.Clock.Sleep(retryCtx, retryPause) {
			return once.Entry{}, err
		}
	}
}

func (h *Home) logSilent() bool {
	return h.Clock.Mono()-h.LogSeen() > maxLogSilence
}

func (h *Home) tryClaim(ctx context.Context, request once.Request) (once.Entry, error) {
	view := h.view(views.ShardOf(string(request.ID)))
	switch view.Primary {
	case "":
		return once.Entry{}, fault.New("home.Claim", once.NotReady, "nobody leads the id's shard yet")
	case h.Self:
		return h.ClaimHere(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout.Duration())
	defer cancel()
	return h.Caller.Claim(ctx, view.Primary, request)
}

func (h *Home) view(shard views.Shard) views.View {
	locked := &h.shards[shard]
	locked.mu.Lock()
	defer locked.mu.Unlock()
	return locked.shard.View()
}

// ClaimHere answers a claim as the shard's primary.
func (h *Home) ClaimHere(ctx context.Context, request once.Request) (once.Entry, error) {
	number := views.ShardOf(string(request.ID))
	locked := &h.shards[number]
	guard := h.guard()
	locked.mu.Lock()
	entry, op, err := locked.shard.Claim(request, h.Clock.Now(), guard)
	backup := locked.shard.View().Backup
	locked.mu.Unlock()
	if err != nil || entry.Status != once.Pending {
		return entry, err
	}
	if backup != "" {
		err = h.record(ctx, backup, peers.Record{Shard: number, From: h.Self, Op: op})
	}
	locked.mu.Lock()
	defer locked.mu.Unlock()
	if err == nil {
		err = locked.shard.Confirm(op)
	}
	if err != nil {
		locked.shard.Abort(op)
		return once.Entry{}, fault.Wrap("home.ClaimHere", once.NotReady, err, "the shard's backup did not record the claim")
	}
	return op.Entry, nil
}

func (h *Home) record(ctx context.Context, backup ident.InstanceName, record peers.Record) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout.Duration())
	defer cancel()
	return h.Caller.Record(ctx, backup, record)
}

// guard returns the once.Guard of this instance. It refuses while the log has been silent
// for longer than maxLogSilence and other instances may have started the shard without
// its state. The reasons appear in decision lines, so their texts must not change.
func (h *Home) guard() once.Guard {
	return func(withoutBackup bool) string {
		if !h.logSilent() {
			return ""
		}
		if withoutBackup {
			return "alone and out of touch with the platform's log"
		}
		if !h.Health.MostReached() {
			return "cut off from the platform's log and from most instances"
		}
		return ""
	}
}

// RecordHere applies a primary's Op as its backup.
func (h *Home) RecordHere(record peers.Record) error {
	if record.Shard < 0 || record.Shard >= views.Shards {
		return fault.New("home.RecordHere", once.OldEpoch, "no such shard")
	}
	locked := &h.shards[record.Shard]
	locked.mu.Lock()
	defer locked.mu.Unlock()
	locked.lastFromPrimary = h.Clock.Mono()
	return locked.shard.Record(record.Op, record.From)
}

// InstallHere installs a shard's state as its backup.
func (h *Home) InstallHere(install peers.Install) error {
	if install.Snapshot.Shard < 0 || install.Snapshot.Shard >= views.Shards {
		return fault.New("home.InstallHere", once.OldEpoch, "no such shard")
	}
	locked := &h.shards[install.Snapshot.Shard]
	locked.mu.Lock()
	defer locked.mu.Unlock()
	locked.lastFromPrimary = h.Clock.Mono()
	return locked.shard.Install(install.Snapshot, install.From)
}

// Settle reports the end of a grant to the shard's primary, with retries. If all fail, the
// id stays granted, which is safe: it can't be run again.
func (h *Home) Settle(ctx context.Context, settlement once.Settlement) {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout.Duration())
	defer cancel()
	for {
		view := h.view(views.ShardOf(string(settlement.ID)))
		if h.settleAt(ctx, view.Primary, settlement) == nil || !h.Clock.Sleep(ctx, retryPause) {
			return
		}
	}
}

func (h *Home) settleAt(ctx context.Context, primary ident.InstanceName, settlement once.Settlement) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout.Duration())
	defer cancel()
	if primary == h.Self {
		return h.SettleHere(ctx, settlement)
	}
	return h.Caller.Settle(ctx, primary, settlement)
}

// SettleHere ends a grant as the shard's primary.
func (h *Home) SettleHere(ctx context.Context, settlement once.Settlement) error {
	number := views.ShardOf(string(settlement.ID))
	locked := &h.shards[number]
	locked.mu.Lock()
	view := locked.shard.View()
	op, changed := locked.shard.Settle(settlement)
	locked.mu.Unlock()
	if view.Primary != h.Self {
		return fault.New("home.SettleHere", once.NotPrimary, "the shard's primary is "+string(view.Primary))
	}
	if changed && view.Backup != "" {
		// If the backup misses this, it keeps the entry as Granted, which is safe.
		_ = h.record(ctx, view.Backup, peers.Record{Shard: number, From: h.Self, Op: op})
	}
	return nil
}

// RunnerAlive reports whether the runner of an entry can still settle it.
func (h *Home) RunnerAlive(runner ident.InstanceName) bool {
	return h.Health.Alive(runner)
}

// Partners returns the other members of the shards to which this instance belongs.
func (h *Home) Partners() []ident.InstanceName {
	seen := map[ident.InstanceName]bool{}
	var list []ident.InstanceName
	for i := range h.shards {
		view := h.view(views.Shard(i))
		other := view.Partner(h.Self)
		if view.Has(h.Self) && other != "" && !seen[other] {
			seen[other] = true
			list = append(list, other)
		}
	}
	return list
}

// Counts returns the number of shards of which this instance is the primary, the number
// of which it is the backup, and the number of ids in all its shards.
func (h *Home) Counts() (primaries, backups, ids int) {
	for i := range h.shards {
		locked := &h.shards[i]
		locked.mu.Lock()
		view := locked.shard.View()
		if view.Primary == h.Self {
			primaries++
		}
		if view.Backup == h.Self {
			backups++
		}
		ids += locked.shard.Len()
		locked.mu.Unlock()
	}
	return primaries, backups, ids
}
