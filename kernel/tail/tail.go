// Package tail holds the client of the platform's append-only log service: streams of records
// with increasing offsets, to which many writers append and which readers follow in order.
package tail

import (
	"cmp"
	"context"
	"math/rand/v2"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/plug"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Refused means that the log did not append the record.
	Refused Kind = "Refused"
	// Unknown means that the record may or may not have been appended.
	Unknown Kind = "Unknown"
	// Unavailable means that the log could not be read.
	Unavailable Kind = "Unavailable"
	// Overtaken means that the log did not answer a read, but one that was sent later: it
	// dropped the read, and answers now. Ask again at once.
	Overtaken Kind = "Overtaken"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Record is one record of a stream. At is the log's wall-clock time of the append.
type Record struct {
	Offset ident.Offset
	At     clock.Millis
	Data   []byte
}

// Batch is the result of one read. First is the oldest offset still kept, and Next is the
// offset that the next record of the stream will get.
type Batch struct {
	First   ident.Offset
	Next    ident.Offset
	Records []Record
	// CurrentAt is the latest time, on the reader's monotonic clock, at which the batch is
	// known to have been up to date; 0 means the time of its receipt.
	CurrentAt clock.Millis
}

// maxResponseDelay bounds the time that a response may take beyond the read's wait for a
// record and still count as current at its receipt. The platform's log answers in 4 ms, and in
// fifty times that when it is slow.
const maxResponseDelay = 300 * clock.Millis(1)

// CurrentAt returns the latest time at which the response to a read is known to have been up
// to date. wait is the read's longest wait for a record. A response that took longer than wait
// and maxResponseDelay was delayed, or its reader was suspended, and records may have been
// appended in the meantime.
func CurrentAt(sentAt, receivedAt, wait clock.Millis) clock.Millis {
	return min(receivedAt, sentAt+wait+maxResponseDelay)
}

// Reader reads streams in order.
type Reader interface {
	// Read returns records from offset from on, waiting up to wait for the first one.
	Read(ctx context.Context, stream ident.Stream, from ident.Offset, wait clock.Millis) (Batch, error)
}

// Entry is the newest record of one key of a keyed stream.
type Entry struct {
	Key    string
	Value  []byte
	Offset ident.Offset
}

// Page is one page of the newest records of a keyed stream.
type Page struct {
	// Entries are sorted by key.
	Entries []Entry
	// Next is the offset that the next record of the stream will get.
	Next ident.Offset
	// More reports whether there may be entries after the last one.
	More bool
}

// KeyedReader reads streams that keep the newest record of each key.
type KeyedReader interface {
	// Newest returns one page of newest records, those of the keys after afterKey; "" starts
	// with the first key. The pages are not a snapshot: to get the records appended in the
	// meantime, follow the stream from the Next of the first page. Each call reads one page,
	// so that the caller can bound each read and keep the pages already read.
	Newest(ctx context.Context, stream ident.Stream, afterKey string) (Page, error)
}

// ChunkReader reads streams in parts of limited size.
type ChunkReader interface {
	// ReadSome returns records from offset from on, about maxBytes bytes of them, waiting up
	// to wait for the first one.
	ReadSome(ctx context.Context, stream ident.Stream, from ident.Offset, maxBytes int, wait clock.Millis) (Batch, error)
}

// Log is the platform's log service.
type Log interface {
	Reader
	// Append appends a record and returns its offset. After an Unknown error the record may
	// have been appended.
	Append(ctx context.Context, stream ident.Stream, data []byte) (ident.Offset, error)
}

// Clients holds the log clients by the names that the settings use.
var Clients plug.Registry[Client]

// Client is a log client. Connect sets the log's address and must be called first.
type Client interface {
	Log
	Connect(address ident.Address)
}

const (
	readWait                   = 2 * clock.Second
	readTimeout                = 5 * clock.Second
	minRetryDelay clock.Millis = 50
	maxRetryDelay              = 1 * clock.Second
	// maxTimeoutFactor bounds the growth of the timeout after reads that timed out. A longer
	// timeout keeps a busy log from repeated work on reads that nobody waits for.
	maxTimeoutFactor = 4
)

// Tailer follows one stream in order. Set the fields before Run.
type Tailer struct {
	Source Reader
	Stream ident.Stream
	Clock  *clock.Clock
	// From is the first offset wanted; 0 means the oldest kept.
	From ident.Offset
	// Apply is called with each batch in order, from one goroutine. A batch without records
	// still carries First and Next.
	Apply func(Batch)
	// OnError is called when a read fails; it may be nil.
	OnError func(error)
	// Wait is how long a read waits for a record, and Timeout bounds the whole read; zero
	// values mean the defaults.
	Wait    clock.Millis
	Timeout clock.Millis
	// Pause returns how long to wait between two reads once the end of the stream is reached,
	// so that records that arrive one by one share a read; nil means no wait.
	Pause func() clock.Millis
	// Wake ends the wait of Pause early when a value is received from it; it may be nil.
	Wake <-chan struct{}
}

// Run follows the stream until ctx ends. It retries failed reads after a growing, bounded
// delay.
func (t *Tailer) Run(ctx context.Context) {
	next := t.From
	retryDelay := minRetryDelay
	wait, baseTimeout := cmp.Or(t.Wait, readWait), cmp.Or(t.Timeout, readTimeout)
	timeout := baseTimeout
	for ctx.Err() == nil {
		startedAt := t.Clock.Mono()
		readCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
		batch, err := t.Source.Read(readCtx, t.Stream, next, wait)
		cancel()
		if err != nil {
			if t.OnError != nil && ctx.Err() == nil {
				t.OnError(err)
			}
			if fault.KindOf[Kind](err) == Overtaken {
				continue
			}
			if t.Clock.Mono()-startedAt >= timeout {
				timeout = min(2*timeout, maxTimeoutFactor*baseTimeout)
			}
			t.Clock.Sleep(ctx, jitter(retryDelay))
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay, timeout = minRetryDelay, baseTimeout
		batch.CurrentAt = CurrentAt(startedAt, t.Clock.Mono(), wait)
		t.Apply(batch)
		next = nextOffset(batch, next)
		if t.Pause != nil && next >= batch.Next {
			t.pause(ctx)
		}
	}
}

// jitter returns a random delay from 3/4 to 5/4 of delay, which spreads the retries of
// instances that failed at the same time.
func jitter(delay clock.Millis) clock.Millis {
	return delay*3/4 + clock.Millis(rand.Int64N(int64(delay)/2+1))
}

func (t *Tailer) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-t.Wake:
	case <-t.Clock.After(t.Pause()):
	}
}

func nextOffset(batch Batch, next ident.Offset) ident.Offset {
	if n := len(batch.Records); n > 0 {
		return batch.Records[n-1].Offset + 1
	}
	return max(next, batch.First)
}
