package batch

import (
	"context"
	"fmt"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/trail"
)

// stateLedger is a ledger that is always current and ignores appends.
type stateLedger struct {
	state *jobs.State
	clock *clock.Clock
}

func (l *stateLedger) View(visit func(*jobs.State)) { visit(l.state) }
func (l *stateLedger) Changed() <-chan struct{}     { return nil }
func (l *stateLedger) Append(context.Context, ...jobs.Record) (ident.Offset, error) {
	return l.state.Next, nil
}
func (l *stateLedger) Await(context.Context, ident.Offset) error { return nil }
func (l *stateLedger) Hurry()                                    {}
func (l *stateLedger) Fresh() bool                               { return true }
func (l *stateLedger) Away() bool                                { return false }
func (l *stateLedger) Age() clock.Millis                         { return 0 }
func (l *stateLedger) Idle() clock.Millis                        { return 0 }
func (l *stateLedger) Since() clock.Millis                       { return -clock.Second }
func (l *stateLedger) QuietSince() clock.Millis                  { return -clock.Second }

type noDecisions struct{}

func (noDecisions) Add(trail.Decision) {}

// newTestRunner returns a runner whose state has the given numbers of instances, engines
// and open jobs. Each job has 160 items, three quarters of them claimed.
func newTestRunner(instances, engines, open int) *Runner {
	const zones, items = 4, 160
	zone := func(i int) ident.Zone { return ident.Zone(fmt.Sprintf("z-%d", i%zones)) }
	c := clock.New()
	state := jobs.NewState()
	apply := func(r jobs.Record) { state.Apply(state.Next+1, r, c.Mono()) }
	for i := range instances {
		apply(jobs.Heartbeat{By: ident.InstanceName(fmt.Sprintf("front-%d", i)), Zone: zone(i)})
	}
	list := make([]fleet.Member, 0, engines)
	for i := range engines {
		list = append(list, fleet.Member{
			Name: fmt.Sprintf("engine-%d", i), Kind: fleet.Backend, Service: "models", Zone: zone(i), State: fleet.Live, Slots: 8,
			Versions: map[ident.Model]ident.Version{"m": 1},
		})
	}
	for j := range open {
		accept := jobs.Accept{Job: ident.Job(fmt.Sprintf("job-%d", j)), Host: "h", Prefix: "/p/", Service: "models", Model: "m", WantedGroups: 9}
		for i := range items {
			accept.Items = append(accept.Items, jobs.ItemSpec{ID: ident.Item(fmt.Sprintf("%d-%d", j, i)), Group: ident.Group(fmt.Sprintf("g-%d", i/16)), Expect: 100})
		}
		apply(accept)
		for i := range items * 3 / 4 {
			apply(jobs.Claim{
				Job: accept.Job, By: ident.InstanceName(fmt.Sprintf("front-%d", i%instances)),
				Engine: ident.BackendName(fmt.Sprintf("engine-%d", i%engines)), Targets: []jobs.Target{{Index: i}},
			})
		}
	}
	table := fleet.Table{Clock: c}
	table.Set(list)
	routes := paths.NewTable(1, []paths.Route{{Name: "r", Host: "h", Prefix: "/p/", Shares: []paths.Share{{Service: "models", Weight: 1}}}},
		[]paths.Service{{Name: "models", Slots: 8, Models: []ident.Model{"m"}}}, paths.Limits{})
	r := &Runner{
		Self: "front-0", Ledger: &stateLedger{state: state, clock: c}, Fleet: &table, Clock: c, Trail: noDecisions{},
		Routes: func() *paths.Table { return routes },
	}
	r.Setup()
	return r
}

// BenchmarkPlan measures the planning that each instance does after a batch of records.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ instances, engines, jobs int }{{13, 11, 2}, {84, 44, 8}, {400, 400, 40}} {
		b.Run(fmt.Sprintf("%d instances %d engines %d jobs", size.instances, size.engines, size.jobs), func(b *testing.B) {
			r := newTestRunner(size.instances, size.engines, size.jobs)
			b.ReportAllocs()
			for b.Loop() {
				r.planClaims()
			}
		})
	}
}
