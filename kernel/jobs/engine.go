package jobs

import (
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// paceWeightEvents is how many events weigh as much as all that was seen before: the
// longest texts have three times as many.
const paceWeightEvents = 60

func (s *State) updatePace(timing Timing) {
	if timing.Events <= 0 || timing.Millis <= 0 || timing.Engine == "" {
		return
	}
	perEvent := float64(timing.Millis) / float64(timing.Events)
	pace := s.Paces[timing.Engine]
	if pace.MillisPerEvent == 0 {
		pace.MillisPerEvent = perEvent
	}
	weight := float64(timing.Events) / float64(timing.Events+paceWeightEvents)
	pace.MillisPerEvent += weight * (perEvent - pace.MillisPerEvent)
	s.Paces[timing.Engine] = pace
}

// failureWeight is what one run weighs against the share of failures before it.
const failureWeight = 0.15

// updateFailureRate notes the end of a run: 1 is a failure of the engine, 0 a whole text.
func (s *State) updateFailureRate(engine ident.BackendName, failure float64) {
	s.FailureRates[engine] += failureWeight * (failure - s.FailureRates[engine])
}

// avoid keeps items from an engine for a while, unless the record is read in
// arrears: then its time is over, or nearly.
func (s *State) avoid(a Avoid, now clock.Millis) {
	s.markHeard(a.By, now)
	if s.CaughtUp {
		s.AvoidedUntil[a.Engine] = max(s.AvoidedUntil[a.Engine], now+clock.Millis(a.Millis))
	}
}
