// Package eject keeps a backend server that fails out of the routing, and lets
// it back in slowly.
package eject

import (
	"sync"

	"croftmoor.dev/kernel/clock"
)

// Defaults of a Breaker.
const (
	FailureThreshold = 3
	FirstEjection    = 1 * clock.Second
	MaxEjection     = 30 * clock.Second
	RampDuration     = 5 * clock.Second

	// minWeight is what a server that was just let in starts from.
	minWeight = 0.05
)

// Breaker follows one backend server. The zero value uses the defaults; its
// state is guarded by mu.
type Breaker struct {
	mu       sync.Mutex
	failures int
	ejections    int
	ejectedUntil    clock.Millis
	readmittedAt clock.Millis
}

// RecordFailure notes a failure. It reports whether the server was ejected by it.
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

// RecordSuccess notes a success.
func (b *Breaker) RecordSuccess(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	if b.ejections > 0 && now >= b.readmittedAt+RampDuration {
		b.ejections = 0
	}
}

// Weight returns 0 while the server is ejected, then a share that grows to 1.
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
