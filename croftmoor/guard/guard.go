// Package guard blocks requests that crash the servers that run them. Each instance reports
// which servers ended while they ran which requests, to all other instances: through the
// platform's log and, if an append takes long, also directly. kernel/poison decides which
// requests are held.
package guard

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/rpcs"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/poison"
	"croftmoor.dev/kernel/tail"
)

// Stream is the stream of these reports. It is not part of the ledger, because every
// instance must read it, but most instances of a large fleet do not read the ledger.
const Stream ident.Stream = "ends.0"

const (
	// pollWait is how long a read waits for a record; readTimeout bounds the whole read,
	// including that wait. Reports must reach all instances within 3 s even if a read times out.
	pollWait    = 1 * clock.Second
	readTimeout = 1800 * clock.Millis(1)
	// readPause is the pause between two reads, so that the reports of all requests of one
	// ended server share a read.
	readPause = 20 * clock.Millis(1)
	// maxUnreadWait is the longest time for which an instance refuses requests because it
	// has not read the stream to its end, counted from the first request. After that it
	// serves without the log. A failed read is repeated after 1.25 s at most, so that one
	// failure is waited for. unreadRetryAfter is the retry delay of these refusals.
	maxUnreadWait    = 2 * clock.Second
	unreadRetryAfter = 100 * clock.Millis(1)
	// writeTimeout bounds the publication of a record. A record that was not appended by then
	// is not retried, but cleanUp publishes the ends of held requests again.
	writeTimeout = 60 * clock.Second
	// directDelay is how long an append may take before peers are notified directly as well:
	// ten times a usual append.
	directDelay = 300 * clock.Millis(1)
	// directTimeout bounds a call to another instance.
	directTimeout = 1 * clock.Second
	// maxDirectPeers bounds the instances that are notified directly of one record. They do
	// not forward it; all others read it from the log.
	maxDirectPeers = 64
	// maxPending bounds the records being published; further ones are dropped and counted.
	// 40 servers with 12 requests each lose about as many at once.
	maxPending = 512
	// cleanupPeriod is the interval between two cleanups; renewSpread is the time over which
	// the instances spread the renewal of records.
	cleanupPeriod = 10 * clock.Second
	renewSpread   = 60 * clock.Second
)

// Writer appends records to streams.
type Writer interface {
	Write(ctx context.Context, stream ident.Stream, records ...[]byte) (ident.Offset, error)
}

// Guard is this instance's table of suspected requests. Set the exported fields before
// Setup. The fields from table on are guarded by mu.
type Guard struct {
	Self   ident.InstanceName
	Clock  *clock.Clock
	Log    zerolog.Logger
	Reader tail.Reader
	Writer Writer
	// Peers returns the addresses of the other live instances.
	Peers func() []ident.Address

	client *http.Client
	group  conc.WaitGroup

	mu      sync.Mutex
	table   *poison.Table
	ctx     context.Context
	pending int
	dropped int
	// loggedHeld is the last logged number of held requests.
	loggedHeld int
	// caughtUp is whether the stream has been read to its end once; firstAsked is when ready
	// was first called, 0 if never.
	caughtUp   bool
	firstAsked clock.Millis
}

// Setup initialises the guard.
func (g *Guard) Setup() {
	g.table = poison.NewTable()
	g.client = rpcs.NewClient()
}

// Run reads the stream and cleans up until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	g.mu.Lock()
	g.ctx = ctx
	g.mu.Unlock()
	tailer := &tail.Tailer{
		Source: g.Reader, Stream: Stream, Clock: g.Clock, Apply: g.apply, Wait: pollWait, Timeout: readTimeout,
		Pause: func() clock.Millis { return readPause },
	}
	g.readExisting(ctx)
	var group conc.WaitGroup
	group.Go(func() { tailer.Run(ctx) })
	group.Go(func() { g.Clock.Every(ctx, cleanupPeriod, g.cleanUp) })
	group.Wait()
	g.group.Wait()
}

// readExisting reads the existing records without waiting for new ones. On an empty stream
// the tailer's first read would return only after pollWait, and this instance would refuse
// requests until then.
func (g *Guard) readExisting(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	if batch, err := g.Reader.Read(callCtx, Stream, 0, 0); err == nil {
		g.apply(batch)
	}
}

// Ready reports whether this instance has read the stream to its end since it started, or
// has waited for that for maxUnreadWait. Until then it may not know of requests that other
// instances hold, and running them could crash servers.
func (g *Guard) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready()
}

// ready implements Ready; the caller holds mu.
func (g *Guard) ready() bool {
	now := g.Clock.Mono()
	if g.firstAsked == 0 {
		g.firstAsked = max(now, 1)
	}
	return g.caughtUp || now-g.firstAsked > maxUnreadWait
}

// Quiet reports whether the guard is ready and no request is suspected.
func (g *Guard) Quiet() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready() && g.table.Empty()
}

// Held returns how much longer a request must not run, and why; 0 if it may run.
func (g *Guard) Held(request poison.Fingerprint) (remaining clock.Millis, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.table.Verdict(request, g.Clock.Mono())
	if v.HeldFor == 0 && !g.ready() {
		return unreadRetryAfter, "which requests are held has not been read yet"
	}
	if v.HeldFor == 0 {
		return 0, ""
	}
	reason = fmt.Sprintf("request %s: %d servers ended under it, the last one was heard of %d ms ago; it is held for %d ms", request, v.Ends, v.SinceLastEnd, v.HeldFor)
	if v.Ambiguous {
		reason += ", since another request was there each time"
	}
	return v.HeldFor, reason
}

// Ended reports to all instances that a server ended while it ran a request.
func (g *Guard) Ended(request poison.Fingerprint, server ident.BackendName) {
	g.report(poison.End{Request: request, Server: server, At: g.Clock.Now()}, false)
}

// ServerEnded reports to all instances that a server ended while it ran requests that are
// not the cause.
func (g *Guard) ServerEnded(server ident.BackendName) {
	g.report(poison.ServerEnd{Server: server, At: g.Clock.Now()}, false)
}

// Answered reports to all instances that a server answered a request, if it is suspected.
func (g *Guard) Answered(request poison.Fingerprint) {
	g.mu.Lock()
	suspected := g.table.Suspected(request)
	g.mu.Unlock()
	if suspected {
		g.report(poison.Answer{Request: request}, false)
	}
}

// HeldCount returns the number of held requests.
func (g *Guard) HeldCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.CountHeld(g.Clock.Mono())
}

// report applies a record and publishes it if it is new and not from the log.
func (g *Guard) report(r poison.Record, fromLog bool) {
	isNew := g.applyRecord(r, fromLog)
	if !fromLog && isNew {
		g.publish(r)
	}
}

// applyRecord applies a record to the table and returns whether the record is new.
func (g *Guard) applyRecord(r poison.Record, fromLog bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Mono()
	isNew := true
	switch r := r.(type) {
	case poison.End:
		if isNew = g.table.Ended(r, fromLog, now); isNew {
			v := g.table.Verdict(r.Request, now)
			g.Log.Info().Str("Request", string(r.Request)).Str("Server", string(r.Server)).
				Bool("Told", fromLog).Int("Ends", v.Ends).Int64("HeldMillis", int64(v.HeldFor)).Bool("Doubt", v.Ambiguous).Msg("server ended while it ran a request")
		}
	case poison.ServerEnd:
		if isNew = g.table.ServerEnded(r, now); isNew {
			g.Log.Info().Str("Server", string(r.Server)).Bool("Told", fromLog).Msg("server ended while it ran items")
		}
	case poison.Answer:
		if isNew = g.table.Suspected(r.Request); isNew {
			g.table.Answered(r.Request)
			g.Log.Info().Str("Request", string(r.Request)).Bool("Told", fromLog).Msg("request answered, no longer suspected")
		}
	}
	g.logHeld(now)
	return isNew
}

// logHeld logs a change of the number of held requests; the caller holds mu.
func (g *Guard) logHeld(now clock.Millis) {
	if held := g.table.CountHeld(now); held != g.loggedHeld {
		g.Log.Warn().Int("Held", held).Int("Before", g.loggedHeld).Msg("number of held requests changed")
		g.loggedHeld = held
	}
}

// publish appends a record to the log in the background. If that takes longer than
// directDelay, it also notifies peers directly.
func (g *Guard) publish(r poison.Record) {
	data, err := poison.Encode(r)
	if err != nil {
		g.Log.Error().Err(err).Msg("record cannot be encoded")
		return
	}
	ctx, ok := g.reserve()
	if !ok {
		return
	}
	g.group.Go(func() {
		defer g.release()
		ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
		defer cancel()
		direct := g.Clock.AfterFunc(directDelay, func() { g.notifyPeers(ctx, data) })
		defer direct.Stop()
		if _, err := g.Writer.Write(ctx, Stream, data); err != nil && ctx.Err() == nil {
			g.Log.Warn().Err(err).Msg("record not appended to the log")
		}
	})
}

// reserve counts a record that is being published. It returns false, and counts the record
// as dropped, if there are maxPending of them; it also returns false if Run is not active.
func (g *Guard) reserve() (context.Context, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx == nil || g.ctx.Err() != nil {
		return nil, false
	}
	if g.pending >= maxPending {
		g.dropped++
		return nil, false
	}
	g.pending++
	return g.ctx, true
}

func (g *Guard) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending--
}

// apply applies a batch of the stream.
func (g *Guard) apply(batch tail.Batch) {
	next := batch.First
	for _, record := range batch.Records {
		g.applyEncoded(record.Data, true, int64(record.Offset))
		next = record.Offset + 1
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.caughtUp = g.caughtUp || next >= batch.Next
}

// applyEncoded applies one record; it skips a record that cannot be decoded. offset is only
// logged; it is 0 for a record that another instance sent directly.
func (g *Guard) applyEncoded(data []byte, fromLog bool, offset int64) {
	r, err := poison.Decode(data)
	if err != nil {
		g.Log.Error().Err(err).Int64("Offset", offset).Msg("record skipped: cannot be decoded")
		return
	}
	if r != nil {
		g.applyRecord(r, fromLog)
	}
}

// cleanUp drops expired suspects from the table, and publishes the ends of held requests
// again before the log drops them.
func (g *Guard) cleanUp() {
	g.mu.Lock()
	now := g.Clock.Mono()
	g.table.Forget(now)
	ends := g.table.DueForRenewal(now, g.renewDelay())
	dropped := g.dropped
	g.dropped = 0
	g.logHeld(now)
	g.mu.Unlock()
	if dropped > 0 {
		g.Log.Warn().Int("Records", dropped).Msg("records dropped: too many are pending")
	}
	for _, e := range ends {
		g.publish(e)
	}
}

// renewDelay returns this instance's delay before it renews records, less than renewSpread.
// Instances have different delays so that they do not all publish the same records at once.
func (g *Guard) renewDelay() clock.Millis {
	return clock.Millis(ident.Hash(string(g.Self)) % uint64(renewSpread))
}
