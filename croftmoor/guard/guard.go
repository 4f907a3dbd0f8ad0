// Package guard keeps requests that end the servers that run them from the servers,
// on all instances: each tells the others, through the platform's log and, while that
// is away, directly, which servers ended under which requests. kernel/poison decides.
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

// Stream is where instances tell each other. It is apart from the ledger, which most
// instances of a large fleet do not read, while each of them takes callers' requests.
const Stream ident.Stream = "ends.0"

const (
	// readWait is how long a read waits for a record, and readTimeout when one counts as
	// lost: the others must know of an end well within the 3 s that the platform grants.
	readWait    = 1 * clock.Second
	readTimeout = 1800 * clock.Millis(1)
	// readPause groups records: when a server ends, all requests that ran there are told of.
	readPause = 20 * clock.Millis(1)
	// blindTerm is how long an instance that has not read what is held keeps requests
	// back, from the first one on: a read that failed is repeated after 1.25 s at most. What
	// can't be read for longer is done without. unreadPause is when callers come back meanwhile.
	blindTerm   = 2 * clock.Second
	unreadPause = 100 * clock.Millis(1)
	// writeTerm bounds the telling of a record; after it a table has forgotten the end, or
	// renews it.
	writeTerm = 60 * clock.Second
	// directAfter is how long the log may take before the others are told directly as
	// well: ten times a usual append.
	directAfter = 300 * clock.Millis(1)
	// directTerm bounds a call that tells another instance.
	directTerm = 1 * clock.Second
	// mostDirect bounds the instances that are told directly: each of them tells no
	// others, and those left out learn of it from the log. It is about a fleet of the
	// middle size; what the calls cost was not measured.
	mostDirect = 64
	// mostPending bounds the records that wait to be written; more are dropped and
	// counted. 512 is what 40 servers with 12 requests each lose at once.
	mostPending = 512
	// tidyPeriod is the pause between two looks for what is to be forgotten or renewed,
	// and renewSpread the span over which instances spread the renewing.
	tidyPeriod  = 10 * clock.Second
	renewSpread = 60 * clock.Second
)

// Writer appends records to streams.
type Writer interface {
	Write(ctx context.Context, stream ident.Stream, records ...[]byte) (ident.Offset, error)
}

// Guard is this instance's copy of what all know. Set the exported fields before Setup.
// The table is guarded by mu.
type Guard struct {
	Self   ident.InstanceName
	Clock  *clock.Clock
	Log    zerolog.Logger
	Reader tail.Reader
	Writer Writer
	// Peers returns the addresses of the other living instances.
	Peers func() []ident.Address

	client *http.Client
	group  conc.WaitGroup

	mu      sync.Mutex
	table   *poison.Table
	ctx     context.Context
	pending int
	dropped int
	// held is how many requests were held when that was last logged.
	held int
	// read tells that the log was read to its end once; asked is when that was first
	// needed.
	read  bool
	asked clock.Millis
}

// Setup makes the guard usable.
func (g *Guard) Setup() {
	g.table = poison.NewTable()
	g.client = rpcs.NewClient()
}

// Run follows what the others tell until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	g.mu.Lock()
	g.ctx = ctx
	g.mu.Unlock()
	tailer := &tail.Tailer{
		Source: g.Reader, Stream: Stream, Clock: g.Clock, Apply: g.apply, Wait: readWait, Timeout: readTimeout,
		Pause: func() clock.Millis { return readPause },
	}
	g.readAtOnce(ctx)
	var group conc.WaitGroup
	group.Go(func() { tailer.Run(ctx) })
	group.Go(func() { g.Clock.Every(ctx, tidyPeriod, g.tidy) })
	group.Wait()
	g.group.Wait()
}

// readAtOnce reads what there is without waiting for more: a read that waits is answered
// after a second where nothing is held, and calls of an instance that has just started were refused
// so long, 1.3% of a day with restarts.
func (g *Guard) readAtOnce(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	if batch, err := g.Reader.Read(callCtx, Stream, 0, 0); err == nil {
		g.apply(batch)
	}
}

// Ready tells whether what all know has been read since this instance started, or has been
// waited for in vain. When all had been killed while the log was away, the first calls
// came 10 ms before the read of what had been held, and ended four servers more.
func (g *Guard) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready()
}

// ready is Ready; mu is held.
func (g *Guard) ready() bool {
	now := g.Clock.Mono()
	if g.asked == 0 {
		g.asked = max(now, 1)
	}
	return g.read || now-g.asked > blindTerm
}

// Quiet tells that no request is suspected of anything.
func (g *Guard) Quiet() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready() && g.table.Empty()
}

// Held returns for how long a request goes to no server, and why; 0 if it may.
func (g *Guard) Held(request poison.Fingerprint) (left clock.Millis, why string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.table.Verdict(request, g.Clock.Mono())
	if v.Left == 0 && !g.ready() {
		return unreadPause, "which requests are held has not been read yet"
	}
	if v.Left == 0 {
		return 0, ""
	}
	why = fmt.Sprintf("request %s: %d servers ended under it, the last one was heard of %d ms ago; it is held for %d ms", request, v.Ends, v.Age, v.Left)
	if v.Doubt {
		why += ", since another request was there each time"
	}
	return v.Left, why
}

// Ended tells all instances that a server ended while it ran a request.
func (g *Guard) Ended(request poison.Fingerprint, server ident.BackendName) {
	g.note(poison.End{Request: request, Server: server}, false)
}

// Answered tells all instances that a server answered a request, if it is suspected.
func (g *Guard) Answered(request poison.Fingerprint) {
	g.mu.Lock()
	suspected := g.table.Suspected(request)
	g.mu.Unlock()
	if suspected {
		g.note(poison.Answer{Request: request}, false)
	}
}

// HeldCount returns how many requests go to no server.
func (g *Guard) HeldCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Held(g.Clock.Mono())
}

// note takes a record over and, unless the log told of it, passes it on.
func (g *Guard) note(r poison.Record, told bool) {
	news := g.take(r, told)
	if !told && news {
		g.tell(r)
	}
}

// take folds a record into the table and reports whether it was news.
func (g *Guard) take(r poison.Record, told bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Mono()
	news := true
	switch r := r.(type) {
	case poison.End:
		if news = g.table.Ended(r, told, now); news {
			v := g.table.Verdict(r.Request, now)
			g.Log.Info().Str("Request", string(r.Request)).Str("Server", string(r.Server)).
				Bool("Told", told).Int("Ends", v.Ends).Int64("HeldMillis", int64(v.Left)).Bool("Doubt", v.Doubt).Msg("server ended under a request")
		}
	case poison.Answer:
		if news = g.table.Suspected(r.Request); news {
			g.table.Answered(r.Request)
			g.Log.Info().Str("Request", string(r.Request)).Bool("Told", told).Msg("request answered, no longer suspected")
		}
	}
	g.noteHeld(now)
	return news
}

// noteHeld logs a change of the number of held requests; mu is held.
func (g *Guard) noteHeld(now clock.Millis) {
	if held := g.table.Held(now); held != g.held {
		g.Log.Warn().Int("Held", held).Int("Before", g.held).Msg("requests kept from servers")
		g.held = held
	}
}

// tell writes a record to the log, and tells the others directly if that takes long.
func (g *Guard) tell(r poison.Record) {
	data, err := poison.Encode(r)
	if err != nil {
		g.Log.Error().Err(err).Msg("record not told")
		return
	}
	ctx, ok := g.reserve()
	if !ok {
		return
	}
	g.group.Go(func() {
		defer g.release()
		ctx, cancel := context.WithTimeout(ctx, writeTerm.Duration())
		defer cancel()
		direct := g.Clock.AfterFunc(directAfter, func() { g.tellPeers(ctx, data) })
		defer direct.Stop()
		if _, err := g.Writer.Write(ctx, Stream, data); err != nil && ctx.Err() == nil {
			g.Log.Warn().Err(err).Msg("the others were not told through the log")
		}
	})
}

// reserve counts a record that is being told; it refuses one too many.
func (g *Guard) reserve() (context.Context, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx == nil || g.ctx.Err() != nil {
		return nil, false
	}
	if g.pending >= mostPending {
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

// apply takes over what the log tells.
func (g *Guard) apply(batch tail.Batch) {
	last := batch.First
	for _, record := range batch.Records {
		g.fold(record.Data, true, int64(record.Offset))
		last = record.Offset + 1
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.read = g.read || last >= batch.Next
}

// fold takes over one record; a record that can't be read is skipped.
func (g *Guard) fold(data []byte, told bool, offset int64) {
	r, err := poison.Decode(data)
	if err != nil {
		g.Log.Error().Err(err).Int64("Offset", offset).Msg("record skipped")
		return
	}
	if r != nil {
		g.take(r, told)
	}
}

// tidy forgets what is too old, and renews what the log is about to forget.
func (g *Guard) tidy() {
	g.mu.Lock()
	now := g.Clock.Mono()
	g.table.Forget(now)
	ends := g.table.Renew(now, g.late())
	dropped := g.dropped
	g.dropped = 0
	g.noteHeld(now)
	g.mu.Unlock()
	if dropped > 0 {
		g.Log.Warn().Int("Records", dropped).Msg("ends not told: too many at once")
	}
	for _, e := range ends {
		g.tell(e)
	}
}

// late is how much later than others this instance renews.
func (g *Guard) late() clock.Millis {
	return clock.Millis(ident.Hash(string(g.Self)) % uint64(renewSpread))
}
