package usage

import (
	"context"
	"errors"
	"reflect"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/trail"
)

type noDecisions struct{}

func (noDecisions) Add(trail.Decision) {}

// oneLedger applies what is appended at once, unless it is away.
type oneLedger struct {
	book  *jobs.State
	clock *clock.Clock
	away  bool
	// gap is when records were found missing; 0 is never.
	gap clock.Millis
}

func (l *oneLedger) View(look func(*jobs.State)) { look(l.book) }

func (l *oneLedger) Append(_ context.Context, records ...jobs.Record) (ident.Offset, error) {
	if l.away {
		return 0, errors.New("away")
	}
	first := l.book.Next
	for _, r := range records {
		// What a follower reads is what was encoded.
		read, err := jobs.Decode(jobs.Encode(r))
		if err != nil {
			return 0, err
		}
		l.book.Apply(l.book.Next, read, l.clock.Mono())
	}
	return first, nil
}

func (l *oneLedger) Await(context.Context, ident.Offset) error { return nil }
func (l *oneLedger) Fresh() bool                               { return !l.away }
func (l *oneLedger) Heard() clock.Millis                       { return 0 }
func (l *oneLedger) Since() clock.Millis                       { return l.clock.Mono() - 2500 }
func (l *oneLedger) Gap() (clock.Millis, bool)                 { return l.gap, l.gap > 0 }
func (l *oneLedger) Steady() clock.Millis                      { return clock.Minute }

// api takes reports, and fails the first ones with the given errors.
type api struct {
	fails []error
	taken []Report
}

func (a *api) Report(_ context.Context, r Report) error {
	if len(a.fails) > 0 {
		err := a.fails[0]
		a.fails = a.fails[1:]
		return err
	}
	a.taken = append(a.taken, r)
	return nil
}

// manualWall is true time by a manual clock.
type manualWall struct{ *clock.Clock }

func (w manualWall) At(mono clock.Millis) clock.Millis { return mono }

var terms = Terms{Window: 5 * clock.Second, Due: 10 * clock.Second}

// scene is one holder of the role before an API, and others that may be silent.
type scene struct {
	t        *testing.T
	clock    *clock.Clock
	ledger   *oneLedger
	api      *api
	meter    *Meter
	reporter *Reporter
}

func newScene(t *testing.T) *scene {
	t.Helper()
	c := clock.NewManual(1000 * clock.Second)
	s := &scene{t: t, clock: c, ledger: &oneLedger{book: jobs.NewState(), clock: c}, api: &api{}}
	s.ledger.book.Next = 1
	s.meter = &Meter{Self: "a~1", Ledger: s.ledger, Clock: c, Wall: manualWall{c}, Terms: terms, Log: zerolog.Nop()}
	s.meter.Setup()
	s.reporter = s.holder("a~1")
	s.live()
	return s
}

// holder returns a reporter as an instance runs it.
func (s *scene) holder(self ident.InstanceName) *Reporter {
	r := &Reporter{
		Self: self, Ledger: s.ledger, Platform: s.api, Clock: s.clock, Wall: manualWall{s.clock}, Terms: terms,
		Trail: noDecisions{}, Log: zerolog.Nop(),
	}
	ctx, cancel := context.WithCancel(s.t.Context())
	cancel()
	r.Run(ctx)
	return r
}

func (s *scene) live() {
	_, _ = s.ledger.Append(s.t.Context(), jobs.Heartbeat{By: s.reporter.Self, Zone: "z"})
}

// pass lets time go by in rounds of the reporter.
func (s *scene) pass(span clock.Millis) {
	for ; span > 0; span -= period {
		s.clock.Advance(period)
		s.live()
		s.reporter.round(s.t.Context())
	}
}

func (s *scene) use(organisation ident.Organisation, times int) {
	for range times {
		s.meter.Began(organisation, s.clock.Mono())
	}
	s.meter.Flush(s.t.Context())
}

func (s *scene) wantReport(n int, want []jobs.Count) {
	s.t.Helper()
	if len(s.api.taken) <= n {
		s.t.Fatalf("%d reports, want %d", len(s.api.taken), n+1)
	}
	if got := s.api.taken[n].Counts; !reflect.DeepEqual(got, want) {
		s.t.Errorf("report %d counts %v, want %v", n, got, want)
	}
}

func TestReports(t *testing.T) {
	t.Run("each window is reported once, before it is due, with what began in it", func(t *testing.T) {
		s := newScene(t)
		s.use("shops", 3)
		s.use("tables", 1)
		s.pass(terms.Window)
		s.use("shops", 2)
		s.pass(terms.Window + soonTerm + clock.Second)
		s.wantReport(0, []jobs.Count{{Organisation: "shops", Requests: 3}, {Organisation: "tables", Requests: 1}})
		s.wantReport(1, []jobs.Count{{Organisation: "shops", Requests: 2}})
		if first, second := s.api.taken[0].Window, s.api.taken[1].Window; first != 200 || second != 201 || len(s.api.taken) != 2 {
			t.Errorf("windows %d and %d of %d reports, want 200 and 201 alone", first, second, len(s.api.taken))
		}
	})
	t.Run("a window in which nothing began is reported too", func(t *testing.T) {
		s := newScene(t)
		s.use("shops", 1)
		s.pass(2*terms.Window + soonTerm + clock.Second)
		s.wantReport(1, nil)
	})
	t.Run("while somebody may hold counts back it waits, but not beyond the time", func(t *testing.T) {
		s := newScene(t)
		s.use("shops", 1)
		s.pass(terms.Window - 200)
		_, _ = s.ledger.Append(t.Context(), jobs.Heartbeat{By: "cut~1", Zone: "y"})
		s.pass(soonTerm + clock.Second)
		if len(s.api.taken) != 0 {
			t.Fatal("reported while an instance was silent")
		}
		_, _ = s.ledger.Append(t.Context(), jobs.UsageDelta{By: "cut~1", Window: 200, Counts: []jobs.Count{{Organisation: "shops", Requests: 4}}})
		s.pass(terms.Due - sendTerm - soonTerm)
		s.wantReport(0, []jobs.Count{{Organisation: "shops", Requests: 5}})
	})
}

func TestReportsInTrouble(t *testing.T) {
	t.Run("a successor reports the same, whatever was counted since", func(t *testing.T) {
		s := newScene(t)
		s.use("shops", 1)
		s.api.fails = []error{fault.New("t", Unsure, "no word"), fault.New("t", Unsure, "no word"), fault.New("t", Unsure, "no word")}
		s.pass(terms.Window + soonTerm + 400)
		if !s.ledger.book.Usage[200].Settled {
			t.Fatal("the sum is not settled")
		}
		s.use("shops", 7)
		_, _ = s.ledger.Append(t.Context(), jobs.UsageDelta{By: "late~1", Window: 200, Counts: []jobs.Count{{Organisation: "shops", Requests: 9}}})
		first := s.ledger.book.RoleHolders[role].Fence
		_, _ = s.ledger.Append(t.Context(), jobs.Heartbeat{By: "a~1", Zone: "z", Leaving: true})
		s.reporter = s.holder("b~1")
		s.api.fails = nil
		s.live()
		s.pass(3 * clock.Second)
		s.wantReport(0, []jobs.Count{{Organisation: "shops", Requests: 1}})
		if s.api.taken[0].Fence <= first || s.api.taken[0].Holder != "b~1" {
			t.Errorf("reported by %s with fence %d after %d", s.api.taken[0].Holder, s.api.taken[0].Fence, first)
		}
	})
	t.Run("after a higher number was seen nothing more is sent under the old one", func(t *testing.T) {
		s := newScene(t)
		s.use("shops", 1)
		s.api.fails = []error{fault.New("t", Fenced, "a higher one")}
		s.pass(terms.Window + soonTerm + 2*clock.Second)
		s.wantReport(0, []jobs.Count{{Organisation: "shops", Requests: 1}})
		if s.api.taken[0].Fence <= 2 {
			t.Errorf("reported under fence %d", s.api.taken[0].Fence)
		}
	})
	t.Run("an API that is away has the reports soon after it is back", func(t *testing.T) {
		s := newScene(t)
		s.use("shops", 1)
		for range 6 {
			s.api.fails = append(s.api.fails, fault.New("t", Refused, "503"))
		}
		s.pass(terms.Window + terms.Due)
		s.wantReport(0, []jobs.Count{{Organisation: "shops", Requests: 1}})
	})
}

// countingLog counts appends and the requests that they tell of.
type countingLog struct {
	mu       sync.Mutex
	appends  int
	requests int64
}

func (l *countingLog) Append(_ context.Context, records ...jobs.Record) (ident.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	for _, r := range records {
		used, _ := r.(jobs.UsageDelta)
		for _, c := range used.Counts {
			l.requests += c.Requests
		}
	}
	return 1, nil
}

// A process that is killed loses what it has not written: a call alone is written at
// once, and many share their records.
func TestCountsAreWrittenAtOnce(t *testing.T) {
	c := clock.New()
	log := &countingLog{}
	m := &Meter{Self: "a~1", Ledger: log, Clock: c, Wall: manualWall{c}, Terms: terms, Log: zerolog.Nop()}
	m.Setup()
	ctx, stop := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { m.Run(ctx) })
	wait := func(span clock.Millis, requests int64, appends int) {
		t.Helper()
		c.Sleep(t.Context(), span)
		log.mu.Lock()
		defer log.mu.Unlock()
		if log.requests != requests || log.appends > appends {
			t.Errorf("%d requests in %d appends, want %d in %d at most", log.requests, log.appends, requests, appends)
		}
	}
	m.Began("shops", c.Mono())
	wait(flushPeriod/2, 1, 1)
	for range 100 {
		m.Began("shops", c.Mono())
	}
	wait(2*flushPeriod, 101, 3)
	stop()
	group.Wait()
}

// The log drops its history after a window was settled and reported; late counts of the
// window come, and an instance that has just started takes the role.
func TestDroppedHistoryIsNotReportedAnew(t *testing.T) {
	s := newScene(t)
	s.pass(terms.Window - 200)
	s.ledger.book.Usage = map[ident.Window]*jobs.WindowUsage{}
	s.ledger.gap = s.clock.Mono()
	_, _ = s.ledger.Append(t.Context(), jobs.UsageDelta{By: "late~1", Window: 200, Counts: []jobs.Count{{Organisation: "shops", Requests: 1}}})
	s.pass(400)
	s.use("shops", 2)
	s.pass(2 * terms.Due)
	for _, report := range s.api.taken {
		if report.Window == 200 {
			t.Errorf("window 200 is reported with %v", report.Counts)
		}
	}
	if len(s.api.taken) == 0 || s.api.taken[0].Window != 201 {
		t.Errorf("reports %+v, want those of the windows from 201 on", s.api.taken)
	}
}

func TestWholeHistory(t *testing.T) {
	const found = 100
	cases := []struct {
		name    string
		known   ident.Window
		window  ident.Window
		missing bool
		want    bool
	}{
		{"nothing is missing", 99, 99, false, true},
		{"a window of before", 99, 99, true, false},
		{"one that was under way", 99, found, true, false},
		{"one that began after", 99, found + 1, true, true},
		{"what is left reaches back far enough", 99 - reachBack, 99, true, true},
		{"and nearly", 100 - reachBack, 99, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := jobs.NewState()
			b.Usage[c.known] = &jobs.WindowUsage{}
			if got := wholeHistory(b, c.window, c.missing, found); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

func TestSettles(t *testing.T) {
	const due = 10 * clock.Second
	cases := []struct {
		name  string
		after clock.Millis
		whole bool
		want  bool
	}{
		{"soon where all were heard", soonTerm, true, true},
		{"not before", soonTerm - 1, true, false},
		{"late where some were not", due - sendTerm, false, true},
		{"not before that", due - sendTerm - 1, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := settles(c.after, due, c.whole); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

func TestAllHeard(t *testing.T) {
	const now = clock.Minute
	cases := []struct {
		name   string
		member jobs.Member
		want   bool
	}{
		{"one that is heard", jobs.Member{LastHeard: now - missedTerm}, true},
		{"one that is silent", jobs.Member{LastHeard: now - missedTerm - 1}, false},
		{"one that has ended", jobs.Member{LastHeard: now - missedTerm - 1, Superseded: true}, true},
		{"one that has left", jobs.Member{LastHeard: now - missedTerm - 1, Leaving: true}, true},
		{"one that is gone", jobs.Member{LastHeard: now - goneTerm}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := jobs.NewState()
			b.Members["m"] = &c.member
			if got := allHeard(b, now); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
