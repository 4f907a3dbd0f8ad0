package admit

import (
	"maps"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

const (
	// adjustPeriod is the interval between two changes of the rate. It is longer than a
	// typical call, some 25 ms of work, so a change takes effect before the next.
	adjustPeriod = 100 * clock.Millis(1)
	// maxDecrease is the fraction of the rate that one period removes when all servers are
	// congested. Larger steps make the rate oscillate.
	maxDecrease = 0.1
	// shedDecrease is the fraction that a period of only sheds removes in addition: a full
	// server spends capacity on turning requests away.
	shedDecrease = 0.3
	// increaseFraction is the fraction of the rate, or of the fair rate if that is higher,
	// by which one period raises the rate. An instance below its fair rate thereby
	// catches up.
	increaseFraction = 0.05
	// limitThreshold is the average congestion from which on the rate is limited. It is above
	// one half, so a few slow servers among idle ones don't cause a limit.
	limitThreshold = 0.6
	// nearFullFraction is the fraction of a server's queue above which the server counts as
	// congested, once a shed has shown the queue's limit. A short queue fills before its wait
	// reaches lowWaitFraction.
	nearFullFraction = 0.5
	// reportHalfLife is the age at which a server's report counts half; after reportExpiry
	// it is dropped, because the server may be gone.
	reportHalfLife = 1 * clock.Second
	reportExpiry   = 2 * clock.Second
	// liftDelay is how long after the last congestion the limit is lifted.
	liftDelay = 1 * clock.Second
	// The wait at a server as a fraction of the objective: congestion is 0 up to
	// lowWaitFraction and 1 from highWaitFraction on. Work, network and the queue at this
	// instance need the rest of the objective.
	lowWaitFraction, highWaitFraction = 1.0 / 6, 1.0 / 2
	// burstWindow bounds the tokens that accumulate, as time at the current rate.
	burstWindow = 60 * clock.Millis(1)
	// reservedTokens is the number of tokens that organisations over their fair share cannot
	// use. At low rates the next token would come too late for the others: at 16 calls a second
	// it is 60 ms away.
	reservedTokens = 1
	// minRate, in requests per second, keeps responses coming, which show when to raise the
	// rate.
	minRate = 1.0
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.1
	// sendRateWeight is the weight of one period's sends in the moving average.
	sendRateWeight = 0.5
)

// AdaptiveLimiter limits the rate at which this instance sends to one service. It learns
// the rate from the queue lengths that backend servers report with their responses, by
// additive and multiplicative steps each adjustPeriod: instances don't know of each other,
// and the servers' queues alone would fill until every call is late. It is not safe for
// concurrent use.
type AdaptiveLimiter struct {
	// SlotShare returns this instance's even share of the servers' slots; 0 is unknown.
	SlotShare func() float64
	// InUse reports whether a server is still in use; nil is always. Reports of removed
	// servers are dropped, because they would count as free capacity.
	InUse func(ident.BackendName) bool

	// rate is the limit in requests per second; 0 is no limit.
	rate float64
	// tokens are the unused send permits at the time refilledAt.
	tokens     float64
	refilledAt clock.Millis
	// reports holds the last report of each server.
	reports map[ident.BackendName]report
	// Sums over the period that began at periodStart: the responses, the average congestion
	// at each of them, and the sheds among them.
	responses     int
	congestionSum float64
	sheds         int
	periodStart   clock.Millis
	// lastCongested is when the servers last reached limitThreshold.
	lastCongested clock.Millis
	// meanLatency is the moving average of the calls' latency, meanWork that of the part not
	// spent in a server's queue, both in milliseconds.
	meanLatency, meanWork float64
	// sent counts the sends of the period; sendRate is their moving average per second.
	sent     int
	sendRate float64
}

// Signal is what one response shows of the load at its backend server.
type Signal struct {
	// Server is the server that responded.
	Server ident.BackendName
	// Grant is the grant that ends with the response; 0 is none.
	Grant GrantID
	// Shed is whether the server refused the request because its queue was full.
	Shed bool
	// Waiting and Slots are the server's queue length and slots; Slots is 0 if it reported
	// neither. With a shed, Waiting is the limit of the queue.
	Waiting, Slots int
	// Running is the number of requests that the server runs; only an Allocator uses it.
	Running int
	// Slowdown is the factor by which work takes longer than usual there; 0 if the server does
	// not report it.
	Slowdown float64
	// Latency is the time of the call, Objective the time within which the caller wants it.
	Latency, Objective clock.Millis
}

// queueTime estimates the part of the latency, in milliseconds, that was spent in the
// server's queue, assuming that the queue's length is constant.
func (s Signal) queueTime() float64 {
	if s.Slots <= 0 {
		return 0
	}
	return float64(s.Latency) * float64(s.Waiting) / float64(s.Waiting+s.Slots)
}

// congestion returns the congestion of the server, from 0 to 1.
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

// report is the last known congestion of a server.
type report struct {
	congestion float64
	at         clock.Millis
	// queueLimit is the queue length at its last shed; 0 is unknown.
	queueLimit int
}

// updated returns the report after a signal.
func (r report) updated(now clock.Millis, s Signal) report {
	if s.Shed {
		r.queueLimit = s.Waiting
	}
	r.at, r.congestion = now, s.congestion()
	if r.queueLimit > 0 {
		r.congestion = max(r.congestion, min(float64(s.Waiting)/float64(r.queueLimit)-nearFullFraction, 1-nearFullFraction)/(1-nearFullFraction))
	}
	return r
}

// congestion returns the average congestion of the servers, from 0 to 1. It is an average
// because one slow server among free ones calls for other routing, not for a lower rate.
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

// dropUnusedServers drops the reports of servers that are no longer in use.
func (r *AdaptiveLimiter) dropUnusedServers() {
	if r.InUse == nil {
		return
	}
	maps.DeleteFunc(r.reports, func(name ident.BackendName, _ report) bool { return !r.InUse(name) })
}

// Observe updates the limit from a response.
func (r *AdaptiveLimiter) Observe(now clock.Millis, s Signal) {
	r.endPeriod(now)
	if r.reports == nil {
		r.reports = map[ident.BackendName]report{}
	}
	r.reports[s.Server] = r.reports[s.Server].updated(now, s)
	congestion := r.congestion(now)
	r.responses++
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

// updateLatency updates the moving averages of latency and work.
func (r *AdaptiveLimiter) updateLatency(s Signal) {
	latency := float64(s.Latency)
	work := latency - s.queueTime()
	if r.meanLatency == 0 {
		r.meanLatency, r.meanWork = latency, work
	}
	r.meanLatency += latencyWeight * (latency - r.meanLatency)
	r.meanWork += latencyWeight * (work - r.meanWork)
}

// MeanLatency returns the average latency of a call at a server.
func (r *AdaptiveLimiter) MeanLatency() clock.Millis { return clock.Millis(r.meanLatency) }

// fairRate returns the rate in requests per second that SlotShare allows; 0 is unknown.
func (r *AdaptiveLimiter) fairRate() float64 {
	if r.SlotShare == nil || r.meanWork <= 0 {
		return 0
	}
	return r.SlotShare() / r.meanWork * float64(clock.Second)
}

// endPeriod updates the rates if the period is over, and begins the next one.
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
	r.congestionSum, r.responses, r.sheds, r.sent, r.periodStart = 0, 0, 0, 0, now
}

// updateRate changes the rate by the responses of a period of the given length.
func (r *AdaptiveLimiter) updateRate(now, span clock.Millis) {
	if now-r.lastCongested > liftDelay {
		r.rate = 0
		return
	}
	periods := min(float64(span)/float64(adjustPeriod), 2)
	if r.responses > 0 {
		r.rate *= 1 - (maxDecrease*r.congestionSum+shedDecrease*float64(r.sheds))/float64(r.responses)
	}
	r.rate += periods * increaseFraction * max(r.fairRate(), r.rate, minRate)
	r.rate = max(r.rate, minRate)
	// An unused rate must not grow and allow a burst later.
	r.rate = min(r.rate, 2*max(r.sendRate, r.fairRate(), minRate))
}

// TryAcquire takes one token; it returns false if there is none. An organisation that is
// over its fair share leaves reservedTokens to the others.
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

// CountSend counts a request that an Allocator admitted, so that the rate stays that of the
// instance's requests.
func (r *AdaptiveLimiter) CountSend(now clock.Millis) {
	r.endPeriod(now)
	r.sent++
}

// refill adds the tokens earned since the last call.
func (r *AdaptiveLimiter) refill(now clock.Millis) {
	capacity := 1 + reservedTokens + r.rate*float64(burstWindow)/float64(clock.Second)
	r.tokens = min(capacity, r.tokens+r.rate*float64(now-r.refilledAt)/float64(clock.Second))
	r.refilledAt = now
}

// ExpectedWait returns how long the request at a position (1 is the first) waits for a token.
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

// Rate returns the limit in requests per second; 0 is no limit.
func (r *AdaptiveLimiter) Rate() float64 { return r.rate }
