package blobs

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

const (
	// blobAttempts and textAttempts limit the consecutive reads for the first missing record
	// that return no records. Callers of Get can fall back to FetchFrom; callers of Texts have
	// no fallback.
	blobAttempts = 3
	textAttempts = 6
	// retryPause is the pause after a failed attempt; it doubles up to maxRetryPause.
	retryPause    = 50 * clock.Millis(1)
	maxRetryPause = 400 * clock.Millis(1)
	// maxReadsPerCaller limits the reads of one caller that run or are queued. With a log that
	// takes fifty times its usual 4 ms, four of them bring some 2 MB a second.
	maxReadsPerCaller = 4
)

// Get returns a blob from the cache or the log. The error is Gone if the log has dropped a
// record of it, and Unavailable if the log cannot be read or ctx ends.
func (s *Store) Get(ctx context.Context, span jobs.Span) ([]byte, error) {
	g := &gatherer{store: s, wanted: positionsOf(span), maxAttempts: blobAttempts}
	if err := g.run(ctx, func() bool { return false }); err != nil {
		return nil, err
	}
	return g.concat(0, span.Count), nil
}

// Texts reads texts; the parts of a text are joined by line feeds. It returns the complete
// texts before the first incomplete one, once all texts are read, at least maxBytes
// bytes have been read in order, term has elapsed, or an error occurs. It waits for the first
// text beyond term, until ctx ends. The error is Gone or Unavailable, as for Get, and is
// returned only if the first text is not complete.
//
// Texts runs a few large reads in parallel and returns partial results, because reading the
// texts one after another can take longer than callers wait.
func (s *Store) Texts(ctx context.Context, texts [][]jobs.Span, maxBytes int, term clock.Millis) ([]string, error) {
	g := &gatherer{store: s, maxBytes: maxBytes, maxAttempts: textAttempts}
	textEnds := make([]int, 0, len(texts))
	for _, spans := range texts {
		for _, span := range spans {
			g.wanted = append(g.wanted, positionsOf(span)...)
		}
		textEnds = append(textEnds, len(g.wanted))
	}
	deadline := s.Clock.Mono() + term
	g.timeout = s.Clock.After(term)
	// ready returns the number of complete texts before the first incomplete one.
	ready := func() int {
		count, _ := slices.BinarySearch(textEnds, g.firstMissing+1)
		return count
	}
	if len(textEnds) > 0 {
		g.minRecords = textEnds[0]
	}
	err := g.run(ctx, func() bool {
		return ready() > 0 && (g.readyBytes >= maxBytes || s.Clock.Mono() >= deadline)
	})
	if err != nil && ready() == 0 {
		return nil, err
	}
	joined := make([]string, 0, ready())
	at := 0
	for _, spans := range texts[:ready()] {
		parts := make([]string, 0, len(spans))
		for _, span := range spans {
			parts = append(parts, string(g.concat(at, at+span.Count)))
			at += span.Count
		}
		joined = append(joined, strings.Join(parts, "\n"))
	}
	return joined, nil
}

// positionsOf returns the positions of a span's records.
func positionsOf(span jobs.Span) []position {
	positions := make([]position, 0, span.Count)
	for i := range span.Count {
		positions = append(positions, position{stream: span.Stream, offset: span.First + ident.Offset(i)})
	}
	return positions
}

// gatherer reads records for one caller, in the order that the caller wants.
type gatherer struct {
	store  *Store
	wanted []position
	// maxBytes is the approximate limit of the bytes to read, except that the first minRecords
	// records are always read; 0 means no limit.
	maxBytes    int
	minRecords  int
	maxAttempts int
	// timeout fires once, when the caller's term has elapsed; nil means no term.
	timeout <-chan time.Time

	// slots holds the record of each wanted position. firstMissing is the index of the first
	// slot without a record, and readyBytes the size of the records before it.
	slots        []recordSlot
	firstMissing int
	readyBytes   int
	// reads are those that the caller waits for. failures counts consecutive reads for the
	// first missing position that returned no records.
	reads    []*read
	failures int
}

// recordSlot holds a record once it has been read; an empty record can be present.
type recordSlot struct {
	data    []byte
	present bool
}

// run reads until all records are present, enough returns true, a record cannot be read, or
// ctx ends.
func (g *gatherer) run(ctx context.Context, enough func() bool) error {
	g.slots = make([]recordSlot, len(g.wanted))
	defer g.abandon()
	for {
		missing := g.collectMissing()
		if len(missing) == 0 || enough() {
			return nil
		}
		next := g.startReads(missing)
		if next == nil {
			// Another caller's read has put the record into the cache since the check above.
			continue
		}
		select {
		case <-ctx.Done():
			return fault.Wrap("blobs.gather", Unavailable, ctx.Err(), "cannot read "+missing[0].String())
		case <-g.timeout:
			g.timeout = nil
		case <-next.done:
			if err := g.checkRead(next, missing[0]); err != nil {
				return err
			}
			g.backOff(ctx)
		}
	}
}

// collectMissing fills slots from ended reads and the cache and advances firstMissing. It
// returns the positions still to be read within the limit of maxBytes.
func (g *gatherer) collectMissing() []position {
	g.collectEnded()
	bytesLeft := -1
	if g.maxBytes > 0 {
		bytesLeft = max(g.maxBytes-g.readyBytes, 0)
	}
	missing := g.store.fillFromCache(g.wanted[g.firstMissing:], g.slots[g.firstMissing:], g.minRecords-g.firstMissing, bytesLeft)
	for g.firstMissing < len(g.wanted) && g.slots[g.firstMissing].present {
		g.readyBytes += len(g.slots[g.firstMissing].data)
		g.firstMissing++
	}
	return missing
}

// collectEnded copies the records of ended reads into slots, because the cache may have
// evicted them already.
func (g *gatherer) collectEnded() {
	g.reads = slices.DeleteFunc(g.reads, func(r *read) bool {
		if !r.ended() {
			return false
		}
		r.waiters.Add(-1)
		for n := g.firstMissing; len(r.records) > 0 && n < len(g.wanted); n++ {
			if g.wanted[n].stream != r.stream || g.slots[n].present {
				continue
			}
			g.slots[n].data, g.slots[n].present = r.record(g.wanted[n].offset)
		}
		return true
	})
}

// startReads joins or queues reads for the missing positions, up to maxReadsPerCaller; a read
// for the first position may exceed that number. It returns the read for the first position,
// or nil if its record is in the cache by now.
func (g *gatherer) startReads(missing []position) *read {
	covered := map[position]bool{}
	var next *read
	for _, r := range g.reads {
		for _, offset := range r.offsets {
			covered[position{stream: r.stream, offset: offset}] = true
		}
		if r.covers(missing[0]) {
			next = r
		}
	}
	room := maxReadsPerCaller - len(g.reads)
	if next != nil {
		g.store.prioritize(next)
	} else {
		room = max(room, 1)
	}
	uncovered := slices.DeleteFunc(slices.Clone(missing), func(p position) bool { return covered[p] })
	started := g.store.joinReads(uncovered, room, next == nil)
	g.reads = append(g.reads, started...)
	if next == nil && len(started) > 0 {
		next = started[0]
	}
	return next
}

// checkRead returns Gone if the log has dropped the wanted record, Unavailable after
// maxAttempts consecutive failures, and nil if the caller should continue.
func (g *gatherer) checkRead(r *read, wanted position) error {
	switch {
	case r.err == nil && wanted.offset < r.oldest:
		return fault.New("blobs.gather", Gone, "the log has dropped "+wanted.String()+"; the stream now begins at offset "+strconv.FormatInt(int64(r.oldest), 10))
	case len(r.records) > 0:
		g.failures = 0
		return nil
	}
	if g.failures++; g.failures < g.maxAttempts {
		return nil
	}
	if r.err == nil {
		return fault.New("blobs.gather", Unavailable, wanted.String()+" is not in the log yet")
	}
	return fault.Wrap("blobs.gather", Unavailable, r.err, "cannot read "+wanted.String())
}

// backOff pauses after a failed attempt, at most until the caller's term has elapsed.
func (g *gatherer) backOff(ctx context.Context) {
	if g.failures == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-g.timeout:
		g.timeout = nil
	case <-g.store.Clock.After(min(retryPause<<(g.failures-1), maxRetryPause)):
	}
}

// abandon stops waiting for the reads that have not ended.
func (g *gatherer) abandon() {
	for _, r := range g.reads {
		r.waiters.Add(-1)
	}
	g.reads = nil
}

// concat returns the concatenated records of the wanted positions from (inclusive) to
// (exclusive).
func (g *gatherer) concat(from, to int) []byte {
	if to-from == 1 {
		return g.slots[from].data
	}
	var blob []byte
	for _, f := range g.slots[from:to] {
		blob = append(blob, f.data...)
	}
	return blob
}
