package batch

import (
	"maps"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/views"
)

// silentZonePause is how long the engines of an availability zone are left alone in
// which no instance is heard any more: most likely the zone is cut off, and an
// item sent there only fails after a while.
const silentZonePause = 10 * clock.Second

// actors says which instance acts for each engine. It is worked out anew only
// when instances or engines have come or gone, since it costs a hash for each
// pair of them.
type actors struct {
	view   *fleet.View
	live   map[ident.InstanceName]ident.Zone
	silent map[ident.Zone]bool
	byEngine map[ident.BackendName]ident.InstanceName
	// dealers are the instances that deal, as far as they have been worked out.
	dealers map[ident.Service]ident.InstanceName
}

// refresh returns the instance that acts for each server of the view; instances that
// were not heard since the given time count as gone.
func (a *actors) refresh(b *jobs.State, view *fleet.View, now, since clock.Millis) map[ident.BackendName]ident.InstanceName {
	live := map[ident.InstanceName]ident.Zone{}
	for _, m := range b.Live(since) {
		live[m.Name] = m.Zone
	}
	silent := silentZones(b, live, now-silentZonePause, since)
	if a.view == view && maps.Equal(a.live, live) && maps.Equal(a.silent, silent) {
		return a.byEngine
	}
	a.view, a.live, a.silent, a.dealers = view, live, silent, nil
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
			if actor := actorFor(engine, sameZone[engine.Zone], all); !silent[engine.Zone] {
				a.byEngine[ident.BackendName(engine.Name)] = actor
			}
		}
	}
	return a.byEngine
}

// silentZones returns the zones that have fallen silent as a whole lately.
func silentZones(b *jobs.State, live map[ident.InstanceName]ident.Zone, from, since clock.Millis) map[ident.Zone]bool {
	zones := map[ident.Zone]bool{}
	for _, m := range b.Members {
		if !m.Superseded && !m.Leaving && m.LastHeard >= from && m.LastHeard < since {
			zones[m.Zone] = true
		}
	}
	for _, zone := range live {
		delete(zones, zone)
	}
	return zones
}

// actorFor returns the instance that acts for an engine: by rendezvous hashing
// among those of its availability zone, so that texts stay there, or among all
// if it has none.
func actorFor(engine fleet.Member, sameZone, all []views.Member) ident.InstanceName {
	if len(sameZone) == 0 {
		sameZone = all
	}
	actor, _ := views.First(engine.Name, sameZone)
	return actor.Name
}
