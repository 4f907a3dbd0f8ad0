// Package eject keeps a backend server that fails out of the routing, and lets
// it back in slowly.
package eject

import (
	"sync"

	"croftmoor.dev/kernel/clock"
)

// Defaults of a Breaker.
const (
	DefaultFailures = 3
	DefaultFirst    = 1 * clock.Second
	DefaultMost     = 30 * clock.Second
	DefaultRamp     = 5 * clock.Second

	// lowestWeight is what a server that was just let in starts from.
	lowestWeight = 0.05
)

// Breaker follows one backend server. The zero value uses the defaults; its
// state is guarded by mu.
type Breaker struct {
	mu       sync.Mutex
	failures int
	trips    int
	until    clock.Millis
	returned clock.Millis
}

// Failed notes a failure. It reports whether the server was ejected by it.
func (b *Breaker) Failed(now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now < b.until {
		return false
	}
	b.failures++
	ramping := b.trips > 0 && now < b.returned+DefaultRamp
	if b.failures < DefaultFailures && !ramping {
		return false
	}
	b.failures = 0
	pause := DefaultFirst << min(b.trips, 5)
	b.trips++
	b.until = now + min(pause, DefaultMost)
	b.returned = b.until
	return true
}

// Succeeded notes a success.
func (b *Breaker) Succeeded(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	if b.trips > 0 && now >= b.returned+DefaultRamp {
		b.trips = 0
	}
}

// Weight returns 0 while the server is ejected, then a share that grows to 1.
func (b *Breaker) Weight(now clock.Millis) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now < b.until {
		return 0
	}
	if b.trips == 0 || now >= b.returned+DefaultRamp {
		return 1
	}
	share := float64(now-b.returned) / float64(DefaultRamp)
	return max(lowestWeight, share)
}
