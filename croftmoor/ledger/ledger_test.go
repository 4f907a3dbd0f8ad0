package ledger

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/tail"
)

// heartbeatWriter records the heartbeats written to it, and acknowledges each at the offset of
// its number.
type heartbeatWriter struct {
	mu         sync.Mutex
	heartbeats []jobs.Heartbeat
}

func (w *heartbeatWriter) Write(_ context.Context, _ ident.Stream, records ...[]byte) (ident.Offset, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, data := range records {
		record, err := jobs.Decode(data)
		if heartbeat, ok := record.(jobs.Heartbeat); ok && err == nil {
			w.heartbeats = append(w.heartbeats, heartbeat)
		}
	}
	return ident.Offset(len(w.heartbeats)), nil
}

func (w *heartbeatWriter) assertLast(t *testing.T, count int, leaving bool) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.heartbeats) != count || w.heartbeats[count-1].Leaving != leaving {
		t.Errorf("heartbeats %+v, want %d, the last with Leaving %v", w.heartbeats, count, leaving)
	}
}

// assertStarts checks by which offsets the heartbeats order their start.
func (w *heartbeatWriter) assertStarts(t *testing.T, starts ...ident.Offset) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, want := range starts {
		if got := w.heartbeats[i].Start; got != want {
			t.Errorf("heartbeat %d has the start %d, want %d", i, got, want)
		}
	}
}

func newLedger() *Ledger {
	l := &Ledger{Self: "a~1", Clock: clock.New(), Log: zerolog.Nop(), Writer: &heartbeatWriter{}, ReadsPerSecond: 100, WritesPerSecond: 100}
	l.Setup()
	return l
}

// batch returns records from the offset from on, of a stream that ends at next.
func batch(from, next ident.Offset, records ...jobs.Record) tail.Batch {
	b := tail.Batch{First: 1, Next: next}
	for i, r := range records {
		b.Records = append(b.Records, tail.Record{Offset: from + ident.Offset(i), Data: jobs.Encode(r)})
	}
	return b
}

func assertState(t *testing.T, l *Ledger, fresh, away bool) {
	t.Helper()
	if l.Fresh() != fresh || l.Away() != away {
		t.Errorf("fresh %v away %v, want %v %v; age %d ms", l.Fresh(), l.Away(), fresh, away, l.Age())
	}
}

func TestArrears(t *testing.T) {
	l := newLedger()
	t.Run("a part of the stream does not make the state current", func(t *testing.T) {
		l.apply(batch(1, 5, jobs.Heartbeat{By: "b~1"}))
		assertState(t, l, false, false)
	})
	t.Run("its end does", func(t *testing.T) {
		l.apply(batch(2, 5, jobs.Heartbeat{By: "b~1"}, jobs.Heartbeat{By: "b~1"}, jobs.Heartbeat{By: "b~1"}))
		assertState(t, l, true, false)
	})
	t.Run("answers that stay behind the end let it age", func(t *testing.T) {
		time.Sleep(maxFreshAge.Duration() + 100*time.Millisecond)
		l.apply(batch(5, 900, jobs.Heartbeat{By: "b~1"}))
		assertState(t, l, false, false)
	})
	t.Run("silence is the log being away", func(t *testing.T) {
		time.Sleep(maxFreshAge.Duration() + 100*time.Millisecond)
		assertState(t, l, false, true)
	})
}

func TestNoWorkBeforeTheStateIsCurrent(t *testing.T) {
	l := newLedger()
	writer := &heartbeatWriter{}
	l.Writer = writer
	ctx, stop := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { l.sendHeartbeats(ctx) })
	defer group.Wait()
	defer stop()
	l.apply(batch(1, 5, jobs.Heartbeat{By: "b~1"}))
	time.Sleep(5 * minPause.Duration())
	writer.assertLast(t, 2, true)
	l.apply(batch(2, 3, jobs.Heartbeat{By: "b~1"}))
	time.Sleep(5 * minPause.Duration())
	writer.assertLast(t, 3, false)
	writer.assertStarts(t, 0, 1, 1)
}

// Guards against counting a response as news when it is processed late: the state is as
// old as the response, for instance after the process was suspended.
func TestAnswerThatWaited(t *testing.T) {
	l := newLedger()
	l.Clock = clock.NewManual(clock.Minute)
	l.apply(batch(1, 2, jobs.Heartbeat{By: "b~1"}))
	assertState(t, l, true, false)
	asked := l.Clock.Mono()
	l.Clock.Advance(5700)
	late := batch(2, 2)
	late.CurrentAt = tail.CurrentAt(asked, l.Clock.Mono(), readWait)
	l.apply(late)
	if l.Fresh() {
		t.Errorf("a response processed 5.7 s late made the state fresh; age %d ms", l.Age())
	}
	asked = l.Clock.Mono()
	l.Clock.Advance(4)
	next := batch(2, 2)
	next.CurrentAt = tail.CurrentAt(asked, l.Clock.Mono(), readWait)
	l.apply(next)
	assertState(t, l, true, false)
}

// Guards against taking the second batch of a backlog for records that were just written.
func TestBacklogAfterACutIsNotNews(t *testing.T) {
	l := newLedger()
	l.Clock = clock.NewManual(clock.Minute)
	l.apply(batch(1, 2, jobs.Heartbeat{By: "b~1"}))
	l.Clock.Advance(clock.Minute)
	l.apply(batch(2, 5, jobs.Accept{Job: "first"}))
	l.Clock.Advance(minPause)
	l.apply(batch(3, 5, jobs.Accept{Job: "second"}, jobs.Avoid{By: "b~1", Engine: "e", Millis: 400}))
	l.Clock.Advance(minPause)
	l.apply(batch(5, 6, jobs.Accept{Job: "news"}))
	l.View(func(s *jobs.State) {
		for job, want := range map[ident.Job]bool{"first": true, "second": true, "news": false} {
			if got := s.Jobs[job].FromBacklog; got != want {
				t.Errorf("job %s from the backlog: %v, want %v", job, got, want)
			}
		}
		if s.AvoidedUntil["e"] != 0 {
			t.Error("an engine is avoided because of a record of the backlog")
		}
	})
}

// Guards against an instance of which the log keeps no heartbeat, since it writes other records all
// the time: who starts later knows neither its zone nor what it holds.
func TestHeartbeatsBesideOtherRecords(t *testing.T) {
	for _, tc := range []struct {
		name    string
		holds   bool
		renewal clock.Millis
	}{{"a holder", true, RoleRenewal}, {"any other", false, MemberRenewal}} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLedger()
			l.Clock = clock.NewManual(clock.Minute)
			l.apply(batch(1, 2, jobs.Hold{Role: "r", By: map[bool]ident.InstanceName{true: l.Self, false: "b~1"}[tc.holds]}))
			l.sendHeartbeat(t.Context())
			for waited := clock.Millis(0); waited < tc.renewal; waited += heartbeatPeriod / 2 {
				if due := l.untilDue(heartbeatPeriod); due <= 0 {
					t.Fatalf("a heartbeat is due after %d ms, want %d", waited, tc.renewal)
				}
				l.Clock.Advance(heartbeatPeriod / 2)
				_, _ = l.Append(t.Context(), jobs.Finish{By: l.Self})
			}
			if due := l.untilDue(heartbeatPeriod); due > 0 {
				t.Errorf("no heartbeat is due for %d ms more, after %d without one", due, tc.renewal)
			}
		})
	}
}
