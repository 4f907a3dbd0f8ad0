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
	Parts int
	// RecordBytes and AppendBytes limit the size of a record and of an append. A blob larger
	// than AppendBytes is still written in one append.
	RecordBytes int
	AppendBytes int
	// CacheBytes limits the size of the cached records.
	CacheBytes int

	client *http.Client
	// group tracks the running reads.
	group conc.WaitGroup

	// mu guards all fields below.
	mu     sync.Mutex
	cache  map[place][]byte
	order  []place
	cached int
	// reads has the running and queued reads by the positions that they cover; queue has those
	// that wait for room in window.
	reads  map[place]*read
	queue  []*read
	window window
	// recordSizes is the moving average of the bytes of a record, by stream.
	sizes map[ident.Stream]int
	// baseCtx is the parent context of all reads; Stop cancels it.
	base    context.Context
	cancel  context.CancelFunc
	stopped bool
}

// position identifies a record of the log.
type place struct {
	stream ident.Stream
	offset ident.Offset
}

// String returns the form used in error texts.
func (p place) String() string {
	return string(p.stream) + " at " + strconv.FormatInt(int64(p.offset), 10)
}

// StreamOf returns the stream of a family that holds a job's blobs.
func (s *Store) StreamOf(family Family, job ident.Job) ident.Stream {
	part := ident.Hash(string(job)) % uint64(max(s.Parts, 1))
	return ident.Stream(string(family) + "." + strconv.FormatUint(part, 10))
}

// Put appends blobs and returns the span of each. Without an error all are
// appended; with an error some may be.
func (s *Store) Put(ctx context.Context, family Family, job ident.Job, blobs [][]byte) ([]jobs.Span, error) {
	stream := s.StreamOf(family, job)
	spans := make([]jobs.Span, 0, len(blobs))
	var records [][]byte
	size, from := 0, 0
	flush := func() error {
		if len(records) == 0 {
			return nil
		}
		first, err := s.Writer.Write(ctx, stream, records...)
		if err != nil {
			return err
		}
		for i := from; i < len(spans); i++ {
			spans[i].First += first
		}
		records, size, from = nil, 0, len(spans)
		return nil
	}
	for _, blob := range blobs {
		cut := s.cut(blob)
		if size+len(blob)+len(cut)*recordOverhead > s.AppendBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		spans = append(spans, jobs.Span{Stream: stream, First: ident.Offset(len(records)), Count: len(cut)})
		records = append(records, cut...)
		size += len(blob) + len(cut)*recordOverhead
	}
	return spans, flush()
}

// recordOverhead is the bytes that a record takes in an append beside its data.
const recordOverhead = 4

// split divides a blob into records; an empty blob is one empty record.
func (s *Store) cut(blob []byte) [][]byte {
	var records [][]byte
	for len(blob) > s.RecordBytes {
		records = append(records, blob[:s.RecordBytes])
		blob = blob[s.RecordBytes:]
	}
	return append(records, blob)
}

func (s *Store) lookup(at place) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.cache[at]
	return data, ok
}

// fillFromCache fills slots from the cache and returns the positions of missing records. It
// looks at the first minRecords positions, and at further ones while their present or expected
// sizes fit into maxBytes; a negative maxBytes means no limit.
func (s *Store) fillIn(wanted []place, records []found, least, bytes int) []place {
	s.mu.Lock()
	defer s.mu.Unlock()
	var missing []place
	bounded := bytes >= 0
	for n, p := range wanted {
		if bounded && bytes <= 0 && n >= least {
			break
		}
		if !records[n].there {
			records[n].data, records[n].there = s.cache[p]
		}
		if records[n].there {
			bytes -= len(records[n].data)
			continue
		}
		missing = append(missing, p)
		bytes -= s.size(p.stream)
	}
	return missing
}

// addToCache adds a read's records to the cache and evicts the oldest additions beyond
// CacheBytes. The caller holds mu.
func (s *Store) keep(r *read) {
	for _, record := range r.records {
		p := place{stream: r.stream, offset: record.Offset}
		if _, known := s.cache[p]; known {
			continue
		}
		s.cache[p] = record.Data
		s.order = append(s.order, p)
		s.cached += len(record.Data)
	}
	for s.cached > s.CacheBytes && len(s.order) > 0 {
		s.cached -= len(s.cache[s.order[0]])
		delete(s.cache, s.order[0])
		s.order = s.order[1:]
	}
	s.learn(r)
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
