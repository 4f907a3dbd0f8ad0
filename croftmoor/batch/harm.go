package batch

import (
	"context"
	"net/http"

	"croftmoor.dev/croftmoor/work"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/poison"
)

// maxDefer is for how long at most an item goes to no engine before its guard is asked
// again: the item may be cleared meanwhile. It costs a claim and a look at the body each
// time, for each held item.
const maxDefer = 2 * clock.Second

// fingerprint returns what an item shares with others that ask for the same.
func fingerprint(item work.Item) poison.Fingerprint {
	return poison.Subject{
		Organisation: item.Organisation, Host: item.Host, Method: http.MethodPost, Target: item.Path, Body: item.Body,
	}.Fingerprint()
}

// held returns for how long an item goes to no engine, and why; 0 if it may. It is
// asked by the instance that is to run the item, which alone has its body; those that
// share items out learn of it from the ledger.
func (r *Runner) held(item work.Item) (left clock.Millis, why string) {
	if r.Guard == nil {
		return 0, ""
	}
	return r.Guard.Held(fingerprint(item))
}

// deferItem gives an item back that is to go to no engine for a while. It is not given
// up: that would be a result, which its trainer may have only at the end of the job.
func (r *Runner) deferItem(ctx context.Context, prog *progress, left clock.Millis, why string) {
	c := prog.claim
	r.yieldItem(ctx, prog, jobs.Yield{}, why, jobs.Defer{
		Job: c.key.Job, By: r.Self, Index: c.key.Index, Millis: int(min(left, maxDefer)),
	})
}

// reportEngineEnd tells the guard what the end of a run says of the item: an engine that failed
// it lives, one that listens no more has ended under it, unless it was about to leave.
func (r *Runner) reportEngineEnd(ctx context.Context, item work.Item, prog *progress, err error) {
	kind := fault.KindOf[EngineKind](err)
	if kind == Failed || kind == Impossible {
		r.reportAnswered(item)
	}
	engine, listed := r.engineOf(prog.claim)
	if r.Guard == nil || kind != Broken || ctx.Err() != nil || !listed || engine.State == fleet.Leaving || !r.Engines.Ended(ctx, engine) {
		return
	}
	r.Guard.Ended(fingerprint(item), ident.BackendName(engine.Name))
}

// reportAnswered tells the guard that an engine reportAnswered an item.
func (r *Runner) reportAnswered(item work.Item) {
	if r.Guard != nil {
		r.Guard.Answered(fingerprint(item))
	}
}
