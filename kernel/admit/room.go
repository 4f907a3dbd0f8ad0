package admit

import (
	"maps"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

const (
	// adjustPeriod is the pause between two changes of the rate: some two calls at
	// servers whose work takes 25 ms, so that a change shows before the next.
	adjustPeriod = 100 * clock.Millis(1)
	// steepest is the part of the rate that one period takes away when all its answers
	// told of full queues. Over TestRoomIsUsed's loads 0.89 of what the servers do was served
	// in time; with 0.2 it was 0.87, as the rates swing.
	steepest = 0.1
	// shedSteepest is what sheds take away beside: full servers have no time to turn callers
	// away while the rate falls by small steps. With 0.2 a fifth more is shed at five times
	// the load. Following the rate of what servers took did worse: few answers tell it badly,
	// and four instances stayed at a third of what the servers do.
	shedSteepest = 0.3
	// riseShare is the part of the rate, or of an even share if that is more, by which the
	// rate rises in one period, so that half of what the servers do is regained in a
	// second, and instances with less than their share gain on the others.
	riseShare = 0.05
	// engageMark is how full the servers must be on average before there is a limit: more
	// than the half at which the rate neither falls nor rises. With a limit from the first
	// sign of any server's queue on, 62 instances served 0.67 in time at 0.8 times the load
	// where one server in five is slow at a time, with a half 0.82, with this one 0.86, and
	// 0.89 without any limit. With 0.8 a tenth less is in time at twice the load.
	engageMark = 0.6
	// nearEnd is the part of a server's queue from which on it counts as getting full, once
	// a shed has told where the queue ends: a short one is full long before the objective
	// is at risk.
	nearEnd = 0.5
	// toldHalfLife is the age at which what a server told counts half: at 16 calls a
	// second each of four servers tells four times a second. Beyond toldTerm it may be gone.
	toldHalfLife = 1 * clock.Second
	toldTerm     = 2 * clock.Second
	// freeTerm is how long after the servers were last full the rate is lifted.
	freeTerm = 1 * clock.Second
	// The share of the objective that waiting at a server may take: from the first on the
	// rate falls, at the second it falls steepest. Work, ways and the wait for a turn
	// need the rest.
	firstWait, mostWait = 1.0 / 6, 1.0 / 2
	// burstTerm is how much of the rate may be saved while nobody asks.
	burstTerm = 60 * clock.Millis(1)
	// keptTurns is how many turns stay ready for organisations that are not ahead of their
	// share: at 16 calls a second the next turn is 60 ms away, and their callers want an
	// answer in 150.
	keptTurns = 1
	// leastRate keeps an instance asking, so that it learns when there is room again.
	leastRate = 1.0
	// tookBlend weighs a new time of a call against the mean so far.
	tookBlend = 0.1
	// sendBlend weighs the sends of one period against the rate of sending so far.
	sendBlend = 0.5
)

// AdaptiveLimiter is how much of a service this instance may use: a rate that is learnt from what
// servers tell with their answers. It answers a service that is asked for 1.05 to 5 times
// what its servers do by many instances that don't know of each other: with the servers'
// own queues as the only limit, 0.53 of what they could do was served within an objective
// of 150 ms. It has no lock of its own.
type AdaptiveLimiter struct {
	// SlotShare returns this instance's even share of the servers' slots; 0 if it is not known.
	SlotShare func() float64
	// InUse tells whether a server is still used; nil is yes. What one that has left told
	// last would pass for room: 63 of 99 calls of a small organisation were in time when one
	// of two servers left.
	InUse func(ident.BackendName) bool

	// rate is the limit in requests a second; 0 is none.
	rate float64
	// saved are the turns that have come and were not taken, as of filled.
	saved  float64
	filled clock.Millis
	// told is what each server told last.
	told map[ident.BackendName]told
	// Of the period that began at since: answers, how full each found the servers on
	// average, added up, and how many of them were sheds.
	answers int
	marks   float64
	sheds   int
	since   clock.Millis
	// marked is when the servers were last known to be full.
	marked clock.Millis
	// took is the smoothed time of calls, work the part of it that was not spent waiting at
	// the server.
	took, work float64
	// sent counts the sends of the period, sending is their smoothed rate a second.
	sent    int
	sending float64
}

// Signal is what one answer of a server tells of the room there.
type Signal struct {
	// Server is who answered.
	Server ident.BackendName
	// Shed tells that the server turned the request away because it was full.
	Shed bool
	// Waiting and Slots are what the server told; Slots is 0 if it told nothing. A server
	// that sheds tells how long its queue is.
	Waiting, Slots int
	// Latency is the time of the call, Objective the time that its caller wants it in.
	Latency, Objective clock.Millis
}

// waited returns the part of the call that was spent waiting at the server, if its queue
// has not changed.
func (s Signal) waited() float64 {
	if s.Slots <= 0 {
		return 0
	}
	return float64(s.Latency) * float64(s.Waiting) / float64(s.Waiting+s.Slots)
}

// mark returns how full the server is, from 0 to 1.
func (s Signal) mark() float64 {
	if s.Shed {
		return 1
	}
	if s.Objective <= 0 {
		return 0
	}
	part := s.waited() / float64(s.Objective)
	return min(max((part-firstWait)/(mostWait-firstWait), 0), 1)
}

// told is how full a server was when it last told.
type told struct {
	mark float64
	at   clock.Millis
	// end is how many waited when it last turned a request away; 0 is not known.
	end int
}

// after returns what is known once a server has answered.
func (t told) after(now clock.Millis, s Signal) told {
	if s.Shed {
		t.end = s.Waiting
	}
	t.at, t.mark = now, s.mark()
	if t.end > 0 {
		t.mark = max(t.mark, min(float64(s.Waiting)/float64(t.end)-nearEnd, 1-nearEnd)/(1-nearEnd))
	}
	return t
}

// mark returns how full the servers are on average, from 0 to 1. One that is slow beside
// others with room is no reason to send less, but to send elsewhere.
func (r *AdaptiveLimiter) mark(now clock.Millis) float64 {
	sum := 0.0
	for name, t := range r.told {
		if now-t.at > toldTerm {
			delete(r.told, name)
			continue
		}
		sum += t.mark * float64(toldHalfLife) / float64(toldHalfLife+now-t.at)
	}
	return sum / float64(max(len(r.told), 1))
}

// forget drops what was told by servers that are not used any more.
func (r *AdaptiveLimiter) forget() {
	if r.InUse == nil {
		return
	}
	maps.DeleteFunc(r.told, func(name ident.BackendName, _ told) bool { return !r.InUse(name) })
}

// Observe learns from an answer.
func (r *AdaptiveLimiter) Observe(now clock.Millis, s Signal) {
	r.adjust(now)
	if r.told == nil {
		r.told = map[ident.BackendName]told{}
	}
	r.told[s.Server] = r.told[s.Server].after(now, s)
	mark := r.mark(now)
	r.answers++
	r.marks += mark
	if !s.Shed {
		r.measure(s)
	}
	if mark < engageMark {
		return
	}
	r.marked = now
	if r.rate == 0 {
		r.rate = max(r.sending, float64(r.sent)*float64(clock.Second)/float64(adjustPeriod), leastRate)
		r.saved, r.filled = 0, now
	}
	if s.Shed {
		r.sheds++
	}
}

// measure smooths the time of calls.
func (r *AdaptiveLimiter) measure(s Signal) {
	took := float64(s.Latency)
	work := took - s.waited()
	if r.took == 0 {
		r.took, r.work = took, work
	}
	r.took += tookBlend * (took - r.took)
	r.work += tookBlend * (work - r.work)
}

// MeanLatency returns the time that a call takes at a server.
func (r *AdaptiveLimiter) MeanLatency() clock.Millis { return clock.Millis(r.took) }

// even returns the rate of an even share in requests a second; 0 if it is not known.
func (r *AdaptiveLimiter) even() float64 {
	if r.SlotShare == nil || r.work <= 0 {
		return 0
	}
	return r.SlotShare() / r.work * float64(clock.Second)
}

// adjust ends the period if it is over.
func (r *AdaptiveLimiter) adjust(now clock.Millis) {
	span := now - r.since
	if span < adjustPeriod {
		return
	}
	perSecond := float64(clock.Second) / float64(span)
	weight := min(sendBlend*float64(span)/float64(adjustPeriod), 1)
	r.sending += weight * (float64(r.sent)*perSecond - r.sending)
	r.forget()
	if r.rate > 0 {
		r.change(now, span)
	}
	r.marks, r.answers, r.sheds, r.sent, r.since = 0, 0, 0, 0, now
}

// change moves the rate by what the answers of a period told.
func (r *AdaptiveLimiter) change(now, span clock.Millis) {
	if now-r.marked > freeTerm {
		r.rate = 0
		return
	}
	periods := min(float64(span)/float64(adjustPeriod), 2)
	if r.answers > 0 {
		r.rate *= 1 - (steepest*r.marks+shedSteepest*float64(r.sheds))/float64(r.answers)
	}
	r.rate += periods * riseShare * max(r.even(), r.rate, leastRate)
	r.rate = max(r.rate, leastRate)
	// What is not used is not saved up for the next burst.
	r.rate = min(r.rate, 2*max(r.sending, r.even(), leastRate))
}

// TryAcquire takes the right to send one request now; it reports false if there is none. One of
// an organisation that is ahead of its share leaves a turn for the others.
func (r *AdaptiveLimiter) TryAcquire(now clock.Millis, ahead bool) bool {
	r.adjust(now)
	if r.rate > 0 {
		r.fill(now)
		if r.saved < 1 || (ahead && r.saved < 1+keptTurns) {
			return false
		}
		r.saved--
	}
	r.sent++
	return true
}

// fill saves up the turns that have come since it was last called.
func (r *AdaptiveLimiter) fill(now clock.Millis) {
	most := 1 + keptTurns + r.rate*float64(burstTerm)/float64(clock.Second)
	r.saved = min(most, r.saved+r.rate*float64(now-r.filled)/float64(clock.Second))
	r.filled = now
}

// ExpectedWait returns how long the request at a place waits for its turn, from 1 on.
func (r *AdaptiveLimiter) ExpectedWait(now clock.Millis, place int, ahead bool) clock.Millis {
	if r.rate == 0 {
		return 0
	}
	r.fill(now)
	missing := float64(place) - r.saved
	if ahead {
		missing += keptTurns
	}
	return clock.Millis(max(missing, 0) / r.rate * float64(clock.Second))
}

// Rate returns the limit in requests a second; 0 is none.
func (r *AdaptiveLimiter) Rate() float64 { return r.rate }
