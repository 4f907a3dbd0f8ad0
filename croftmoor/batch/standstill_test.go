package batch

import (
	"strings"
	"testing"

	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/trail"
)

// standstillLines keeps the lines that tell of standstills.
type standstillLines struct{ reasons []string }

func (l *standstillLines) Add(d trail.Decision) {
	if d.Action == trail.Standstill {
		l.reasons = append(l.reasons, d.Reason)
	}
}

// fullSimulation returns a simulation in which owner holds all places of two engines while items
// wait, and the lines of instance 0.
func fullSimulation(t *testing.T, owner ident.InstanceName) (*simulation, *standstillLines) {
	s := newSimulation(t, 3, 2)
	lines := &standstillLines{}
	s.runners[0].Trail = lines
	s.accept("j", 40)
	s.planAll()
	s.claimAs(owner, "j", 2*(8+overbook), 2)
	for n, r := range s.runners {
		r.pending = map[jobs.ItemKey]bool{}
		s.catchUp(n, len(s.log))
	}
	return s, lines
}

func TestStandstillIsNamed(t *testing.T) {
	const rounds = int(standstillAfter / roundPeriod)
	t.Run("with what keeps items from being claimed", func(t *testing.T) {
		s, lines := fullSimulation(t, "front-1")
		s.runRounds(rounds - rounds/10)
		if len(lines.reasons) > 0 {
			t.Errorf("told too early: %v", lines.reasons)
		}
		s.runRounds(rounds / 2)
		if len(lines.reasons) != 1 {
			t.Fatalf("%d lines, want one: %v", len(lines.reasons), lines.reasons)
		}
		for _, part := range []string{"22 items wait", "2 engines, 2 that can run job j, 0 with room", "18 items claimed there: 18 by front-1;"} {
			if !strings.Contains(lines.reasons[0], part) {
				t.Errorf("%q lacks %q", lines.reasons[0], part)
			}
		}
	})
	t.Run("with owners that are gone", func(t *testing.T) {
		s, lines := fullSimulation(t, "front-1")
		s.end(1, true)
		for n := range s.runners {
			s.silent[n] = true
		}
		s.clock.Advance(standstillAfter)
		s.runners[0].planClaims()
		if len(lines.reasons) != 1 || !strings.Contains(lines.reasons[0], "18 by front-1 (gone)") {
			t.Errorf("lines %v, want one that names the owner that is gone", lines.reasons)
		}
		if q := s.runners[0].Queue(); q.Waiting != 40 || q.Abandoned != 18 || q.Still < standstillAfter {
			t.Errorf("queue %+v, want 40 items that wait, 18 of them abandoned, for %d ms", q, standstillAfter)
		}
	})
	t.Run("not while items end", func(t *testing.T) {
		s, lines := fullSimulation(t, "front-1")
		for range 12 {
			s.runRounds(rounds / 8)
			s.catchUp(0, len(s.log))
			s.finishSome()
		}
		if len(lines.reasons) > 0 {
			t.Errorf("told though items end: %v", lines.reasons)
		}
	})
}

// An item that is claimed and yielded for ever must not pass for progress.
func TestItemYieldedAgainAndAgainIsNamed(t *testing.T) {
	s := newSimulation(t, 1, 2)
	lines := &standstillLines{}
	r := s.runners[0]
	r.Trail = lines
	s.accept("j", 2)
	for range minVainYields {
		s.claimAs("front-0", "j", 1, 1)
		s.appendRecords(jobs.Yield{Job: "j", By: "front-0", Index: 0})
		s.catchUp(0, len(s.log))
		s.clock.Advance(standstillAfter / minVainYields)
		r.planClaims()
	}
	if len(lines.reasons) != 1 || !strings.Contains(lines.reasons[0], "item j-0 of job j 4 times in 5000 ms") {
		t.Errorf("lines %v, want one that names the item", lines.reasons)
	}
	if q := r.Queue(); q.Vain != 1 {
		t.Errorf("queue %+v, want one item that is yielded in vain", q)
	}
}
