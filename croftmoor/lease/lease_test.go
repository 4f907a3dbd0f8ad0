package lease

import (
	"context"
	"testing"

	"croftmoor.dev/croftmoor/ledger"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/tail"
	"croftmoor.dev/kernel/trail"
)

const role = "duty"

type noDecisions struct{}

func (noDecisions) Add(trail.Decision) {}

// oneLedger applies what is appended at once, and knows how long ago this
// instance's own sign of life was acknowledged.
type oneLedger struct {
	book    *jobs.State
	clock   *clock.Clock
	silence clock.Millis
	since   clock.Millis
	// gap is when records were found missing; 0 is never.
	gap clock.Millis
}

func newOne(c *clock.Clock, names ...ident.InstanceName) *oneLedger {
	l := &oneLedger{book: jobs.NewState(), clock: c}
	l.book.Next = 1
	for _, name := range names {
		l.write(jobs.Heartbeat{By: name, Zone: "z", Start: l.book.Next})
	}
	return l
}

func (l *oneLedger) write(r jobs.Record) {
	l.book.Apply(l.book.Next, r, l.clock.Mono())
}

func (l *oneLedger) View(look func(*jobs.State)) { look(l.book) }

func (l *oneLedger) Append(_ context.Context, records ...jobs.Record) (ident.Offset, error) {
	first := l.book.Next
	for _, r := range records {
		l.write(r)
	}
	return first, nil
}

func (l *oneLedger) Await(context.Context, ident.Offset) error { return nil }
func (l *oneLedger) Heard() clock.Millis                       { return l.silence }
func (l *oneLedger) Since() clock.Millis                       { return l.since }
func (l *oneLedger) Gap() (clock.Millis, bool)                 { return l.gap, l.gap > 0 }

func wantHeld(t *testing.T, l *Lease, want bool) ident.Fence {
	t.Helper()
	fence, ok := l.Hold(t.Context())
	if ok != want {
		t.Fatalf("%s holds the role: %v, want %v", l.Self, ok, want)
	}
	return fence
}

// ordered returns the names in the order in which they follow in the role.
func ordered(l *oneLedger, last ident.InstanceName, names ...ident.InstanceName) []ident.InstanceName {
	list := make([]ident.InstanceName, len(names))
	for _, name := range names {
		list[turnOf(role, name, last, l.book.Live(0))] = name
	}
	return list
}

// The role may fall to an instance that has just died and still counts as alive.
func TestVacantRoleGoesOn(t *testing.T) {
	c := clock.NewManual(clock.Second)
	book := newOne(c, "a~1", "b~1", "c~1")
	last := ordered(book, "", "a~1", "b~1", "c~1")[2]
	// Only the last in turn does anything.
	l := &Lease{Role: role, Self: last, Ledger: book, Clock: c, Trail: noDecisions{}}
	wantHeld(t, l, false)
	if by := book.book.RoleHolders[role].By; by != "" {
		t.Fatalf("%s took the role before its turn", by)
	}
	c.Advance(2 * turnTerm)
	wantHeld(t, l, false)
	if by := book.book.RoleHolders[role].By; by != last {
		t.Errorf("held by %q, want %s", by, last)
	}
	wantHeld(t, l, true)
}

func TestTurns(t *testing.T) {
	c := clock.NewManual(clock.Second)
	l := newOne(c, "a~1", "b~1", "b~2")
	if first := ordered(l, "b~1", "a~1", "b~2")[0]; first != "b~2" {
		t.Errorf("%s follows b~1 first, want its new life", first)
	}
}

// A holder that was frozen, or is cut off, finds by its own steady clock that its
// last sign of life is too old.
func TestHolderStopsByItsOwnClock(t *testing.T) {
	c := clock.NewManual(clock.Second)
	book := newOne(c, "a~1")
	l := &Lease{Role: role, Self: "a~1", Ledger: book, Clock: c, Trail: noDecisions{}}
	wantHeld(t, l, false)
	fence := wantHeld(t, l, true)
	book.silence = holdTerm
	wantHeld(t, l, false)
	if l.Holds(fence) {
		t.Error("the fence still holds")
	}
	if holdTerm >= ledger.DeadAfter {
		t.Errorf("a holder stops after %d ms, others follow after %d", holdTerm, ledger.DeadAfter)
	}
}

// Who follows another instance waits until that one can have acted for the last time
// a term ago; a new life of the same one need not.
func TestTermIsWaitedOut(t *testing.T) {
	const term = 3 * clock.Second
	cases := []struct {
		name string
		self ident.InstanceName
		wait clock.Millis
	}{{"another instance", "b~1", holdTerm + term}, {"a new life", "a~2", 0}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := clock.NewManual(clock.Second)
			book := newOne(c, "a~1")
			book.write(jobs.Hold{Role: role, By: "a~1"})
			book.write(jobs.Heartbeat{By: "a~1", Zone: "z", Leaving: true})
			book.write(jobs.Heartbeat{By: tc.self, Zone: "z"})
			l := &Lease{Role: role, Self: tc.self, Ledger: book, Clock: c, Trail: noDecisions{}, Term: term}
			wantHeld(t, l, false)
			c.Advance(max(tc.wait-1, 0))
			wantHeld(t, l, tc.wait == 0)
			c.Advance(1)
			wantHeld(t, l, true)
		})
	}
}

// lostAnswers applies what is appended and loses the answer to it.
type lostAnswers struct{ *oneLedger }

func (l lostAnswers) Append(ctx context.Context, records ...jobs.Record) (ident.Offset, error) {
	_, _ = l.oneLedger.Append(ctx, records...)
	return 0, fault.New("lostAnswers", tail.Unknown, "no word")
}

// A hold that takes effect after its append was given up must wait out the term as well.
func TestTermIsWaitedOutAfterALostAnswer(t *testing.T) {
	const term = 3 * clock.Second
	c := clock.NewManual(clock.Second)
	book := newOne(c, "a~1")
	book.write(jobs.Hold{Role: role, By: "a~1"})
	book.write(jobs.Heartbeat{By: "a~1", Zone: "z", Leaving: true})
	book.write(jobs.Heartbeat{By: "b~1", Zone: "z"})
	l := &Lease{Role: role, Self: "b~1", Ledger: lostAnswers{book}, Clock: c, Trail: noDecisions{}, Term: term}
	wantHeld(t, l, false)
	wantHeld(t, l, false)
	c.Advance(holdTerm + term)
	wantHeld(t, l, true)
}

// Nothing is done any more under a fencing number that was refused for a higher one.
func TestRefusedFenceIsTakenAnew(t *testing.T) {
	c := clock.NewManual(clock.Second)
	book := newOne(c, "a~1")
	l := &Lease{Role: role, Self: "a~1", Ledger: book, Clock: c, Trail: noDecisions{}}
	wantHeld(t, l, false)
	first := wantHeld(t, l, true)
	l.Refused(first)
	wantHeld(t, l, false)
	if second := wantHeld(t, l, true); second <= first {
		t.Errorf("fence %d after %d, want a higher one", second, first)
	}
}

// Guards against a second holder beside one that lives: the log has dropped the record of its hold,
// and what tells of it otherwise is not read yet.
func TestRoleOfWhichNothingWasRead(t *testing.T) {
	c := clock.NewManual(clock.Minute)
	book := newOne(c, "a~1", "b~1")
	book.gap = c.Mono()
	l := &Lease{Role: role, Self: "b~1", Ledger: book, Clock: c, Trail: noDecisions{}}
	c.Advance(unknownTerm - 1)
	wantHeld(t, l, false)
	wantHeld(t, l, false)
	t.Run("is its holder's once that tells of it", func(t *testing.T) {
		book.write(jobs.Heartbeat{By: "a~1", Zone: "z", Start: 1, Roles: []jobs.HeldRole{{Role: role, Fence: 7}}})
		c.Advance(unknownTerm)
		wantHeld(t, l, false)
		if by := book.book.RoleHolders[role].By; by != "a~1" {
			t.Errorf("held by %q, want a~1", by)
		}
	})
	t.Run("is taken if nobody does", func(t *testing.T) {
		other := newOne(c, "b~1")
		other.gap = c.Mono()
		l.Ledger = other
		c.Advance(unknownTerm)
		wantHeld(t, l, false)
		wantHeld(t, l, true)
	})
	if unknownTerm < ledger.RoleRenewal+clock.Second {
		t.Errorf("a role is taken after %d ms, holders tell of theirs each %d ms", unknownTerm, ledger.RoleRenewal)
	}
}
