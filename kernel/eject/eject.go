// Package eject implements a circuit breaker that removes a failing backend server from
// routing and readmits it gradually.
package eject

import (
	"sync"

	"croftmoor.dev/kernel/clock"
)

// Parameters of a Breaker.
const (
	// FailureThreshold is the number of consecutive failures that ejects a server.
	FailureThreshold = 3
	// FirstEjection is the length of the first ejection. Each further one is twice as long,
	// up to MaxEjection, until a success after the ramp resets it.
	FirstEjection = 1 * clock.Second
	MaxEjection   = 30 * clock.Second
	// RampDuration is how long the weight takes to grow to 1 after readmission. A single
	// failure during that time ejects the server again.
	RampDuration = 5 * clock.Second

	// minWeight is the weight of a server that was just readmitted.
	minWeight = 0.05
)

// Breaker tracks the failures of one backend server. The zero value is ready to use; mu
// guards the fields.
type Breaker struct {
	mu sync.Mutex
	// failures counts consecutive failures since the last ejection or success.
	failures int
	// ejections counts ejections since the last success after a complete ramp.
	ejections    int
	ejectedUntil clock.Millis
	readmittedAt clock.Millis
}

// RecordFailure records a failure and reports whether it ejected the server. Failures
// during an ejection are ignored.
func (b *Breaker) RecordFailure(now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now < b.ejectedUntil {
		return false
	}
	b.failures++
	ramping := b.ejections > 0 && now < b.readmittedAt+RampDuration
	if b.failures < FailureThreshold && !ramping {
		return false
	}
	b.failures = 0
	ejection := FirstEjection << min(b.ejections, 5)
	b.ejections++
	b.ejectedUntil = now + min(ejection, MaxEjection)
	b.readmittedAt = b.ejectedUntil
	return true
}

// RecordSuccess records a success.
func (b *Breaker) RecordSuccess(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	if b.ejections > 0 && now >= b.readmittedAt+RampDuration {
		b.ejections = 0
	}
}

// Weight returns the server's share of its normal traffic: 0 during an ejection, then
// growing from minWeight to 1 over RampDuration.
func (b *Breaker) Weight(now clock.Millis) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now < b.ejectedUntil {
		return 0
	}
	if b.ejections == 0 || now >= b.readmittedAt+RampDuration {
		return 1
	}
	share := float64(now-b.readmittedAt) / float64(RampDuration)
	return max(minWeight, share)
}
