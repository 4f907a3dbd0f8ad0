// Package wall keeps an instance's wall clock steady. The host's time of day may jump;
// instances that compare time windows must not follow such a jump of a single host.
package wall

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"croftmoor.dev/kernel/clock"
)

const (
	// maxSlew is the largest change of the time of day against the monotonic clock, between
	// two checks, that is followed at once.
	maxSlew = 100 * clock.Millis(1)
	// acceptDelay is how long a jump must last until it is accepted as a correction. Clocks
	// may jump for some seconds and then return.
	acceptDelay = 20 * clock.Second
	checkPeriod = 500 * clock.Millis(1)
)

// Clock is a wall clock that ignores short jumps of the host's time of day. Set Clock and
// Log before use. The other fields are guarded by mu.
type Clock struct {
	Clock *clock.Clock
	Log   zerolog.Logger

	mu          sync.Mutex
	state       state
	initialized bool
}

// state holds offset, the accepted wall time minus monotonic time. jumped is whether the
// host's clock differs from it, since the monotonic time jumpedAt.
type state struct {
	offset   clock.Millis
	jumped   bool
	jumpedAt clock.Millis
}

// next returns the state after a reading (time of day minus monotonic time) at the
// monotonic time now.
func (s state) next(reading, now clock.Millis) state {
	deviation := reading - s.offset
	switch {
	case deviation >= -maxSlew && deviation <= maxSlew:
		return state{offset: reading}
	case !s.jumped:
		return state{offset: s.offset, jumped: true, jumpedAt: now}
	case now-s.jumpedAt >= acceptDelay:
		return state{offset: reading}
	default:
		return s
	}
}

// Run checks the host's time of day every checkPeriod until ctx ends.
func (c *Clock) Run(ctx context.Context) {
	c.Clock.Every(ctx, checkPeriod, c.check)
}

func (c *Clock) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Mono()
	reading := c.Clock.Now() - now
	before := c.initState(reading)
	c.state = before.next(reading, now)
	if c.state.jumped != before.jumped || c.state.offset-before.offset > maxSlew || before.offset-c.state.offset > maxSlew {
		c.Log.Warn().Bool("Believed", !c.state.jumped).Int64("OffMillis", int64(reading-before.offset)).Msg("host clock jumped")
	}
}

// initState returns the state, which the first reading initialises; the caller holds mu.
func (c *Clock) initState(reading clock.Millis) state {
	if !c.initialized {
		c.initialized, c.state = true, state{offset: reading}
	}
	return c.state
}

// At returns the wall time at a monotonic time.
func (c *Clock) At(mono clock.Millis) clock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return mono + c.initState(c.Clock.Now()-c.Clock.Mono()).offset
}

// Now returns the current wall time.
func (c *Clock) Now() clock.Millis { return c.At(c.Clock.Mono()) }
