// Package blobs keeps bodies and texts of batch jobs in streams of the
// platform's log, next to the ledger that refers to them, and reads them back
// with a small cache.
package blobs

import (
	"context"
	"net/http"
	"strconv"
	"sync"

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

const (
	// readBytes is how much one read asks for: a few bodies or texts of the users'
	// deployments, of 2 to 5 KB. All instances share what the log reads out, and
	// whoever runs one item seldom needs its neighbours.
	readBytes   = 16 << 10
	readTimeout = 1500 * clock.Millis(1)
	readTries   = 3
)

// Store keeps blobs. Set the exported fields before use. The cache is guarded
// by mu.
type Store struct {
	Reader tail.Chunks
	Writer Writer
	// Parts is how many streams a family has.
	Parts int
	// RecordBytes and AppendBytes bound a record and an append.
	RecordBytes int
	AppendBytes int
	// CacheBytes bounds the cache.
	CacheBytes int

	client *http.Client

	mu     sync.Mutex
	cache  map[place][]byte
	order  []place
	cached int
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

// Get reads a blob.
func (s *Store) Get(ctx context.Context, span jobs.Span) ([]byte, error) {
	var blob []byte
	for i := range span.Count {
		record, err := s.record(ctx, place{stream: span.Stream, offset: span.First + ident.Offset(i)})
		if err != nil {
			return nil, err
		}
		if span.Count == 1 {
			return record, nil
		}
		blob = append(blob, record...)
	}
	return blob, nil
}

func (s *Store) record(ctx context.Context, at place) ([]byte, error) {
	var last error
	for range readTries {
		if data, ok := s.lookup(at); ok {
			return data, nil
		}
		callCtx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
		batch, err := s.Reader.ReadSome(callCtx, at.stream, at.offset, readBytes, 0)
		cancel()
		if err != nil {
			last = err
			continue
		}
		if batch.First > at.offset {
			return nil, fault.New("blobs.Get", Gone, "the log has dropped "+at.String()+" and all up to "+strconv.FormatInt(int64(batch.First), 10))
		}
		if data := s.keep(at, batch); data != nil {
			return data, nil
		}
	}
	if last == nil {
		last = fault.New("blobs.Get", Unavailable, "not there yet")
	}
	return nil, fault.Wrap("blobs.Get", Unavailable, last, "cannot read "+at.String())
}

func (s *Store) lookup(at place) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.cache[at]
	return data, ok
}

// keep puts what was read into the cache and returns the record wanted.
func (s *Store) keep(at place, batch tail.Batch) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cache == nil {
		s.cache = map[place][]byte{}
	}
	var wanted []byte
	for _, r := range batch.Records {
		p := place{stream: at.stream, offset: r.Offset}
		if p == at {
			wanted = r.Data
		}
		if _, known := s.cache[p]; known {
			continue
		}
		s.cache[p] = r.Data
		s.order = append(s.order, p)
		s.cached += len(r.Data)
	}
	for s.cached > s.CacheBytes && len(s.order) > 0 {
		s.cached -= len(s.cache[s.order[0]])
		delete(s.cache, s.order[0])
		s.order = s.order[1:]
	}
	return wanted
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
