package blobs

import (
	"context"
	"net/http"
	"testing"

	"croftmoor.dev/croftmoor/rpcs/h2test"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/tail"
)

// oneRecord is a log that has one record and counts reads.
type oneRecord struct {
	reads int
}

func (l *oneRecord) ReadSome(context.Context, ident.Stream, ident.Offset, int, clock.Millis) (tail.Batch, error) {
	l.reads++
	return tail.Batch{First: 1, Next: 2, Records: []tail.Record{{Offset: 1, Data: []byte("body")}}}, nil
}

// servePeer serves a store's cache over HTTP and returns the address.
func servePeer(t *testing.T, s *Store) ident.Address {
	t.Helper()
	mux := http.NewServeMux()
	Handle(mux, s)
	return h2test.Serve(t, mux)
}

func TestFetchFrom(t *testing.T) {
	log := &oneRecord{}
	holder := &Store{Reader: log, Clock: clock.New(), CacheBytes: 1 << 10}
	span := jobs.Span{Stream: "bodies.0", First: 1, Count: 1}
	from := servePeer(t, holder)
	requester := &Store{}
	requester.Setup()
	t.Run("what the other has not read is not handed out, nor read for it", func(t *testing.T) {
		if _, err := requester.FetchFrom(t.Context(), from, span); fault.KindOf[Kind](err) != Unavailable || log.reads != 0 {
			t.Errorf("error %v, %d reads, want Unavailable and none", err, log.reads)
		}
	})
	t.Run("what it holds is", func(t *testing.T) {
		if _, err := holder.Get(t.Context(), span); err != nil {
			t.Fatal(err)
		}
		data, err := requester.FetchFrom(t.Context(), from, span)
		if err != nil || string(data) != "body" {
			t.Errorf("%q, error %v", data, err)
		}
	})
	t.Run("one that is gone costs a short wait", func(t *testing.T) {
		if _, err := requester.FetchFrom(t.Context(), "127.0.0.1:1", span); fault.KindOf[Kind](err) != Unavailable {
			t.Errorf("error %v, want Unavailable", err)
		}
	})
}
