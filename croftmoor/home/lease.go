package home

import (
	"context"

	"croftmoor.dev/croftmoor/peers"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/once"
	"croftmoor.dev/kernel/views"
)

// A role, such as ordering weights for a service, belongs to the primary of the
// role's shard. The primary holds a lease on it while its backup confirms that it
// is still in the same epoch. Confirmation needs no append, so roles continue
// during an outage of the platform's log:
//
//	primary: confirms at time t; may start an action until t + LeaseTerm - MaxActionTime
//	backup:  last confirmed at time u; once promoted, acts from u + LeaseTerm on
//
// Every action ends within MaxActionTime, so actions of the two never overlap while
// both clocks run at about the same rate. The epoch of the view is the fencing
// number, for receivers that check it.

const (
	// LeaseTerm is how long a confirmation is valid.
	LeaseTerm = 4 * clock.Second
	// MaxActionTime bounds the duration of one action under a lease.
	MaxActionTime = 1500 * clock.Millis(1)
	// renewAfter is the age of a confirmation at which Lease asks for a new one.
	renewAfter = 1 * clock.Second
	// leaseID is the id of the entry that a confirmation records at the backup.
	leaseID = "lease/"
)

// Lease reports whether this instance holds the role for at least MaxActionTime from now,
// and under which fencing number. If the last confirmation is older than renewAfter, it
// asks the backup for a new one. A new primary holds no role until LeaseTerm after the
// previous primary's last confirmation.
func (h *Home) Lease(ctx context.Context, role string) (fence ident.Fence, held bool) {
	number := views.ShardOf(role)
	locked := &h.shards[number]
	locked.mu.Lock()
	view := locked.shard.View()
	canAct := view.Primary == h.Self && locked.shard.HasState() && !locked.shard.NeedsInstall()
	previousConfirmed, leaseConfirmed := locked.previousConfirmed, locked.leaseConfirmed
	locked.mu.Unlock()
	now := h.Clock.Mono()
	if !canAct || now < previousConfirmed+LeaseTerm {
		return 0, false
	}
	if now-leaseConfirmed >= renewAfter {
		h.renew(ctx, number, view)
	}
	return h.Holds(role)
}

// Holds reports whether the role's last confirmation is still valid for at least
// MaxActionTime, without a request to the backup. Call it after Lease and immediately
// before an action.
func (h *Home) Holds(role string) (fence ident.Fence, held bool) {
	locked := &h.shards[views.ShardOf(role)]
	locked.mu.Lock()
	defer locked.mu.Unlock()
	view := locked.shard.View()
	unexpired := h.Clock.Mono()+MaxActionTime < locked.leaseConfirmed+LeaseTerm
	return ident.Fence(view.Epoch), view.Primary == h.Self && locked.leaseConfirmed > 0 && unexpired
}

// PrimaryOf returns the primary of the role's shard, or "" if there is none.
func (h *Home) PrimaryOf(role string) ident.InstanceName {
	return h.view(views.ShardOf(role)).Primary
}

// renew confirms the lease with the backup. The lease counts from before the request was
// sent. A primary without a backup needs recent contact with the log instead.
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
	locked := &h.shards[number]
	locked.mu.Lock()
	defer locked.mu.Unlock()
	if locked.shard.View().Epoch == view.Epoch {
		locked.leaseConfirmed = max(locked.leaseConfirmed, sentAt)
	}
}
