package batch

import (
	"cmp"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/deal"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/place"
	"croftmoor.dev/kernel/toggle"
)

const (
	// windowEvents is how many of the last events tell the present speed, and also
	// how often it is asked whether another engine would be faster.
	windowEvents = 8
	// keptTimes is how many are kept: two such spans, since an engine that shares its machine
	// is slow for some 0.6 s at a time, which is less than two spans of slow events.
	keptTimes = 2 * windowEvents
	// tokensPerEvent is how many tokens an event is taken to hold where the length
	// of a text is only known in tokens.
	tokensPerEvent = 52
	// A text that has reached its expected length goes on for a share of what it
	// has, and for leastLeft events at least: estimates are often far too low, and
	// the longer a text the more it still grows.
	overrunDivisor = 2
	minEventsLeft = 20
)

// meter measures the speed of a run.
type meter struct {
	clock *clock.Clock
	// startedAt is when the run was begun.
	startedAt clock.Millis

	events int
	firstAt  clock.Millis
	lastAt   clock.Millis
	// times are the times of the last events.
	times [keptTimes]clock.Millis
	// sharesMachine tells that the engine sharesMachine its machine with others.
	sharesMachine bool
	// slowdownSum is the sum of what was seen of how many times longer events took for
	// what ran beside, looks how often that was looked at.
	slowdownSum float64
	loadSamples  int
}

// sampleLoad notes what runs at the engine beside this run.
func (m *meter) sampleLoad(beside jobs.Load) {
	m.slowdownSum += deal.Slowdown(beside)
	m.loadSamples++
}

// meanSlowdown returns how many times longer an event took for what ran beside.
func (m *meter) meanSlowdown() float64 {
	if m.loadSamples == 0 {
		return 1
	}
	return m.slowdownSum / float64(m.loadSamples)
}

// recordEvent counts an event that has just come.
func (m *meter) recordEvent() {
	now := m.clock.Mono()
	if m.events == 0 {
		m.firstAt = now
	}
	m.lastAt = now
	m.times[m.events%keptTimes] = now
	m.events++
}

// comparisonDue tells whether it is time to compare speeds.
func (m *meter) comparisonDue() bool {
	return m.events > windowEvents && m.events%windowEvents == 0
}

// pace returns the time of an event lately, in milliseconds; 0 if unknown.
func (m *meter) pace() float64 {
	if m.events <= windowEvents {
		return 0
	}
	return m.paceBefore(0)
}

// sustainedPace returns the time of an event that is expected to last: where the engine shares its
// machine, that of the faster one of the last two spans, so that a slow spell moves nothing.
// 0 is unknown.
func (m *meter) sustainedPace() float64 {
	if !m.sharesMachine {
		return m.pace()
	}
	if m.events < keptTimes {
		return 0
	}
	return min(m.paceBefore(0), m.paceBefore(windowEvents))
}

// paceBefore returns the time of an event in the span of meterEvents that ended so many
// events ago.
func (m *meter) paceBefore(ago int) float64 {
	newest := m.times[(m.events-1-ago)%keptTimes]
	oldest := m.times[(m.events-ago-windowEvents)%keptTimes]
	return float64(newest-oldest) / float64(windowEvents-1)
}

// timeToFirstEvent returns how long the engine took to the first event.
func (m *meter) timeToFirstEvent() clock.Millis {
	if m.events == 0 {
		return 0
	}
	return m.firstAt - m.startedAt
}

// timing returns what the run tells of its engine, as if nothing had run beside.
// The first event is left out, because it holds the wait for a slot and the
// reading of the prompt.
func (m *meter) timing(engine ident.BackendName) jobs.Timing {
	return jobs.Timing{Engine: engine, Events: max(m.events-1, 0), Millis: int(float64(m.lastAt-m.firstAt) / m.meanSlowdown())}
}

// shouldMove tells whether the rest of a text should be made by another engine that
// has a free slot.
func (r *Runner) shouldMove(c claimed, events int, m *meter) bool {
	table := r.Routes()
	policy, err := place.Policies.New(place.Longest)
	// While the ledger can't be reached nobody would learn that the item waits.
	if table == nil || err != nil || !r.Without.Enabled(toggle.Moves) || !r.Ledger.Fresh() {
		return false
	}
	otherPace := 0.0
	r.Ledger.View(func(b *jobs.State) {
		m.sampleLoad(otherLoad(b, c.item))
		otherPace = r.fastestOtherPace(b, c, table.Services[c.accept.Service].Slots)
	})
	if otherPace == 0 {
		return false
	}
	eventsLeft := max(int(c.item.Expect)/tokensPerEvent-events, events/overrunDivisor, minEventsLeft)
	return policy.ShouldMove(place.MoveCandidate{
		LastOfStep: true, TokensLeft: ident.Tokens(eventsLeft), Rate: eventsPerSecond(m.sustainedPace()), OtherRate: eventsPerSecond(otherPace), Moves: c.item.Yields,
	})
}

// otherLoad returns what runs at an item's engine otherLoad it.
func otherLoad(b *jobs.State, item jobs.Item) jobs.Load {
	load := b.Loads[item.Engine]
	return jobs.Load{Items: max(load.Items-1, 0), Expect: max(load.Expect-item.Expect, 0)}
}

// eventsPerSecond turns milliseconds an event into events a second.
func eventsPerSecond(pace float64) float64 {
	if pace <= 0 {
		return 0
	}
	return float64(clock.Second) / pace
}

// fastestOtherPace returns the shortest expected time of an event at another engine that
// could go on with the item; 0 if there is none.
func (r *Runner) fastestOtherPace(b *jobs.State, c claimed, slots int) float64 {
	now := r.Clock.Mono()
	best := 0.0
	for _, m := range r.Fleet.View().Backends[c.accept.Service] {
		name := ident.BackendName(m.Name)
		pace := b.Paces[name].MillisPerEvent
		version, ready := Version(b, m, c.accept.Model, now)
		engine := deal.Engine{Name: name, Slots: cmp.Or(m.Slots, slots, 1), Load: b.Loads[name], MillisPerEvent: pace, FailureRate: b.FailureRates[name]}
		switch {
		case name == c.item.Engine, m.State == fleet.Leaving, now < b.AvoidedUntil[name], pace == 0:
			continue
		case engine.Load.Items >= engine.Slots, !ready, version < c.accept.MinVersion:
			continue
		}
		if cost := engine.Cost(pace); best == 0 || cost < best {
			best = cost
		}
	}
	return best
}
