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
	// readTries is how often one place is tried for one caller.
	readTries = 3
	// readsAhead is how many reads one caller has under way: with a log that takes 50 times
	// its usual 4 ms they bring some 2 MB a second.
	readsAhead = 4
)

// Get reads a blob.
func (s *Store) Get(ctx context.Context, span jobs.Span) ([]byte, error) {
	g := &gathering{store: s, wanted: placesOf(span)}
	if err := g.run(ctx, func() bool { return false }); err != nil {
		return nil, err
	}
	return g.join(span), nil
}

// Texts reads texts, each of which consists of parts between which a line feed stands. It
// returns those from the first one on that were there when they had most bytes together,
// or when the term was over; without the first one it waits on until ctx ends.
//
// A job's texts are read with few large reads side by side and given as far as they are
// there: read one after another, with none given before the last, they took longer than
// their caller waited, at each instance anew.
func (s *Store) Texts(ctx context.Context, texts [][]jobs.Span, most int, term clock.Millis) ([]string, error) {
	g := &gathering{store: s, most: most}
	for _, spans := range texts {
		for _, span := range spans {
			g.wanted = append(g.wanted, placesOf(span)...)
		}
	}
	until := s.Clock.Mono() + term
	g.over = s.Clock.After(term)
	err := g.run(ctx, func() bool {
		ready, bytes := g.ready(texts)
		return bytes >= most || (ready > 0 && s.Clock.Mono() >= until)
	})
	ready, _ := g.ready(texts)
	if ready == 0 && err != nil {
		return nil, err
	}
	joined := make([]string, 0, ready)
	for _, spans := range texts[:ready] {
		parts := make([]string, 0, len(spans))
		for _, span := range spans {
			parts = append(parts, string(g.join(span)))
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
	// most is how many bytes are wanted at most; 0 is all.
	most int
	// over ends a wait, once; it may be nil.
	over <-chan time.Time

	have map[place][]byte
	// reads are those that the caller waits for, failed counts those that brought nothing
	// for the place wanted first.
	reads  []*read
	failed int
}

// run reads until all places are there, enough says so, or ctx ends.
func (g *gathering) run(ctx context.Context, enough func() bool) error {
	g.have = make(map[place][]byte, len(g.wanted))
	defer g.leave()
	for {
		missing := g.missing()
		if len(missing) == 0 || enough() {
			return nil
		}
		first := g.begin(missing)
		select {
		case <-ctx.Done():
			return fault.Wrap("blobs.Get", Unavailable, ctx.Err(), "cannot read "+missing[0].String())
		case <-g.over:
			g.over = nil
		case <-first.done:
			if err := g.judge(first, missing[0]); err != nil {
				return err
			}
		}
	}
}

// missing returns the places that the caller lacks of those that it can use.
func (g *gathering) missing() []place {
	g.takeEnded()
	var missing []place
	bytes := 0
	for _, p := range g.wanted {
		if g.most > 0 && bytes >= g.most {
			break
		}
		data, ok := g.have[p]
		if !ok {
			data, ok = g.store.lookup(p)
		}
		if !ok {
			missing = append(missing, p)
			bytes += g.store.sizeOf(p.stream)
			continue
		}
		g.have[p] = data
		bytes += len(data)
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
		for _, offset := range r.wanted {
			if data, ok := r.record(offset); ok {
				g.have[place{stream: r.stream, offset: offset}] = data
			}
		}
		return true
	})
}

// begin has the missing places read, some reads ahead, and returns the read for the first.
func (g *gathering) begin(missing []place) *read {
	covered := map[place]bool{}
	for _, r := range g.reads {
		for _, offset := range r.wanted {
			covered[place{stream: r.stream, offset: offset}] = true
		}
	}
	room := readsAhead - len(g.reads)
	if !covered[missing[0]] {
		room = max(room, 1)
	}
	open := slices.DeleteFunc(slices.Clone(missing), func(p place) bool { return covered[p] })
	g.reads = append(g.reads, g.store.begin(open, room)...)
	at := slices.IndexFunc(g.reads, func(r *read) bool { return r.isFor(missing[0]) })
	return g.reads[at]
}

// judge returns an error if the place wanted first can't be read.
func (g *gathering) judge(r *read, wanted place) error {
	switch {
	case r.err == nil && wanted.offset < r.oldest:
		return fault.New("blobs.Get", Gone, "the log has dropped "+wanted.String()+" and all up to "+strconv.FormatInt(int64(r.oldest), 10))
	case len(r.records) > 0:
		g.failed = 0
		return nil
	}
	if g.failed++; g.failed < readTries {
		return nil
	}
	if r.err == nil {
		return fault.New("blobs.Get", Unavailable, wanted.String()+" is not there yet")
	}
	return fault.Wrap("blobs.Get", Unavailable, r.err, "cannot read "+wanted.String())
}

// leave gives up the reads that have not ended.
func (g *gathering) leave() {
	for _, r := range g.reads {
		r.waiting.Add(-1)
	}
	g.reads = nil
}

// ready returns how many texts are there from the first one on, and their bytes.
func (g *gathering) ready(texts [][]jobs.Span) (count, bytes int) {
	for _, spans := range texts {
		for _, span := range spans {
			for _, p := range placesOf(span) {
				data, ok := g.have[p]
				if !ok {
					return count, bytes
				}
				bytes += len(data)
			}
		}
		count++
	}
	return count, bytes
}

// join returns the bytes of a span that is there.
func (g *gathering) join(span jobs.Span) []byte {
	if span.Count == 1 {
		return g.have[place{stream: span.Stream, offset: span.First}]
	}
	var blob []byte
	for _, p := range placesOf(span) {
		blob = append(blob, g.have[p]...)
	}
	return blob
}
