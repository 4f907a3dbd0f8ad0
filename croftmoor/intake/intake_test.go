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

// fakeLedger is a ledger with a fixed state, last current age ago.
type fakeLedger struct {
	state *jobs.State
	age   clock.Millis
}

func (l fakeLedger) View(look func(*jobs.State)) { look(l.state) }
func (l fakeLedger) Changed() <-chan struct{}    { return nil }
func (l fakeLedger) Age() clock.Millis           { return l.age }
func (l fakeLedger) Append(context.Context, ...jobs.Record) (ident.Offset, error) {
	return l.state.Next, nil
}

type noDecisions struct{}

func (noDecisions) Add(trail.Decision) {}

func TestReadInArrears(t *testing.T) {
	c := clock.New()
	state := jobs.NewState()
	state.Apply(1, jobs.Accept{Job: "j", Items: []jobs.ItemSpec{{ID: "a"}}}, 0)
	cases := []struct {
		name string
		job  ident.Job
		age  clock.Millis
		want Kind
	}{
		{"nothing is listed, as far as a current ledger tells", "j", 0, ""},
		{"nothing is known to be listed in arrears", "j", maxLedgerAge + 1, Unsure},
		{"no such job, as far as a current ledger tells", "k", 0, Unknown},
		{"no such job is known in arrears", "k", maxLedgerAge + 1, Unsure},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			i := &Intake{Ledger: fakeLedger{state, tc.age}, Clock: c, Trail: noDecisions{}}
			_, err := i.Read(t.Context(), "", tc.job, 0, 0)
			if got := fault.KindOf[Kind](err); got != tc.want {
				t.Errorf("kind %q (%v), want %q", got, err, tc.want)
			}
		})
	}
}

func TestJobsOfOthers(t *testing.T) {
	state := jobs.NewState()
	state.Apply(1, jobs.Accept{Job: "theirs", Organisation: "shops", Items: []jobs.ItemSpec{{ID: "a"}}}, 0)
	state.Apply(2, jobs.Accept{Job: "anybody's", Items: []jobs.ItemSpec{{ID: "b"}}}, 0)
	i := &Intake{Ledger: fakeLedger{state, 0}, Clock: clock.New(), Trail: noDecisions{}}
	cases := []struct {
		name string
		by   ident.Organisation
		job  ident.Job
		want Kind
	}{
		{"its own organisation reads it", "shops", "theirs", ""},
		{"for another one it does not exist", "tables", "theirs", Unknown},
		{"nor for a caller without a key", "", "theirs", Unknown},
		{"a job of nobody is everybody's", "tables", "anybody's", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, readErr := i.Read(t.Context(), tc.by, tc.job, 0, 0)
			endErr := i.End(t.Context(), tc.by, tc.job)
			for _, err := range []error{readErr, endErr} {
				if got := fault.KindOf[Kind](err); got != tc.want {
					t.Errorf("kind %q (%v), want %q", got, err, tc.want)
				}
			}
			if tc.want == Unknown {
				_, err := i.Body(t.Context(), tc.by, tc.job, "a")
				if got := fault.KindOf[Kind](err); got != Unknown {
					t.Errorf("Body: kind %q, want %q", got, Unknown)
				}
			}
		})
	}
	t.Run("an id of another organisation is not taken again", func(t *testing.T) {
		err := i.Submit(t.Context(), Submission{Job: "theirs", Organisation: "tables"})
		if got := fault.KindOf[Kind](err); got != Invalid {
			t.Errorf("kind %q (%v), want %q", got, err, Invalid)
		}
	})
}

// recordedDecisions is a decision log in memory.
type recordedDecisions struct{ all []trail.Decision }

func (l *recordedDecisions) Add(d trail.Decision) { l.all = append(l.all, d) }

// failingBlobs returns err from each call.
type failingBlobs struct{ err error }

func (b failingBlobs) PutBodies(context.Context, ident.Job, [][]byte) ([]jobs.Span, error) {
	return nil, b.err
}
func (b failingBlobs) Get(context.Context, jobs.Span) ([]byte, error) { return nil, b.err }
func (b failingBlobs) Texts(context.Context, [][]jobs.Span, int, clock.Millis) ([]string, error) {
	return nil, b.err
}

func TestPageThatFailsIsTold(t *testing.T) {
	state := jobs.NewState()
	state.Apply(1, jobs.Accept{Job: "j", Items: []jobs.ItemSpec{{ID: "a"}}}, 0)
	state.Apply(2, jobs.Claim{Job: "j", By: "me", Targets: []jobs.Target{{Index: 0}}}, 0)
	state.Apply(3, jobs.Finish{Job: "j", By: "me", Index: 0, Outcome: jobs.Completed, Texts: []jobs.Span{{Stream: "texts.0", First: 7, Count: 1}}}, 0)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		name string
		ctx  context.Context
		want string
	}{
		{"the log gave no text", t.Context(), "page failed"},
		{"the caller left", canceled, "page caller left"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			decisions := &recordedDecisions{}
			i := &Intake{Ledger: fakeLedger{state, 40}, Blobs: failingBlobs{context.Canceled}, Clock: clock.New(), Trail: decisions}
			_, err := i.Read(tc.ctx, "", "j", 0, 0)
			if fault.KindOf[Kind](err) != Unsure {
				t.Errorf("error %v, want Unsure", err)
			}
			if len(decisions.all) != 1 || decisions.all[0].ID != "j" || decisions.all[0].Choice != tc.want {
				t.Errorf("decisions %+v, want one for job j with choice %q", decisions.all, tc.want)
			}
		})
	}
}
