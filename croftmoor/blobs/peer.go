package blobs

import (
	"context"
	"net/http"

	"croftmoor.dev/croftmoor/rpcs"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

const (
	heldPath = "/croftmoor.Blobs/Held"
	// fetchTerm bounds a question to another instance's memory; one that is cut off
	// costs no more.
	fetchTerm = 300 * clock.Millis(1)
)

type spanWire struct {
	Stream string
	First  int64
	Count  int
}

type blobWire struct {
	Data []byte
}

// Setup makes the store able to ask other instances.
func (s *Store) Setup() { s.client = rpcs.NewClient() }

// FetchFrom asks another instance for a blob that it holds in memory, so that work goes
// on while the log does not answer. What the log has acknowledged never changes, so
// the answer is the blob itself.
func (s *Store) FetchFrom(ctx context.Context, from ident.Address, span jobs.Span) ([]byte, error) {
	if data, ok := s.held(span); ok {
		return data, nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTerm.Duration())
	defer cancel()
	answer, err := rpcs.Call[spanWire, blobWire](ctx, s.client, from, heldPath, &spanWire{Stream: string(span.Stream), First: int64(span.First), Count: span.Count})
	if err != nil {
		return nil, fault.Wrap("blobs.FetchFrom", Unavailable, err, "from "+string(from))
	}
	return answer.Data, nil
}

// held returns a blob if all of it is in memory.
func (s *Store) held(span jobs.Span) ([]byte, bool) {
	var blob []byte
	for i := range span.Count {
		record, ok := s.lookup(place{stream: span.Stream, offset: span.First + ident.Offset(i)})
		if !ok {
			return nil, false
		}
		blob = append(blob, record...)
	}
	return blob, span.Count > 0
}

// Handle answers other instances from what this one holds in memory.
func Handle(mux *http.ServeMux, s *Store) {
	refused := func(err error) error { return rpcs.WithKind(err, string(fault.KindOf[Kind](err))) }
	rpcs.Handle(mux, heldPath, refused, func(_ context.Context, w *spanWire) (*blobWire, error) {
		data, ok := s.held(jobs.Span{Stream: ident.Stream(w.Stream), First: ident.Offset(w.First), Count: w.Count})
		if !ok {
			return nil, fault.New("blobs.Held", Unavailable, "not in memory: "+w.Stream)
		}
		return &blobWire{Data: data}, nil
	})
}
