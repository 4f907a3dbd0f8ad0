package jobs

import (
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// paceWeightEvents sets how fast the average follows: a run of n events has the weight
// n / (n + paceWeightEvents).
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

// failureWeight is the weight of the latest run in the moving average of failures.
const failureWeight = 0.15

// updateFailureRate records the end of a run: failure is 1 if the engine failed it and
// 0 if the item completed.
func (s *State) updateFailureRate(engine ident.BackendName, failure float64) {
	s.FailureRates[engine] += failureWeight * (failure - s.FailureRates[engine])
}

// avoid blocks an engine for the record's duration. Records from the backlog are
// ignored, since their duration is over or nearly so.
func (s *State) avoid(a Avoid, now clock.Millis) {
	s.markHeard(a.By, now)
	if s.UpToDate {
		s.AvoidedUntil[a.Engine] = max(s.AvoidedUntil[a.Engine], now+clock.Millis(a.Millis))
	}
}
