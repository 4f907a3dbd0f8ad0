// Package admit decides which callers' requests start, wait or are refused. It refuses a
// request as soon as its deadline cannot be met, without waiting for the deadline to pass.
package admit

import (
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// Verdict is the decision on an offered request.
type Verdict string

// Verdicts.
const (
	Start  Verdict = "Start"
	Wait   Verdict = "Wait"
	Refuse Verdict = "Refuse"
)

// Reasons of refusals. They are also values of log fields.
const (
	OverRate       = "the class is over its rate"
	QueueFull      = "the class's queue is full"
	TooLate        = "the deadline would pass in the queue"
	NoCapacity     = "the servers have no room in time"
	deadlinePassed = "the deadline passed in the queue"
	callerCanceled = "the caller has left the queue"
)

// Decision is a verdict with its reason. RetryAfter is set for refusals only.
type Decision struct {
	Verdict    Verdict
	Ticket     Ticket
	Reason     string
	RetryAfter clock.Millis
	// Waiting is the number of queued requests. Rate is the rate limit that the
	// AdaptiveLimiter has learned, in requests per second; 0 is no limit.
	Waiting int
	Rate    float64
	// Server is the server to send the request to, and Grant the grant to report the end of;
	// set only if an Allocator started the request.
	Server ident.BackendName
	Grant  GrantID
}

const (
	// burstSeconds is the capacity of the token bucket, in seconds of the rate.
	burstSeconds = 1.0
	// serviceTimeWeight is the weight of a new service time in the moving average.
	serviceTimeWeight    = 0.1
	initialServiceMillis = 20.0
	baseRetryAfter       = 50 * clock.Millis(1)
)

// Limiter applies the limits of one class of callers, or of one service, at one instance.
// It is not safe for concurrent use.
type Limiter struct {
	// Rate (requests per second) and Concurrency are the configured limits; 0 is no limit.
	Rate        float64
	Concurrency int
	// MaxQueued is the maximum number of waiting requests.
	MaxQueued int
	// Adaptive is the learned rate limit; nil is no limit.
	Adaptive *AdaptiveLimiter

	running           int
	queue             fairQueue
	retries           retrySchedule
	tokens            float64
	refilledAt        clock.Millis
	meanServiceMillis float64
	nextID            int64
}

// Offer decides on a request at the time now. If the request overtakes waiting ones that
// then cannot start in time, Offer returns these as refused.
func (l *Limiter) Offer(now clock.Millis, request Request) (decision Decision, refused []Decision) {
	if !l.takeToken(now) {
		return l.describe(Decision{Verdict: Refuse, Reason: OverRate, RetryAfter: clock.Millis(1000/max(l.Rate, 1)) + baseRetryAfter}), nil
	}
	l.nextID++
	if l.Adaptive != nil {
		l.queue.newestFirst = true
		request.StartBy -= l.Adaptive.MeanLatency()
	}
	ticket := Ticket{ID: l.nextID, Request: request}
	if len(l.queue.waiting) == 0 && l.tryStart(now, l.queue.isOverShare(request.Organisation)) {
		l.queue.startImmediately(request.Organisation)
		return l.describe(Decision{Verdict: Start, Ticket: ticket, Reason: "there is room"}), nil
	}
	l.queue.insert(ticket)
	decision = Decision{Verdict: Wait, Ticket: ticket, Reason: "waits for its turn"}
	for _, r := range l.refuse(now) {
		if r.Ticket.ID == ticket.ID {
			decision = r
			continue
		}
		refused = append(refused, r)
	}
	return l.describe(decision), refused
}

func (l *Limiter) describe(d Decision) Decision {
	d.Waiting = len(l.queue.waiting)
	if l.Adaptive != nil {
		d.Rate = l.Adaptive.Rate()
	}
	return d
}

// refuse removes the requests that cannot start in time and those beyond MaxQueued.
func (l *Limiter) refuse(now clock.Millis) []Decision {
	var refused []Decision
	for index := 0; index < len(l.queue.waiting); {
		wait := l.expectedWait(now, index)
		if now+wait <= l.queue.waiting[index].StartBy {
			index++
			continue
		}
		reason := TooLate
		if l.Adaptive != nil {
			reason = NoCapacity
		}
		refused = append(refused, l.refuseAt(now, index, wait, reason))
	}
	for len(l.queue.waiting) > l.MaxQueued {
		last := len(l.queue.waiting) - 1
		refused = append(refused, l.refuseAt(now, last, l.expectedWait(now, last), QueueFull))
	}
	return refused
}

func (l *Limiter) refuseAt(now clock.Millis, index int, wait clock.Millis, reason string) Decision {
	overShare := l.overShare(index)
	removed := l.queue.remove(index)
	delay := wait + baseRetryAfter
	if l.Adaptive != nil && l.Adaptive.Rate() > 0 {
		delay = l.retryAfter(now, overShare)
	}
	return l.describe(Decision{Verdict: Refuse, Ticket: removed, Reason: reason, RetryAfter: delay})
}

// Done ends a started request that ran for the given duration. It returns the tickets that
// start now and the decisions on those that cannot start in time.
func (l *Limiter) Done(now, duration clock.Millis) (started []Ticket, refused []Decision) {
	l.running--
	l.meanServiceMillis = l.serviceMillis()*(1-serviceTimeWeight) + float64(duration)*serviceTimeWeight
	return l.Advance(now)
}

// Advance returns the tickets that start now and the decisions on those that cannot start
// in time.
func (l *Limiter) Advance(now clock.Millis) (started []Ticket, refused []Decision) {
	refused = l.refuse(now)
	for len(l.queue.waiting) > 0 && l.tryStart(now, l.overShare(0)) {
		started = append(started, l.queue.pop())
	}
	return started, refused
}

// NextAdvance returns when to call Advance next: the time at which the learned rate allows the
// first waiting request. ok is false if no request waits for the rate.
func (l *Limiter) NextAdvance(now clock.Millis) (at clock.Millis, ok bool) {
	if l.Adaptive == nil || len(l.queue.waiting) == 0 {
		return 0, false
	}
	return now + max(l.Adaptive.ExpectedWait(now, 1, l.overShare(0)), 1), true
}

// Cancel removes a waiting ticket. It returns false if the ticket no longer waits.
func (l *Limiter) Cancel(ticket Ticket) bool {
	i := l.queue.find(ticket.ID)
	if i < 0 {
		return false
	}
	l.queue.remove(i)
	return true
}

// Running returns the number of running requests.
func (l *Limiter) Running() int {
	return l.running
}

// Waiting returns the number of queued requests.
func (l *Limiter) Waiting() int {
	return len(l.queue.waiting)
}

// tryStart starts one request if both limits allow it. overShare is whether its
// organisation is over its fair share.
func (l *Limiter) tryStart(now clock.Millis, overShare bool) bool {
	if l.Concurrency > 0 && l.running >= l.Concurrency {
		return false
	}
	if l.Adaptive != nil && !l.Adaptive.TryAcquire(now, overShare) {
		return false
	}
	l.running++
	return true
}

func (l *Limiter) takeToken(now clock.Millis) bool {
	if l.Rate <= 0 {
		return true
	}
	capacity := max(l.Rate*burstSeconds, 1)
	if l.refilledAt == 0 {
		l.tokens = capacity
	} else {
		l.tokens = min(capacity, l.tokens+l.Rate*float64(now-l.refilledAt)/float64(clock.Second))
	}
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

func (l *Limiter) serviceMillis() float64 {
	if l.meanServiceMillis == 0 {
		return initialServiceMillis
	}
	return l.meanServiceMillis
}

// overShare reports whether the organisation of a waiting request is over its fair share.
func (l *Limiter) overShare(index int) bool {
	return l.queue.waiting[index].virtualStart > l.queue.virtualTime
}

// expectedWait returns how long the waiting request at an index (0 first) will still wait.
func (l *Limiter) expectedWait(now clock.Millis, index int) clock.Millis {
	position := index + 1
	var wait clock.Millis
	if l.Concurrency > 0 {
		wait = clock.Millis(l.serviceMillis() * float64(position) / float64(l.Concurrency))
	}
	if l.Adaptive != nil {
		wait = max(wait, l.Adaptive.ExpectedWait(now, position, l.overShare(index)))
	}
	return wait
}

// RetryAfter returns the retry delay for a caller that was admitted but found the backend
// servers full.
func (l *Limiter) RetryAfter(now clock.Millis, organisation ident.Organisation) clock.Millis {
	if l.Adaptive == nil || l.Adaptive.Rate() == 0 {
		return baseRetryAfter
	}
	return l.retryAfter(now, l.queue.isOverShare(organisation))
}

// retryAfter spreads the retries of organisations that are over their fair share at the
// learned rate. Others may retry after minRetryDelay, since another instance probably has
// capacity.
func (l *Limiter) retryAfter(now clock.Millis, overShare bool) clock.Millis {
	if !overShare {
		return minRetryDelay
	}
	return l.retries.assignDelay(now, l.Adaptive.Rate())
}
