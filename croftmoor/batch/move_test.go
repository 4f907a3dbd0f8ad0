package batch

import (
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

// staleLedger is a ledger that can't be reached.
type staleLedger struct{ *bookLedger }

func (staleLedger) Fresh() bool { return false }

// An item that is given back while the ledger can't be reached waits there until it
// can: it had been made up to a few events before its end.
func TestNoMovesWhileTheLedgerIsAway(t *testing.T) {
	r := crowd(4, 4, 1)
	ledger, _ := r.Ledger.(*bookLedger)
	book := ledger.book
	for i := range 4 {
		engine := ident.BackendName([]string{"engine-0", "engine-1", "engine-2", "engine-3"}[i])
		book.Paces[engine] = jobs.Pace{PerEvent: 20}
		delete(book.Loads, engine)
	}
	job := book.Jobs["job-0"]
	item := job.Items[0]
	item.Expect = 5000
	c := claimed{key: jobs.ItemKey{Job: "job-0"}, item: item, accept: job.Accept}
	m := &meter{clock: r.Clock, events: 9, last: 700}
	for i := range m.marks {
		m.marks[(m.events+i)%meterEvents] = clock.Millis(100 * i)
	}
	if !r.better(c, 9, m) {
		t.Fatal("the item does not move though another engine is five times as fast")
	}
	r.Ledger = staleLedger{ledger}
	if r.better(c, 9, m) {
		t.Error("the item moves while nobody can learn of it")
	}
}
