package home

import (
	"context"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/peers"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fold"
	"croftmoor.dev/kernel/views"
)

const (
	roundPeriod     = 150 * clock.Millis(1)
	appendTimeout   = 2 * clock.Second
	roundsPerExpiry = 20
)

// Run proposes views, installs states at backups and expires entries until ctx ends.
func (h *Home) Run(ctx context.Context) {
	round := 0
	h.Clock.Every(ctx, roundPeriod, func() {
		h.installAll(ctx)
		h.propose(ctx)
		round++
		if round%roundsPerExpiry == 0 {
			h.expire()
		}
	})
}

// propose appends one record with all proposals of this instance, and waits until the
// reader has applied it. A lost or rejected append is repeated in a later round.
func (h *Home) propose(ctx context.Context) {
	state := h.Reader.Current()
	if state == nil || !h.Reader.CaughtUp() {
		return
	}
	proposals := h.proposals()
	if len(proposals) == 0 {
		return
	}
	record, err := fold.ViewsRecord(proposals)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	// A repeated proposal is harmless: it names an old base and is ignored.
	offset, err := h.Log.Append(ctx, fold.Stream, record)
	for err == nil && h.Reader.Current().UpTo < offset {
		if !h.Clock.Sleep(ctx, retryPause) {
			return
		}
	}
}

func (h *Home) proposals() []views.Proposal {
	situation := views.Situation{
		Self: h.Self, Live: h.Health.Live(), Alive: h.Health.Alive, Gone: h.Health.Gone,
		Settled: h.Health.Settled(), MostReached: h.Health.MostReached(),
	}
	var proposals []views.Proposal
	for i := range h.shards {
		locked := &h.shards[i]
		locked.mu.Lock()
		view := locked.shard.View()
		situation.Synced = locked.shard.Synced()
		locked.mu.Unlock()
		if p, ok := views.Next(views.Shard(i), view, situation); ok {
			proposals = append(proposals, p)
		}
	}
	return proposals
}

// installAll sends the state of all shards whose backup lacks it, concurrently.
func (h *Home) installAll(ctx context.Context) {
	var group conc.WaitGroup
	for i := range h.shards {
		locked := &h.shards[i]
		locked.mu.Lock()
		needed := locked.shard.NeedsInstall() && h.Health.Alive(locked.shard.View().Backup)
		locked.mu.Unlock()
		if needed {
			group.Go(func() { h.install(ctx, views.Shard(i)) })
		}
	}
	group.Wait()
}

func (h *Home) install(ctx context.Context, number views.Shard) {
	locked := &h.shards[number]
	locked.mu.Lock()
	view := locked.shard.View()
	snapshot := locked.shard.Snapshot(number)
	locked.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, installTimeout.Duration())
	defer cancel()
	if h.Caller.Install(ctx, view.Backup, peers.Install{From: h.Self, Snapshot: snapshot}) != nil {
		return
	}
	locked.mu.Lock()
	locked.shard.ConfirmInstall(snapshot.Epoch)
	locked.mu.Unlock()
}

func (h *Home) expire() {
	now := h.Clock.Now()
	for i := range h.shards {
		locked := &h.shards[i]
		locked.mu.Lock()
		locked.shard.Expire(now)
		locked.mu.Unlock()
	}
}

// Status describes one shard for operators. StateSynced is once.Shard.Synced; IDs is the
// number of entries.
type Status struct {
	Shard       views.Shard
	View        views.View
	StateSynced bool
	IDs         int
}

// Statuses returns the shards of which this instance is the primary or the backup.
func (h *Home) Statuses() []Status {
	var list []Status
	for i := range h.shards {
		locked := &h.shards[i]
		locked.mu.Lock()
		shard := &locked.shard
		if shard.View().Has(h.Self) {
			list = append(list, Status{Shard: views.Shard(i), View: shard.View(), StateSynced: shard.Synced(), IDs: shard.Len()})
		}
		locked.mu.Unlock()
	}
	return list
}

var _ peers.Shards = (*Home)(nil)

// Ready reports whether every shard has a primary.
func (h *Home) Ready() bool {
	for i := range h.shards {
		if h.view(views.Shard(i)).Primary == "" {
			return false
		}
	}
	return true
}
