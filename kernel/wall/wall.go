// Package wall keeps an instance's idea of true time steady: the host's time of day
// may jump, the steady clock does not. What all instances reckon in windows of true
// time must not move with one host's clock.
package wall

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"croftmoor.dev/kernel/clock"
)

const (
	// slewMost is how far the time of day may move against the steady clock between
	// two looks and still be followed: services that correct it slowly stay far below.
	slewMost = 100 * clock.Millis(1)
	// believeTerm is how long a jump must last before it is taken for a correction;
	// the users' platform has clocks that jump by 2 s for some seconds.
	believeTerm = 20 * clock.Second
	period      = 500 * clock.Millis(1)
)

// Clock tells true time. Set Clock and Log before use.
type Clock struct {
	Clock *clock.Clock
	Log   zerolog.Logger

	mu    sync.Mutex
	state state
	set   bool
}

// state is what is known of the time of day. Offset is true time less steady time;
// apart tells that the host differs from it, since a steady time.
type state struct {
	offset clock.Millis
	apart  bool
	since  clock.Millis
}

// look judges a new reading of the time of day, less the steady time, at a steady
// time.
func (s state) look(seen, now clock.Millis) state {
	off := seen - s.offset
	switch {
	case off >= -slewMost && off <= slewMost:
		return state{offset: seen}
	case !s.apart:
		return state{offset: s.offset, apart: true, since: now}
	case now-s.since >= believeTerm:
		return state{offset: seen}
	default:
		return s
	}
}

// Run follows the time of day until ctx ends.
func (c *Clock) Run(ctx context.Context) {
	c.Clock.Every(ctx, period, c.check)
}

func (c *Clock) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Mono()
	seen := c.Clock.Now() - now
	before := c.first(seen)
	c.state = before.look(seen, now)
	if c.state.apart != before.apart || c.state.offset-before.offset > slewMost || before.offset-c.state.offset > slewMost {
		c.Log.Warn().Bool("Believed", !c.state.apart).Int64("OffMillis", int64(seen-before.offset)).Msg("time of day jumped")
	}
}

// first returns the state, set to the first reading if there was none; mu is held.
func (c *Clock) first(seen clock.Millis) state {
	if !c.set {
		c.set, c.state = true, state{offset: seen}
	}
	return c.state
}

// At returns the true time of a point of the steady clock.
func (c *Clock) At(mono clock.Millis) clock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return mono + c.first(c.Clock.Now()-c.Clock.Mono()).offset
}

// Now returns true time.
func (c *Clock) Now() clock.Millis { return c.At(c.Clock.Mono()) }
