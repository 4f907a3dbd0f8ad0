// Package clock is the only source of time in croftmoor. All times are in milliseconds. Tests
// drive decisions with a manual clock.
package clock

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time since the Unix epoch, or a span, in milliseconds.
type Millis int64

// Common spans.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
)

// Duration converts a span to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time converts a point in time to the standard library's type.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m))
}

// FromDuration converts a standard library span, truncated to milliseconds.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Clock reads the time and waits. The zero value is not usable; see New and NewManual.
type Clock struct {
	started time.Time
	// uptimeAtStart is the host's uptime when the clock was created.
	uptimeAtStart time.Duration
	manual        *manual
}

type manual struct {
	mu  sync.Mutex
	now Millis
}

// New returns the system clock.
func New() *Clock {
	uptime, _ := hostUptime()
	return &Clock{started: time.Now(), uptimeAtStart: uptime}
}

// NewManual returns a clock that moves only when Advance is called.
func NewManual(start Millis) *Clock {
	return &Clock{manual: &manual{now: start}}
}

// Now returns wall-clock time, or the time of a manual clock. It may jump when the host's time
// is set.
func (c *Clock) Now() Millis {
	if c.manual != nil {
		return c.Mono()
	}
	return Millis(time.Now().UnixMilli())
}

// Mono returns monotonic time since New, or the time of a manual clock. It includes the time
// in which the host was suspended, which the monotonic clock of package time leaves out. Use
// it for all leases, deadlines, timeouts and ages, because they also run on at other instances
// and at callers during a suspension. Timers stand still during a suspension: code that runs
// on a timer must read this clock before it acts. A reading costs a system call. On a host
// without this clock, Mono leaves out suspensions.
func (c *Clock) Mono() Millis {
	if c.manual != nil {
		c.manual.mu.Lock()
		defer c.manual.mu.Unlock()
		return c.manual.now
	}
	if now, ok := hostUptime(); ok {
		return FromDuration(now - c.uptimeAtStart)
	}
	return FromDuration(time.Since(c.started))
}

// hostUptime returns the time since the host booted, including suspensions. It returns false
// if the host does not provide it.
func hostUptime() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}

// Suspended returns how long the host has been suspended since New; 0 for a manual clock.
func (c *Clock) Suspended() Millis {
	if c.manual != nil {
		return 0
	}
	return c.Mono() - FromDuration(time.Since(c.started))
}

// Advance moves a manual clock forward by span. Other clocks can't be advanced.
func (c *Clock) Advance(span Millis) {
	c.manual.mu.Lock()
	defer c.manual.mu.Unlock()
	c.manual.now += span
}

// Sleep waits for span of real time, also on a manual clock. It returns false if ctx ended
// first.
func (c *Clock) Sleep(ctx context.Context, span Millis) bool {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// After returns a channel that receives once span of real time has passed.
func (c *Clock) After(span Millis) <-chan time.Time {
	return time.After(span.Duration())
}

// Every calls do until ctx ends, and waits for period before each call.
func (c *Clock) Every(ctx context.Context, period Millis, do func()) {
	for c.Sleep(ctx, period) {
		do()
	}
}

// AfterFunc calls do in its own goroutine once span of real time has passed, unless the
// returned timer is stopped before.
func (c *Clock) AfterFunc(span Millis, do func()) *time.Timer {
	return time.AfterFunc(span.Duration(), do)
}

// Precise returns monotonic time since New in milliseconds with a fraction, without
// suspensions, to measure short spans. It must not be called on a manual clock.
func (c *Clock) Precise() float64 {
	return float64(time.Since(c.started).Nanoseconds()) / float64(time.Millisecond)
}
