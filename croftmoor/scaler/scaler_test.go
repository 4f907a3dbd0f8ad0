package scaler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/scale"
	"croftmoor.dev/kernel/trail"
)

type noDecisions struct{}

func (noDecisions) Add(trail.Decision) {}

// oneLedger applies what is appended at once.
type oneLedger struct {
	book  *jobs.State
	clock *clock.Clock
	// silence is how long ago the last sign of life was acknowledged.
	silence clock.Millis
}

func (l *oneLedger) View(look func(*jobs.State)) { look(l.book) }

func (l *oneLedger) Append(_ context.Context, records ...jobs.Record) (ident.Offset, error) {
	first := l.book.Next
	for _, r := range records {
		l.book.Apply(l.book.Next, r, l.clock.Mono())
	}
	return first, nil
}

func (l *oneLedger) Await(context.Context, ident.Offset) error { return nil }
func (l *oneLedger) Fresh() bool                               { return true }
func (l *oneLedger) Heard() clock.Millis                       { return l.silence }
func (l *oneLedger) Since() clock.Millis                       { return 0 }
func (l *oneLedger) Gap() (clock.Millis, bool)                 { return 0, false }

// cloud holds spot engines by zone, starts what is ordered after a time, and refuses
// orders for zones that are dry.
type cloud struct {
	scene  *scene
	held   map[ident.Zone]int
	dry    map[ident.Zone]bool
	orders int
	// left is the time that the last order may take.
	left time.Duration
}

func (c *cloud) Scale(ctx context.Context, o Order) error {
	c.orders++
	deadline, _ := ctx.Deadline()
	c.left = time.Until(deadline)
	if c.dry[o.Zone] && o.Desired > c.held[o.Zone] {
		return fault.New("t", Conflict, "none")
	}
	c.held[o.Zone] = o.Desired
	return nil
}

// scene is one holder of the role before a cloud with two zones of four regular
// engines with two slots each.
type scene struct {
	t      *testing.T
	clock  *clock.Clock
	ledger *oneLedger
	cloud  *cloud
	fleet  *fleet.Table
	scaler *Scaler
}

func newScene(t *testing.T) *scene {
	t.Helper()
	c := clock.NewManual(clock.Minute)
	s := &scene{t: t, clock: c, ledger: &oneLedger{book: jobs.NewState(), clock: c}, fleet: &fleet.Table{Clock: c}}
	s.ledger.book.Next = 1
	s.cloud = &cloud{scene: s, held: map[ident.Zone]int{}, dry: map[ident.Zone]bool{}}
	routes := paths.NewTable(1, nil, []paths.Service{{Name: "model", Slots: 2, Scaling: &scale.Limits{
		Max: 9, BootTime: 2 * clock.Second, SpotPrice: 0.2, Prices: map[ident.Zone]float64{"a": 1, "b": 2},
	}}, {Name: "plain"}}, paths.Limits{})
	s.scaler = &Scaler{
		Self: "i~1", Ledger: s.ledger, Platform: s.cloud, ListLoaded: func() bool { return true }, Engines: func(name ident.Service) []fleet.Member { return s.fleet.View().Backends[name] }, Routes: func() *paths.Table { return routes },
		Clock: c, Trail: noDecisions{},
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.scaler.Run(ctx)
	s.list()
	s.pass(clock.Second)
	return s
}

// list shows the engines that the cloud holds.
func (s *scene) list() {
	var members []fleet.Member
	for _, zone := range []ident.Zone{"a", "b"} {
		for n := range 4 {
			members = append(members, fleet.Member{Name: fmt.Sprintf("r-%s-%d", zone, n), Kind: fleet.Backend, Service: "model", Zone: zone})
		}
		for n := range s.cloud.held[zone] {
			members = append(members, fleet.Member{Name: fmt.Sprintf("s-%s-%d", zone, n), Kind: fleet.Backend, Service: "model", Zone: zone, Spot: true})
		}
	}
	s.fleet.Set(members)
}

func (s *scene) pass(span clock.Millis) {
	for ; span > 0; span -= period {
		s.clock.Advance(period)
		_, _ = s.ledger.Append(s.t.Context(), jobs.Heartbeat{By: "i~1", Zone: "a"})
		s.scaler.round(s.t.Context())
	}
}

// step accepts a job of more items than the engines have slots for, with the spot
// engines that there may be.
func (s *scene) step() {
	accept := jobs.Accept{Job: "j", Service: "model"}
	for n := range 40 {
		accept.Items = append(accept.Items, jobs.ItemSpec{ID: ident.Item(fmt.Sprintf("i-%d", n))})
	}
	_, _ = s.ledger.Append(s.t.Context(), accept)
}

func (s *scene) wantHeld(a, b int) {
	s.t.Helper()
	if s.cloud.held["a"] != a || s.cloud.held["b"] != b {
		s.t.Errorf("spot engines %v, want %d and %d", s.cloud.held, a, b)
	}
}

func TestOrders(t *testing.T) {
	t.Run("a step that does not fit gets spot engines, each ordered once", func(t *testing.T) {
		s := newScene(t)
		s.step()
		s.pass(clock.Second)
		s.wantHeld(2, 2)
		s.list()
		s.pass(5 * clock.Second)
		if s.cloud.orders != 2 {
			t.Errorf("%d orders, want 2", s.cloud.orders)
		}
	})
	t.Run("they go some time after the last step", func(t *testing.T) {
		s := newScene(t)
		s.step()
		s.pass(clock.Second)
		s.list()
		_, _ = s.ledger.Append(t.Context(), jobs.End{Job: "j"})
		s.pass(10 * clock.Second)
		s.wantHeld(2, 2)
		s.pass(5 * clock.Second)
		s.wantHeld(0, 0)
	})
	t.Run("a zone that has none is left alone for a while, the other has them", func(t *testing.T) {
		s := newScene(t)
		s.cloud.dry["a"] = true
		s.step()
		s.pass(clock.Second)
		s.wantHeld(0, 4)
		orders := s.cloud.orders
		s.list()
		s.pass(dryTerm - clock.Second)
		if s.cloud.orders != orders {
			t.Errorf("%d orders while the zone was dry, want none", s.cloud.orders-orders)
		}
	})
	t.Run("engines that are withdrawn are ordered again", func(t *testing.T) {
		s := newScene(t)
		s.step()
		s.pass(clock.Second)
		s.cloud.held["a"] = 0
		s.list()
		s.pass(2*clock.Second + againTerm + clock.Second)
		s.wantHeld(2, 2)
	})
	t.Run("a service without spot engines gets no orders", func(t *testing.T) {
		s := newScene(t)
		if _, known := s.scaler.needs["plain"]; known || s.cloud.orders > 0 {
			t.Errorf("%d orders", s.cloud.orders)
		}
	})
}

// Guards against an order that is still on its way once the hold has lapsed: the next holder
// counts the term from then.
func TestOrderEndsWithTheHold(t *testing.T) {
	const silence, holdTerm = 1400 * time.Millisecond, 1500 * time.Millisecond
	s := newScene(t)
	s.ledger.silence = clock.Millis(silence.Milliseconds())
	s.step()
	s.pass(clock.Second)
	if s.cloud.orders == 0 || s.cloud.left > holdTerm-silence {
		t.Errorf("%d orders, the last one may take %v, want %v at most", s.cloud.orders, s.cloud.left, holdTerm-silence)
	}
}
