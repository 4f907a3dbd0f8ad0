package lease

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"croftmoor.dev/croftmoor/ledger"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

const (
	modelTerm = 3 * clock.Second
	// touchTerm is how long an instance must have been without trouble for the rules
	// on holders that take turns to bind it.
	touchTerm = 4 * clock.Second
	modelBeat = 350 * clock.Millis(1)
)

// world is instances before one log, whose appends may be lost on their way, lose
// their answers, or arrive late.
type world struct {
	clock   *clock.Clock
	log     []jobs.Record
	late    []jobs.Record
	members []*member
	acts    []act
}

// act is something that a holder did.
type act struct {
	by    *member
	fence ident.Fence
	at    clock.Millis
	touch bool
}

// member is one life of an instance.
type member struct {
	world *world
	name  string
	// clock is that of the machine.
	clock  *clock.Clock
	lives  int
	book   *jobs.State
	read   int
	cut    bool
	frozen bool
	// trouble is when this machine was last in trouble.
	trouble clock.Millis
	beaten  clock.Millis
	loses   bool
	lease   *Lease
	// acted is the fence under which it last acted.
	acted ident.Fence
}

func (w *world) begin(m *member) {
	m.lives++
	m.book, m.read, m.beaten, m.acted = jobs.NewState(), 0, m.clock.Mono()-clock.Minute, 0
	m.lease = &Lease{
		Role: role, Self: ident.InstanceName(fmt.Sprintf("%s~%d", m.name, m.lives)), Ledger: m, Clock: m.clock,
		Trail: noDecisions{}, Term: modelTerm,
	}
}

// follow reads the log to its end.
func (m *member) follow() {
	for ; !m.cut && m.read < len(m.world.log); m.read++ {
		m.book.Apply(ident.Offset(m.read+1), m.world.log[m.read], m.clock.Mono())
	}
}

func (m *member) View(look func(*jobs.State)) { look(m.book) }

var errAway = errors.New("the log does not answer")

func (m *member) Append(_ context.Context, records ...jobs.Record) (ident.Offset, error) {
	w := m.world
	if m.cut {
		return 0, errAway
	}
	if m.loses {
		m.loses = false
		w.late = append(w.late, records...)
		return 0, errAway
	}
	w.log = append(w.log, records...)
	m.beaten = m.clock.Mono()
	return ident.Offset(len(w.log) - len(records) + 1), nil
}

func (m *member) Await(context.Context, ident.Offset) error {
	m.follow()
	return nil
}

func (m *member) Heard() clock.Millis { return m.clock.Mono() - m.beaten }
func (m *member) Since() clock.Millis { return m.clock.Mono() - ledger.DeadAfter }

func (m *member) Gap() (clock.Millis, bool) { return 0, false }

func (m *member) inTouch() bool {
	return !m.cut && !m.frozen && m.world.clock.Mono()-m.trouble >= touchTerm
}

// pass lets time go by: those that run beat, read, and act if they hold the role.
func (w *world) pass(t *rapid.T, span clock.Millis) {
	for ; span > 0; span -= modelBeat {
		w.clock.Advance(modelBeat)
		for _, m := range w.members {
			m.clock.Advance(modelBeat)
			if m.cut || m.frozen {
				m.trouble = w.clock.Mono()
			}
			if m.frozen {
				continue
			}
			_, _ = m.Append(t.Context(), jobs.Heartbeat{By: m.lease.Self, Zone: "z"})
			m.follow()
			if fence, ok := m.lease.Hold(t.Context()); ok && m.lease.Holds(fence) {
				w.act(m, fence)
			}
		}
	}
}

func (w *world) act(m *member, fence ident.Fence) {
	m.acted = fence
	w.acts = append(w.acts, act{by: m, fence: fence, at: w.clock.Mono(), touch: m.inTouch()})
}

// suspend stops a machine for a span. It wakes in the middle of what it did: it goes on
// with the fence that it held if its lease says that it may, before it reads anything.
// What it does then counts whether or not its machine is in touch: it must not act
// under a lease that passed meanwhile.
func (w *world) suspend(t *rapid.T, m *member, span clock.Millis) {
	frozen := m.frozen
	m.frozen = true
	w.pass(t, span)
	m.frozen = frozen
	if span >= modelTerm && m.acted != 0 && m.lease.Holds(m.acted) {
		t.Fatalf("%s would act under fence %d after it was suspended for %d ms", m.name, m.acted, span)
	}
}

func (w *world) check(t *rapid.T) {
	holder := map[ident.Fence]*member{}
	highest := ident.Fence(0)
	for n, a := range w.acts {
		if by := holder[a.fence]; by != nil && by != a.by {
			t.Fatalf("fence %d is used by %s and %s", a.fence, by.name, a.by.name)
		}
		holder[a.fence] = a.by
		if a.fence < highest && a.touch {
			t.Fatalf("%s in touch acts under fence %d after %d", a.by.name, a.fence, highest)
		}
		highest = max(highest, a.fence)
		if n < 2 {
			continue
		}
		w.checkTurns(t, n)
	}
}

// checkTurns looks for a holder that acts, another after it, and the first one again,
// within the term and all in touch.
func (w *world) checkTurns(t *rapid.T, n int) {
	last := w.acts[n]
	other := false
	for i := n - 1; i >= 0 && last.at-w.acts[i].at < modelTerm; i-- {
		a := w.acts[i]
		if a.by != last.by && a.touch {
			other = true
		}
		if a.by == last.by && other && a.touch && last.touch {
			t.Fatalf("%s acts at %d and %d, another in between", a.by.name, a.at, last.at)
		}
	}
}

// Appends that are lost, late or cut off, freezes, suspensions, restarts: no two holders share a
// fencing number, none in touch acts under a lower one, none take turns within the
// term, and the role is held again soon after all is well.
func TestHoldersOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{clock: clock.NewManual(clock.Minute)}
		for _, name := range []string{"a", "b", "c"} {
			m := &member{world: w, name: name, clock: clock.NewManual(clock.Minute)}
			w.members = append(w.members, m)
			w.begin(m)
		}
		pick := func(t *rapid.T) *member { return w.members[rapid.IntRange(0, 2).Draw(t, "member")] }
		t.Repeat(map[string]func(*rapid.T){
			"pass":   func(t *rapid.T) { w.pass(t, clock.Millis(rapid.IntRange(100, 4000).Draw(t, "span"))) },
			"cut":    func(t *rapid.T) { pick(t).cut = true },
			"heal":   func(t *rapid.T) { pick(t).cut = false },
			"freeze": func(t *rapid.T) { pick(t).frozen = true },
			"thaw":   func(t *rapid.T) { pick(t).frozen = false },
			"suspend": func(t *rapid.T) {
				w.suspend(t, pick(t), clock.Millis(rapid.IntRange(100, 9000).Draw(t, "span")))
			},
			"lose":   func(t *rapid.T) { pick(t).loses = true },
			"arrive": func(*rapid.T) { w.log, w.late = append(w.log, w.late...), nil },
			"start": func(t *rapid.T) {
				m := pick(t)
				m.trouble = w.clock.Mono()
				w.begin(m)
			},
			"": func(t *rapid.T) { w.check(t) },
		})
		for _, m := range w.members {
			m.cut, m.frozen, m.loses = false, false, false
		}
		w.pass(t, ledger.DeadAfter+holdTerm+modelTerm+2*clock.Second)
		before := len(w.acts)
		w.pass(t, clock.Second)
		if len(w.acts) == before {
			t.Fatal("nobody holds the role though all are well")
		}
		w.check(t)
	})
}
