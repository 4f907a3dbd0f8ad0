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
	// blobTries and textTries are how often the first missing record is tried for a caller
	// of one blob, who has other ways, and of texts, who has none.
	blobTries = 3
	textTries = 6
	// tryPause is the pause after a try that failed; it doubles up to mostTryPause.
	tryPause     = 50 * clock.Millis(1)
	mostTryPause = 400 * clock.Millis(1)
	// readsAhead is how many reads one caller has under way or waiting: with a log that
	// takes 50 times its usual 4 ms they bring some 2 MB a second.
	readsAhead = 4
)

// Get reads a blob.
func (s *Store) Get(ctx context.Context, span jobs.Span) ([]byte, error) {
	g := &gathering{store: s, wanted: placesOf(span), tries: blobTries}
	if err := g.run(ctx, func() bool { return false }); err != nil {
		return nil, err
	}
	return g.join(0, span.Count), nil
}

// Texts reads texts, each of which consists of parts between which a line feed stands. It
// returns those from the first one on that were there when they had most bytes together,
// or when the term was over; without the first one it waits on until ctx ends.
//
// A job's texts are read with few large reads side by side and given as far as they are
// there: read one after another, with none given before the last, they took longer than
// their caller waited, at each instance anew.
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
	// ready returns how many texts are there from the first one on.
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

// placesOf returns where the records of a span lie.
func placesOf(span jobs.Span) []place {
	places := make([]place, 0, span.Count)
	for i := range span.Count {
		places = append(places, place{stream: span.Stream, offset: span.First + ident.Offset(i)})
	}
	return places
}

// gathering is one caller's reading of many places, in the order in which it wants them.
type gathering struct {
	store  *Store
	wanted []place
	// most is how many bytes are wanted at most, beside the first least places; 0 is all.
	most  int
	least int
	tries int
	// over ends a wait, once; it may be nil.
	over <-chan time.Time

	// found are the records of the wanted places as far as they are there; first is the
	// first missing one, and bytes the size of those before it.
	found []found
	first int
	bytes int
	// reads are those that the caller waits for, failed counts those that brought nothing
	// for the first missing place.
	reads  []*read
	failed int
}

// found is a record, if it is there.
type found struct {
	data  []byte
	there bool
}

// run reads until all places are there, enough says so, or ctx ends.
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
			// It has come between the two looks.
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

// missing returns the places that the caller lacks of those that it can use.
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

// takeEnded takes over what the ended reads brought: the cache may have dropped it again.
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

// begin has the missing places read, some reads ahead, and returns the read for the first,
// or nil if that place has come meanwhile.
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

// judge returns an error if the first missing place can't be read.
func (g *gathering) judge(r *read, wanted place) error {
	switch {
	case r.err == nil && wanted.offset < r.oldest:
		return fault.New("blobs.gather", Gone, "the log has dropped "+wanted.String()+" and all up to "+strconv.FormatInt(int64(r.oldest), 10))
	case len(r.records) > 0:
		g.failed = 0
		return nil
	}
	if g.failed++; g.failed < g.tries {
		return nil
	}
	if r.err == nil {
		return fault.New("blobs.gather", Unavailable, wanted.String()+" is not there yet")
	}
	return fault.Wrap("blobs.gather", Unavailable, r.err, "cannot read "+wanted.String())
}

// rest pauses after a try that failed, so that a log which refuses is not asked at once, and
// no longer than the caller's term.
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

// leave gives up the reads that have not ended.
func (g *gathering) leave() {
	for _, r := range g.reads {
		r.waiting.Add(-1)
	}
	g.reads = nil
}

// join returns the records from one wanted place up to another, joined.
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
