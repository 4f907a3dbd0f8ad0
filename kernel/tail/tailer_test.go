package tail

import (
	"context"
	"testing"
	"time"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// busyReader answers after delay, unless ctx ends first.
type busyReader struct{ delay time.Duration }

func (r busyReader) Read(ctx context.Context, _ ident.Stream, from ident.Offset, _ clock.Millis) (Batch, error) {
	select {
	case <-time.After(r.delay):
		return Batch{First: 1, Next: from + 1, Records: []Record{{Offset: from}}}, nil
	case <-ctx.Done():
		return Batch{}, fault.Wrap("busyReader.Read", Unavailable, ctx.Err(), "too slow")
	}
}

func TestTailerWaitsLongerForABusyLog(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	read := 0
	tailer := &Tailer{
		Source: busyReader{delay: 150 * time.Millisecond}, Stream: "s.0", Clock: clock.New(), Timeout: 60,
		Apply: func(Batch) {
			read++
			cancel()
		},
	}
	tailer.Run(ctx)
	if read == 0 {
		t.Error("no read completed")
	}
}

// frozenLog advances the clock by stall during a read, as if its reader were suspended.
type frozenLog struct {
	clock *clock.Clock
	stall clock.Millis
}

func (l *frozenLog) Read(context.Context, ident.Stream, ident.Offset, clock.Millis) (Batch, error) {
	l.clock.Advance(l.stall)
	return Batch{First: 1, Next: 1}, nil
}

func TestTailerTellsUntilWhenAnAnswerHolds(t *testing.T) {
	for _, c := range []struct{ stall, currentAt clock.Millis }{{stall: 4, currentAt: 4}, {stall: 5700, currentAt: 500 + maxResponseDelay}} {
		manual := clock.NewManual(clock.Minute)
		ctx, stop := context.WithCancel(t.Context())
		tailer := &Tailer{Source: &frozenLog{clock: manual, stall: c.stall}, Clock: manual, Wait: 500, Apply: func(b Batch) {
			if got := b.CurrentAt - clock.Minute; got != c.currentAt {
				t.Errorf("a response after %d ms is current at %d ms, want %d", c.stall, got, c.currentAt)
			}
			stop()
		}}
		tailer.Run(ctx)
	}
}
