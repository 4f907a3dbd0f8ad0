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
	// fetchTimeout bounds a fetch from another instance, also from one that is unreachable.
	fetchTimeout = 300 * clock.Millis(1)
)

type spanWire struct {
	Stream string
	First  int64
	Count  int
}

type blobWire struct {
	Data []byte
}

// Setup creates the client for FetchFrom. Call it before FetchFrom.
func (s *Store) Setup() { s.client = rpcs.NewClient() }

// FetchFrom returns a blob from this instance's cache or else from another instance's cache.
// It does not read the log and serves as the fallback while the log does not answer. Records
// of the log are immutable, so a cached copy is always current. The error is Unavailable if
// neither cache has the whole blob or the other instance does not answer in time.
func (s *Store) FetchFrom(ctx context.Context, from ident.Address, span jobs.Span) ([]byte, error) {
	if data, ok := s.cachedBlob(span); ok {
		return data, nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	response, err := rpcs.Call[spanWire, blobWire](ctx, s.client, from, heldPath, &spanWire{Stream: string(span.Stream), First: int64(span.First), Count: span.Count})
	if err != nil {
		return nil, fault.Wrap("blobs.FetchFrom", Unavailable, err, "fetch from "+string(from))
	}
	return response.Data, nil
}

// cachedBlob returns a blob if all its records are in the cache.
func (s *Store) cachedBlob(span jobs.Span) ([]byte, bool) {
	var blob []byte
	for i := range span.Count {
		record, ok := s.lookup(position{stream: span.Stream, offset: span.First + ident.Offset(i)})
		if !ok {
			return nil, false
		}
		blob = append(blob, record...)
	}
	return blob, span.Count > 0
}

// Handle registers the endpoint that serves blobs from this instance's cache to others.
func Handle(mux *http.ServeMux, s *Store) {
	withKind := func(err error) error { return rpcs.WithKind(err, string(fault.KindOf[Kind](err))) }
	rpcs.Handle(mux, heldPath, withKind, func(_ context.Context, w *spanWire) (*blobWire, error) {
		data, ok := s.cachedBlob(jobs.Span{Stream: ident.Stream(w.Stream), First: ident.Offset(w.First), Count: w.Count})
		if !ok {
			return nil, fault.New("blobs.Held", Unavailable, "blob is not in the cache, stream "+w.Stream)
		}
		return &blobWire{Data: data}, nil
	})
}
