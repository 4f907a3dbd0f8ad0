package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

// roundPeriod is the simulated time between two reads of the ledger by an instance.
const roundPeriod = 20 * clock.Millis(1)

// simulation has instances that read one ledger, each up to its own offset. Its manual
// clock advances by roundPeriod a round, which makes it independent of the machine.
type simulation struct {
	t       *testing.T
	clock   *clock.Clock
	random  *rand.Rand
	log     []jobs.Record
	runners []*Runner
	states  []*jobs.State
	read    []int
	// silent are the instances that no longer read or write.
	silent map[int]bool
	// claims is the number of claims for each item.
	claims map[jobs.ItemKey]int
	engine map[jobs.ItemKey]ident.BackendName
}

func newSimulation(t *testing.T, instances, engines int) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(1, uint64(instances))), silent: map[int]bool{},
		claims: map[jobs.ItemKey]int{}, engine: map[jobs.ItemKey]ident.BackendName{}, clock: clock.NewManual(clock.Minute),
	}
	for n := range instances {
		r := newTestRunner(instances, engines, 0)
		r.Self = ident.InstanceName(fmt.Sprintf("front-%d", n))
		r.Clock = s.clock
		r.Ledger.View(func(state *jobs.State) {
			state.UpToDate = true
			s.states = append(s.states, state)
		})
		s.runners = append(s.runners, r)
		s.read = append(s.read, 0)
	}
	return s
}

// appendRecords appends records to the ledger.
func (s *simulation) appendRecords(records ...jobs.Record) {
	s.log = append(s.log, records...)
}

// catchUp has instance n read at most limit records.
func (s *simulation) catchUp(n, limit int) {
	for ; s.read[n] < len(s.log) && limit > 0; limit-- {
		s.states[n].Apply(ident.Offset(10_000+s.read[n]), s.log[s.read[n]], s.runners[n].Clock.Mono())
		s.read[n]++
	}
}

// planAll has all instances read the whole ledger and drops the claims that they plan.
// Afterwards each instance knows the dealer.
func (s *simulation) planAll() {
	for n, r := range s.runners {
		s.catchUp(n, len(s.log))
		r.planClaims()
	}
}

// claimNext has instance n write the claims that it plans.
func (s *simulation) claimNext(n int) {
	r := s.runners[n]
	for key := range r.pending {
		if item := &s.states[n].Jobs[key.Job].Items[key.Index]; item.Claim != 0 || item.Done {
			delete(r.pending, key)
		}
	}
	for _, c := range r.planClaims() {
		for _, target := range c.Targets {
			key := jobs.ItemKey{Job: c.Job, Index: target.Index}
			r.pending[key] = true
			s.claims[key]++
			s.engine[key] = c.Engine
		}
		s.appendRecords(c)
	}
}

// runRounds has instances read and claim in random order, each some records behind.
func (s *simulation) runRounds(rounds int) {
	for range rounds {
		s.clock.Advance(roundPeriod)
		for _, n := range s.random.Perm(len(s.runners)) {
			if !s.silent[n] && s.random.IntN(3) > 0 {
				s.catchUp(n, 1+s.random.IntN(200))
				s.claimNext(n)
			}
		}
	}
}

func (s *simulation) accept(id ident.Job, items int) {
	a := jobs.Accept{Job: id, Host: "h", Prefix: "/p/", Service: "models", Model: "m"}
	for i := range items {
		a.Items = append(a.Items, jobs.ItemSpec{ID: ident.Item(fmt.Sprintf("%s-%d", id, i)), Group: ident.Group(fmt.Sprintf("g-%d", i/8)), Expect: ident.Tokens(50 + i)})
	}
	s.appendRecords(a)
}

// finishSome lists results for a random half of the claimed items and returns the number
// of items that had no result before.
func (s *simulation) finishSome() int {
	left := 0
	state := s.states[0]
	for _, id := range state.JobOrder {
		job := state.Jobs[id]
		for i := range job.Items {
			item := &job.Items[i]
			switch {
			case item.Done:
			case item.Claim != 0 && s.random.IntN(2) == 0:
				s.appendRecords(jobs.Finish{Job: id, By: item.Owner, Index: i, Outcome: jobs.Completed})
				left++
			default:
				left++
			}
		}
	}
	return left
}

// assertClaims checks that the given number of items were claimed, on average at most maxMean
// times each.
func (s *simulation) assertClaims(items int, maxMean float64) {
	s.t.Helper()
	total := 0
	for _, n := range s.claims {
		total += n
	}
	if len(s.claims) != items {
		s.t.Errorf("%d of %d items were claimed", len(s.claims), items)
	}
	if each := float64(total) / float64(max(len(s.claims), 1)); each > maxMean {
		s.t.Errorf("%.2f claims for an item, want %.2f at most", each, maxMean)
	}
}

// runToEnd runs rounds until all items have results.
func (s *simulation) runToEnd() {
	s.t.Helper()
	for range 300 {
		s.runRounds(1)
		s.catchUp(0, len(s.log))
		if s.finishSome() == 0 {
			return
		}
	}
	s.t.Error("items without results are left")
}

// Instances that have read the ledger to different offsets must not claim the same items.
func TestItemsAreClaimedOnce(t *testing.T) {
	for _, size := range []struct{ instances, engines, jobs, items int }{{13, 11, 2, 224}, {48, 102, 6, 190}, {84, 44, 6, 128}} {
		t.Run(fmt.Sprintf("%d instances %d engines", size.instances, size.engines), func(t *testing.T) {
			s := newSimulation(t, size.instances, size.engines)
			for j := range size.jobs {
				s.accept(ident.Job(fmt.Sprintf("j-%d", j)), size.items)
			}
			s.runToEnd()
			s.assertClaims(size.jobs*size.items, 1.05)
		})
	}
}

func TestSilentDealer(t *testing.T) {
	dealer := func(s *simulation) int {
		for n, r := range s.runners {
			if r.dealer("models") == r.Self {
				return n
			}
		}
		t.Fatal("no instance deals")
		return 0
	}
	t.Run("instances place items at their own engines meanwhile", func(t *testing.T) {
		const items = 200
		s := newSimulation(t, 30, 60)
		s.accept("j", items)
		s.planAll()
		gone := dealer(s)
		s.silent[gone] = true
		clear(s.claims)
		s.runRounds(3)
		if len(s.claims) > 0 {
			t.Errorf("%d items claimed before idleBeforeOwnItems passed", len(s.claims))
		}
		s.clock.Advance(idleBeforeOwnItems)
		s.runRounds(6)
		if shared := len(s.claims); shared < items*4/5 {
			t.Errorf("%d of %d items were claimed without the dealer", shared, items)
		}
		s.assertClaims(len(s.claims), 1.05)
		s.clock.Advance(idleBeforeAnyItem)
		s.runRounds(6)
		s.assertClaims(items, 1.5)
	})
	t.Run("another deals once it is known to be gone", func(t *testing.T) {
		const items = 20
		s := newSimulation(t, 6, 6)
		s.accept("j", items)
		s.planAll()
		clear(s.claims)
		gone := dealer(s)
		s.silent[gone] = true
		for _, b := range s.states {
			b.Members[s.runners[gone].Self].Superseded = true
		}
		s.runRounds(8)
		s.assertClaims(items, 1.05)
	})
}
