package tail

import (
	"context"
	"sync"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/pulse"
)

// ResponseTime is the time after its wait within which a log answers a read, also when it is
// slow. A read that takes longer ends once a later one has been answered.
const ResponseTime = 2 * maxResponseDelay

const (
	// watchProbeTimeout bounds a small read that shows whether the log answers again, and
	// watchProbePause is the pause between two.
	watchProbeTimeout = 700 * clock.Millis(1)
	watchProbePause   = 200 * clock.Millis(1)
)

// Watched is a log each of whose reads ends, with an Overtaken error, once it is late and a
// later one has been answered. Set the exported fields and call Setup before use; Run must run
// meanwhile.
type Watched struct {
	Log   Reader
	Clock *clock.Clock

	watch pulse.Watch

	mu sync.Mutex
	// stream is the stream that was read last, end the offset of its next record then.
	stream ident.Stream
	end    ident.Offset
}

// Setup makes the log usable.
func (w *Watched) Setup() { w.watch.Clock = w.Clock }

// Read returns records from offset from on, waiting up to wait for the first one.
func (w *Watched) Read(ctx context.Context, stream ident.Stream, from ident.Offset, wait clock.Millis) (Batch, error) {
	callCtx, call := w.watch.Begin(ctx, pulse.Key(stream), wait+ResponseTime)
	batch, err := w.Log.Read(callCtx, stream, from, wait)
	call.End(err == nil)
	if err != nil && pulse.IsOvertaken(callCtx) {
		return batch, fault.Wrap("tail.Read", Overtaken, err, "a later read was answered")
	}
	if err == nil {
		w.setEnd(stream, batch.Next)
	}
	return batch, err
}

// Run makes small reads while others are late, until ctx ends.
func (w *Watched) Run(ctx context.Context) {
	for w.watch.AwaitLate(ctx) {
		w.probe(ctx)
		w.Clock.Sleep(ctx, watchProbePause)
	}
}

// probe reads what is new in the stream that was read last.
func (w *Watched) probe(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, watchProbeTimeout.Duration())
	defer cancel()
	stream, end := w.lastEnd()
	if stream != "" {
		_, _ = w.Read(callCtx, stream, end, 0)
	}
}

func (w *Watched) setEnd(stream ident.Stream, end ident.Offset) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stream, w.end = stream, end
}

func (w *Watched) lastEnd() (ident.Stream, ident.Offset) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stream, w.end
}
