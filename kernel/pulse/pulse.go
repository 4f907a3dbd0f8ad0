// Package pulse tells calls that a service will never answer from calls that it answers late. A
// service that answers nothing for a while and then goes on often drops what it was asked
// meanwhile. Whoever waits for such a call learns nothing by waiting longer; but once the service
// has answered a call that was sent later, the older one is not worth waiting for.
package pulse

import (
	"context"
	"sync"
	"time"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Overtaken means that a call was ended because a later one had been answered first.
const Overtaken Kind = "Overtaken"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Key names calls of one sort, such as reads of one stream.
type Key string

const (
	// maxGap is the longest pause between two answers of a service that answers all the time.
	maxGap = 1 * clock.Second
	// maxDoublings bounds how often the time of a key's calls doubles.
	maxDoublings = 3
)

// Watch watches the calls of one instance to one service. Set Clock before use. mu guards the
// unexported fields.
type Watch struct {
	Clock *clock.Clock

	mu sync.Mutex
	// sent counts the calls; answered is the number of the last-sent call that was answered.
	sent     int64
	answered int64
	open     map[*Call]struct{}
	// late is the number of open calls whose time is up while no later call has been answered.
	late   int
	lateCh chan struct{}
	// lastAnswer is the time of the last answer, steadySince that of the first answer of the
	// current run of answers without a pause of more than maxGap.
	lastAnswer  clock.Millis
	steadySince clock.Millis
	// slow counts the calls of a key that were overtaken in a row while the service answered
	// all the time: it is slow with these, and did not drop them.
	slow map[Key]int
}

// Call is an open call. Its watch's mu guards the fields.
type Call struct {
	watch  *Watch
	key    Key
	number int64
	sentAt clock.Millis
	within clock.Millis
	cancel context.CancelCauseFunc
	timer  *time.Timer
	late   bool
	ended  bool
}

// Begin registers a call that should be answered within a time. The context that it returns ends
// with ctx, or once the call is late and overtaken; its cause is an Overtaken error then. The
// caller must call End.
func (w *Watch) Begin(ctx context.Context, key Key, within clock.Millis) (context.Context, *Call) {
	callCtx, cancel := context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent++
	c := &Call{watch: w, key: key, number: w.sent, sentAt: w.Clock.Mono(), within: within, cancel: cancel}
	c.timer = w.Clock.AfterFunc(within<<min(w.slow[key], maxDoublings), c.due)
	if w.open == nil {
		w.open = map[*Call]struct{}{}
	}
	w.open[c] = struct{}{}
	return callCtx, c
}

// End records that a call has ended, and whether the service answered it.
func (c *Call) End(answered bool) {
	w := c.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	c.close(nil)
	if !answered {
		return
	}
	delete(w.slow, c.key)
	w.answered = max(w.answered, c.number)
	now := w.Clock.Mono()
	again := now-w.lastAnswer > maxGap
	w.lastAnswer = now
	if again {
		w.steadySince = now
	}
	if w.late == 0 && !again {
		return
	}
	for other := range w.open {
		switch {
		case other.late && other.number < w.answered:
			other.overtake()
		case again && !other.late:
			// The service may have dropped it: more time than usual is of no use.
			other.timer.Reset(max(other.sentAt+other.within-now, 0).Duration())
		}
	}
}

// due ends a call whose time is up if a later one has been answered, and marks it late if not.
func (c *Call) due() {
	w := c.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.ended || c.late {
		return
	}
	if c.number < w.answered {
		c.overtake()
		return
	}
	c.late = true
	w.late++
	select {
	case w.lateSignal() <- struct{}{}:
	default:
	}
}

// overtake ends a call that was overtaken. The caller holds the watch's mu.
func (c *Call) overtake() {
	w := c.watch
	if w.steadySince <= c.sentAt && w.Clock.Mono()-w.lastAnswer <= maxGap {
		if w.slow == nil {
			w.slow = map[Key]int{}
		}
		w.slow[c.key]++
	}
	c.close(fault.New("pulse.Begin", Overtaken, "a call that was sent later has been answered"))
}

// close ends a call, with a cause unless that is nil. The caller holds the watch's mu.
func (c *Call) close(cause error) {
	if c.ended {
		return
	}
	c.ended = true
	c.timer.Stop()
	delete(c.watch.open, c)
	if c.late {
		c.watch.late--
	}
	c.cancel(cause)
}

// AwaitLate waits until a call is late, and returns false if ctx ends first. While calls are late,
// small calls of the caller show when the service answers again.
func (w *Watch) AwaitLate(ctx context.Context) bool {
	for ctx.Err() == nil {
		signal, isLate := w.lateState()
		if isLate {
			return true
		}
		select {
		case <-ctx.Done():
		case <-signal:
		}
	}
	return false
}

func (w *Watch) lateState() (signal <-chan struct{}, isLate bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lateSignal(), w.late > 0
}

// lateSignal returns the channel on which a call that becomes late is told. The caller holds mu.
func (w *Watch) lateSignal() chan struct{} {
	if w.lateCh == nil {
		w.lateCh = make(chan struct{}, 1)
	}
	return w.lateCh
}

// IsOvertaken reports whether a context of Begin ended because its call was overtaken.
func IsOvertaken(ctx context.Context) bool {
	return fault.KindOf[Kind](context.Cause(ctx)) == Overtaken
}
