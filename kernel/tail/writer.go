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

// Ticket makes an append harmless to repeat: the log takes each ticket of a
// producer once, in order, and answers a repeated one as it did first.
type Ticket struct {
	Producer string
	Epoch    int64
	Seq      int64
}

// Appender appends records under a ticket, all or none.
type Appender interface {
	// AppendOnce returns the offset of the first record. After a Refused error
	// nothing was appended; after an Unknown error the same ticket may be used
	// again to find out.
	AppendOnce(ctx context.Context, stream ident.Stream, ticket Ticket, records [][]byte) (ident.Offset, error)
}

// Writer appends to streams for many callers at once: what comes while an
// append is under way goes together in the next one. Set the exported fields
// before Run. Lanes are guarded by mu, the state of each by its own lock.
type Writer struct {
	Log   Appender
	Clock *clock.Clock
	// Producer must be unique to this life of the process.
	Producer string
	// MaxBytes bounds one append.
	MaxBytes int
	// OnError is called when an append fails, before it is repeated; Worked when
	// one is acknowledged. Both may be nil.
	OnError   func(error)
	OnSuccess func()

	mu    sync.Mutex
	lanes map[ident.Stream]*lane
	group conc.WaitGroup
	ctx   context.Context
}

// lane is the queue of one stream.
type lane struct {
	mu      sync.Mutex
	waiting []*entry
	wake    chan struct{}
	epoch   int64
	seq     int64
	// took is the smoothed time of an append.
	took clock.Millis
}

// entry is what one caller wants appended.
type entry struct {
	records [][]byte
	bytes   int
	// sent tells that the log may have the records; gone that the caller left.
	sent bool
	gone bool
	// uncertain tells that a try ended without the log's word.
	uncertain bool
	done      chan outcome
}

type outcome struct {
	first ident.Offset
	err   error
}

const (
	// recordOverhead is what a record's length costs on the wire.
	recordOverhead = 4
	// An append without an answer is repeated after patience times the usual
	// time, within these bounds; each further time doubles it.
	patience                   = 8
	leastPatience              = 200 * clock.Millis(1)
	mostPatience               = 3 * clock.Second
	firstTook                  = 20 * clock.Millis(1)
	refusedFirst  clock.Millis = 30
	refusedMost                = 500 * clock.Millis(1)
)

// Run lets Write work until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	w.mu.Lock()
	w.ctx = ctx
	w.mu.Unlock()
	<-ctx.Done()
	w.group.Wait()
}

// Write appends records to a stream, next to each other, and returns the offset
// of the first one. It repeats until the log has them or ctx ends; a Refused
// error then means that the log does not have them and never will, an Unknown
// error that it may.
func (w *Writer) Write(ctx context.Context, stream ident.Stream, records ...[]byte) (ident.Offset, error) {
	e := &entry{records: records, done: make(chan outcome, 1)}
	for _, r := range records {
		e.bytes += len(r) + recordOverhead
	}
	l := w.lane(stream)
	if l == nil {
		return 0, fault.New("tail.Write", Refused, "the writer does not run")
	}
	l.mu.Lock()
	l.waiting = append(l.waiting, e)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	select {
	case o := <-e.done:
		return o.first, o.err
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case o := <-e.done:
		return o.first, o.err
	default:
	}
	e.gone = true
	if e.sent {
		return 0, fault.Wrap("tail.Write", Unknown, ctx.Err(), "no word from the log on "+string(stream))
	}
	return 0, fault.Wrap("tail.Write", Refused, ctx.Err(), "not written to "+string(stream))
}

func (w *Writer) lane(stream ident.Stream) *lane {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx == nil || w.ctx.Err() != nil {
		return nil
	}
	if l := w.lanes[stream]; l != nil {
		return l
	}
	if w.lanes == nil {
		w.lanes = map[ident.Stream]*lane{}
	}
	l := &lane{wake: make(chan struct{}, 1), epoch: 1, seq: 1, took: firstTook}
	w.lanes[stream] = l
	w.group.Go(func() { w.drain(w.ctx, stream, l) })
	return l
}

// drain appends what waits in a lane until ctx ends.
func (w *Writer) drain(ctx context.Context, stream ident.Stream, l *lane) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for ctx.Err() == nil {
			batch := l.next(w.MaxBytes)
			if len(batch) == 0 {
				break
			}
			w.append(ctx, stream, l, batch)
		}
	}
}

// next takes the entries of the next append off the queue.
func (l *lane) next(most int) []*entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var batch []*entry
	size := 0
	for len(l.waiting) > 0 {
		e := l.waiting[0]
		if len(batch) > 0 && size+e.bytes > most {
			break
		}
		l.waiting = l.waiting[1:]
		if e.gone {
			continue
		}
		size += e.bytes
		batch = append(batch, e)
	}
	return batch
}

// append repeats one append until the log's word on it is known.
func (w *Writer) append(ctx context.Context, stream ident.Stream, l *lane, batch []*entry) {
	timeout := min(max(patience*l.took, leastPatience), mostPatience)
	pause := refusedFirst
	// uncertain tells that a try ended without the log's word. Only the first repeat
	// goes out at once: an answer may be lost alone, but a log that resets connections
	// does so to the next one too.
	uncertain := false
	for ctx.Err() == nil {
		records, ok := l.send(&batch)
		if !ok {
			return
		}
		began := w.Clock.Mono()
		callCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
		first, err := w.Log.AppendOnce(callCtx, stream, Ticket{Producer: w.Producer, Epoch: l.epoch, Seq: l.seq}, records)
		cancel()
		if err == nil {
			l.took = (3*l.took + w.Clock.Mono() - began) / 4
			l.finish(batch, first)
			w.worked()
			return
		}
		if ctx.Err() != nil {
			return
		}
		w.failed(err)
		switch fault.KindOf[Kind](err) {
		case Refused:
			l.unsend(batch)
			w.Clock.Sleep(ctx, jitter(pause))
			pause = min(2*pause, refusedMost)
		case OutOfOrder:
			l.epoch++
			l.seq = 1
		default:
			l.uncertain(batch)
			timeout = min(2*timeout, mostPatience)
			if uncertain {
				w.Clock.Sleep(ctx, jitter(pause))
				pause = min(2*pause, refusedMost)
			}
			uncertain = true
		}
	}
}

// send marks the entries as sent and joins their records. Entries that nobody
// waits for and that were certainly not appended are left out; it reports
// false if none is left.
func (l *lane) send(batch *[]*entry) ([][]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := (*batch)[:0]
	var records [][]byte
	for _, e := range *batch {
		if e.gone && !e.sent {
			continue
		}
		e.sent = true
		kept = append(kept, e)
		records = append(records, e.records...)
	}
	*batch = kept
	return records, len(kept) > 0
}

// unsend takes the mark back after a refusal, unless an earlier try of the same
// ticket is still uncertain.
func (l *lane) unsend(batch []*entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range batch {
		if !e.uncertain {
			e.sent = false
		}
	}
}

func (l *lane) uncertain(batch []*entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range batch {
		e.uncertain = true
	}
}

func (l *lane) finish(batch []*entry, first ident.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	for _, e := range batch {
		e.done <- outcome{first: first}
		first += ident.Offset(len(e.records))
	}
}

func (w *Writer) failed(err error) {
	if w.OnError != nil {
		w.OnError(err)
	}
}

func (w *Writer) worked() {
	if w.OnSuccess != nil {
		w.OnSuccess()
	}
}
