package home

import (
	"context"

	"croftmoor.dev/croftmoor/peers"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/once"
	"croftmoor.dev/kernel/views"
)

// A role, such as ordering weights for a service, belongs to the primary of
// the role's shard. The lease on it is the backup's confirmation that it has
// not moved on, which needs no append, so that roles go on while the
// platform's log is out:
//
//	primary: confirms with the backup at time t; may act until t + Term - Longest
//	backup:  last confirmed at time u; once promoted, acts from u + Term on
//
// Every act ends within Longest, so the two never overlap as long as both
// clocks run at about the same rate. The epoch of the view is the fencing
// number, for those who check it.

const (
	// LeaseTerm is how long a confirmation counts.
	LeaseTerm = 4 * clock.Second
	// MaxActionTime bounds one act under a lease.
	MaxActionTime = 1500 * clock.Millis(1)
	renewAfter    = 1 * clock.Second
	leaseID       = "lease/"
)

// Lease tells whether this instance holds the role now, for at least
// LongestAct, and under which fencing number. It confirms with the backup
// when the last confirmation has grown old.
func (h *Home) Lease(ctx context.Context, role string) (fence ident.Fence, held bool) {
	number := views.ShardOf(role)
	c := &h.shards[number]
	c.mu.Lock()
	view := c.shard.View()
	canAct := view.Primary == h.Self && c.shard.HasState() && !c.shard.NeedsInstall()
	yields, leased := c.previousConfirmed, c.leaseConfirmed
	c.mu.Unlock()
	now := h.Clock.Mono()
	if !canAct || now < yields+LeaseTerm {
		return 0, false
	}
	if now-leased >= renewAfter {
		h.renew(ctx, number, view)
	}
	return h.Holds(role)
}

// Holds tells the same from what is known, without asking the backup. It is
// the check to make right before an act.
func (h *Home) Holds(role string) (fence ident.Fence, held bool) {
	c := &h.shards[views.ShardOf(role)]
	c.mu.Lock()
	defer c.mu.Unlock()
	view := c.shard.View()
	fresh := h.Clock.Mono()+MaxActionTime < c.leaseConfirmed+LeaseTerm
	return ident.Fence(view.Epoch), view.Primary == h.Self && c.leaseConfirmed > 0 && fresh
}

// Leader returns the instance that leads the role's shard.
func (h *Home) Leader(role string) ident.InstanceName {
	return h.view(views.ShardOf(role)).Primary
}

// renew confirms with the backup. The lease counts from before the question
// was sent. An instance that is alone needs word from the log instead.
func (h *Home) renew(ctx context.Context, number views.Shard, view views.View) {
	sentAt := h.Clock.Mono()
	if view.Backup == "" {
		if h.guard()(true) != "" {
			return
		}
	} else {
		entry := once.Entry{ID: leaseID, Status: once.Done, Runner: h.Self, At: h.Clock.Now()}
		op := once.Op{Epoch: view.Epoch, Entry: entry}
		if h.record(ctx, view.Backup, peers.Record{Shard: number, From: h.Self, Op: op}) != nil {
			return
		}
	}
	c := &h.shards[number]
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shard.View().Epoch == view.Epoch {
		c.leaseConfirmed = max(c.leaseConfirmed, sentAt)
	}
}
