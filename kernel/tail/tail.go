// Package tail is the platform's append-only log service as croftmoor uses it:
// streams of records with offsets, appended by anyone and read in order.
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
	// Refused means that the log said it did not append the record.
	Refused Kind = "Refused"
	// Unknown means that the record may or may not have been appended.
	Unknown Kind = "Unknown"
	// Unavailable means that the log could not be read.
	Unavailable Kind = "Unavailable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Record is one record of a stream.
type Record struct {
	Offset ident.Offset
	At     clock.Millis
	Data   []byte
}

// Batch is what one read returned. First is the oldest offset still kept and
// Next the offset that the next record will get.
type Batch struct {
	First   ident.Offset
	Next    ident.Offset
	Records []Record
	// CurrentAt is until when, by the reader's steady clock, the batch is known to have been
	// all there was; 0 is until it was received. See CurrentAt.
	CurrentAt clock.Millis
}

// maxResponseDelay is how long the log's answer may be under way, beyond the time that the
// call waits for a record: 4 ms by what the platform says, 50 times that when the log is slow.
const maxResponseDelay = 300 * clock.Millis(1)

// CurrentAt returns until when an answer is known to hold that was asked for at a time and
// received at another, the call waiting for a record so long at most. An answer that took
// longer was held up, or its reader was: one that had stood still for 5.7 s took the
// answer that lay in its socket for news, and denied a job that was accepted meanwhile.
func CurrentAt(sentAt, receivedAt, wait clock.Millis) clock.Millis {
	return min(receivedAt, sentAt+wait+maxResponseDelay)
}

// Reader reads streams in order.
type Reader interface {
	// Read returns records from offset on, waiting up to wait for the first one.
	Read(ctx context.Context, stream ident.Stream, from ident.Offset, wait clock.Millis) (Batch, error)
}

// Entry is the newest record of a key of a keyed stream.
type Entry struct {
	Key    string
	Value  []byte
	Offset ident.Offset
}

// Page is a part of the newest records of a keyed stream.
type Page struct {
	// Entries are in the order of their keys.
	Entries []Entry
	// Next is the offset that the next record of the stream will get.
	Next ident.Offset
	// More tells that there may be entries behind the last one.
	More bool
}

// KeyedReader reads streams that keep the newest record of each key.
type KeyedReader interface {
	// Newest returns the newest records of the keys behind a key, "" for the first
	// ones. Pages are no snapshot: what changes meanwhile comes again from the first
	// page's Next on. One call is one page, so that a caller can give each its own
	// time and keep those that came.
	Newest(ctx context.Context, stream ident.Stream, afterKey string) (Page, error)
}

// ChunkReader reads parts of streams.
type ChunkReader interface {
	// ReadSome returns records from offset on, about most bytes of them, waiting
	// up to wait for the first one.
	ReadSome(ctx context.Context, stream ident.Stream, from ident.Offset, maxBytes int, wait clock.Millis) (Batch, error)
}

// Log is the platform's log service.
type Log interface {
	Reader
	// Append adds a record and returns its offset. After an Unknown error the
	// record may still be there.
	Append(ctx context.Context, stream ident.Stream, data []byte) (ident.Offset, error)
}

// Clients holds the log clients by the name that settings use.
var Clients plug.Registry[Client]

// Client is a log client that is told where the log is before use.
type Client interface {
	Log
	Connect(address ident.Address)
}

const (
	readWait                   = 2 * clock.Second
	readTimeout                = 5 * clock.Second
	minRetryDelay clock.Millis = 50
	maxRetryDelay              = 1 * clock.Second
	// maxTimeoutFactor bounds how far the time of a read is drawn out after reads
	// that failed: a log that is busy must not be asked for the same again and again.
	maxTimeoutFactor = 4
)

// Tailer follows one stream in order. Set the fields before Run.
type Tailer struct {
	Log    Reader
	Stream ident.Stream
	Clock  *clock.Clock
	// From is the first offset wanted; 0 means the oldest kept.
	From ident.Offset
	// Apply is called with each batch in order, from one goroutine. A batch
	// without records still tells First and Next.
	Apply func(Batch)
	// OnError is called when a read fails; it may be nil.
	OnError func(error)
	// Wait is how long a read waits for a record, and Timeout bounds the whole
	// read; zero values mean the defaults.
	Wait    clock.Millis
	Timeout clock.Millis
	// Pause returns the pause after a batch, so that records that come one by one
	// do not cost a read each; nil is none.
	Pause func() clock.Millis
	// Wake ends a pause early when something is received from it; it may be nil.
	Wake <-chan struct{}
}

// Run follows the stream until ctx ends. Failed reads are retried with a
// growing, bounded pause.
func (t *Tailer) Run(ctx context.Context) {
	next := t.From
	retryDelay := minRetryDelay
	wait, baseTimeout := cmp.Or(t.Wait, readWait), cmp.Or(t.Timeout, readTimeout)
	timeout := baseTimeout
	for ctx.Err() == nil {
		startedAt := t.Clock.Mono()
		readCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
		batch, err := t.Log.Read(readCtx, t.Stream, next, wait)
		cancel()
		if err != nil {
			if t.OnError != nil && ctx.Err() == nil {
				t.OnError(err)
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

// jitter returns a pause that differs by up to a quarter from the given one, so that
// instances that failed together do not come back together.
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
