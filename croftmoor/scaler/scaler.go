// Package scaler orders engines for the services whose number may vary, while this
// instance holds the role.
package scaler

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"

	"croftmoor.dev/croftmoor/lease"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/scale"
	"croftmoor.dev/kernel/terms"
	"croftmoor.dev/kernel/toggle"
	"croftmoor.dev/kernel/trail"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Conflict means that there are no such engines to be had now, or that the platform
	// has seen a higher fencing number.
	Conflict Kind = "Conflict"
	// Refused means that the order was not taken.
	Refused Kind = "Refused"
	// Unsure means that it may have been taken, or may be later.
	Unsure Kind = "Unsure"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Order sets how many spot engines a zone holds for a service.
type Order struct {
	Holder  ident.InstanceName
	Fence   ident.Fence
	Service ident.Service
	Zone    ident.Zone
	Desired int
}

// Platform takes orders.
type Platform interface {
	Scale(ctx context.Context, o Order) error
}

// Ledger is the shared state as this package uses it.
type Ledger interface {
	lease.Ledger
	Fresh() bool
}

// Decisions takes a line for each decision.
type Decisions interface {
	Add(d trail.Decision)
}

const (
	role = "scaling"
	// period is the pause between two looks: a step's items wait some seconds, and an
	// engine takes some to start.
	period   = 500 * clock.Millis(1)
	callTerm = 1200 * clock.Millis(1)
	// retryTerm is the pause after an order that was not taken.
	retryTerm = 1 * clock.Second
	// dryTerm is how long a zone counts as without spot engines after it had none.
	dryTerm = 5 * clock.Second
	// againTerm is how long beyond their start engines may be missing before the same
	// order is given again: it may have been lost, or they may have been withdrawn.
	againTerm = 3 * clock.Second
)

// Scaler orders engines. Set the exported fields before Run; only Run's goroutine uses
// the rest.
type Scaler struct {
	Self     ident.InstanceName
	Ledger   Ledger
	Platform Platform
	// ListLoaded reports whether this instance has the whole list of engines; without it, it
	// orders none.
	ListLoaded func() bool
	// Engines returns all engines of a service.
	Engines func(ident.Service) []fleet.Member
	Routes  func() *paths.Table
	Clock   *clock.Clock
	Trail   Decisions
	// LeaseTerm is the least time between the orders of two holders.
	LeaseTerm clock.Millis
	Without   toggle.Set

	lease lease.Lease
	needs map[ident.Service]*scale.Demand
	// usual is the most regular engines that each service was seen to have.
	usual  map[ident.Service]int
	orders map[subject]ordered
}

// subject is what one order is about.
type subject struct {
	service ident.Service
	zone    ident.Zone
}

// ordered is the last order about a subject.
type ordered struct {
	fence   ident.Fence
	desired int
	at      clock.Millis
	taken   bool
	// dryUntil is until when none are to be had there.
	dryUntil clock.Millis
}

// Run orders engines until ctx ends.
func (s *Scaler) Run(ctx context.Context) {
	s.lease = lease.Lease{Role: role, Self: s.Self, Ledger: s.Ledger, Clock: s.Clock, Trail: s.Trail, Term: s.LeaseTerm, Without: s.Without}
	s.needs = map[ident.Service]*scale.Demand{}
	s.usual = map[ident.Service]int{}
	s.orders = map[subject]ordered{}
	s.Clock.Every(ctx, period, func() { s.round(ctx) })
}

func (s *Scaler) round(ctx context.Context) {
	table := s.Routes()
	if table == nil || !s.Ledger.Fresh() || !s.ListLoaded() {
		return
	}
	s.note(table)
	fence, ok := s.lease.Hold(ctx)
	if !ok || !s.Without.Enabled(toggle.Scaling) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.needs)) {
		s.orderFor(ctx, table.Services[name], fence)
	}
}

// note looks at how many items of each service have no result. Every follower does, so
// that a new holder knows the need.
func (s *Scaler) note(table *paths.Table) {
	items := map[ident.Service]int{}
	s.Ledger.View(func(b *jobs.State) {
		for _, id := range b.JobOrder {
			if job := b.Jobs[id]; job.Open() {
				s.countUnfinished(items, job, table)
			}
		}
	})
	for name, service := range table.Services {
		if service.Scaling == nil {
			delete(s.needs, name)
			continue
		}
		if s.needs[name] == nil {
			s.needs[name] = &scale.Demand{}
		}
		s.needs[name].Observe(s.Clock.Mono(), items[name])
	}
}

// countUnfinished adds the items of a job that have no result to those of their services.
func (s *Scaler) countUnfinished(items map[ident.Service]int, job *jobs.Job, table *paths.Table) {
	of := terms.Of(job.Accept, table)
	ability := func(service ident.Service) terms.Ability { return s.ability(service, table) }
	for i := range job.Items {
		if item := &job.Items[i]; !item.Done {
			items[of.Service(item.ItemSpec, 0, ability)]++
		}
	}
}

// ability returns whether a service has engines, or may get them by an order.
func (s *Scaler) ability(service ident.Service, table *paths.Table) terms.Ability {
	listed := func(m fleet.Member) bool { return m.State != fleet.Leaving }
	if table.Services[service].Scaling != nil || slices.ContainsFunc(s.Engines(service), listed) {
		return terms.Busy
	}
	return terms.Absent
}

// orderFor gives the orders that a service's need asks for.
func (s *Scaler) orderFor(ctx context.Context, service paths.Service, fence ident.Fence) {
	engines := s.Engines(service.Name)
	zones, spot := s.zones(service, engines)
	items := s.needs[service.Name].Peak()
	desired := scale.DesiredSpot(*service.Scaling, zones, s.usualOf(service.Name, zones), items, service.Slots)
	for _, zone := range zones {
		key := subject{service: service.Name, zone: zone.Name}
		if s.due(key, fence, desired[zone.Name], spot[zone.Name], service.Scaling.BootTime) {
			reason := fmt.Sprintf("%d items at most, %d engines, %d of them spot there, fence %d", items, len(engines), spot[zone.Name], fence)
			s.give(ctx, Order{Holder: s.Self, Fence: fence, Service: service.Name, Zone: zone.Name, Desired: desired[zone.Name]}, reason)
		}
	}
}

// usualOf returns the most regular engines that a service was seen to have.
func (s *Scaler) usualOf(service ident.Service, zones []scale.Zone) int {
	regular := 0
	for _, z := range zones {
		regular += z.Regular
	}
	s.usual[service] = max(s.usual[service], regular)
	return s.usual[service]
}

// zones returns the zones in which a service may have engines, and the spot engines
// that each has.
func (s *Scaler) zones(service paths.Service, engines []fleet.Member) ([]scale.Zone, map[ident.Zone]int) {
	now := s.Clock.Mono()
	regular, spot := map[ident.Zone]int{}, map[ident.Zone]int{}
	for name := range service.Scaling.Prices {
		regular[name] = 0
	}
	for _, m := range engines {
		switch {
		case m.State == fleet.Leaving:
		case m.Spot:
			spot[m.Zone]++
		default:
			regular[m.Zone]++
		}
	}
	zones := make([]scale.Zone, 0, len(regular))
	for name, n := range regular {
		dry := now < s.orders[subject{service: service.Name, zone: name}].dryUntil
		zones = append(zones, scale.Zone{Name: name, Regular: n, SpotUnavailable: dry})
	}
	slices.SortFunc(zones, func(a, b scale.Zone) int { return cmp.Compare(a.Name, b.Name) })
	return zones, spot
}

// due tells whether an order is to be given: when the number changes, when the last one
// was not taken, and when its engines did not come. A holder that has ordered nothing
// yet orders nothing off that it does not see.
func (s *Scaler) due(key subject, fence ident.Fence, desired, has int, boot clock.Millis) bool {
	last, known := s.orders[key]
	now := s.Clock.Mono()
	switch {
	case now < last.dryUntil:
		return false
	case !known || last.fence != fence:
		return desired != has
	case !last.taken:
		return now-last.at >= retryTerm
	case last.desired != desired:
		return true
	default:
		return has < desired && now-last.at >= boot+againTerm
	}
}

// give gives one order.
func (s *Scaler) give(ctx context.Context, o Order, reason string) {
	callCtx, cancel, holds := s.lease.Act(ctx, o.Fence, callTerm)
	defer cancel()
	if !holds {
		return
	}
	err := s.Platform.Scale(callCtx, o)
	last := ordered{fence: o.Fence, desired: o.Desired, at: s.Clock.Mono(), taken: err == nil}
	action := trail.Order
	if err != nil {
		action = trail.Hold
		reason += ": " + err.Error()
	}
	if fault.KindOf[Kind](err) == Conflict {
		last.dryUntil = last.at + dryTerm
	}
	s.orders[subject{service: o.Service, zone: o.Zone}] = last
	s.Trail.Add(trail.Decision{
		ID: "scaling/" + string(o.Service), Action: action, Choice: string(o.Zone), Reason: fmt.Sprintf("%d spot engines; %s", o.Desired, reason),
	})
}
