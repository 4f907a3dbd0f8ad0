package batch

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/trail"
)

// A zone whose instances are silent has lost them, or is cut off. Its engines tell which: one
// that answers is proof that the zone can be reached. Each instance asks a few of them at a time,
// which costs no item its time, and uses the engines of the zone once one has answered.

const (
	// probeTimeout bounds a dial; an answer takes a round trip between zones.
	probeTimeout = 1 * clock.Second
	// probePeriod is the least time between two probes of a zone.
	probePeriod = 500 * clock.Millis(1)
	// probedAtOnce is how many engines of a zone are dialled at once: some may have ended with
	// their zone's instances.
	probedAtOnce = 3
)

// zoneProbe is what an instance has found out of a silent zone. The runner's mu guards it.
type zoneProbe struct {
	silentSince clock.Millis
	startedAt   clock.Millis
	running     bool
	reached     bool
	// tried counts the engines that were dialled.
	tried int
}

// cutZones returns the silent zones that are not known to be reachable, and probes them. The
// caller holds mu.
func (r *Runner) cutZones(silent map[ident.Zone]bool, view *fleet.View) map[ident.Zone]bool {
	for zone := range r.probes {
		if !silent[zone] {
			delete(r.probes, zone)
		}
	}
	now := r.Clock.Mono()
	cut := map[ident.Zone]bool{}
	for zone := range silent {
		probe := r.probes[zone]
		if probe == nil {
			probe = &zoneProbe{silentSince: now, startedAt: now - probePeriod}
			r.probes[zone] = probe
			r.logZone(zone, "silent", "no instance of it is heard")
		}
		if probe.reached {
			continue
		}
		cut[zone] = true
		if !probe.running && now-probe.startedAt >= probePeriod {
			r.startProbe(zone, probe, view)
		}
	}
	return cut
}

// startProbe dials the next engines of a zone. The caller holds mu.
func (r *Runner) startProbe(zone ident.Zone, probe *zoneProbe, view *fleet.View) {
	engines := enginesIn(zone, view)
	if len(engines) == 0 {
		return
	}
	first := probe.tried % len(engines)
	engines = slices.Concat(engines[first:], engines[:first])[:min(probedAtOnce, len(engines))]
	probe.tried += len(engines)
	probe.running, probe.startedAt = true, r.Clock.Mono()
	r.group.Go(func() {
		engine, reached := r.dialAny(engines)
		r.mu.Lock()
		defer r.mu.Unlock()
		probe.running = false
		if !reached || probe.reached {
			return
		}
		probe.reached = true
		r.logZone(zone, "reached", fmt.Sprintf("%s answers, %d ms after its instances fell silent", engine.Name, r.Clock.Mono()-probe.silentSince))
		r.wake()
	})
}

// dialAny dials engines side by side and returns one that answered.
func (r *Runner) dialAny(engines []fleet.Member) (fleet.Member, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout.Duration())
	defer cancel()
	answered := make(chan fleet.Member, len(engines))
	var dials conc.WaitGroup
	for _, engine := range engines {
		dials.Go(func() {
			if r.Engines.Reachable(ctx, engine) {
				answered <- engine
				cancel()
			}
		})
	}
	dials.Wait()
	select {
	case engine := <-answered:
		return engine, true
	default:
		return fleet.Member{}, false
	}
}

// enginesIn returns the model engines and plain servers of a zone that are listed, by name.
func enginesIn(zone ident.Zone, view *fleet.View) []fleet.Member {
	var engines []fleet.Member
	for _, members := range view.Backends {
		for _, m := range members {
			if m.Zone == zone {
				engines = append(engines, m)
			}
		}
	}
	slices.SortFunc(engines, func(a, b fleet.Member) int { return cmp.Compare(a.Name, b.Name) })
	return engines
}

func (r *Runner) logZone(zone ident.Zone, choice, reason string) {
	r.Trail.Add(trail.Decision{ID: "zone/" + string(zone), Action: trail.Probe, Choice: choice, Reason: reason})
}
