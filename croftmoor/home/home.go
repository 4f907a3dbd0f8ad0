// Package home keeps this instance's part of the at-most-once shards: it
// answers claims as a primary, records as a backup, and moves shards between
// instances through the platform's log. The rules stand in kernel/once and
// kernel/views; this package adds the I/O.
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

// Caller is the calls to other instances that this package needs.
type Caller interface {
	Claim(ctx context.Context, to ident.InstanceName, request once.Request) (once.Entry, error)
	Record(ctx context.Context, to ident.InstanceName, record peers.Record) error
	Install(ctx context.Context, to ident.InstanceName, install peers.Install) error
	Settle(ctx context.Context, to ident.InstanceName, settlement once.Settlement) error
}

// Health is what this package asks about other instances.
type Health interface {
	Alive(ident.InstanceName) bool
	Gone(ident.InstanceName) bool
	Settled() bool
	MostReached() bool
	Live() []views.Member
}

// Home holds the shards. Set the exported fields before Run. Each shard is
// under its own lock.
type Home struct {
	Self         ident.InstanceName
	Reader       *fold.Reader
	Log          tail.Log
	Caller       Caller
	Health       Health
	Clock        *clock.Clock
	RepeatWindow clock.Millis
	// LogSeen tells when the log was last read, on the monotonic clock.
	LogSeen func() clock.Millis

	shards   [views.Shards]lockedShard
	attempts atomic.Int64
}

// lockedShard is one shard with its lock.
type lockedShard struct {
	mu    sync.Mutex
	shard once.Shard
	// The times below are on the monotonic clock. previousConfirmed is when the primary
	// before may last have had its lease confirmed, leased when the backup last
	// confirmed this instance's own, acked when this instance last confirmed
	// its primary's or got its state.
	previousConfirmed clock.Millis
	leaseConfirmed    clock.Millis
	ackedPrimary      clock.Millis
}

const (
	recordTimeout  = 500 * clock.Millis(1)
	installTimeout = 5 * clock.Second
	claimTimeout   = 800 * clock.Millis(1)
	retryTimeout   = 3 * clock.Second
	retryPause     = 25 * clock.Millis(1)
	settleTimeout  = 1 * clock.Second
	// maxLogSilence is how long a primary that is alone, or cut off from most
	// instances, grants without hearing from the log. It is well below
	// peers.LostAfter, after which others may start the shard anew.
	maxLogSilence = 5 * clock.Second
)

// Setup prepares the shards; call it before the reader's first state.
func (h *Home) Setup() {
	for i := range h.shards {
		h.shards[i].shard.Self = h.Self
		h.shards[i].shard.RepeatWindow = h.RepeatWindow
	}
}

// OnState moves the shards to the views of a newer state.
func (h *Home) OnState(state *fold.State) {
	now := h.Clock.Now()
	for i := range h.shards {
		c := &h.shards[i]
		c.mu.Lock()
		before := c.shard.View()
		hadState := c.shard.HasState()
		c.shard.ApplyView(state.Views.Views[i], now)
		if before.Primary != h.Self && c.shard.View().Primary == h.Self {
			c.previousConfirmed = h.lastConfirmation(c, before, hadState)
		}
		c.mu.Unlock()
	}
}

// lastConfirmation returns when the primary before may last have had its lease
// confirmed: by this instance, if it was the backup and had the state, since
// the primary then asked nobody else; else up to now.
func (h *Home) lastConfirmation(c *lockedShard, before views.View, hadState bool) clock.Millis {
	if before.Backup == h.Self && hadState {
		return c.ackedPrimary
	}
	return h.Clock.Mono()
}

// NewAttempt numbers a try of this instance's.
func (h *Home) NewAttempt() int64 {
	return h.attempts.Add(1)
}

// Claim asks for the right to run an id. The entry's Status is Granted with
// this instance and flight if it may run; any other entry was there before.
// An error means that nothing was granted that could still be used.
func (h *Home) Claim(ctx context.Context, request once.Request) (once.Entry, error) {
	retryCtx, cancel := context.WithTimeout(ctx, retryTimeout.Duration())
	defer cancel()
	for {
		entry, err := h.tryClaim(retryCtx, request)
		if err == nil {
			return entry, nil
		}
		// Without the log no view can change, so that waiting would not help.
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
	c := &h.shards[shard]
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shard.View()
}

// ClaimHere answers a claim as the shard's primary.
func (h *Home) ClaimHere(ctx context.Context, request once.Request) (once.Entry, error) {
	number := views.ShardOf(string(request.ID))
	c := &h.shards[number]
	guard := h.guard()
	c.mu.Lock()
	entry, op, err := c.shard.Claim(request, h.Clock.Now(), guard)
	backup := c.shard.View().Backup
	c.mu.Unlock()
	if err != nil || entry.Status != once.Pending {
		return entry, err
	}
	if backup != "" {
		err = h.record(ctx, backup, peers.Record{Shard: number, From: h.Self, Op: op})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		err = c.shard.Confirm(op)
	}
	if err != nil {
		c.shard.Abort(op)
		return once.Entry{}, fault.Wrap("home.ClaimHere", once.NotReady, err, "the shard's backup did not record the claim")
	}
	return op.Entry, nil
}

func (h *Home) record(ctx context.Context, backup ident.InstanceName, record peers.Record) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout.Duration())
	defer cancel()
	return h.Caller.Record(ctx, backup, record)
}

// guard keeps a primary from granting where others may have started its
// shard anew without its knowing.
func (h *Home) guard() once.Guard {
	return func(alone bool) string {
		if !h.logSilent() {
			return ""
		}
		if alone {
			return "alone and out of touch with the platform's log"
		}
		if !h.Health.MostReached() {
			return "cut off from the platform's log and from most instances"
		}
		return ""
	}
}

// RecordHere answers a primary as its backup.
func (h *Home) RecordHere(record peers.Record) error {
	if record.Shard < 0 || record.Shard >= views.Shards {
		return fault.New("home.RecordHere", once.OldEpoch, "no such shard")
	}
	c := &h.shards[record.Shard]
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ackedPrimary = h.Clock.Mono()
	return c.shard.Record(record.Op, record.From)
}

// InstallHere takes a shard's whole state as its backup.
func (h *Home) InstallHere(install peers.Install) error {
	if install.Snapshot.Shard < 0 || install.Snapshot.Shard >= views.Shards {
		return fault.New("home.InstallHere", once.OldEpoch, "no such shard")
	}
	c := &h.shards[install.Snapshot.Shard]
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ackedPrimary = h.Clock.Mono()
	return c.shard.Install(install.Snapshot, install.From)
}

// Settle tells the shard's primary how a grant ended. It is tried a few times;
// if all fail, the id stays granted, which is safe.
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
	c := &h.shards[number]
	c.mu.Lock()
	view := c.shard.View()
	op, changed := c.shard.Settle(settlement)
	c.mu.Unlock()
	if view.Primary != h.Self {
		return fault.New("home.SettleHere", once.NotPrimary, "led by "+string(view.Primary))
	}
	if changed && view.Backup != "" {
		// The backup may miss this; it then tells less than it could, which is safe.
		_ = h.record(ctx, view.Backup, peers.Record{Shard: number, From: h.Self, Op: op})
	}
	return nil
}

// RunnerAlive tells whether the runner of an entry can still settle it.
func (h *Home) RunnerAlive(runner ident.InstanceName) bool {
	return h.Health.Alive(runner)
}

// Partners lists the instances that share a shard with this one.
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

// Counts returns how many shards this instance leads and backs up, and how
// many ids they remember.
func (h *Home) Counts() (leads, backs, ids int) {
	for i := range h.shards {
		c := &h.shards[i]
		c.mu.Lock()
		view := c.shard.View()
		if view.Primary == h.Self {
			leads++
		}
		if view.Backup == h.Self {
			backs++
		}
		ids += c.shard.Len()
		c.mu.Unlock()
	}
	return leads, backs, ids
}
