package batch

import (
	"context"
	"slices"
	"testing"

	"croftmoor.dev/croftmoor/work"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/jobs"
)

// panickingEngines panic when an item is sent to them.
type panickingEngines struct{ blockingEngines }

func (*panickingEngines) Run(context.Context, fleet.Member, work.Item, int) (Events, error) {
	panic("test")
}

// Guards against items that never end because the run that holds their claim has panicked.
func TestItemOfAPanickedRunIsYielded(t *testing.T) {
	r := newTestRunner(4, 4, 1)
	base, _ := r.Ledger.(*stateLedger)
	ledger := &recordingLedger{stateLedger: base}
	r.Ledger, r.Engines, r.Blobs = ledger, &panickingEngines{}, &bodyBlobs{}
	key := jobs.ItemKey{Job: "job-0"}
	job := base.state.Jobs[key.Job]
	r.mu.Lock()
	r.begin(t.Context(), claimed{key: key, item: job.Items[key.Index], accept: job.Accept})
	r.mu.Unlock()
	_ = r.group.WaitAndRecover()
	if running := r.Running(); running > 0 {
		t.Errorf("%d runs are left, want none", running)
	}
	records := slices.Concat(ledger.appends...)
	isYield := func(record jobs.Record) bool {
		yield, ok := record.(jobs.Yield)
		return ok && !yield.Failed && yield.Index == key.Index
	}
	isAvoid := func(record jobs.Record) bool {
		avoid, ok := record.(jobs.Avoid)
		return ok && avoid.Engine == job.Items[key.Index].Engine
	}
	if !slices.ContainsFunc(records, isYield) || !slices.ContainsFunc(records, isAvoid) {
		t.Errorf("appended %v, want a yield that is no answer of failure, and the engine avoided", records)
	}
}
