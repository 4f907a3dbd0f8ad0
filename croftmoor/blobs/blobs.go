// Package blobs keeps bodies and texts of batch jobs in streams of the
// platform's log, next to the ledger that refers to them, and reads them back
// with a small cache.
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
	// Unavailable means that the log could not be read now.
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

// Family names a set of streams over which blobs are spread.
type Family string

// Families.
const (
	// Bodies holds what callers sent.
	Bodies Family = "bodies"
	// Texts holds what engines made.
	Texts Family = "texts"
)

// Store keeps blobs. Set the exported fields before use. The cache is guarded
// by mu.
type Store struct {
	Reader tail.ChunkReader
	Writer Writer
	Clock  *clock.Clock
	// Parts is how many streams a family has.
	Parts int
	// RecordBytes and AppendBytes bound a record and an append.
	RecordBytes int
	AppendBytes int
	// CacheBytes bounds the cache.
	CacheBytes int

	client *http.Client
	// group has the reads under way, which end with base.
	group conc.WaitGroup

	mu     sync.Mutex
	cache  map[place][]byte
	order  []place
	cached int
	// reads are those under way or waiting, by the places that they are for; queue are those
	// that wait until window has room for them.
	reads  map[place]*read
	queue  []*read
	window window
	// sizes are the smoothed bytes of a record of each stream.
	sizes map[ident.Stream]int
	// base ends with cancel; after that no read begins.
	base    context.Context
	cancel  context.CancelFunc
	stopped bool
}

// place is where a record lies.
type place struct {
	stream ident.Stream
	offset ident.Offset
}

// String names the place in errors.
func (p place) String() string {
	return string(p.stream) + " at " + strconv.FormatInt(int64(p.offset), 10)
}

// StreamOf returns the stream of a family in which a job's blobs lie.
func (s *Store) StreamOf(family Family, job ident.Job) ident.Stream {
	part := ident.Hash(string(job)) % uint64(max(s.Parts, 1))
	return ident.Stream(string(family) + "." + strconv.FormatUint(part, 10))
}

// Put appends blobs and returns where each lies. All of them are appended when
// it returns without an error.
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

// recordOverhead is what a record costs beside its bytes.
const recordOverhead = 4

// cut splits a blob into records.
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

// fillIn takes over the records that are in the cache, and returns the places of those that
// are missing among the first least ones, and of the further ones within the next bytes;
// negative bytes are no bound.
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

// keep puts what was read into the cache; mu is held.
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

// PutBodies keeps the bodies of a job's items.
func (s *Store) PutBodies(ctx context.Context, job ident.Job, blobs [][]byte) ([]jobs.Span, error) {
	return s.Put(ctx, Bodies, job, blobs)
}

// PutText keeps one text of a job.
func (s *Store) PutText(ctx context.Context, job ident.Job, text []byte) (jobs.Span, error) {
	spans, err := s.Put(ctx, Texts, job, [][]byte{text})
	if err != nil {
		return jobs.Span{}, err
	}
	return spans[0], nil
}
