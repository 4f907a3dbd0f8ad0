package relay

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/intake"
	"croftmoor.dev/croftmoor/rpcs/h2test"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/elect"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/trail"
)

// fakeJobs serves fixed results and errors.
type fakeJobs struct {
	page intake.Page
	err  error
	ends int
	// by is the organisation of the last caller.
	by ident.Organisation
	// latency is how long Read and End take.
	latency clock.Millis
}

func (a *fakeJobs) Submit(context.Context, intake.Submission) error { return a.err }

func (a *fakeJobs) Read(ctx context.Context, by ident.Organisation, _ ident.Job, _ int, _ clock.Millis) (intake.Page, error) {
	a.by = by
	clock.New().Sleep(context.WithoutCancel(ctx), a.latency)
	return a.page, a.err
}

func (a *fakeJobs) Body(_ context.Context, by ident.Organisation, _ ident.Job, _ ident.Item) ([]byte, error) {
	a.by = by
	return []byte("body"), a.err
}

func (a *fakeJobs) End(ctx context.Context, by ident.Organisation, _ ident.Job) error {
	a.by = by
	a.ends++
	clock.New().Sleep(context.WithoutCancel(ctx), a.latency)
	return a.err
}

// follower starts a server for a and returns it as a member.
func follower(t *testing.T, a *fakeJobs) elect.Member {
	t.Helper()
	mux := http.NewServeMux()
	Handle(mux, a)
	return elect.Member{Name: "f", Address: h2test.Serve(t, mux)}
}

func relayTo(followers ...elect.Member) *Relay {
	r := &Relay{
		Local: &fakeJobs{err: fault.New("local", intake.Unsure, "")}, LedgerCurrent: func() bool { return false }, Clock: clock.New(),
		Followers:       func(string) []elect.Member { return followers },
		ElectionPending: func() bool { return false },
		Trail:           &trail.Trail{Clock: clock.New()},
	}
	r.Setup()
	return r
}

func wantKind(t *testing.T, err error, want intake.Kind) {
	t.Helper()
	if got := fault.KindOf[intake.Kind](err); got != want {
		t.Errorf("error %v of kind %q, want %q", err, got, want)
	}
}

func wantOrganisation(t *testing.T, a *fakeJobs, want ident.Organisation) {
	t.Helper()
	if a.by != want {
		t.Errorf("asked by %q, want %q", a.by, want)
	}
}

func TestRelay(t *testing.T) {
	page := intake.Page{Total: 3, Next: 2, Results: []intake.ItemResult{
		{ID: "a", State: jobs.Completed, Text: "one\ntwo", Versions: []ident.Version{4, 5}, Score: "s"},
		{ID: "b", State: jobs.Terminated},
	}}
	unsure := fault.New("f", intake.Unsure, "in arrears")
	unreachable := elect.Member{Name: "gone", Address: "127.0.0.1:1"}
	t.Run("results come unchanged", func(t *testing.T) {
		got, err := relayTo(follower(t, &fakeJobs{page: page})).Read(t.Context(), "", "j", 0, 0)
		if err != nil || !reflect.DeepEqual(got, page) {
			t.Errorf("%+v, error %v, want %+v", got, err, page)
		}
	})
	t.Run("a follower that is gone or unsure is passed over", func(t *testing.T) {
		r := relayTo(unreachable, follower(t, &fakeJobs{err: unsure}), follower(t, &fakeJobs{page: page}))
		if got, err := r.Read(t.Context(), "", "j", 0, 0); err != nil || got.Total != 3 {
			t.Errorf("%+v, error %v", got, err)
		}
	})
	t.Run("an unknown job is a follower's word", func(t *testing.T) {
		second := &fakeJobs{page: page}
		_, err := relayTo(follower(t, &fakeJobs{err: fault.New("f", intake.Unknown, "no job")}), follower(t, second)).Read(t.Context(), "", "j", 0, 0)
		wantKind(t, err, intake.Unknown)
	})
	t.Run("nobody to ask is no word on the job", func(t *testing.T) {
		_, err := relayTo().Read(t.Context(), "", "j", 0, 0)
		wantKind(t, err, intake.Unsure)
		_, err = relayTo(unreachable).Body(t.Context(), "", "j", "a")
		wantKind(t, err, intake.Unsure)
	})
	t.Run("an end without an answer is uncertain", func(t *testing.T) {
		wantKind(t, relayTo(unreachable).End(t.Context(), "", "j"), intake.Uncertain)
	})
	t.Run("an end is acknowledged by one follower", func(t *testing.T) {
		first, second := &fakeJobs{}, &fakeJobs{}
		if err := relayTo(follower(t, first), follower(t, second)).End(t.Context(), "", "j"); err != nil || first.ends != 1 || second.ends != 0 {
			t.Errorf("ends %d and %d, error %v", first.ends, second.ends, err)
		}
	})
	t.Run("a follower learns whose call it is", func(t *testing.T) {
		jobsOfFollower := &fakeJobs{page: page}
		r := relayTo(follower(t, jobsOfFollower))
		_, readErr := r.Read(t.Context(), "read", "j", 0, 0)
		wantOrganisation(t, jobsOfFollower, "read")
		_, bodyErr := r.Body(t.Context(), "body", "j", "a")
		wantOrganisation(t, jobsOfFollower, "body")
		endErr := r.End(t.Context(), "end", "j")
		wantOrganisation(t, jobsOfFollower, "end")
		if readErr != nil || bodyErr != nil || endErr != nil {
			t.Errorf("errors %v, %v, %v", readErr, bodyErr, endErr)
		}
	})
	t.Run("who knows the ledger answers itself", func(t *testing.T) {
		r := relayTo(unreachable)
		r.Local, r.LedgerCurrent = &fakeJobs{page: page}, func() bool { return true }
		if got, err := r.Read(t.Context(), "", "j", 0, 0); err != nil || got.Total != 3 {
			t.Errorf("%+v, error %v", got, err)
		}
	})
}

// lateness measures until the test ends how late this process is run, in milliseconds.
func lateness(t *testing.T, c *clock.Clock) *atomic.Int64 {
	var longest atomic.Int64
	var group conc.WaitGroup
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		group.Wait()
	})
	const period = 10 * clock.Millis(1)
	group.Go(func() {
		for due := c.Mono() + period; c.Sleep(ctx, period); due = c.Mono() + period {
			longest.Store(max(longest.Load(), int64(c.Mono()-due)))
		}
	})
	return &longest
}

func TestLateFollower(t *testing.T) {
	page := intake.Page{Total: 3, Next: 2, Results: []intake.ItemResult{{ID: "a"}}}
	other := intake.Page{Total: 3, Next: 1, Results: []intake.ItemResult{{ID: "b"}}}
	cases := []struct {
		name          string
		first, second clock.Millis
		want          ident.Item
	}{
		{"one that is late is still waited for while the next reads", hedgeDelay + 200, totalTimeout, "a"},
		{"the next one answers for one that is silent", totalTimeout, 0, "b"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := relayTo(follower(t, &fakeJobs{page: page, latency: tc.first}), follower(t, &fakeJobs{page: other, latency: tc.second}))
			got, err := r.Read(t.Context(), "", "j", 0, 0)
			if err != nil || len(got.Results) != 1 || got.Results[0].ID != tc.want {
				t.Errorf("%+v, error %v, want %s", got, err, tc.want)
			}
		})
	}
	t.Run("nobody waits beyond the time that a caller has", func(t *testing.T) {
		t.Parallel()
		slow := func() elect.Member { return follower(t, &fakeJobs{page: page, latency: 3 * totalTimeout}) }
		r := relayTo(slow(), slow(), slow())
		late := lateness(t, r.Clock)
		startedAt := r.Clock.Mono()
		_, err := r.Read(t.Context(), "", "j", 0, 0)
		wantKind(t, err, intake.Unsure)
		if elapsed := r.Clock.Mono() - startedAt; elapsed > totalTimeout+100 {
			t.Errorf("refused after %d ms, want %d; this process was not run for up to %d ms", elapsed, totalTimeout, late.Load())
		}
	})
}

// electedAfter makes r the next instance to be elected, once its ledger was looked at so often.
func electedAfter(r *Relay, looks int) *fakeJobs {
	local := &fakeJobs{page: intake.Page{Total: 7}}
	r.Local, r.ElectionPending = local, func() bool { return true }
	r.LedgerCurrent = func() bool {
		looks--
		return looks < 0
	}
	return local
}

// Guards against calls on jobs that are refused while the only follower has left and this instance
// is about to be elected.
func TestCallsAwaitOwnElection(t *testing.T) {
	leaving := elect.Member{Name: "leaving", Address: "127.0.0.1:1", Leaving: true}
	for name, followers := range map[string][]elect.Member{"nobody follows": nil, "the only follower has left": {leaving}} {
		t.Run(name, func(t *testing.T) {
			r := relayTo(followers...)
			electedAfter(r, 5)
			if got, err := r.Read(t.Context(), "", "j", 0, 0); err != nil || got.Total != 7 {
				t.Errorf("read %+v, error %v", got, err)
			}
			electedAfter(r, 5)
			if _, err := r.Body(t.Context(), "", "j", "a"); err != nil {
				t.Errorf("body: error %v", err)
			}
			local := electedAfter(r, 5)
			if err := r.End(t.Context(), "", "j"); err != nil || local.ends != 1 {
				t.Errorf("%d ends, error %v", local.ends, err)
			}
		})
	}
	refusedAtOnce := func(t *testing.T, r *Relay) {
		t.Helper()
		startedAt := r.Clock.Mono()
		_, err := r.Read(t.Context(), "", "j", 0, 0)
		wantKind(t, err, intake.Unsure)
		if elapsed := r.Clock.Mono() - startedAt; elapsed >= electionWait {
			t.Errorf("refused after %d ms, want no wait", elapsed)
		}
	}
	t.Run("no wait if no election is pending", func(t *testing.T) {
		refusedAtOnce(t, relayTo())
	})
	t.Run("no wait if a follower lives and can't answer", func(t *testing.T) {
		r := relayTo(follower(t, &fakeJobs{err: fault.New("f", intake.Unsure, "the log is away")}))
		electedAfter(r, 1000)
		refusedAtOnce(t, r)
	})
	t.Run("a refusal after the wait", func(t *testing.T) {
		r := relayTo()
		electedAfter(r, 1000)
		_, err := r.Read(t.Context(), "", "j", 0, 0)
		wantKind(t, err, intake.Unsure)
	})
}

func TestCandidates(t *testing.T) {
	zones := func(list ...ident.Zone) []elect.Member {
		var members []elect.Member
		for n, zone := range list {
			members = append(members, elect.Member{Name: ident.InstanceName(fmt.Sprint(n)), Zone: zone})
		}
		return members
	}
	cases := []struct {
		name      string
		followers []elect.Member
		want      string
	}{
		{"nobody", nil, ""},
		{"one of another zone is among those of the own", zones("a", "a", "a", "a", "b", "c"), "0 1 4 2"},
		{"a zone with few followers", zones("a", "b", "b", "c", "c"), "0 1 2 3"},
		{"a single zone", zones("a", "a", "a", "a", "a"), "0 1 2 3"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var names []string
			for _, m := range candidates(tc.followers) {
				names = append(names, string(m.Name))
			}
			if got := strings.Join(names, " "); got != tc.want {
				t.Errorf("asked %s, want %s", got, tc.want)
			}
		})
	}
}

// Guards against reporting a job as not ended because one follower can't tell, while another
// may have ended it.
func TestEndThatMayHaveBeenDone(t *testing.T) {
	unsure := fault.New("f", intake.Unsure, "in arrears")
	uncertain := fault.New("f", intake.Uncertain, "no word from the log")
	unreachable := elect.Member{Name: "gone", Address: "127.0.0.1:1"}
	cases := []struct {
		name      string
		followers []elect.Member
		want      intake.Kind
	}{
		{"the first one's answer is lost", []elect.Member{unreachable, follower(t, &fakeJobs{err: unsure})}, intake.Uncertain},
		{"the first one can't say whether it was done", []elect.Member{follower(t, &fakeJobs{err: uncertain}), follower(t, &fakeJobs{err: unsure})}, intake.Uncertain},
		{"the first one is silent", []elect.Member{follower(t, &fakeJobs{latency: 20 * clock.Second}), follower(t, &fakeJobs{err: unsure})}, intake.Uncertain},
		{"none of them has done it", []elect.Member{follower(t, &fakeJobs{err: unsure}), follower(t, &fakeJobs{err: unsure})}, intake.Unsure},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), (endHedgeDelay + clock.Second).Duration())
			defer cancel()
			wantKind(t, relayTo(tc.followers...).End(ctx, "", "j"), tc.want)
		})
	}
}
