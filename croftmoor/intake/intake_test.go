package intake

import (
	"context"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/trail"
)

// agedLedger is in arrears.
type agedLedger struct {
	book *jobs.Book
	age  clock.Millis
}

func (l agedLedger) View(look func(*jobs.Book)) { look(l.book) }
func (l agedLedger) Changed() <-chan struct{}   { return nil }
func (l agedLedger) Age() clock.Millis          { return l.age }
func (l agedLedger) Append(context.Context, ...jobs.Record) (ident.Offset, error) {
	return l.book.Next, nil
}

type noDecisions struct{}

func (noDecisions) Add(trail.Decision) {}

func TestReadInArrears(t *testing.T) {
	c := clock.New()
	book := jobs.NewBook()
	book.Apply(1, jobs.Accept{Job: "j", Items: []jobs.Plan{{ID: "a"}}}, 0)
	cases := []struct {
		name string
		job  ident.Job
		age  clock.Millis
		want Kind
	}{
		{"nothing is listed, as far as a current ledger tells", "j", 0, ""},
		{"nothing is known to be listed in arrears", "j", settleTerm + 1, Unsure},
		{"no such job, as far as a current ledger tells", "k", 0, Unknown},
		{"no such job is known in arrears", "k", settleTerm + 1, Unsure},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			i := &Intake{Ledger: agedLedger{book, tc.age}, Clock: c, Trail: noDecisions{}}
			_, err := i.Read(t.Context(), tc.job, 0, 0)
			if got := fault.KindOf[Kind](err); got != tc.want {
				t.Errorf("kind %q (%v), want %q", got, err, tc.want)
			}
		})
	}
}
