package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

// readGap is the time between two looks of an instance at the ledger.
const readGap = 20 * clock.Millis(1)

// scene is instances that read one ledger, each as far as it has come. Their time
// moves by readGap a round, whatever the machine that runs the test does.
type scene struct {
	t       *testing.T
	clock   *clock.Clock
	random  *rand.Rand
	log     []jobs.Record
	runners []*Runner
	books   []*jobs.State
	read    []int
	// silent are instances that neither read nor write any more.
	silent map[int]bool
	// claims counts how often each item was claimed.
	claims map[jobs.ItemKey]int
	engine map[jobs.ItemKey]ident.BackendName
}

func newScene(t *testing.T, instances, engines int) *scene {
	s := &scene{
		t: t, random: rand.New(rand.NewPCG(1, uint64(instances))), silent: map[int]bool{},
		claims: map[jobs.ItemKey]int{}, engine: map[jobs.ItemKey]ident.BackendName{}, clock: clock.NewManual(clock.Minute),
	}
	for n := range instances {
		r := crowd(instances, engines, 0)
		r.Self = ident.InstanceName(fmt.Sprintf("front-%d", n))
		r.Clock = s.clock
		r.Ledger.View(func(b *jobs.State) {
			b.UpToDate = true
			s.books = append(s.books, b)
		})
		s.runners = append(s.runners, r)
		s.read = append(s.read, 0)
	}
	return s
}

// write appends records to the ledger.
func (s *scene) write(records ...jobs.Record) {
	s.log = append(s.log, records...)
}

// catchUp has an instance read so many records.
func (s *scene) catchUp(n, most int) {
	for ; s.read[n] < len(s.log) && most > 0; most-- {
		s.books[n].Apply(ident.Offset(10_000+s.read[n]), s.log[s.read[n]], s.runners[n].Clock.Mono())
		s.read[n]++
	}
}

// planAll has all instances read the ledger to its end and plan, and drops the plans:
// they know from then on who deals.
func (s *scene) planAll() {
	for n, r := range s.runners {
		s.catchUp(n, len(s.log))
		r.planClaims()
	}
}

// act has an instance claim what it should, unless it waits for its last claims.
func (s *scene) act(n int) {
	r := s.runners[n]
	for key := range r.pending {
		if item := &s.books[n].Jobs[key.Job].Items[key.Index]; item.Claim != 0 || item.Done {
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
		s.write(c)
	}
}

// play lets instances read and act in random order, each some records behind.
func (s *scene) play(rounds int) {
	for range rounds {
		s.clock.Advance(readGap)
		for _, n := range s.random.Perm(len(s.runners)) {
			if !s.silent[n] && s.random.IntN(3) > 0 {
				s.catchUp(n, 1+s.random.IntN(200))
				s.act(n)
			}
		}
	}
}

func (s *scene) accept(id ident.Job, items int) {
	a := jobs.Accept{Job: id, Host: "h", Prefix: "/p/", Service: "models", Model: "m"}
	for i := range items {
		a.Items = append(a.Items, jobs.ItemSpec{ID: ident.Item(fmt.Sprintf("%s-%d", id, i)), Group: ident.Group(fmt.Sprintf("g-%d", i/8)), Expect: ident.Tokens(50 + i)})
	}
	s.write(a)
}

// finish lists a share of what is claimed, as engines would, and tells how many
// items are left.
func (s *scene) finish() int {
	left := 0
	book := s.books[0]
	for _, id := range book.JobOrder {
		job := book.Jobs[id]
		for i := range job.Items {
			item := &job.Items[i]
			switch {
			case item.Done:
			case item.Claim != 0 && s.random.IntN(2) == 0:
				s.write(jobs.Finish{Job: id, By: item.Owner, Index: i, Outcome: jobs.Completed})
				left++
			default:
				left++
			}
		}
	}
	return left
}

// wantClaims checks how many claims were written for each item.
func (s *scene) wantClaims(items int, most float64) {
	s.t.Helper()
	total := 0
	for _, n := range s.claims {
		total += n
	}
	if len(s.claims) != items {
		s.t.Errorf("%d of %d items were claimed", len(s.claims), items)
	}
	if each := float64(total) / float64(max(len(s.claims), 1)); each > most {
		s.t.Errorf("%.2f claims for an item, want %.2f at most", each, most)
	}
}

// run plays until nothing is left.
func (s *scene) run() {
	s.t.Helper()
	for range 300 {
		s.play(1)
		s.catchUp(0, len(s.log))
		if s.finish() == 0 {
			return
		}
	}
	s.t.Error("items are left")
}

// Instances that have read the ledger to different ends must not claim the same
// items: at 84 instances items were claimed 7.4 times each, and ran at the engine of
// whoever came first.
func TestItemsAreClaimedOnce(t *testing.T) {
	for _, size := range []struct{ instances, engines, jobs, items int }{{13, 11, 2, 224}, {48, 102, 6, 190}, {84, 44, 6, 128}} {
		t.Run(fmt.Sprintf("%d instances %d engines", size.instances, size.engines), func(t *testing.T) {
			s := newScene(t, size.instances, size.engines)
			for j := range size.jobs {
				s.accept(ident.Job(fmt.Sprintf("j-%d", j)), size.items)
			}
			s.run()
			s.wantClaims(size.jobs*size.items, 1.05)
		})
	}
}

func TestSilentDealer(t *testing.T) {
	dealer := func(s *scene) int {
		for n, r := range s.runners {
			if r.dealer("models") == r.Self {
				return n
			}
		}
		t.Fatal("nobody deals")
		return 0
	}
	t.Run("instances place items at their own engines meanwhile", func(t *testing.T) {
		const items = 200
		s := newScene(t, 30, 60)
		s.accept("j", items)
		s.planAll()
		gone := dealer(s)
		s.silent[gone] = true
		clear(s.claims)
		s.play(3)
		if len(s.claims) > 0 {
			t.Errorf("%d items claimed before the dealer had its time", len(s.claims))
		}
		s.clock.Advance(idleBeforeOwnShare)
		s.play(6)
		if shared := len(s.claims); shared < items*4/5 {
			t.Errorf("%d of %d items were claimed without the dealer", shared, items)
		}
		s.wantClaims(len(s.claims), 1.05)
		s.clock.Advance(idleBeforeAnyItem)
		s.play(6)
		s.wantClaims(items, 1.5)
	})
	t.Run("another deals once it is known to be gone", func(t *testing.T) {
		const items = 20
		s := newScene(t, 6, 6)
		s.accept("j", items)
		s.planAll()
		clear(s.claims)
		gone := dealer(s)
		s.silent[gone] = true
		for _, b := range s.books {
			b.Members[s.runners[gone].Self].Superseded = true
		}
		s.play(8)
		s.wantClaims(items, 1.05)
	})
}
