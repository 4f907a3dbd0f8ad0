package blobs

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/tail"
)

const (
	readTimeout = 1500 * clock.Millis(1)
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
	// awaited tells that a caller has nothing to give before it, and held that its bytes
	// count against the window; both are guarded by the store's mu.
	awaited bool
	held    bool
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
	n, found := slices.BinarySearchFunc(r.records, offset, func(record tail.Record, wanted ident.Offset) int {
		return cmp.Compare(record.Offset, wanted)
	})
	if !found {
		return nil, false
	}
	return r.records[n].Data, true
}

// Stop gives up the reads under way and waits for them; none begins any more. A panic of one
// is thrown here.
func (s *Store) Stop() {
	s.mu.Lock()
	s.prepare()
	s.stopped = true
	s.cancel()
	s.pump()
	s.mu.Unlock()
	s.group.Wait()
}

// join returns reads for missing places, as many as most in the order of the places: those
// that are under way for others, and new ones. It stops at a place that has come meanwhile.
// The caller is counted as waiting for each; awaited tells that it has nothing to give
// before the first.
func (s *Store) join(missing []place, most int, awaited bool) []*read {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	var joined []*read
	for _, p := range missing {
		if _, came := s.cache[p]; came || len(joined) >= most {
			break
		}
		r, known := s.reads[p]
		if !known {
			r = s.newRead(p, missing)
			s.queue = append(s.queue, r)
		}
		if !slices.Contains(joined, r) {
			r.waiting.Add(1)
			joined = append(joined, r)
		}
	}
	if awaited && len(joined) > 0 {
		joined[0].awaited = true
	}
	s.pump()
	return joined
}

// hasten marks a read that a caller has waited for, and has now nothing to give before it.
func (s *Store) hasten(r *read) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.awaited = true
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
	r := &read{
		extent: extentFor(first.offset, offsets, s.size(first.stream), s.window.mostPerRead()),
		stream: first.stream, done: make(chan struct{}),
	}
	for _, offset := range r.wanted {
		s.reads[place{stream: r.stream, offset: offset}] = r
	}
	return r
}

// pump starts the reads for which there is room: those without which a caller has nothing
// to give go first. Reads for which nobody waits any more are dropped. mu is held.
func (s *Store) pump() {
	s.queue = slices.DeleteFunc(s.queue, func(r *read) bool {
		if !s.stopped && r.waiting.Load() > 0 {
			return false
		}
		r.err = fault.New("blobs.read", Unavailable, "given up before its turn")
		s.settle(r)
		return true
	})
	for len(s.queue) > 0 {
		next := max(slices.IndexFunc(s.queue, func(r *read) bool { return r.awaited }), 0)
		r := s.queue[next]
		if !s.window.take(r.bytes) {
			return
		}
		r.held = true
		s.queue = slices.Delete(s.queue, next, next+1)
		s.group.Go(func() { s.do(r) })
	}
}

// do reads. Whatever becomes of it, its places can be read anew afterwards.
func (s *Store) do(r *read) {
	began := s.Clock.Mono()
	r.err = fault.New("blobs.read", Unavailable, "the read broke off")
	late := s.Clock.AfterFunc(slowRead, func() { s.release(r) })
	defer func() {
		late.Stop()
		s.release(r)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.window.learn(r.bytes, s.Clock.Mono()-began, r.err == nil)
		s.keep(r)
		s.settle(r)
		s.pump()
	}()
	ctx, cancel := context.WithTimeout(s.base, readTimeout.Duration())
	defer cancel()
	batch, err := s.Reader.ReadSome(ctx, r.stream, r.first, r.bytes, 0)
	r.records, r.oldest, r.err = batch.Records, batch.First, err
}

// release gives a read's room to others, once. One that is slow does so before its end: reads
// that hang would keep out all others, also those of streams that answer.
func (s *Store) release(r *read) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.held {
		return
	}
	r.held = false
	s.window.give(r.bytes)
	s.pump()
}

// settle ends a read: others may read its places anew. mu is held.
func (s *Store) settle(r *read) {
	for _, offset := range r.wanted {
		delete(s.reads, place{stream: r.stream, offset: offset})
	}
	close(r.done)
}

// prepare makes what the first use needs; mu is held.
func (s *Store) prepare() {
	if s.reads != nil {
		return
	}
	s.cache = map[place][]byte{}
	s.reads = map[place]*read{}
	s.sizes = map[ident.Stream]int{}
	s.window = newWindow()
	s.base, s.cancel = context.WithCancel(context.Background())
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
