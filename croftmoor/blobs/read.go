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
	// defaultRecordSize is the expected size in bytes of a record of an unread stream.
	defaultRecordSize = 2 << 10
	// recordSizeWeight is the weight of the old average; a new read weighs 1.
	recordSizeWeight = 3
)

// read is one read of the log, shared by all callers that want its records. A running read
// continues without waiting callers, because callers that retry find its records in the cache.
type read struct {
	extent
	stream ident.Stream
	// waiters counts the callers that wait for the read.
	waiters atomic.Int64
	// urgent means that a caller needs this read for its first missing record; inWindow means
	// that its bytes count against the window. The store's mu guards both.
	urgent   bool
	inWindow bool
	// done is closed after the fields below are set.
	done    chan struct{}
	records []tail.Record
	// oldest is the first offset that the stream still has.
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

func (r *read) covers(p position) bool {
	return p.stream == r.stream && slices.Contains(r.offsets, p.offset)
}

// record returns the record at an offset, if the read has brought it. Call it only after the
// read has ended.
func (r *read) record(offset ident.Offset) ([]byte, bool) {
	n, found := slices.BinarySearchFunc(r.records, offset, func(record tail.Record, wanted ident.Offset) int {
		return cmp.Compare(record.Offset, wanted)
	})
	if !found {
		return nil, false
	}
	return r.records[n].Data, true
}

// Stop cancels the running reads and waits for them; no read starts afterwards. It re-panics
// if a read has panicked.
func (s *Store) Stop() {
	s.mu.Lock()
	s.initialize()
	s.stopped = true
	s.cancel()
	s.startQueued()
	s.mu.Unlock()
	s.group.Wait()
}

// joinReads returns at most limit reads for missing positions, in their order: existing reads
// of other callers, or new ones. It stops at a position that is in the cache by now. It counts
// the caller as a waiter of each read, and marks the first one as urgent if urgent is set.
func (s *Store) joinReads(missing []position, limit int, urgent bool) []*read {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialize()
	var joined []*read
	for _, p := range missing {
		if _, cached := s.cache[p]; cached || len(joined) >= limit {
			break
		}
		r, known := s.reads[p]
		if !known {
			r = s.newRead(p, missing)
			s.queue = append(s.queue, r)
		}
		if !slices.Contains(joined, r) {
			r.waiters.Add(1)
			joined = append(joined, r)
		}
	}
	if urgent && len(joined) > 0 {
		joined[0].urgent = true
	}
	s.startQueued()
	return joined
}

// prioritize marks a read as urgent once a caller needs it for its first missing record.
func (s *Store) prioritize(r *read) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.urgent = true
}

// newRead registers a read for a position and for the missing ones after it that fit into the
// same read and that no other read covers. The caller holds mu.
func (s *Store) newRead(first position, missing []position) *read {
	var offsets []ident.Offset
	for _, p := range missing {
		if p.stream == first.stream && s.reads[p] == nil {
			offsets = append(offsets, p.offset)
		}
	}
	r := &read{
		extent: extentFor(first.offset, offsets, s.recordSize(first.stream), s.window.readLimit()),
		stream: first.stream, done: make(chan struct{}),
	}
	for _, offset := range r.offsets {
		s.reads[position{stream: r.stream, offset: offset}] = r
	}
	return r
}

// startQueued starts queued reads while the window has room, urgent ones first. It drops
// queued reads without waiters, and all of them after Stop. The caller holds mu.
func (s *Store) startQueued() {
	s.queue = slices.DeleteFunc(s.queue, func(r *read) bool {
		if !s.stopped && r.waiters.Load() > 0 {
			return false
		}
		r.err = fault.New("blobs.read", Unavailable, "read canceled before it started")
		s.finish(r)
		return true
	})
	for len(s.queue) > 0 {
		next := max(slices.IndexFunc(s.queue, func(r *read) bool { return r.urgent }), 0)
		r := s.queue[next]
		if !s.window.tryAcquire(r.bytes) {
			return
		}
		r.inWindow = true
		s.queue = slices.Delete(s.queue, next, next+1)
		s.group.Go(func() { s.execute(r) })
	}
}

// execute runs a read. It finishes the read even after a panic, so that later reads can cover
// its positions.
func (s *Store) execute(r *read) {
	start := s.Clock.Mono()
	r.err = fault.New("blobs.read", Unavailable, "read ended without a result")
	slowTimer := s.Clock.AfterFunc(slowReadTime, func() { s.releaseWindow(r) })
	defer func() {
		slowTimer.Stop()
		s.releaseWindow(r)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.window.update(r.bytes, s.Clock.Mono()-start, r.err == nil)
		s.addToCache(r)
		s.finish(r)
		s.startQueued()
	}()
	ctx, cancel := context.WithTimeout(s.baseCtx, readTimeout.Duration())
	defer cancel()
	batch, err := s.Reader.ReadSome(ctx, r.stream, r.first, r.bytes, 0)
	r.records, r.oldest, r.err = batch.Records, batch.First, err
}

// releaseWindow frees a read's room in the window; further calls have no effect. A slow read
// frees its room before it ends, because reads that hang would otherwise block all others.
func (s *Store) releaseWindow(r *read) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.inWindow {
		return
	}
	r.inWindow = false
	s.window.release(r.bytes)
	s.startQueued()
}

// finish ends a read and unregisters its positions. The caller holds mu.
func (s *Store) finish(r *read) {
	for _, offset := range r.offsets {
		delete(s.reads, position{stream: r.stream, offset: offset})
	}
	close(r.done)
}

// initialize creates the maps, the window and the context at first use. The caller holds mu.
func (s *Store) initialize() {
	if s.reads != nil {
		return
	}
	s.cache = map[position][]byte{}
	s.reads = map[position]*read{}
	s.recordSizes = map[ident.Stream]int{}
	s.window = newWindow()
	s.baseCtx, s.cancel = context.WithCancel(context.Background())
}

// updateRecordSize updates the moving average of a stream's record size. The caller holds mu.
func (s *Store) updateRecordSize(r *read) {
	if len(r.records) == 0 {
		return
	}
	bytes := 0
	for _, record := range r.records {
		bytes += len(record.Data) + recordOverhead
	}
	s.recordSizes[r.stream] = (s.recordSize(r.stream)*recordSizeWeight + bytes/len(r.records)) / (recordSizeWeight + 1)
}

// recordSize returns the expected bytes of a record of a stream, at least 1. The caller holds
// mu.
func (s *Store) recordSize(stream ident.Stream) int {
	if size, known := s.recordSizes[stream]; known {
		return max(size, 1)
	}
	return defaultRecordSize
}
