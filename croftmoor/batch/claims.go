package batch

import (
	"context"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/trail"
)

// claimTimeout bounds the append of a claim and the wait until it is read back.
const claimTimeout = 3 * clock.Second

// claimItems claims items in the background. While the ledger is unreachable it begins
// items without claims instead.
func (r *Runner) claimItems(ctx context.Context) {
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	if leaving {
		return
	}
	if !r.Ledger.Fresh() {
		r.beginWithoutClaims(ctx)
		return
	}
	claims := append(r.lateClaims(), r.planClaims()...)
	if len(claims) == 0 {
		return
	}
	var keys []jobs.ItemKey
	for _, c := range claims {
		for _, t := range c.Targets {
			keys = append(keys, jobs.ItemKey{Job: c.Job, Index: t.Index})
		}
	}
	r.setPending(keys, true)
	if r.Counts != nil {
		r.Counts.Claimed(len(keys))
	}
	r.group.Go(func() { r.appendClaims(ctx, claims, keys) })
}

func (r *Runner) setPending(keys []jobs.ItemKey, pending bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range keys {
		if pending {
			r.pending[key] = true
		} else {
			delete(r.pending, key)
		}
	}
}

// appendClaims appends claims and waits until they are read back. Until then their items
// are pending and not claimed again.
func (r *Runner) appendClaims(ctx context.Context, claims []jobs.Claim, keys []jobs.ItemKey) {
	defer r.wake()
	defer r.setPending(keys, false)
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout.Duration())
	defer cancel()
	records := make([]jobs.Record, 0, len(claims))
	for _, c := range claims {
		records = append(records, c)
	}
	offset, err := r.Ledger.Append(callCtx, records...)
	if err == nil {
		r.Ledger.Hurry()
		err = r.Ledger.Await(callCtx, offset+ident.Offset(len(records)))
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	for _, c := range claims {
		r.Trail.Add(trail.Decision{ID: string(c.Job), Action: trail.Hold, Choice: string(c.Engine), Reason: "claim: " + err.Error()})
	}
}
