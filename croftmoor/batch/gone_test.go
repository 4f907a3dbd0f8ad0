package batch

import (
	"fmt"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

// claimAs has an owner claim the first items of a job, for one engine after the other.
func (s *simulation) claimAs(owner ident.InstanceName, job ident.Job, items, engines int) {
	for i := range items {
		engine := ident.BackendName(fmt.Sprintf("engine-%d", i%engines))
		s.appendRecords(jobs.Claim{Job: job, By: owner, Engine: engine, Targets: []jobs.Target{{Index: i}}, Dealer: owner})
	}
}

// end ends an instance, which starts again elsewhere if it is superseded.
func (s *simulation) end(n int, superseded bool) {
	s.silent[n] = true
	for i := range s.runners {
		s.catchUp(i, len(s.log))
		member := s.states[i].Members[s.runners[n].Self]
		member.Superseded = superseded
		if !superseded {
			member.LastHeard = -clock.Minute
		}
	}
}

// Guards against items that nobody ever claims because instances that have ended hold all places
// at the engines.
func TestPlacesOfGoneOwnersAreTaken(t *testing.T) {
	const engineSlots, items = 8, 60
	for _, size := range []struct{ engines, held int }{{2, 18}, {2, 17}, {2, 16}, {4, 36}, {4, 35}, {4, 32}} {
		for _, superseded := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d engines, %d items held, superseded %t", size.engines, size.held, superseded), func(t *testing.T) {
				s := newSimulation(t, 3, size.engines)
				s.accept("j", items)
				s.planAll()
				s.claimAs("front-2", "j", size.held, size.engines)
				s.end(2, superseded)
				clear(s.claims)
				for _, r := range s.runners {
					r.pending = map[jobs.ItemKey]bool{}
				}
				s.runRounds(100)
				if places := size.engines * (engineSlots + overbook); len(s.claims) < places {
					t.Errorf("%d of %d places are used while %d items wait", len(s.claims), places, items-len(s.claims))
				}
				s.assertBounded(engineSlots + overbook)
			})
		}
	}
}

// assertBounded checks that no engine holds more items of living owners than most.
func (s *simulation) assertBounded(most int) {
	s.t.Helper()
	held := map[ident.BackendName]int{}
	s.catchUp(0, len(s.log))
	for _, item := range s.states[0].Jobs["j"].Items {
		if item.Claim != 0 && !s.silent[s.number(item.Owner)] {
			held[item.Engine]++
		}
	}
	for engine, items := range held {
		if items > most {
			s.t.Errorf("%s holds %d items of living owners, want %d at most", engine, items, most)
		}
	}
}

// number returns the position of an instance among the runners.
func (s *simulation) number(name ident.InstanceName) int {
	for n, r := range s.runners {
		if r.Self == name {
			return n
		}
	}
	return -1
}

// Guards against texts that stay at a slow engine because an instance that has ended holds the
// places of the faster ones.
func TestItemsMoveToPlacesOfGoneOwners(t *testing.T) {
	r := newTestRunner(4, 4, 1)
	ledger, _ := r.Ledger.(*stateLedger)
	c, m := slowRun(r, ledger.state)
	if r.shouldMove(c, nineEvents, m) {
		t.Fatal("the item moves though all engines are full")
	}
	for n := 1; n < 4; n++ {
		ledger.state.Members[ident.InstanceName(fmt.Sprintf("front-%d", n))].Superseded = true
	}
	if !r.shouldMove(c, nineEvents, m) {
		t.Error("the item doesn't move though the owners of all items elsewhere are gone")
	}
}
