// Package ledger maintains this instance's copy of the state that all instances share:
// it reads the ledger's stream, folds its records, appends records, and sends heartbeats.
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

// Stream is the name of the ledger's stream.
const Stream ident.Stream = "ledger.0"

const (
	// heartbeatPeriod is the shortest pause between two heartbeats.
	heartbeatPeriod = 350 * clock.Millis(1)
	// DeadAfter is the silence after which an instance counts as dead and others take over
	// its roles.
	DeadAfter = 2500 * clock.Millis(1)
	// QuietAfter is the shortest silence after which other instances may claim the items of
	// an instance: about three heartbeats are overdue. A shorter time repeats runs of live
	// instances, a longer one delays the step.
	QuietAfter = 1200 * clock.Millis(1)
	// MemberRenewal is how long an instance that writes other records may send no heartbeat: the
	// log drops old records, and who starts later must learn from the rest who lives.
	MemberRenewal = 10 * clock.Second
	// RoleRenewal is the same for an instance that holds a role.
	RoleRenewal = 2 * clock.Second
	// readWait is how long a read waits for new records, and so the longest time between
	// two responses. readTimeout is when a read without a response has failed.
	readWait    = 500 * clock.Millis(1)
	readTimeout = 1500 * clock.Millis(1)
	// minPause is the shortest pause between two reads, which batches records that arrive
	// one by one. The pause grows with the number of instances: together they may use
	// readShare of the reads per second that the log serves, and heartbeatShare of the
	// writes. Hurry ends the pause early.
	minPause       = 15 * clock.Millis(1)
	readShare      = 0.15
	heartbeatShare = 0.2
	// silentPeriods is the number of heartbeat periods that others wait before they claim an
	// instance's items.
	silentPeriods = 3
	// maxFreshAge is the greatest age at which the state still counts as fresh.
	maxFreshAge = 1500 * clock.Millis(1)
	// jobRetention is how long jobs are kept, and after that their ids. It exceeds the time
	// for which callers may ask for a job.
	jobRetention     = 180 * clock.Second
	forgetPeriod     = 5 * clock.Second
	heartbeatTimeout = 2 * clock.Second
	// firstOffset is the offset of the ledger's first record.
	firstOffset ident.Offset = 1
)

// Writer appends records to streams.
type Writer interface {
	Write(ctx context.Context, stream ident.Stream, records ...[]byte) (ident.Offset, error)
}

// Ledger is this instance's copy of the shared state. Set the exported fields and call
// Setup before Run. The mutex mu guards the fields below it.
type Ledger struct {
	Self ident.InstanceName
	Zone ident.Zone
	// Address accepts calls from other instances.
	Address ident.Address
	Clock   *clock.Clock
	Log     zerolog.Logger
	Reader  tail.Reader
	Writer  Writer
	// ReadsPerSecond and WritesPerSecond are the rates that the log serves to all instances
	// together.
	ReadsPerSecond  int
	WritesPerSecond int
	// CanAct reports whether this instance has all that it needs, besides the state, to run
	// items and hold roles; nil is always.
	CanAct func() bool

	// silenceLimit is silentPeriods heartbeat periods, in milliseconds, at the current number
	// of instances. It is atomic because callers of QuietSince may hold mu.
	silenceLimit atomic.Int64

	mu      sync.Mutex
	state   *jobs.State
	changed chan struct{}
	readNow chan struct{}
	// lastResponse is the time of the log's last response, lastCaughtUp that of the last
	// response that reached the end of the stream. In between, the state is known to lag.
	// Both are times at which the log responded, not at which the response was processed.
	lastResponse clock.Millis
	lastCaughtUp clock.Millis
	// steadySince is the start of the current period without a pause of more than
	// maxFreshAge between responses.
	steadySince clock.Millis
	// gapSeenAt is when records were last found missing because the log had dropped them
	// before they were read; it is valid if gapSeen is set.
	gapSeenAt      clock.Millis
	gapSeen        bool
	responded      bool
	caughtUp       bool
	unreachable    bool
	lastSignOfLife clock.Millis
	lastHeartbeat  clock.Millis
	leaving        bool
	// start is that of this instance's heartbeats.
	start ident.Offset
	// superseded is closed once supersededNoted is set.
	superseded      chan struct{}
	supersededNoted bool
}

// Setup initialises the ledger. Call it before Run.
func (l *Ledger) Setup() {
	l.state = jobs.NewState()
	l.changed = make(chan struct{})
	l.readNow = make(chan struct{}, 1)
	l.superseded = make(chan struct{})
}

// Run follows the ledger's stream and sends heartbeats until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	tailer := &tail.Tailer{
		Source: l.Reader, Stream: Stream, Clock: l.Clock, Apply: l.apply, OnError: l.readFailed,
		Wait: readWait, Timeout: readTimeout, Pause: l.pause, Wake: l.readNow,
	}
	var group conc.WaitGroup
	group.Go(func() { tailer.Run(ctx) })
	group.Go(func() { l.sendHeartbeats(ctx) })
	group.Go(func() { l.Clock.Every(ctx, forgetPeriod, l.forget) })
	group.Wait()
}

// pause returns the pause between two reads.
func (l *Ledger) pause() clock.Millis {
	return max(minPause, l.periodPerInstance(float64(l.ReadsPerSecond)*readShare))
}

// periodPerInstance returns the period at which each instance may act if all live
// instances together may act perSecond times a second.
func (l *Ledger) periodPerInstance(perSecond float64) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	live := l.state.LiveCount(l.Clock.Mono() - DeadAfter)
	return clock.Millis(float64(live) * float64(clock.Second) / max(perSecond, 1))
}

// apply folds a batch of records and updates the times that tell how current the state
// is. The pause since the previous response must be evaluated before lastResponse is set.
func (l *Ledger) apply(batch tail.Batch) {
	now := l.Clock.Mono()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.responded && now-l.lastResponse > maxFreshAge {
		l.state.ShiftLastHeard(now - l.lastResponse)
	}
	if !l.responded || now-l.lastResponse > maxFreshAge {
		l.steadySince = now
	}
	if batch.First > max(l.state.Next, firstOffset) {
		l.gapSeenAt, l.gapSeen = now, true
	}
	l.state.UpToDate = l.caughtUp && now-l.lastCaughtUp <= maxFreshAge
	respondedAt := now
	if batch.CurrentAt > 0 {
		respondedAt = min(now, batch.CurrentAt)
	}
	l.responded = true
	l.lastResponse = respondedAt
	if l.unreachable {
		l.unreachable = false
		l.Log.Info().Str("Dependency", "ledger").Int64("Next", int64(batch.Next)).Msg("regained")
	}
	for _, record := range batch.Records {
		l.fold(record, now)
	}
	l.noteSuperseded()
	last := batch.First
	if n := len(batch.Records); n > 0 {
		last = batch.Records[n-1].Offset + 1
	}
	if max(last, l.state.Next) >= batch.Next {
		l.caughtUp, l.lastCaughtUp = true, respondedAt
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
		l.state.Apply(record.Offset, decoded, now)
	}
}

func (l *Ledger) readFailed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.unreachable && l.Clock.Mono()-l.lastResponse > maxFreshAge {
		l.unreachable = true
		l.Log.Warn().Err(err).Str("Dependency", "ledger").Int64("AgeMillis", int64(l.Clock.Mono()-l.lastResponse)).Msg("lost")
	}
}

func (l *Ledger) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Mono()
	l.state.Forget(now, now-jobRetention)
}

// Append writes records at consecutive offsets. See tail.Writer for the returned offset
// and the errors.
func (l *Ledger) Append(ctx context.Context, records ...jobs.Record) (ident.Offset, error) {
	data := make([][]byte, 0, len(records))
	hasSignOfLife := false
	for _, r := range records {
		data = append(data, jobs.Encode(r))
		hasSignOfLife = hasSignOfLife || jobs.IsSignOfLife(r)
	}
	sentAt := l.Clock.Mono()
	offset, err := l.Writer.Write(ctx, Stream, data...)
	if err == nil && hasSignOfLife {
		l.mu.Lock()
		l.lastSignOfLife = max(l.lastSignOfLife, sentAt)
		l.mu.Unlock()
	}
	return offset, err
}

// Hurry ends the pause before the next read, for callers that wait for records that are
// known to be in the log. It does not block.
func (l *Ledger) Hurry() {
	select {
	case l.readNow <- struct{}{}:
	default:
	}
}

// View calls visit with the state while holding the lock. The state must not be retained
// or modified.
func (l *Ledger) View(visit func(*jobs.State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	visit(l.state)
}

// Changed returns a channel that is closed when the next records are folded.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// CaughtUp reports whether the state has ever been read to the end of the stream.
func (l *Ledger) CaughtUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.caughtUp
}

// Age returns the time since the state was last known to be at the end of the stream, or
// jobRetention if it never was.
func (l *Ledger) Age() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.caughtUp {
		return jobRetention
	}
	return l.Clock.Mono() - l.lastCaughtUp
}

// Idle returns the time since the log's last response. The caller must hold the lock, as
// within View.
func (l *Ledger) Idle() clock.Millis {
	return l.Clock.Mono() - l.lastResponse
}

// Steady returns how long the log has responded without a pause of more than
// maxFreshAge. The caller must hold the lock, as within View.
func (l *Ledger) Steady() clock.Millis {
	return l.Clock.Mono() - l.steadySince
}

// Gap reports whether this copy lacks records that the log dropped before they were
// read, and when that was last found. The caller must hold the lock, as within View.
func (l *Ledger) Gap() (at clock.Millis, found bool) {
	return l.gapSeenAt, l.gapSeen
}

// Away reports whether the log has stopped responding, so that the state cannot change.
// An instance that has not caught up yet is not away.
func (l *Ledger) Away() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.caughtUp && l.Idle() > maxFreshAge
}

// Fresh reports whether the state is recent enough to act on.
func (l *Ledger) Fresh() bool {
	return l.Age() <= maxFreshAge
}

// Heard returns the time since this instance sent its last acknowledged sign of life.
func (l *Ledger) Heard() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Clock.Mono() - l.lastSignOfLife
}

// Since returns the earliest time of a last sign of life at which a member counts as
// alive.
func (l *Ledger) Since() clock.Millis {
	return l.Clock.Mono() - DeadAfter
}

// QuietSince returns the earliest time of a last sign of life at which the owner of an
// item keeps it. With many instances, heartbeats are less frequent and the time is earlier.
func (l *Ledger) QuietSince() clock.Millis {
	return l.Clock.Mono() - max(QuietAfter, clock.Millis(l.silenceLimit.Load()))
}

// Await waits until all records before the offset next have been folded, or ctx ends.
func (l *Ledger) Await(ctx context.Context, next ident.Offset) error {
	for {
		changed := l.Changed()
		reached := false
		l.View(func(s *jobs.State) { reached = s.Next >= next })
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
