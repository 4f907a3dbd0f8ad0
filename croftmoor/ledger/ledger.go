// Package ledger keeps this instance's copy of the state that all instances
// share: it follows the ledger's stream, folds it, tells who is alive, and
// appends records.
package ledger

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/tail"
)

// Stream is the ledger's stream.
const Stream ident.Stream = "ledger.0"

const (
	// beatPeriod is the pause between two signs of life.
	beatPeriod = 350 * clock.Millis(1)
	// DeadAfter is the silence after which an instance counts as gone and its
	// roles pass on.
	DeadAfter = 2500 * clock.Millis(1)
	// QuietAfter is the silence after which the items of an instance may be
	// claimed by others: three signs of life are late. A wrong guess costs a
	// second run, a late one the time of a step.
	QuietAfter = 1200 * clock.Millis(1)
	// readWait is how long a read waits for a record, so that an answer tells at
	// least so often that the state is current; readTimeout is when one counts
	// as lost.
	readWait    = 500 * clock.Millis(1)
	readTimeout = 1500 * clock.Millis(1)
	// leastPause groups records that come one by one. With many instances the
	// pause grows, so that all of them together use readShare of the reads that
	// the log serves, and beatShare of the writes for signs of life. Records that
	// an instance waits for itself end the pause; see Hurry.
	leastPause = 15 * clock.Millis(1)
	readShare  = 0.15
	beatShare  = 0.2
	quietBeats = 3
	// freshTerm is how long after a read the state counts as current.
	freshTerm = 1500 * clock.Millis(1)
	// keepTerm is how long jobs are remembered; it is longer than anybody may
	// ask for one.
	keepTerm     = 180 * clock.Second
	forgetPeriod = 5 * clock.Second
	beatTimeout  = 2 * clock.Second
	// firstOffset is that of the ledger's first record.
	firstOffset ident.Offset = 1
)

// Writer appends records to streams.
type Writer interface {
	Write(ctx context.Context, stream ident.Stream, records ...[]byte) (ident.Offset, error)
}

// Ledger is this instance's copy. Set the exported fields before Run. The state
// is guarded by mu.
type Ledger struct {
	Self ident.InstanceName
	Zone ident.Zone
	// Address takes other instances' calls.
	Address ident.Address
	Clock   *clock.Clock
	Log     zerolog.Logger
	Reader  tail.Reader
	Writer  Writer
	// ReadsPerSecond and WritesPerSecond are what the log serves to all
	// instances together.
	ReadsPerSecond  int
	WritesPerSecond int

	// quiet is the silence that is usual with so many instances, in milliseconds;
	// it has no lock, since it is read by those who hold mu.
	quiet atomic.Int64

	mu      sync.Mutex
	book    *jobs.Book
	changed chan struct{}
	hurry   chan struct{}
	// read is when the log last answered, ended when an answer last reached the
	// end of the stream: in between, the state is known to be in arrears. Both are of
	// the answer and not of its receipt (tail.CurrentAt).
	read  clock.Millis
	ended clock.Millis
	// steady is since when the log has answered without a gap.
	steady clock.Millis
	// gap is when records were last found to be missing that the log had dropped, gapped
	// that this has happened.
	gap     clock.Millis
	gapped  bool
	began   bool
	current bool
	lost    bool
	beaten  clock.Millis
	leaving bool
}

// Setup makes the ledger usable; it is called before Run.
func (l *Ledger) Setup() {
	l.book = jobs.NewBook()
	l.changed = make(chan struct{})
	l.hurry = make(chan struct{}, 1)
}

// Run follows the ledger and tells that this instance is alive until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	tailer := &tail.Tailer{
		Source: l.Reader, Stream: Stream, Clock: l.Clock, Apply: l.apply, OnError: l.failed,
		Wait: readWait, Timeout: readTimeout, Pause: l.pause, Wake: l.hurry,
	}
	var group conc.WaitGroup
	group.Go(func() { tailer.Run(ctx) })
	group.Go(func() { l.beat(ctx) })
	group.Go(func() { l.Clock.Every(ctx, forgetPeriod, l.forget) })
	group.Wait()
}

// pause returns the pause between two reads.
func (l *Ledger) pause() clock.Millis {
	return max(leastPause, l.each(float64(l.ReadsPerSecond)*readShare))
}

// each returns the period at which each instance may act, if all together may
// act so many times a second.
func (l *Ledger) each(perSecond float64) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	live := l.book.LiveCount(l.Clock.Mono() - DeadAfter)
	return clock.Millis(float64(live) * float64(clock.Second) / max(perSecond, 1))
}

func (l *Ledger) apply(batch tail.Batch) {
	now := l.Clock.Mono()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.began && now-l.read > freshTerm {
		l.book.Shift(now - l.read)
	}
	if !l.began || now-l.read > freshTerm {
		l.steady = now
	}
	if batch.First > max(l.book.Next, firstOffset) {
		l.gap, l.gapped = now, true
	}
	l.book.Current = l.current && now-l.read <= freshTerm
	told := now
	if batch.CurrentAt > 0 {
		told = min(now, batch.CurrentAt)
	}
	l.began = true
	l.read = told
	if l.lost {
		l.lost = false
		l.Log.Info().Str("Dependency", "ledger").Int64("Next", int64(batch.Next)).Msg("regained")
	}
	for _, record := range batch.Records {
		l.fold(record, now)
	}
	last := batch.First
	if n := len(batch.Records); n > 0 {
		last = batch.Records[n-1].Offset + 1
	}
	if max(last, l.book.Next) >= batch.Next {
		l.current, l.ended = true, told
	}
	if len(batch.Records) > 0 {
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

func (l *Ledger) fold(record tail.Record, now clock.Millis) {
	decoded, err := jobs.Decode(record.Data)
	if err != nil {
		l.Log.Error().Err(err).Int64("Offset", int64(record.Offset)).Msg("record skipped")
		return
	}
	if decoded != nil {
		l.book.Apply(record.Offset, decoded, now)
	}
}

func (l *Ledger) failed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lost && l.Clock.Mono()-l.read > freshTerm {
		l.lost = true
		l.Log.Warn().Err(err).Str("Dependency", "ledger").Int64("AgeMillis", int64(l.Clock.Mono()-l.read)).Msg("lost")
	}
}

func (l *Ledger) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.Forget(l.Clock.Mono() - keepTerm)
}

// beat writes signs of life. The first one ends the earlier life of this instance,
// and takes no work before the state has been read to its end: the others would
// give items and roles to an instance that can't act yet.
func (l *Ledger) beat(ctx context.Context) {
	l.beatOnce(ctx)
	for !l.Current() {
		if !l.Clock.Sleep(ctx, leastPause) {
			return
		}
	}
	for {
		l.beatOnce(ctx)
		period := max(beatPeriod, l.each(float64(l.WritesPerSecond)*beatShare))
		l.quiet.Store(int64(quietBeats * period))
		if !l.rest(ctx, period) {
			return
		}
	}
}

func (l *Ledger) beatOnce(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, beatTimeout.Duration())
	defer cancel()
	if _, err := l.Append(callCtx, l.sign()); err != nil && ctx.Err() == nil {
		l.Log.Warn().Err(err).Msg("sign of life not written")
	}
}

// rest waits until no sign of life has been written for a period: other records
// of this instance are as good as one. It reports false if ctx ended.
func (l *Ledger) rest(ctx context.Context, period clock.Millis) bool {
	if !l.Clock.Sleep(ctx, period) {
		return false
	}
	for left := period - l.Heard(); left > 0; left = period - l.Heard() {
		if !l.Clock.Sleep(ctx, left) {
			return false
		}
	}
	return true
}

// sign returns a sign of life.
func (l *Ledger) sign() jobs.Beat {
	l.mu.Lock()
	defer l.mu.Unlock()
	return jobs.Beat{By: l.Self, Zone: l.Zone, Address: l.Address, Leaving: l.leaving || !l.current}
}

// Leave tells the others that this instance takes no more work.
func (l *Ledger) Leave(ctx context.Context) error {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	_, err := l.Append(ctx, l.sign())
	return err
}

// Append appends records next to each other. See tail.Writer for its errors.
func (l *Ledger) Append(ctx context.Context, records ...jobs.Record) (ident.Offset, error) {
	data := make([][]byte, 0, len(records))
	signs := false
	for _, r := range records {
		data = append(data, jobs.Encode(r))
		signs = signs || jobs.Signs(r)
	}
	began := l.Clock.Mono()
	offset, err := l.Writer.Write(ctx, Stream, data...)
	if err == nil && signs {
		l.mu.Lock()
		l.beaten = max(l.beaten, began)
		l.mu.Unlock()
	}
	return offset, err
}

// Hurry has the log read at once, because something waits for records that are
// known to be there.
func (l *Ledger) Hurry() {
	select {
	case l.hurry <- struct{}{}:
	default:
	}
}

// View calls look with the state, which must not be kept or changed.
func (l *Ledger) View(look func(*jobs.Book)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	look(l.book)
}

// Changed returns a channel that is closed at the next change of the state.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Current tells whether the state has been read to its end once.
func (l *Ledger) Current() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// Age returns how long ago the state was last known to be current.
func (l *Ledger) Age() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.current {
		return keepTerm
	}
	return l.Clock.Mono() - l.ended
}

// Idle returns how long ago the log last answered. It may be called within
// View.
func (l *Ledger) Idle() clock.Millis {
	return l.Clock.Mono() - l.read
}

// Steady returns for how long the log has answered without a gap. It may be called
// within View.
func (l *Ledger) Steady() clock.Millis {
	return l.Clock.Mono() - l.steady
}

// Gap tells whether this copy lacks records that the log had dropped before they were
// read, and when that was last found. It may be called within View.
func (l *Ledger) Gap() (at clock.Millis, found bool) {
	return l.gap, l.gapped
}

// Away tells that the log does not answer: the state stays as it is. An instance
// that is in arrears is not away, its state is about to change.
func (l *Ledger) Away() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current && l.Idle() > freshTerm
}

// Fresh tells whether the state is current enough to act on.
func (l *Ledger) Fresh() bool {
	return l.Age() <= freshTerm
}

// Heard returns how long ago this instance's own last acknowledged sign of life
// was sent.
func (l *Ledger) Heard() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Clock.Mono() - l.beaten
}

// Since returns the time since which a member must have been heard to count as
// alive.
func (l *Ledger) Since() clock.Millis {
	return l.Clock.Mono() - DeadAfter
}

// QuietSince returns the time since which the owner of an item must have been
// heard. With many instances signs of life come less often.
func (l *Ledger) QuietSince() clock.Millis {
	return l.Clock.Mono() - max(QuietAfter, clock.Millis(l.quiet.Load()))
}

// Await waits until the record before next has been folded.
func (l *Ledger) Await(ctx context.Context, next ident.Offset) error {
	for {
		changed := l.Changed()
		reached := false
		l.View(func(b *jobs.Book) { reached = b.Next >= next })
		if reached {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
