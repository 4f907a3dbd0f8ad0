package batch

import (
	"context"

	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
)

// reportEngineEnd informs the guard if the engine of a run that ended with err no longer
// listens, unless it was leaving.
func (r *Runner) reportEngineEnd(ctx context.Context, prog *progress, err error) {
	engine, listed := r.engineOf(prog.claim)
	if r.Guard == nil || fault.KindOf[EngineKind](err) != Broken || ctx.Err() != nil || !listed || engine.State == fleet.Leaving {
		return
	}
	if r.Engines.Ended(ctx, engine) {
		r.Guard.ServerEnded(ident.BackendName(engine.Name))
	}
}
