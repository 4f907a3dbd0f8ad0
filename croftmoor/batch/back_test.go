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

// notingLedger notes the records of each append.
type notingLedger struct {
	*bookLedger
	appends [][]jobs.Record
}

func (l *notingLedger) Append(_ context.Context, records ...jobs.Record) (ident.Offset, error) {
	l.appends = append(l.appends, records)
	return l.book.Next, nil
}

// busyEngines have no room.
type busyEngines struct{}

func (busyEngines) Ended(context.Context, fleet.Member) bool { return false }

func (busyEngines) Run(context.Context, fleet.Member, work.Item, int) (Events, error) {
	return nil, fault.New("t", Busy, "full")
}

// sureBlobs has an item's body.
type sureBlobs struct{ countingBlobs }

func (b *sureBlobs) Get(context.Context, jobs.Span) ([]byte, error) {
	return work.Encode(work.Item{ID: "0-0"})
}

// An item that an engine has no room for goes on to its next one after one append.
func TestItemsAreGivenBackInOneAppend(t *testing.T) {
	r := crowd(4, 4, 1)
	book, _ := r.Ledger.(*bookLedger)
	ledger := &notingLedger{bookLedger: book}
	r.Ledger, r.Engines, r.Blobs = ledger, busyEngines{}, &sureBlobs{}
	item := book.book.Jobs["job-0"].Items[0]
	item.Engine = "engine-0"
	r.perform(t.Context(), claimed{key: jobs.ItemKey{Job: "job-0"}, item: item, accept: book.book.Jobs["job-0"].Accept}, &run{})
	if len(ledger.appends) != 1 || len(ledger.appends[0]) != 2 {
		t.Fatalf("appends %v, want one of two records", ledger.appends)
	}
	avoid, told := ledger.appends[0][0].(jobs.Avoid)
	yield, given := ledger.appends[0][1].(jobs.Yield)
	if !told || !given || avoid.Engine != "engine-0" || clock.Millis(avoid.Millis) != avoidBusyMillis || yield.Job != "job-0" {
		t.Errorf("records %+v, want the engine avoided and the item given back", ledger.appends[0])
	}
}
