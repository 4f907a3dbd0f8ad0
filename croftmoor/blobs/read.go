package blobs

import (
	"context"
	"slices"
	"sync/atomic"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/tail"
)

const (
	readTimeout = 1500 * clock.Millis(1)
	// readsAtOnce bounds the reads of the log that an instance has under way, and with
	// mostRead the memory that they take: 4 MB.
	readsAtOnce = 32
	// firstSize is the expected size of a record of a stream that was not read yet.
	firstSize = 2 << 10
	// sizeWeight is the weight of earlier reads in the smoothed size of records.
	sizeWeight = 3
)

// read is a read of the log for whoever wants its records. Once it is under way it goes on
// when they have left: they come back, and find in the cache what came meanwhile.
type read struct {
	extent
	stream ident.Stream
	// waiting counts the callers that wait for it.
	waiting atomic.Int64
	// done is closed when the rest is set.
	done    chan struct{}
	records []tail.Record
	// oldest is the first offset that the log still has.
	oldest ident.Offset
	err    error
}

func (r *read) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func (r *read) isFor(p place) bool {
	return p.stream == r.stream && slices.Contains(r.wanted, p.offset)
}

// record returns a record of an ended read.
func (r *read) record(offset ident.Offset) ([]byte, bool) {
	if len(r.records) == 0 {
		return nil, false
	}
	n := int(offset - r.records[0].Offset)
	if n < 0 || n >= len(r.records) {
		return nil, false
	}
	return r.records[n].Data, true
}

// Wait waits for the reads under way.
func (s *Store) Wait() { s.group.Wait() }

// begin returns reads for missing places, as many as most in the order of the places: those
// that are under way for others, and new ones. The caller is counted as waiting for each.
func (s *Store) begin(missing []place, most int) []*read {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	var begun []*read
	for _, p := range missing {
		if len(begun) >= most {
			break
		}
		r, known := s.reads[p]
		if !known {
			r = s.newRead(p, missing)
			s.group.Go(func() { s.do(r) })
		}
		if !slices.Contains(begun, r) {
			r.waiting.Add(1)
			begun = append(begun, r)
		}
	}
	return begun
}

// newRead returns a read for a place, and for those of the missing ones around it that nobody
// reads yet; mu is held.
func (s *Store) newRead(first place, missing []place) *read {
	var offsets []ident.Offset
	for _, p := range missing {
		if p.stream == first.stream && s.reads[p] == nil {
			offsets = append(offsets, p.offset)
		}
	}
	r := &read{extent: extentFor(first.offset, offsets, s.size(first.stream)), stream: first.stream, done: make(chan struct{})}
	for _, offset := range r.wanted {
		s.reads[place{stream: r.stream, offset: offset}] = r
	}
	return r
}

// do reads, unless all that waited have left before its turn.
func (s *Store) do(r *read) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	if s.dropped(r) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout.Duration())
	defer cancel()
	batch, err := s.Reader.ReadSome(ctx, r.stream, r.first, r.bytes, 0)
	r.records, r.oldest, r.err = batch.Records, batch.First, err
	s.keep(r.stream, r.records)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learn(r)
	s.end(r)
}

// dropped ends a read for which nobody waits any more.
func (s *Store) dropped(r *read) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.waiting.Load() > 0 {
		return false
	}
	s.end(r)
	return true
}

// end lets others read the places of a read anew; mu is held.
func (s *Store) end(r *read) {
	for _, offset := range r.wanted {
		delete(s.reads, place{stream: r.stream, offset: offset})
	}
	close(r.done)
}

// prepare makes the maps; mu is held.
func (s *Store) prepare() {
	if s.reads == nil {
		s.cache = map[place][]byte{}
		s.reads = map[place]*read{}
		s.sizes = map[ident.Stream]int{}
		s.slots = make(chan struct{}, readsAtOnce)
	}
}

// learn smooths the size of a stream's records; mu is held.
func (s *Store) learn(r *read) {
	if len(r.records) == 0 {
		return
	}
	bytes := 0
	for _, record := range r.records {
		bytes += len(record.Data) + recordOverhead
	}
	s.sizes[r.stream] = (s.size(r.stream)*sizeWeight + bytes/len(r.records)) / (sizeWeight + 1)
}

// size returns the expected size of a record of a stream; mu is held.
func (s *Store) size(stream ident.Stream) int {
	if size, known := s.sizes[stream]; known {
		return max(size, 1)
	}
	return firstSize
}

// sizeOf returns the expected size of a record of a stream.
func (s *Store) sizeOf(stream ident.Stream) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size(stream)
}
