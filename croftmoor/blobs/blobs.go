// Package blobs stores the request bodies and generated texts of batch jobs in
// streams of the platform's log, and reads them through an in-memory cache.
package blobs

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/tail"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Unavailable means that the log cannot be read at present.
	Unavailable Kind = "Unavailable"
	// Gone means that the log no longer has the blob.
	Gone Kind = "Gone"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Writer appends records to streams.
type Writer interface {
	Write(ctx context.Context, stream ident.Stream, records ...[]byte) (ident.Offset, error)
}

// Family is the name of a set of streams over which jobs are partitioned.
type Family string

// Families.
const (
	// Bodies holds the request bodies of callers.
	Bodies Family = "bodies"
	// Texts holds the output of engines.
	Texts Family = "texts"
)

// Store writes and reads blobs, with a cache of records. Set the exported fields before use.
type Store struct {
	Reader tail.ChunkReader
	Writer Writer
	Clock  *clock.Clock
	// Partitions is the number of streams of a family.
	Partitions int
	// RecordBytes and AppendBytes limit the size of a record and of an append. A blob larger
	// than AppendBytes is still written in one append.
	RecordBytes int
	AppendBytes int
	// CacheBytes limits the size of the cached records.
	CacheBytes int

	client *http.Client
	// group tracks the running reads.
	group conc.WaitGroup

	// mu guards the fields below, except that a running read uses baseCtx without it.
	mu             sync.Mutex
	cache          map[position][]byte
	insertionOrder []position
	cachedBytes    int
	// reads has the running and queued reads by the positions that they cover; queue has those
	// that wait for room in window.
	reads  map[position]*read
	queue  []*read
	window window
	// recordSizes is the moving average of the bytes of a record, by stream.
	recordSizes map[ident.Stream]int
	// baseCtx is the parent context of all reads; Stop cancels it.
	baseCtx context.Context
	cancel  context.CancelFunc
	stopped bool
}

// position identifies a record of the log.
type position struct {
	stream ident.Stream
	offset ident.Offset
}

// String returns the form used in error texts.
func (p position) String() string {
	return string(p.stream) + " at " + strconv.FormatInt(int64(p.offset), 10)
}

// StreamOf returns the stream of a family that holds a job's blobs.
func (s *Store) StreamOf(family Family, job ident.Job) ident.Stream {
	partition := ident.Hash(string(job)) % uint64(max(s.Partitions, 1))
	return ident.Stream(string(family) + "." + strconv.FormatUint(partition, 10))
}

// Put appends blobs and returns the span of each. Without an error all are
// appended; with an error some may be.
func (s *Store) Put(ctx context.Context, family Family, job ident.Job, blobs [][]byte) ([]jobs.Span, error) {
	stream := s.StreamOf(family, job)
	spans := make([]jobs.Span, 0, len(blobs))
	var records [][]byte
	pendingBytes, pendingSpan := 0, 0
	flush := func() error {
		if len(records) == 0 {
			return nil
		}
		first, err := s.Writer.Write(ctx, stream, records...)
		if err != nil {
			return err
		}
		for i := pendingSpan; i < len(spans); i++ {
			spans[i].First += first
		}
		records, pendingBytes, pendingSpan = nil, 0, len(spans)
		return nil
	}
	for _, blob := range blobs {
		chunks := s.split(blob)
		if pendingBytes+len(blob)+len(chunks)*recordOverhead > s.AppendBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		spans = append(spans, jobs.Span{Stream: stream, First: ident.Offset(len(records)), Count: len(chunks)})
		records = append(records, chunks...)
		pendingBytes += len(blob) + len(chunks)*recordOverhead
	}
	return spans, flush()
}

// recordOverhead is the bytes that a record takes in an append beside its data.
const recordOverhead = 4

// split divides a blob into records; an empty blob is one empty record.
func (s *Store) split(blob []byte) [][]byte {
	var records [][]byte
	for len(blob) > s.RecordBytes {
		records = append(records, blob[:s.RecordBytes])
		blob = blob[s.RecordBytes:]
	}
	return append(records, blob)
}

func (s *Store) lookup(p position) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.cache[p]
	return data, ok
}

// fillFromCache fills slots from the cache and returns the positions of missing records. It
// looks at the first minRecords positions, and at further ones until their present or expected
// sizes have used up byteBudget; a negative byteBudget means no limit.
func (s *Store) fillFromCache(wanted []position, slots []recordSlot, minRecords, byteBudget int) []position {
	s.mu.Lock()
	defer s.mu.Unlock()
	var missing []position
	bounded := byteBudget >= 0
	for n, p := range wanted {
		if bounded && byteBudget <= 0 && n >= minRecords {
			break
		}
		if !slots[n].present {
			slots[n].data, slots[n].present = s.cache[p]
		}
		if slots[n].present {
			byteBudget -= len(slots[n].data)
			continue
		}
		missing = append(missing, p)
		byteBudget -= s.recordSize(p.stream)
	}
	return missing
}

// addToCache adds a read's records to the cache, evicts the oldest additions beyond
// CacheBytes, and updates the average record size. The caller holds mu.
func (s *Store) addToCache(r *read) {
	for _, record := range r.records {
		p := position{stream: r.stream, offset: record.Offset}
		if _, known := s.cache[p]; known {
			continue
		}
		s.cache[p] = record.Data
		s.insertionOrder = append(s.insertionOrder, p)
		s.cachedBytes += len(record.Data)
	}
	for s.cachedBytes > s.CacheBytes && len(s.insertionOrder) > 0 {
		s.cachedBytes -= len(s.cache[s.insertionOrder[0]])
		delete(s.cache, s.insertionOrder[0])
		s.insertionOrder = s.insertionOrder[1:]
	}
	s.updateRecordSize(r)
}

// PutBodies appends the request bodies of a job's items and returns the span of each.
func (s *Store) PutBodies(ctx context.Context, job ident.Job, blobs [][]byte) ([]jobs.Span, error) {
	return s.Put(ctx, Bodies, job, blobs)
}

// PutText appends one text of a job and returns its span.
func (s *Store) PutText(ctx context.Context, job ident.Job, text []byte) (jobs.Span, error) {
	spans, err := s.Put(ctx, Texts, job, [][]byte{text})
	if err != nil {
		return jobs.Span{}, err
	}
	return spans[0], nil
}
