package batch

import (
	"context"
	"sync"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

// quietLedger takes members for gone that were not heard for a second.
type quietLedger struct{ *stateLedger }

func (l quietLedger) QuietSince() clock.Millis { return l.clock.Mono() - clock.Second }

// answeringEngines are reachable if they are named, and count the dials.
type answeringEngines struct {
	unusedEngines
	mu      sync.Mutex
	answers map[string]bool
	dials   int
}

func (e *answeringEngines) Reachable(_ context.Context, engine fleet.Member) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dials++
	return e.answers[engine.Name]
}

// newSilentZoneRunner returns a runner of four zones with an instance and three engines each, of
// which the instance of z-1 was last heard two seconds ago.
func newSilentZoneRunner(answering ...string) (*Runner, *answeringEngines) {
	r := newTestRunner(4, 12, 1)
	engines := &answeringEngines{answers: map[string]bool{}}
	for _, name := range answering {
		engines.answers[name] = true
	}
	ledger, _ := r.Ledger.(*stateLedger)
	ledger.clock = clock.NewManual(clock.Minute)
	r.Clock, r.Ledger, r.Engines = ledger.clock, quietLedger{ledger}, engines
	for name, m := range ledger.state.Members {
		m.LastHeard = clock.Minute + 60*clock.Minute
		if name == "front-1" {
			m.LastHeard = clock.Minute - 2*clock.Second
		}
	}
	return r, engines
}

// planAfter has the runner plan its claims, waits for its probes, and returns to how many engines
// of the silent zone it may give items after span.
func planAfter(r *Runner, span clock.Millis) int {
	r.Clock.Advance(span)
	usable := 0
	look := func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.Ledger.View(func(state *jobs.State) {
			s := r.takeSnapshot(state, r.Routes(), r.Ledger.QuietSince())
			usable = 0
			for _, name := range []ident.BackendName{"engine-1", "engine-5", "engine-9"} {
				if s.actor[name] != "" {
					usable++
				}
			}
		})
	}
	look()
	r.group.Wait()
	look()
	r.group.Wait()
	return usable
}

// Guards against sound engines that get no items for 10 s, since the instances of their zone were
// lost and the zone was taken for cut off.
func TestEnginesOfAZoneWithoutInstances(t *testing.T) {
	t.Run("are used once one of them answers", func(t *testing.T) {
		r, engines := newSilentZoneRunner("engine-5")
		if usable := planAfter(r, 0); usable != 3 {
			t.Errorf("%d of 3 engines are used", usable)
		}
		if engines.dials > probedAtOnce {
			t.Errorf("%d dials, want %d at most", engines.dials, probedAtOnce)
		}
	})
	t.Run("are asked again if none answers, and not used", func(t *testing.T) {
		r, engines := newSilentZoneRunner()
		for range 3 {
			if usable := planAfter(r, probePeriod); usable != 0 {
				t.Errorf("%d engines of a zone that is cut off are used", usable)
			}
		}
		if want := 3 * probedAtOnce; engines.dials != want {
			t.Errorf("%d dials, want %d", engines.dials, want)
		}
		engines.answers["engine-9"] = true
		if usable := planAfter(r, probePeriod); usable != 3 {
			t.Errorf("%d of 3 engines are used once the zone is back", usable)
		}
	})
	t.Run("are not asked for while an instance of the zone lives", func(t *testing.T) {
		r, engines := newSilentZoneRunner()
		r.Ledger.View(func(state *jobs.State) { state.Members["front-1"].LastHeard = 60 * clock.Minute })
		if usable := planAfter(r, 0); usable != 3 || engines.dials != 0 {
			t.Errorf("%d of 3 engines are used, %d dials", usable, engines.dials)
		}
	})
}
