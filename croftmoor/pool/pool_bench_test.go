package pool

import (
	"context"
	"fmt"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/route"
)

type noReports struct{}

func (noReports) Load(context.Context, ident.Address) (Report, error) { return Report{}, nil }

// poolOf returns a pool that uses subset of the listed engines.
func poolOf(listed, subset int) *Pool {
	table := &fleet.Table{Clock: clock.New()}
	members := make([]fleet.Member, 0, listed)
	for i := range listed {
		members = append(members, fleet.Member{
			Name: fmt.Sprintf("engine-%d", i), Kind: fleet.Backend, Service: "model",
			Zone: ident.Zone(fmt.Sprintf("zone-%d", i%7)), State: fleet.Live,
		})
	}
	table.Set(members)
	p := &Pool{
		Fleet: table, Reporter: noReports{}, Clock: clock.New(), Self: "a-1", Zone: "zone-1", Subset: subset,
	}
	p.Refresh()
	return p
}

func BenchmarkPick(b *testing.B) {
	for _, subset := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("subset-%d-of-4000", subset), func(b *testing.B) {
			p := poolOf(4000, subset)
			service := conf.Service{Name: "model", Kind: conf.Model, Slots: 16, Policy: route.Balanced}
			b.ReportAllocs()
			for b.Loop() {
				server, _, _ := p.Pick(Query{ID: "x", Service: service, Live: true})
				server.Release(p.Clock, true, 1, true)
			}
		})
	}
}

func BenchmarkFollow4000Engines(b *testing.B) {
	p := poolOf(4000, 32)
	b.ReportAllocs()
	for b.Loop() {
		p.lastView = nil
		p.Refresh()
	}
}

func assertUsed(t *testing.T, p *Pool, want int) {
	t.Helper()
	if got := len(p.Servers("model")); got != want {
		t.Fatalf("%d servers, want %d", got, want)
	}
}

func TestSubset(t *testing.T) {
	t.Run("an instance uses few servers, of its own zone first", func(t *testing.T) {
		p := poolOf(700, 32)
		assertUsed(t, p, 32)
		for _, s := range p.Servers("model") {
			if s.Zone != "zone-1" {
				t.Fatalf("got a server of %s, though zone-1 has enough", s.Zone)
			}
		}
	})
	t.Run("all servers are used where there are few", func(t *testing.T) {
		assertUsed(t, poolOf(10, 32), 10)
	})
	t.Run("others' load is taken at the report's moment", func(t *testing.T) {
		s := &Server{}
		s.ownHistory.record(100, 4)
		s.ownHistory.record(200, 1)
		s.own = 1
		s.setReport(Report{Running: 4, At: 150}, 1)
		if got := s.estimatedLoad(); got != 1 {
			t.Fatalf("estimated load %d, want 1", got)
		}
	})
}
