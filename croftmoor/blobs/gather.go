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
	// blobAttempts and textAttempts limit the attempts to read the first missing record.
	// Callers of Get can fall back to FetchFrom; callers of Texts have no fallback.
	blobTries = 3
	textTries = 6
	// retryPause is the pause after a failed attempt; it doubles up to maxRetryPause.
	tryPause     = 50 * clock.Millis(1)
	mostTryPause = 400 * clock.Millis(1)
	// maxReadsPerCaller limits the reads of one caller that run or are queued.
	readsAhead = 4
)

// Get returns a blob from the cache or the log. The error is Gone if the log has dropped a
// record of it, and Unavailable if the log cannot be read or ctx ends.
func (s *Store) Get(ctx context.Context, span jobs.Span) ([]byte, error) {
	g := &gathering{store: s, wanted: placesOf(span), tries: blobTries}
	if err := g.run(ctx, func() bool { return false }); err != nil {
		return nil, err
	}
	return g.join(0, span.Count), nil
}

// Texts reads texts; the parts of a text are joined by line feeds. It returns the longest
// prefix of texts that is complete when that prefix has maxBytes bytes or when term has
// elapsed. If the first text is not complete by then, Texts waits for it until ctx ends.
// The error is Gone or Unavailable, as for Get, and is returned only if no text is complete.
//
// Texts runs a few large reads in parallel and returns partial results, because reading the
// texts one after another can take longer than callers wait.
func (s *Store) Texts(ctx context.Context, texts [][]jobs.Span, most int, term clock.Millis) ([]string, error) {
	g := &gathering{store: s, most: most, tries: textTries}
	ends := make([]int, 0, len(texts))
	for _, spans := range texts {
		for _, span := range spans {
			g.wanted = append(g.wanted, placesOf(span)...)
		}
		ends = append(ends, len(g.wanted))
	}
	until := s.Clock.Mono() + term
	g.over = s.Clock.After(term)
	// ready returns the number of complete texts before the first incomplete one.
	ready := func() int {
		count, _ := slices.BinarySearch(ends, g.first+1)
		return count
	}
	if len(ends) > 0 {
		g.least = ends[0]
	}
	err := g.run(ctx, func() bool {
		return ready() > 0 && (g.bytes >= most || s.Clock.Mono() >= until)
	})
	if err != nil && ready() == 0 {
		return nil, err
	}
	joined := make([]string, 0, ready())
	at := 0
	for _, spans := range texts[:ready()] {
		parts := make([]string, 0, len(spans))
		for _, span := range spans {
			parts = append(parts, string(g.join(at, at+span.Count)))
			at += span.Count
		}
		joined = append(joined, strings.Join(parts, "\n"))
	}
	return joined, nil
}

// positionsOf returns the positions of a span's records.
func placesOf(span jobs.Span) []place {
	places := make([]place, 0, span.Count)
	for i := range span.Count {
		places = append(places, place{stream: span.Stream, offset: span.First + ident.Offset(i)})
	}
	return places
}

// gatherer reads records for one caller, in the order that the caller wants.
type gathering struct {
	store  *Store
	wanted []place
	// maxBytes limits the bytes to read, except that the first minRecords records are always
	// read; 0 means no limit.
	most  int
	least int
	tries int
	// timeout fires once, when the caller's term has elapsed; nil means no term.
	over <-chan time.Time

	// slots holds the record of each wanted position. firstMissing is the index of the first
	// slot without a record, and readyBytes the size of the records before it.
	found []found
	first int
	bytes int
	// reads are those that the caller waits for. failures counts consecutive reads for the
	// first missing position that returned no records.
	reads  []*read
	failed int
}

// recordSlot holds a record once it has been read; an empty record can be present.
type found struct {
	data  []byte
	there bool
}

// run reads until all records are present, enough returns true, a record cannot be read, or
// ctx ends.
func (g *gathering) run(ctx context.Context, enough func() bool) error {
	g.found = make([]found, len(g.wanted))
	defer g.leave()
	for {
		missing := g.missing()
		if len(missing) == 0 || enough() {
			return nil
		}
		next := g.begin(missing)
		if next == nil {
			// Another caller's read has put the record into the cache since the check above.
			continue
		}
		select {
		case <-ctx.Done():
			return fault.Wrap("blobs.gather", Unavailable, ctx.Err(), "cannot read "+missing[0].String())
		case <-g.over:
			g.over = nil
		case <-next.done:
			if err := g.judge(next, missing[0]); err != nil {
				return err
			}
			g.rest(ctx)
		}
	}
}

// collectMissing fills slots from ended reads and the cache and advances firstMissing. It
// returns the positions still to be read within the limit of maxBytes.
func (g *gathering) missing() []place {
	g.takeEnded()
	bytes := -1
	if g.most > 0 {
		bytes = max(g.most-g.bytes, 0)
	}
	missing := g.store.fillIn(g.wanted[g.first:], g.found[g.first:], g.least-g.first, bytes)
	for g.first < len(g.wanted) && g.found[g.first].there {
		g.bytes += len(g.found[g.first].data)
		g.first++
	}
	return missing
}

// collectEnded copies the records of ended reads into slots, because the cache may have
// evicted them already.
func (g *gathering) takeEnded() {
	g.reads = slices.DeleteFunc(g.reads, func(r *read) bool {
		if !r.ended() {
			return false
		}
		r.waiting.Add(-1)
		for n := g.first; len(r.records) > 0 && n < len(g.wanted); n++ {
			if g.wanted[n].stream != r.stream || g.found[n].there {
				continue
			}
			g.found[n].data, g.found[n].there = r.record(g.wanted[n].offset)
		}
		return true
	})
}

// startReads joins or queues reads for the missing positions, at most maxReadsPerCaller. It
// returns the read for the first position, or nil if its record is in the cache by now.
func (g *gathering) begin(missing []place) *read {
	covered := map[place]bool{}
	var next *read
	for _, r := range g.reads {
		for _, offset := range r.wanted {
			covered[place{stream: r.stream, offset: offset}] = true
		}
		if r.isFor(missing[0]) {
			next = r
		}
	}
	room := readsAhead - len(g.reads)
	if next != nil {
		g.store.hasten(next)
	} else {
		room = max(room, 1)
	}
	open := slices.DeleteFunc(slices.Clone(missing), func(p place) bool { return covered[p] })
	begun := g.store.join(open, room, next == nil)
	g.reads = append(g.reads, begun...)
	if next == nil && len(begun) > 0 {
		next = begun[0]
	}
	return next
}

// checkRead returns Gone if the log has dropped the wanted record, Unavailable if the last
// attempt has failed, and nil if the caller goes on.
func (g *gathering) judge(r *read, wanted place) error {
	switch {
	case r.err == nil && wanted.offset < r.oldest:
		return fault.New("blobs.gather", Gone, "the log has dropped "+wanted.String()+", its first offset is "+strconv.FormatInt(int64(r.oldest), 10))
	case len(r.records) > 0:
		g.failed = 0
		return nil
	}
	if g.failed++; g.failed < g.tries {
		return nil
	}
	if r.err == nil {
		return fault.New("blobs.gather", Unavailable, wanted.String()+" is not in the log yet")
	}
	return fault.Wrap("blobs.gather", Unavailable, r.err, "cannot read "+wanted.String())
}

// backOff pauses after a failed attempt, at most until the caller's term has elapsed.
func (g *gathering) rest(ctx context.Context) {
	if g.failed == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-g.over:
		g.over = nil
	case <-g.store.Clock.After(min(tryPause<<(g.failed-1), mostTryPause)):
	}
}

// abandon stops waiting for the reads that have not ended.
func (g *gathering) leave() {
	for _, r := range g.reads {
		r.waiting.Add(-1)
	}
	g.reads = nil
}

// concat returns the concatenated records of the wanted positions from (inclusive) to
// (exclusive).
func (g *gathering) join(from, to int) []byte {
	if to-from == 1 {
		return g.found[from].data
	}
	var blob []byte
	for _, f := range g.found[from:to] {
		blob = append(blob, f.data...)
	}
	return blob
}
