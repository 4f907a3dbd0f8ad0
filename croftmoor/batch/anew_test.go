package batch

import (
	"context"
	"slices"
	"testing"

	"croftmoor.dev/croftmoor/work"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

// versionedEngines make texts of three events under one version, which may differ from the one that
// is known of the engine.
type versionedEngines struct {
	version ident.Version
	// from are the events after which runs were asked to go on.
	from []int
}

func (*versionedEngines) Ended(context.Context, fleet.Member) bool     { return false }
func (*versionedEngines) Reachable(context.Context, fleet.Member) bool { return false }

func (e *versionedEngines) Run(_ context.Context, _ fleet.Member, _ work.Item, from int) (Events, error) {
	e.from = append(e.from, from)
	return &versionedEvents{version: e.version, index: from}, nil
}

type versionedEvents struct {
	version ident.Version
	index   int
}

func (e *versionedEvents) Next() (Event, bool, error) {
	e.index++
	return Event{Index: e.index, Version: e.version, Data: "e"}, e.index <= 3, nil
}

func (e *versionedEvents) Version() ident.Version { return e.version }
func (*versionedEvents) SharesMachine() bool      { return false }
func (*versionedEvents) Close()                   {}

// singleItem returns an item whose text must be of one version, with two events of version 1 saved,
// claimed for an engine that is known to have the given version.
func singleItem(r *Runner, known ident.Version) claimed {
	ledger, _ := r.Ledger.(*stateLedger)
	job := ledger.state.Jobs["job-0"]
	job.SingleVersion = true
	item := job.Items[0]
	item.Partial = jobs.Partial{Texts: []jobs.Span{{Stream: "t"}}, Events: 2, Versions: []ident.Version{1}}
	ledger.state.Weights[jobs.EngineModel{Engine: item.Engine, Model: "m"}] = jobs.Weights{Version: known}
	return claimed{key: jobs.ItemKey{Job: "job-0"}, item: item, accept: job.Accept}
}

// An item must not be given back again and again since its engine has another version than its text.
func TestTextThatTakesOneVersionBeginsAnew(t *testing.T) {
	for _, c := range []struct {
		name          string
		known, actual ident.Version
		from          []int
	}{
		{"where the engine is known to have another version", 2, 2, []int{0}},
		{"where the engine proves to have another version", 1, 2, []int{2, 0}},
		{"not where the engine has its version", 1, 1, []int{2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRunner(4, 4, 1)
			engines := &versionedEngines{version: c.actual}
			claim := singleItem(r, c.known)
			plain, _ := r.Ledger.(*stateLedger)
			ledger := &listingLedger{stateLedger: plain}
			r.Engines, r.Blobs, r.Ledger = engines, &storedBodies{}, ledger
			r.perform(t.Context(), claim, &run{})
			if !slices.Equal(engines.from, c.from) {
				t.Errorf("runs from %v, want %v", engines.from, c.from)
			}
			if len(ledger.records) != 1 {
				t.Fatalf("records %+v, want a result alone", ledger.records)
			}
			result, ok := ledger.records[0].(jobs.Finish)
			if !ok || result.Outcome != jobs.Completed || result.Events != 3 || !slices.Equal(result.Versions, []ident.Version{c.actual}) {
				t.Errorf("record %+v, want a complete text of version %d", ledger.records[0], c.actual)
			}
		})
	}
}

// listingLedger keeps what is appended.
type listingLedger struct {
	*stateLedger
	records []jobs.Record
}

func (l *listingLedger) Append(_ context.Context, records ...jobs.Record) (ident.Offset, error) {
	l.records = append(l.records, records...)
	return l.state.Next, nil
}

// storedBodies returns the body of an item for each span.
type storedBodies struct{ countingBlobs }

func (*storedBodies) Get(context.Context, jobs.Span) ([]byte, error) {
	return work.Encode(work.Item{ID: "0-0"})
}
