package batch

import (
	"maps"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/views"
)

// silentZonePause is how long after the last heartbeat from an availability zone its
// engines get no items, unless one of them answers. A zone without live instances may be cut
// off, and its engines would fail each item only after a timeout.
const silentZonePause = 10 * clock.Second

// actors maps each engine to its actor, the instance that runs its items. The map costs
// one hash for each pair of engine and instance, so it is computed again only when the
// instances, the cut zones or the view of the fleet change.
type actors struct {
	view     *fleet.View
	live     map[ident.InstanceName]ident.Zone
	cut      map[ident.Zone]bool
	byEngine map[ident.BackendName]ident.InstanceName
	// dealers caches the dealer of each service; see Runner.dealer.
	dealers map[ident.Service]ident.InstanceName
}

// liveZones returns the live instances with their zones. Instances whose last heartbeat is
// before since count as gone.
func liveZones(state *jobs.State, since clock.Millis) map[ident.InstanceName]ident.Zone {
	live := map[ident.InstanceName]ident.Zone{}
	for _, m := range state.Live(since) {
		live[m.Name] = m.Zone
	}
	return live
}

// refresh returns the actor of each engine in view, without the engines of the zones in cut.
func (a *actors) refresh(view *fleet.View, live map[ident.InstanceName]ident.Zone, cut map[ident.Zone]bool) map[ident.BackendName]ident.InstanceName {
	if a.view == view && maps.Equal(a.live, live) && maps.Equal(a.cut, cut) {
		return a.byEngine
	}
	a.view, a.live, a.cut, a.dealers = view, live, cut, nil
	a.byEngine = map[ident.BackendName]ident.InstanceName{}
	var all []views.Member
	sameZone := map[ident.Zone][]views.Member{}
	for name, zone := range live {
		member := views.Member{Name: name, Zone: zone}
		all = append(all, member)
		sameZone[zone] = append(sameZone[zone], member)
	}
	for _, engines := range view.Backends {
		for _, engine := range engines {
			if actor := actorFor(engine, sameZone[engine.Zone], all); !cut[engine.Zone] {
				a.byEngine[ident.BackendName(engine.Name)] = actor
			}
		}
	}
	return a.byEngine
}

// silentZones returns the zones without a live instance in which at least one instance
// was last heard between from and since. It does not count instances that left or were
// superseded.
func silentZones(state *jobs.State, live map[ident.InstanceName]ident.Zone, from, since clock.Millis) map[ident.Zone]bool {
	zones := map[ident.Zone]bool{}
	for _, m := range state.Members {
		if !m.Superseded && !m.Leaving && m.LastHeard >= from && m.LastHeard < since {
			zones[m.Zone] = true
		}
	}
	for _, zone := range live {
		delete(zones, zone)
	}
	return zones
}

// actorFor returns the actor of an engine. It is chosen by rendezvous hashing among the
// instances of the engine's availability zone, which keeps texts within the zone, or
// among all instances if the zone has none.
func actorFor(engine fleet.Member, sameZone, all []views.Member) ident.InstanceName {
	if len(sameZone) == 0 {
		sameZone = all
	}
	actor, _ := views.First(engine.Name, sameZone)
	return actor.Name
}
