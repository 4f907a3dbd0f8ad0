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

// maxDefer is how long an item that the guard holds back is deferred before the guard
// is asked again, since it may clear the item earlier than announced. Each time costs a
// claim and a read of the body.
const maxDefer = 2 * clock.Second

// fingerprint returns the identity that an item shares with equal requests.
func fingerprint(item work.Item) poison.Fingerprint {
	return poison.Subject{
		Organisation: item.Organisation, Host: item.Host, Method: http.MethodPost, Target: item.Path, Body: item.Body,
	}.Fingerprint()
}

// held returns how long an item must not be sent to any engine, and the reason; left is
// 0 if it may be sent. Only the instance that runs the item can ask, since it has the
// body; other instances learn of the delay from the Defer record.
func (r *Runner) held(item work.Item) (left clock.Millis, why string) {
	if r.Guard == nil {
		return 0, ""
	}
	return r.Guard.Held(fingerprint(item))
}

// deferItem yields an item that must not be sent to any engine for a while. It does not
// terminate the item: that would be a result, which the trainer may get only at the end of
// the job.
func (r *Runner) deferItem(ctx context.Context, prog *progress, left clock.Millis, why string) {
	c := prog.claim
	r.yieldItem(ctx, prog, jobs.Yield{}, why, jobs.Defer{
		Job: c.key.Job, By: r.Self, Index: c.key.Index, Millis: int(min(left, maxDefer)),
	})
}

// reportEngineEnd informs the guard of a run that ended with err. An engine that reported
// a failure is alive; one that no longer listens ended while it ran the item, unless it
// was leaving.
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

// reportAnswered informs the guard that an engine answered an item.
func (r *Runner) reportAnswered(item work.Item) {
	if r.Guard != nil {
		r.Guard.Answered(fingerprint(item))
	}
}
