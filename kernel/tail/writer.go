package tail

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// OutOfOrder means that the log expects another ticket of this producer.
const OutOfOrder Kind = "OutOfOrder"

// Ticket makes an append idempotent: the log accepts each ticket of a producer once, in order,
// and answers a repeated ticket with the offset of the first append.
type Ticket struct {
	Producer string
	Epoch    int64
	Seq      int64
}

// Appender appends records under a ticket, all or none.
type Appender interface {
	// AppendOnce returns the offset of the first record. After a Refused error nothing was
	// appended; after an Unknown error the caller may repeat the ticket to learn the outcome.
	AppendOnce(ctx context.Context, stream ident.Stream, ticket Ticket, records [][]byte) (ident.Offset, error)
}

// Writer appends to streams for many concurrent callers: records that arrive during an append
// go together into the next one. Set the exported fields before Run. mu guards the unexported
// fields; each queue has its own lock.
type Writer struct {
	Log   Appender
	Clock *clock.Clock
	// Producer must be unique to this start of the process.
	Producer string
	// MaxBytes bounds the size of one append. A larger single write is sent alone.
	MaxBytes int
	// OnError is called after each failed attempt of an append, OnSuccess after each
	// acknowledged append. Both may be nil.
	OnError   func(error)
	OnSuccess func()

	mu     sync.Mutex
	queues map[ident.Stream]*queue
	group  conc.WaitGroup
	ctx    context.Context
}

// queue holds the pending writes of one stream. mu guards pending and the flags of each write;
// only the goroutine of drain uses epoch, seq and smoothedLatency.
type queue struct {
	mu      sync.Mutex
	pending []*pendingWrite
	wake    chan struct{}
	epoch   int64
	seq     int64
	// smoothedLatency is the moving average of the duration of acknowledged appends.
	smoothedLatency clock.Millis
}

// pendingWrite is one call of Write.
type pendingWrite struct {
	records [][]byte
	bytes   int
	// sent reports whether the log may have the records, abandoned whether the caller stopped
	// waiting.
	sent      bool
	abandoned bool
	// outcomeUnknown reports whether an attempt ended without a response of the log.
	outcomeUnknown bool
	done           chan result
}

type result struct {
	first ident.Offset
	err   error
}

const (
	// recordOverhead is the size of a record's length on the wire, in bytes.
	recordOverhead = 4
	// An attempt times out after timeoutFactor times the smoothed latency, within minTimeout
	// and maxTimeout. Each attempt without a response doubles the timeout.
	timeoutFactor               = 8
	minTimeout                  = 200 * clock.Millis(1)
	maxTimeout                  = 3 * clock.Second
	initialLatency              = 20 * clock.Millis(1)
	minBackoff     clock.Millis = 30
	maxBackoff                  = 500 * clock.Millis(1)
)

// Run enables Write until ctx ends, and returns once all queues have stopped.
func (w *Writer) Run(ctx context.Context) {
	w.mu.Lock()
	w.ctx = ctx
	w.mu.Unlock()
	<-ctx.Done()
	w.group.Wait()
}

// Write appends records to a stream, next to each other, and returns the offset of the first
// one. It retries until the log has acknowledged them or ctx ends. A Refused error then means
// that the log does not have them and never will, an Unknown error that it may have them.
func (w *Writer) Write(ctx context.Context, stream ident.Stream, records ...[]byte) (ident.Offset, error) {
	write := &pendingWrite{records: records, done: make(chan result, 1)}
	for _, r := range records {
		write.bytes += len(r) + recordOverhead
	}
	q := w.queueOf(stream)
	if q == nil {
		return 0, fault.New("tail.Write", Refused, "the writer does not run")
	}
	q.mu.Lock()
	q.pending = append(q.pending, write)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case res := <-write.done:
		return res.first, res.err
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case res := <-write.done:
		return res.first, res.err
	default:
	}
	write.abandoned = true
	if write.sent {
		return 0, fault.Wrap("tail.Write", Unknown, ctx.Err(), "no word from the log on "+string(stream))
	}
	return 0, fault.Wrap("tail.Write", Refused, ctx.Err(), "not written to "+string(stream))
}

// queueOf returns the stream's queue, or nil if the writer is not running. The first call for
// a stream creates the queue and starts its drain.
func (w *Writer) queueOf(stream ident.Stream) *queue {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx == nil || w.ctx.Err() != nil {
		return nil
	}
	if q := w.queues[stream]; q != nil {
		return q
	}
	if w.queues == nil {
		w.queues = map[ident.Stream]*queue{}
	}
	q := &queue{wake: make(chan struct{}, 1), epoch: 1, seq: 1, smoothedLatency: initialLatency}
	w.queues[stream] = q
	w.group.Go(func() { w.drain(w.ctx, stream, q) })
	return q
}

// drain appends the pending writes of a queue until ctx ends.
func (w *Writer) drain(ctx context.Context, stream ident.Stream, q *queue) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		for ctx.Err() == nil {
			batch := q.nextBatch(w.MaxBytes)
			if len(batch) == 0 {
				break
			}
			w.sendBatch(ctx, stream, q, batch)
		}
	}
}

// nextBatch removes from the queue the writes of the next append: as many as fit into
// maxBytes, but at least one.
func (q *queue) nextBatch(maxBytes int) []*pendingWrite {
	q.mu.Lock()
	defer q.mu.Unlock()
	var batch []*pendingWrite
	size := 0
	for len(q.pending) > 0 {
		write := q.pending[0]
		if len(batch) > 0 && size+write.bytes > maxBytes {
			break
		}
		q.pending = q.pending[1:]
		if write.abandoned {
			continue
		}
		size += write.bytes
		batch = append(batch, write)
	}
	return batch
}

// sendBatch sends a batch until the log acknowledges it, no caller waits for it, or ctx ends.
func (w *Writer) sendBatch(ctx context.Context, stream ident.Stream, q *queue, batch []*pendingWrite) {
	timeout := min(max(timeoutFactor*q.smoothedLatency, minTimeout), maxTimeout)
	backoff := minBackoff
	// outcomeUnknown reports whether an attempt ended without a response of the log. Only the
	// first retry is sent at once: a single response may get lost, but a log that resets one
	// connection often resets the next one too.
	outcomeUnknown := false
	for ctx.Err() == nil {
		records, ok := q.markSent(&batch)
		if !ok {
			return
		}
		startedAt := w.Clock.Mono()
		callCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
		first, err := w.Log.AppendOnce(callCtx, stream, Ticket{Producer: w.Producer, Epoch: q.epoch, Seq: q.seq}, records)
		cancel()
		if err == nil {
			q.smoothedLatency = (3*q.smoothedLatency + w.Clock.Mono() - startedAt) / 4
			q.complete(batch, first)
			w.reportSuccess()
			return
		}
		if ctx.Err() != nil {
			return
		}
		w.reportError(err)
		switch fault.KindOf[Kind](err) {
		case Refused:
			q.unmarkSent(batch)
			w.Clock.Sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
		case OutOfOrder:
			q.epoch++
			q.seq = 1
		default:
			q.markOutcomeUnknown(batch)
			timeout = min(2*timeout, maxTimeout)
			if outcomeUnknown {
				w.Clock.Sleep(ctx, jitter(backoff))
				backoff = min(2*backoff, maxBackoff)
			}
			outcomeUnknown = true
		}
	}
}

// markSent marks the writes of a batch as sent and returns their records. It drops abandoned
// writes that were certainly not appended, and returns false if none is left.
func (q *queue) markSent(batch *[]*pendingWrite) ([][]byte, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	kept := (*batch)[:0]
	var records [][]byte
	for _, write := range *batch {
		if write.abandoned && !write.sent {
			continue
		}
		write.sent = true
		kept = append(kept, write)
		records = append(records, write.records...)
	}
	*batch = kept
	return records, len(kept) > 0
}

// unmarkSent clears the mark after a refusal, unless the outcome of an earlier attempt with
// the same ticket is unknown.
func (q *queue) unmarkSent(batch []*pendingWrite) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, write := range batch {
		if !write.outcomeUnknown {
			write.sent = false
		}
	}
}

func (q *queue) markOutcomeUnknown(batch []*pendingWrite) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, write := range batch {
		write.outcomeUnknown = true
	}
}

func (q *queue) complete(batch []*pendingWrite, first ident.Offset) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.seq++
	for _, write := range batch {
		write.done <- result{first: first}
		first += ident.Offset(len(write.records))
	}
}

func (w *Writer) reportError(err error) {
	if w.OnError != nil {
		w.OnError(err)
	}
}

func (w *Writer) reportSuccess() {
	if w.OnSuccess != nil {
		w.OnSuccess()
	}
}
