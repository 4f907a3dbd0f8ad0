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
	// maxDecrease is the part of the rate that one period takes away when all its answers
	// told of full queues. Over TestRoomIsUsed's loads 0.89 of what the servers do was served
	// in time; with 0.2 it was 0.87, as the rates swing.
	maxDecrease = 0.1
	// shedDecrease is what sheds take away beside: full servers have no time to turn callers
	// away while the rate falls by small steps. With 0.2 a fifth more is shed at five times
	// the load. Following the rate of what servers took did worse: few answers tell it badly,
	// and four instances stayed at a third of what the servers do.
	shedDecrease = 0.3
	// increaseFraction is the part of the rate, or of an even share if that is more, by which the
	// rate rises in one period, so that half of what the servers do is regained in a
	// second, and instances with less than their share gain on the others.
	increaseFraction = 0.05
	// limitThreshold is how full the servers must be on average before there is a limit: more
	// than the half at which the rate neither falls nor rises. With a limit from the first
	// sign of any server's queue on, 62 instances served 0.67 in time at 0.8 times the load
	// where one server in five is slow at a time, with a half 0.82, with this one 0.86, and
	// 0.89 without any limit. With 0.8 a tenth less is in time at twice the load.
	limitThreshold = 0.6
	// nearFullFraction is the part of a server's queue from which on it counts as getting full, once
	// a shed has told where the queue ends: a short one is full long before the objective
	// is at risk.
	nearFullFraction = 0.5
	// reportHalfLife is the age at which what a server told counts half: at 16 calls a
	// second each of four servers tells four times a second. Beyond toldTerm it may be gone.
	reportHalfLife = 1 * clock.Second
	reportExpiry     = 2 * clock.Second
	// liftDelay is how long after the servers were last full the rate is lifted.
	liftDelay = 1 * clock.Second
	// The share of the objective that waiting at a server may take: from the first on the
	// rate falls, at the second it falls steepest. Work, ways and the wait for a turn
	// need the rest.
	lowWaitFraction, highWaitFraction = 1.0 / 6, 1.0 / 2
	// burstWindow is how much of the rate may be saved while nobody asks.
	burstWindow = 60 * clock.Millis(1)
	// reservedTokens is how many turns stay ready for organisations that are not ahead of their
	// share: at 16 calls a second the next turn is 60 ms away, and their callers want an
	// answer in 150.
	reservedTokens = 1
	// minRate keeps an instance asking, so that it learns when there is room again.
	minRate = 1.0
	// latencyWeight weighs a new time of a call against the mean so far.
	latencyWeight = 0.1
	// sendRateWeight weighs the sends of one period against the rate of sending so far.
	sendRateWeight = 0.5
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
	// tokens are the turns that have come and were not taken, as of filled.
	tokens  float64
	refilledAt clock.Millis
	// reports is what each server reports last.
	reports map[ident.BackendName]report
	// Of the period that began at since: answers, how full each found the servers on
	// average, added up, and how many of them were sheds.
	answers int
	congestionSum   float64
	sheds   int
	periodStart   clock.Millis
	// lastCongested is when the servers were last known to be full.
	lastCongested clock.Millis
	// meanLatency is the smoothed time of calls, meanWork the part of it that was not spent waiting at
	// the server.
	meanLatency, meanWork float64
	// sent counts the sends of the period, sending is their smoothed rate a second.
	sent    int
	sendRate float64
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

// queueTime returns the part of the call that was spent waiting at the server, if its queue
// has not changed.
func (s Signal) queueTime() float64 {
	if s.Slots <= 0 {
		return 0
	}
	return float64(s.Latency) * float64(s.Waiting) / float64(s.Waiting+s.Slots)
}

// congestion returns how full the server is, from 0 to 1.
func (s Signal) congestion() float64 {
	if s.Shed {
		return 1
	}
	if s.Objective <= 0 {
		return 0
	}
	waitFraction := s.queueTime() / float64(s.Objective)
	return min(max((waitFraction-lowWaitFraction)/(highWaitFraction-lowWaitFraction), 0), 1)
}

// report is how full a server was when it last report.
type report struct {
	congestion float64
	at   clock.Millis
	// queueLimit is how many waited when it last turned a request away; 0 is not known.
	queueLimit int
}

// updated returns what is known once a server has answered.
func (t report) updated(now clock.Millis, s Signal) report {
	if s.Shed {
		t.queueLimit = s.Waiting
	}
	t.at, t.congestion = now, s.congestion()
	if t.queueLimit > 0 {
		t.congestion = max(t.congestion, min(float64(s.Waiting)/float64(t.queueLimit)-nearFullFraction, 1-nearFullFraction)/(1-nearFullFraction))
	}
	return t
}

// congestion returns how full the servers are on average, from 0 to 1. One that is slow beside
// others with room is no reason to send less, but to send elsewhere.
func (r *AdaptiveLimiter) congestion(now clock.Millis) float64 {
	sum := 0.0
	for name, t := range r.reports {
		if now-t.at > reportExpiry {
			delete(r.reports, name)
			continue
		}
		sum += t.congestion * float64(reportHalfLife) / float64(reportHalfLife+now-t.at)
	}
	return sum / float64(max(len(r.reports), 1))
}

// dropUnusedServers drops what was told by servers that are not used any more.
func (r *AdaptiveLimiter) dropUnusedServers() {
	if r.InUse == nil {
		return
	}
	maps.DeleteFunc(r.reports, func(name ident.BackendName, _ report) bool { return !r.InUse(name) })
}

// Observe learns from an answer.
func (r *AdaptiveLimiter) Observe(now clock.Millis, s Signal) {
	r.endPeriod(now)
	if r.reports == nil {
		r.reports = map[ident.BackendName]report{}
	}
	r.reports[s.Server] = r.reports[s.Server].updated(now, s)
	congestion := r.congestion(now)
	r.answers++
	r.congestionSum += congestion
	if !s.Shed {
		r.updateLatency(s)
	}
	if congestion < limitThreshold {
		return
	}
	r.lastCongested = now
	if r.rate == 0 {
		r.rate = max(r.sendRate, float64(r.sent)*float64(clock.Second)/float64(adjustPeriod), minRate)
		r.tokens, r.refilledAt = 0, now
	}
	if s.Shed {
		r.sheds++
	}
}

// updateLatency smooths the time of calls.
func (r *AdaptiveLimiter) updateLatency(s Signal) {
	latency := float64(s.Latency)
	work := latency - s.queueTime()
	if r.meanLatency == 0 {
		r.meanLatency, r.meanWork = latency, work
	}
	r.meanLatency += latencyWeight * (latency - r.meanLatency)
	r.meanWork += latencyWeight * (work - r.meanWork)
}

// MeanLatency returns the time that a call takes at a server.
func (r *AdaptiveLimiter) MeanLatency() clock.Millis { return clock.Millis(r.meanLatency) }

// fairRate returns the rate of an fairRate share in requests a second; 0 if it is not known.
func (r *AdaptiveLimiter) fairRate() float64 {
	if r.SlotShare == nil || r.meanWork <= 0 {
		return 0
	}
	return r.SlotShare() / r.meanWork * float64(clock.Second)
}

// endPeriod ends the period if it is over.
func (r *AdaptiveLimiter) endPeriod(now clock.Millis) {
	span := now - r.periodStart
	if span < adjustPeriod {
		return
	}
	perSecond := float64(clock.Second) / float64(span)
	weight := min(sendRateWeight*float64(span)/float64(adjustPeriod), 1)
	r.sendRate += weight * (float64(r.sent)*perSecond - r.sendRate)
	r.dropUnusedServers()
	if r.rate > 0 {
		r.updateRate(now, span)
	}
	r.congestionSum, r.answers, r.sheds, r.sent, r.periodStart = 0, 0, 0, 0, now
}

// updateRate moves the rate by what the answers of a period told.
func (r *AdaptiveLimiter) updateRate(now, span clock.Millis) {
	if now-r.lastCongested > liftDelay {
		r.rate = 0
		return
	}
	periods := min(float64(span)/float64(adjustPeriod), 2)
	if r.answers > 0 {
		r.rate *= 1 - (maxDecrease*r.congestionSum+shedDecrease*float64(r.sheds))/float64(r.answers)
	}
	r.rate += periods * increaseFraction * max(r.fairRate(), r.rate, minRate)
	r.rate = max(r.rate, minRate)
	// What is not used is not saved up for the next burst.
	r.rate = min(r.rate, 2*max(r.sendRate, r.fairRate(), minRate))
}

// TryAcquire takes the right to send one request now; it reports false if there is none. One of
// an organisation that is ahead of its share leaves a turn for the others.
func (r *AdaptiveLimiter) TryAcquire(now clock.Millis, overShare bool) bool {
	r.endPeriod(now)
	if r.rate > 0 {
		r.refill(now)
		if r.tokens < 1 || (overShare && r.tokens < 1+reservedTokens) {
			return false
		}
		r.tokens--
	}
	r.sent++
	return true
}

// refill saves up the turns that have come since it was last called.
func (r *AdaptiveLimiter) refill(now clock.Millis) {
	capacity := 1 + reservedTokens + r.rate*float64(burstWindow)/float64(clock.Second)
	r.tokens = min(capacity, r.tokens+r.rate*float64(now-r.refilledAt)/float64(clock.Second))
	r.refilledAt = now
}

// ExpectedWait returns how long the request at a place waits for its turn, from 1 on.
func (r *AdaptiveLimiter) ExpectedWait(now clock.Millis, position int, overShare bool) clock.Millis {
	if r.rate == 0 {
		return 0
	}
	r.refill(now)
	missing := float64(position) - r.tokens
	if overShare {
		missing += reservedTokens
	}
	return clock.Millis(max(missing, 0) / r.rate * float64(clock.Second))
}

// Rate returns the limit in requests a second; 0 is none.
func (r *AdaptiveLimiter) Rate() float64 { return r.rate }
