package jobs

import (
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// paceEvents is how many events weigh as much as all that was seen before: the
// longest texts have three times as many.
const paceEvents = 60

func (b *Book) learn(s Speed) {
	if s.Events <= 0 || s.Millis <= 0 || s.Engine == "" {
		return
	}
	seen := float64(s.Millis) / float64(s.Events)
	pace := b.Paces[s.Engine]
	if pace.PerEvent == 0 {
		pace.PerEvent = seen
	}
	weight := float64(s.Events) / float64(s.Events+paceEvents)
	pace.PerEvent += weight * (seen - pace.PerEvent)
	b.Paces[s.Engine] = pace
}

// faultWeight is what one run weighs against the share of failures before it.
const faultWeight = 0.15

// judge notes the end of a run: 1 is a failure of the engine, 0 a whole text.
func (b *Book) judge(engine ident.BackendName, failure float64) {
	b.Faults[engine] += faultWeight * (failure - b.Faults[engine])
}

// avoid keeps items from an engine for a while, unless the record is read in
// arrears: then its time is over, or nearly.
func (b *Book) avoid(a Avoid, now clock.Millis) {
	b.hear(a.By, now)
	if b.Current {
		b.Avoided[a.Engine] = max(b.Avoided[a.Engine], now+clock.Millis(a.Millis))
	}
}
