package batch

import (
	"cmp"
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/deal"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/place"
	"croftmoor.dev/kernel/terms"
	"croftmoor.dev/kernel/toggle"
)

const (
	// windowEvents is the number of events over which the pace is measured, and between
	// two comparisons with other engines.
	windowEvents = 8
	// keptTimes is the number of event times kept. Two windows are longer than the
	// short slowdowns of an engine that shares its machine, some 0.6 s at a time.
	keptTimes = 2 * windowEvents
	// tokensPerEvent converts expected lengths, which are in tokens, to events.
	tokensPerEvent = 52
	// A text that has reached its expected length is expected to go on for its present
	// length divided by overrunDivisor, and for at least minEventsLeft events:
	// estimates are often far too low, and longer texts grow by more.
	overrunDivisor = 2
	minEventsLeft  = 20
)

// meter measures the speed of a run.
type meter struct {
	clock *clock.Clock
	// startedAt is the time at which the run was started.
	startedAt clock.Millis

	events  int
	firstAt clock.Millis
	lastAt  clock.Millis
	// times are the arrival times of the last events, as a ring.
	times [keptTimes]clock.Millis
	// sharesMachine is set if the engine shares its machine with others.
	sharesMachine bool
	// slowdownSum is the sum of the sampled slowdown factors that the engine's other
	// load causes, loadSamples their number.
	slowdownSum float64
	loadSamples int
}

// restart forgets the run so far: the item begins anew at the same engine.
func (m *meter) restart() {
	*m = meter{clock: m.clock, startedAt: m.clock.Mono(), slowdownSum: m.slowdownSum, loadSamples: m.loadSamples}
}

// sampleLoad records the load of the engine's other items.
func (m *meter) sampleLoad(load jobs.Load) {
	m.slowdownSum += deal.Slowdown(load)
	m.loadSamples++
}

// meanSlowdown returns the mean factor by which other items slowed the run down.
func (m *meter) meanSlowdown() float64 {
	if m.loadSamples == 0 {
		return 1
	}
	return m.slowdownSum / float64(m.loadSamples)
}

// recordEvent counts an event that arrives now.
func (m *meter) recordEvent() {
	now := m.clock.Mono()
	if m.events == 0 {
		m.firstAt = now
	}
	m.lastAt = now
	m.times[m.events%keptTimes] = now
	m.events++
}

// comparisonDue reports whether to compare the pace with that of other engines now.
func (m *meter) comparisonDue() bool {
	return m.events > windowEvents && m.events%windowEvents == 0
}

// pace returns the mean time of an event in the last window, in milliseconds; 0 if
// unknown.
func (m *meter) pace() float64 {
	if m.events <= windowEvents {
		return 0
	}
	return m.paceBefore(0)
}

// sustainedPace returns the time of an event that is expected to last, in milliseconds;
// 0 if unknown. If the engine shares its machine, it is the faster of the last two
// windows, because a short slowdown must not move the item.
func (m *meter) sustainedPace() float64 {
	if !m.sharesMachine {
		return m.pace()
	}
	if m.events < keptTimes {
		return 0
	}
	return min(m.paceBefore(0), m.paceBefore(windowEvents))
}

// paceBefore returns the mean time of an event, in milliseconds, in the window that ended
// ago events before the last one.
func (m *meter) paceBefore(ago int) float64 {
	newest := m.times[(m.events-1-ago)%keptTimes]
	oldest := m.times[(m.events-ago-windowEvents)%keptTimes]
	return float64(newest-oldest) / float64(windowEvents-1)
}

// timeToFirstEvent returns the time from the start to the first event; 0 if there is
// none.
func (m *meter) timeToFirstEvent() clock.Millis {
	if m.events == 0 {
		return 0
	}
	return m.firstAt - m.startedAt
}

// timing returns the speed of the run as if the engine had had no other items. It leaves
// out the first event, which includes the wait for a slot and the prefill.
func (m *meter) timing(engine ident.BackendName) jobs.Timing {
	return jobs.Timing{Engine: engine, Events: max(m.events-1, 0), Millis: int(float64(m.lastAt-m.firstAt) / m.meanSlowdown())}
}

// shouldMove reports whether another engine with a free slot should make the rest of the
// text; made is what there is of it.
func (r *Runner) shouldMove(c claimed, made jobs.Partial, m *meter) bool {
	of := r.termsOf(c)
	policy, err := place.Policies.New(place.Longest)
	// Without the ledger no other instance would learn that the item waits.
	if r.Routes() == nil || err != nil || !r.Without.Enabled(toggle.Moves) || !r.Ledger.Fresh() {
		return false
	}
	otherPace := 0.0
	r.Ledger.View(func(state *jobs.State) {
		m.sampleLoad(otherLoad(state, c.item))
		otherPace = r.fastestOtherPace(state, c, of, made.OnlyVersion(c.accept.SingleVersion))
	})
	if otherPace == 0 {
		return false
	}
	eventsLeft := max(int(c.item.Expect)/tokensPerEvent-made.Events, made.Events/overrunDivisor, minEventsLeft)
	return policy.ShouldMove(place.MoveCandidate{
		LastOfStep: true, TokensLeft: ident.Tokens(eventsLeft), Rate: eventsPerSecond(m.sustainedPace()), OtherRate: eventsPerSecond(otherPace), Moves: c.item.Yields,
	})
}

// otherLoad returns the load of an item's engine without the item itself.
func otherLoad(state *jobs.State, item jobs.Item) jobs.Load {
	load := state.Loads[item.Engine]
	return jobs.Load{Items: max(load.Items-1, 0), Expect: max(load.Expect-item.Expect, 0)}
}

// eventsPerSecond converts milliseconds per event; 0 if unknown.
func eventsPerSecond(pace float64) float64 {
	if pace <= 0 {
		return 0
	}
	return float64(clock.Second) / pace
}

// fastestOtherPace returns the shortest expected time of an event, in milliseconds, at
// another engine, of the service at which the item runs, that could continue it; 0 if there is
// none. only is the version that the text takes, or 0.
func (r *Runner) fastestOtherPace(state *jobs.State, c claimed, of terms.Terms, only ident.Version) float64 {
	service := of.Preferred(c.item.ItemSpec)
	if engine, listed := r.engineOf(c); listed && slices.Contains(of.Services(), engine.Service) {
		service = engine.Service
	}
	now := r.Clock.Mono()
	abandoned := state.ClaimedBy(state.GoneOwners(r.Ledger.QuietSince()))
	best := 0.0
	for _, m := range r.Fleet.View().Backends[service] {
		name := ident.BackendName(m.Name)
		pace := state.Paces[name].MillisPerEvent
		version, ready := Version(state, m, c.accept.Model, now)
		engine := deal.Engine{
			Name: name, Slots: cmp.Or(m.Slots, of.Slots(service), 1), Load: state.Loads[name], Abandoned: abandoned[name],
			MillisPerEvent: pace, FailureRate: state.FailureRates[name],
		}
		switch {
		case name == c.item.Engine, m.State == fleet.Leaving, now < state.AvoidedUntil[name], pace == 0:
			continue
		case !engine.HasRoom(engine.Slots), !ready, version < c.accept.MinVersion, only != 0 && version != only:
			continue
		}
		if cost := engine.Cost(pace); best == 0 || cost < best {
			best = cost
		}
	}
	return best
}
