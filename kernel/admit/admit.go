// Package admit decides which callers' requests start, wait or are refused at
// once. A request whose deadline can't be met is refused when it comes, not
// when the deadline has passed.
package admit

import (
	"cmp"
	"slices"

	"croftmoor.dev/kernel/clock"
)

// Verdict is the decision on an offered request.
type Verdict string

// Verdicts.
const (
	Start  Verdict = "Start"
	Wait   Verdict = "Wait"
	Refuse Verdict = "Refuse"
)

// Reasons of refusals.
const (
	OverRate    = "the class is over its rate"
	QueueFull   = "the class's queue is full"
	TooLate     = "the deadline would pass in the queue"
	deadlineNow = "the deadline passed in the queue"
)

// Ticket stands for one request.
type Ticket struct {
	ID       int64
	Deadline clock.Millis
}

// Decision is a verdict with its reason and, for a refusal, when to come back.
type Decision struct {
	Verdict    Verdict
	Ticket     Ticket
	Reason     string
	RetryAfter clock.Millis
}

const (
	// burst is how many seconds of the rate may come at once.
	burst = 1.0
	// smoothing weighs a new service time against the mean so far.
	smoothing = 0.1
	firstMean = 20.0
	leastWait = 50 * clock.Millis(1)
)

// Limiter holds one class's limits at one instance: the class's limits
// divided by the instances. It has no lock of its own.
type Limiter struct {
	Rate        float64
	Concurrency int
	Queue       int

	running int
	waiting []Ticket
	saved   float64
	filled  clock.Millis
	mean    float64
	nextID  int64
}

// Offer decides on a request that has until deadline.
func (l *Limiter) Offer(now, deadline clock.Millis) Decision {
	if !l.earn(now) {
		return Decision{Verdict: Refuse, Reason: OverRate, RetryAfter: clock.Millis(1000/max(l.Rate, 1)) + leastWait}
	}
	l.nextID++
	ticket := Ticket{ID: l.nextID, Deadline: deadline}
	if l.running < max(l.Concurrency, 1) {
		l.running++
		return Decision{Verdict: Start, Ticket: ticket, Reason: "below the class's concurrency"}
	}
	if len(l.waiting) >= l.Queue {
		return Decision{Verdict: Refuse, Reason: QueueFull, RetryAfter: l.expected(len(l.waiting)) + leastWait}
	}
	ahead, _ := slices.BinarySearchFunc(l.waiting, ticket, byDeadline)
	if now+l.expected(ahead+1) > deadline {
		return Decision{Verdict: Refuse, Reason: TooLate, RetryAfter: l.expected(ahead+1) + leastWait}
	}
	l.waiting = slices.Insert(l.waiting, ahead, ticket)
	return Decision{Verdict: Wait, Ticket: ticket, Reason: "waits by deadline"}
}

// Done ends a started request that took the given time and returns the
// tickets that start now and those whose deadline has passed.
func (l *Limiter) Done(now, took clock.Millis) (started, expired []Ticket) {
	l.running--
	l.mean = l.meanTime()*(1-smoothing) + float64(took)*smoothing
	return l.fill(now)
}

// Expire returns the tickets whose deadline has passed.
func (l *Limiter) Expire(now clock.Millis) []Ticket {
	cut := 0
	for cut < len(l.waiting) && l.waiting[cut].Deadline <= now {
		cut++
	}
	expired := slices.Clone(l.waiting[:cut])
	l.waiting = slices.Delete(l.waiting, 0, cut)
	return expired
}

// Leave removes a waiting ticket. It reports false if the ticket no longer waits.
func (l *Limiter) Leave(ticket Ticket) bool {
	i := slices.IndexFunc(l.waiting, func(t Ticket) bool { return t.ID == ticket.ID })
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// Running returns how many requests run.
func (l *Limiter) Running() int {
	return l.running
}

// Waiting returns how many requests wait.
func (l *Limiter) Waiting() int {
	return len(l.waiting)
}

func (l *Limiter) fill(now clock.Millis) (started, expired []Ticket) {
	expired = l.Expire(now)
	for l.running < max(l.Concurrency, 1) && len(l.waiting) > 0 {
		started = append(started, l.waiting[0])
		l.waiting = slices.Delete(l.waiting, 0, 1)
		l.running++
	}
	return started, expired
}

func (l *Limiter) earn(now clock.Millis) bool {
	most := max(l.Rate*burst, 1)
	if l.filled == 0 {
		l.saved = most
	} else {
		l.saved = min(most, l.saved+l.Rate*float64(now-l.filled)/float64(clock.Second))
	}
	l.filled = now
	if l.saved < 1 {
		return false
	}
	l.saved--
	return true
}

func (l *Limiter) meanTime() float64 {
	if l.mean == 0 {
		return firstMean
	}
	return l.mean
}

// expected returns how long the request at the given place of the queue waits.
func (l *Limiter) expected(place int) clock.Millis {
	return clock.Millis(l.meanTime() * float64(place) / float64(max(l.Concurrency, 1)))
}

func byDeadline(a, b Ticket) int {
	return cmp.Compare(a.Deadline, b.Deadline)
}
