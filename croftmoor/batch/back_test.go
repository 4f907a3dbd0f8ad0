package batch

import (
	"context"
	"testing"

	"croftmoor.dev/croftmoor/work"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

// recordingLedger records each append.
type recordingLedger struct {
	*stateLedger
	appends [][]jobs.Record
}

func (l *recordingLedger) Append(_ context.Context, records ...jobs.Record) (ident.Offset, error) {
	l.appends = append(l.appends, records)
	return l.state.Next, nil
}

// busyEngines reject every item as Busy.
type busyEngines struct{}

func (busyEngines) Ended(context.Context, fleet.Member) bool     { return false }
func (busyEngines) Reachable(context.Context, fleet.Member) bool { return false }

func (busyEngines) Run(context.Context, fleet.Member, work.Item, int) (Events, error) {
	return nil, fault.New("t", Busy, "full")
}

// bodyBlobs returns the same body for every span.
type bodyBlobs struct{ countingBlobs }

func (b *bodyBlobs) Get(context.Context, jobs.Span) ([]byte, error) {
	return work.Encode(work.Item{ID: "0-0"})
}

// The record that an engine is avoided must not cost an append of its own: it would delay
// the item's next run.
func TestItemsAreGivenBackInOneAppend(t *testing.T) {
	r := newTestRunner(4, 4, 1)
	base, _ := r.Ledger.(*stateLedger)
	ledger := &recordingLedger{stateLedger: base}
	r.Ledger, r.Engines, r.Blobs = ledger, busyEngines{}, &bodyBlobs{}
	item := base.state.Jobs["job-0"].Items[0]
	item.Engine = "engine-0"
	r.perform(t.Context(), claimed{key: jobs.ItemKey{Job: "job-0"}, item: item, accept: base.state.Jobs["job-0"].Accept}, &run{})
	if len(ledger.appends) != 1 || len(ledger.appends[0]) != 2 {
		t.Fatalf("appends %v, want one of two records", ledger.appends)
	}
	avoid, avoided := ledger.appends[0][0].(jobs.Avoid)
	yield, yielded := ledger.appends[0][1].(jobs.Yield)
	if !avoided || !yielded || avoid.Engine != "engine-0" || clock.Millis(avoid.Millis) != avoidBusyMillis || yield.Job != "job-0" {
		t.Errorf("records %+v, want the engine avoided and the item given back", ledger.appends[0])
	}
}
