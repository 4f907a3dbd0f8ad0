package batch

import (
	"context"
	"fmt"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/trail"
)

const (
	// avoidBusyMillis and avoidBrokenMillis are how long an engine gets no items after
	// it was full, or after a run there broke.
	avoidBusyMillis   = 400
	avoidBrokenMillis = 1500
	// yieldTimeout bounds the writing of a yield.
	yieldTimeout = 2 * clock.Second
)

// handleFailure ends a run that did not reach the end of its text. It terminates the item
// if no retry is left, and otherwise yields it. If the engine is to blame it also records that
// all instances avoid it for a while. It is not if it reported a failure of the item, is merely
// slow, or has another version than the item's text.
func (r *Runner) handleFailure(ctx context.Context, prog *progress, meter *meter, err error) {
	c := prog.claim
	kind := fault.KindOf[EngineKind](err)
	reason := string(kind) + ": " + err.Error()
	yield := jobs.Yield{Failed: kind == Failed, Timing: meter.timing(c.item.Engine)}
	if ctx.Err() != nil {
		r.yieldItem(ctx, prog, yield, "stopped")
		return
	}
	of := r.termsOf(c)
	attempts := of.Attempts()
	avoid := 0
	switch {
	case kind == Impossible, kind == Failed && len(c.item.FailedOn)+1 >= attempts:
		r.finish(ctx, c, jobs.Finish{Outcome: jobs.Terminated}, fmt.Sprintf("failure %d of %d: %s", len(c.item.FailedOn)+1, attempts, reason))
		return
	case kind == Busy:
		avoid = avoidBusyMillis
	case kind != Failed && kind != Slow && kind != OtherVersion:
		avoid = avoidBrokenMillis
	}
	if avoid > 0 {
		// The record goes into the same append as the yield: a second append, and the
		// wait until it is read back, would delay the item's next run.
		r.yieldItem(ctx, prog, yield, reason, jobs.Avoid{By: r.Self, Engine: c.item.Engine, Millis: avoid})
		return
	}
	r.yieldItem(ctx, prog, yield, reason)
}

// appendAndAwait appends records and waits until they are read back. Without the wait
// this instance would act on the older state and begin an item again that it has just
// yielded.
func (r *Runner) appendAndAwait(ctx context.Context, c claimed, records ...jobs.Record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), yieldTimeout.Duration())
	defer cancel()
	offset, err := r.Ledger.Append(ctx, records...)
	if err == nil {
		err = r.Ledger.Await(ctx, offset+ident.Offset(len(records)))
	}
	if err != nil {
		r.logDecision(c, trail.Hold, "not told", err.Error())
	}
}

// yieldItem saves the progress of an item and yields it, with the records in before
// ahead of the yield in the same append.
func (r *Runner) yieldItem(ctx context.Context, prog *progress, yield jobs.Yield, reason string, before ...jobs.Record) {
	c := prog.claim
	r.logDecision(c, trail.Cancel, string(c.item.Engine), fmt.Sprintf("%s; %d events made", reason, prog.events))
	saveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), yieldTimeout.Duration())
	defer cancel()
	saved, err := prog.saveAll(saveCtx)
	if err != nil {
		r.logDecision(c, trail.Hold, "progress not kept", err.Error())
	}
	yield.Job, yield.By, yield.Index, yield.Partial = c.key.Job, r.Self, c.key.Index, saved
	r.appendAndAwait(ctx, c, append(before, yield)...)
}
