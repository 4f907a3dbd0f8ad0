package detour

import (
	"context"
	"net/http"
	"reflect"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"croftmoor.dev/croftmoor/rpcs/h2test"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/tail"
)

// fakeDirect is the log as one instance reaches it.
type fakeDirect struct {
	err   error
	calls atomic.Int64
}

func (d *fakeDirect) AppendOnce(_ context.Context, _ ident.Stream, ticket tail.Ticket, records [][]byte) (ident.Offset, error) {
	d.calls.Add(1)
	return ident.Offset(ticket.Seq*100 + int64(len(records))), d.err
}

func (d *fakeDirect) ReadSome(context.Context, ident.Stream, ident.Offset, int, clock.Millis) (tail.Batch, error) {
	d.calls.Add(1)
	return tail.Batch{First: 1, Next: 9, Records: []tail.Record{{Offset: 7, Data: []byte("x")}, {Offset: 8, Data: []byte("y")}}}, d.err
}

func (d *fakeDirect) Newest(_ context.Context, _ ident.Stream, after string) (tail.Page, error) {
	d.calls.Add(1)
	return tail.Page{Entries: []tail.Entry{{Key: after + "k", Value: []byte("v"), Offset: 3}}, Next: 4, More: true}, d.err
}

// serving answers the calls of other instances from direct.
func serving(direct Direct) http.Handler {
	mux := http.NewServeMux()
	Handle(mux, direct)
	return mux
}

func peerOf(t *testing.T, direct Direct) ident.Address {
	t.Helper()
	return h2test.Serve(t, serving(direct))
}

func storeWith(direct Direct, peers ...ident.Address) *Store {
	s := &Store{Direct: direct, Clock: clock.New(), Log: zerolog.Nop(), Peers: func() []ident.Address { return peers }}
	s.Setup()
	return s
}

func refusal() error {
	return fault.New("fake", tail.Refused, http.StatusText(http.StatusServiceUnavailable))
}

func TestDetour(t *testing.T) {
	t.Run("after failures in a row others are asked, with the same ticket", func(t *testing.T) {
		near, far := &fakeDirect{err: refusal()}, &fakeDirect{}
		s := storeWith(near, peerOf(t, far))
		ticket := tail.Ticket{Producer: "p", Epoch: 1, Seq: 5}
		if _, err := s.AppendOnce(t.Context(), "s.0", ticket, [][]byte{{1}}); fault.KindOf[tail.Kind](err) != tail.Refused {
			t.Fatalf("first failure: %v", err)
		}
		offset, err := s.AppendOnce(t.Context(), "s.0", ticket, [][]byte{{1}, {2}})
		if err != nil || offset != 502 {
			t.Errorf("offset %d, error %v", offset, err)
		}
		batch, err := s.Read(t.Context(), "s.0", 7, 0)
		if err != nil || batch.Next != 9 || len(batch.Records) != 2 || batch.Records[1].Offset != 8 {
			t.Errorf("batch %+v, error %v", batch, err)
		}
		page, err := s.Newest(t.Context(), "k.0", "j")
		want := tail.Page{Entries: []tail.Entry{{Key: "jk", Value: []byte("v"), Offset: 3}}, Next: 4, More: true}
		if err != nil || !reflect.DeepEqual(page, want) {
			t.Errorf("page %+v, error %v, want %+v", page, err, want)
		}
	})
}

func TestDetourFails(t *testing.T) {
	t.Run("a peer that is turned away too passes its kind of error on", func(t *testing.T) {
		s := storeWith(&fakeDirect{err: refusal()}, peerOf(t, &fakeDirect{err: refusal()}))
		for range 3 {
			if _, err := s.AppendOnce(t.Context(), "s.0", tail.Ticket{}, nil); fault.KindOf[tail.Kind](err) != tail.Refused {
				t.Errorf("error %v, want Refused", err)
			}
		}
	})
	t.Run("a refusal there does not make certain what may have been done here", func(t *testing.T) {
		s := storeWith(&fakeDirect{err: fault.New("fake", tail.Unknown, "no word")}, peerOf(t, &fakeDirect{err: refusal()}))
		for range failures {
			if _, err := s.AppendOnce(t.Context(), "s.0", tail.Ticket{}, nil); fault.KindOf[tail.Kind](err) != tail.Unknown {
				t.Errorf("error %v, want Unknown", err)
			}
		}
	})
	t.Run("a peer that can't be asked leaves an append uncertain", func(t *testing.T) {
		s := storeWith(&fakeDirect{err: refusal()}, "127.0.0.1:1")
		_, _ = s.AppendOnce(t.Context(), "s.0", tail.Ticket{}, nil)
		if _, err := s.AppendOnce(t.Context(), "s.0", tail.Ticket{}, nil); fault.KindOf[tail.Kind](err) != tail.Unknown {
			t.Errorf("error %v, want Unknown", err)
		}
	})
}

// A log that is full or slow for all gets each call once, not once more through
// another instance: doubled reads kept it from ever recovering.
func TestDetourIsNoRetryOfTheLogsOwnTrouble(t *testing.T) {
	near, far := &fakeDirect{err: refusal()}, &fakeDirect{err: refusal()}
	s := storeWith(near, peerOf(t, far))
	const calls = 100
	for range calls {
		_, _ = s.Read(t.Context(), "s.0", 1, 0)
	}
	if asked := far.calls.Load(); asked > fruitless {
		t.Errorf("%d of %d calls were repeated through another instance, want %d at most", asked, calls, fruitless)
	}
	far.err = nil
	s.until = 0
	asked := far.calls.Load()
	for range failures {
		_, _ = s.Read(t.Context(), "s.0", 1, 0)
	}
	if _, err := s.Read(t.Context(), "s.0", 1, 0); err != nil || far.calls.Load() == asked {
		t.Errorf("error %v; others are not asked once they can help", err)
	}
}

// Others that can't be reached say nothing of the log: an instance that is cut off
// from some goes on asking.
func TestDetourGoesOnPastOthersThatAreAway(t *testing.T) {
	s := storeWith(&fakeDirect{err: refusal()}, "127.0.0.1:1")
	for range 10 {
		_, _ = s.Read(t.Context(), "s.0", 1, 0)
	}
	if !s.isAway() {
		t.Error("others are no longer asked")
	}
}

// Callers that leave while they are answered say nothing of the log.
func TestDetourIsNotForCallersThatLeave(t *testing.T) {
	far := &fakeDirect{}
	s := storeWith(&fakeDirect{err: fault.New("fake", tail.Unavailable, "closed")}, peerOf(t, far))
	ctx, leave := context.WithCancel(t.Context())
	leave()
	for range 5 * failures {
		_, _ = s.Read(ctx, "s.0", 1, 0)
	}
	if s.isAway() || far.calls.Load() > 0 {
		t.Errorf("away: %v, %d calls through another instance, want neither", s.isAway(), far.calls.Load())
	}
}

// A call that had no time is not the log's failure, one that had some is.
func TestDetourGivesTheLogTime(t *testing.T) {
	for _, c := range []struct {
		name string
		time clock.Millis
		away bool
	}{{"next to none", fairTime / 4, false}, {"enough", 2 * fairTime, true}} {
		t.Run(c.name, func(t *testing.T) {
			s := storeWith(&slowDirect{}, peerOf(t, &fakeDirect{}))
			for range failures {
				ctx, cancel := context.WithTimeout(t.Context(), c.time.Duration())
				_, _ = s.AppendOnce(ctx, "s.0", tail.Ticket{}, nil)
				cancel()
			}
			if s.isAway() != c.away {
				t.Errorf("away %v, want %v", s.isAway(), c.away)
			}
		})
	}
}

// slowDirect answers nothing until the call's time is up.
type slowDirect struct{ fakeDirect }

func (d *slowDirect) AppendOnce(ctx context.Context, _ ident.Stream, _ tail.Ticket, _ [][]byte) (ident.Offset, error) {
	<-ctx.Done()
	return 0, fault.New("fake", tail.Unknown, "no word")
}

// A log that is silent takes the whole time of a call; the instance that would have
// been asked then is not to blame, and the next call goes there at once.
func TestDetourAfterSilence(t *testing.T) {
	far := &fakeDirect{}
	s := storeWith(&slowDirect{}, peerOf(t, far))
	ticket := tail.Ticket{Producer: "p", Epoch: 1, Seq: 1}
	for n := range failures + 1 {
		ctx, cancel := context.WithTimeout(t.Context(), (2 * fairTime).Duration())
		_, err := s.AppendOnce(ctx, "s.0", ticket, nil)
		cancel()
		if last := n == failures; (err == nil) != last {
			t.Errorf("call %d: error %v", n, err)
		}
	}
	if s.shunned.Len() > 0 {
		t.Error("the other instance is passed over")
	}
}

// In a cut of a third of the instances the one that answered goes on being asked, and
// those that did not are passed over.
func TestDetourKeepsToOneThatAnswers(t *testing.T) {
	far := &fakeDirect{}
	good := peerOf(t, far)
	peers := []ident.Address{"127.0.0.1:1", "127.0.0.1:2", good, "127.0.0.1:3", "127.0.0.1:4"}
	s := storeWith(&fakeDirect{err: refusal()}, peers...)
	const calls = 40
	lost := 0
	for range calls {
		if _, err := s.Read(t.Context(), "s.0", 1, 0); err != nil {
			lost++
		}
	}
	// One failure before others are asked, and each of the four once at most.
	if most := failures - 1 + len(peers) - 1; lost > most {
		t.Errorf("%d of %d calls failed, want %d at most", lost, calls, most)
	}
}

func TestDetourEnds(t *testing.T) {
	t.Run("the direct way is used again once it works", func(t *testing.T) {
		near, far := &fakeDirect{err: refusal()}, &fakeDirect{}
		s := storeWith(near, peerOf(t, far))
		for range 2 {
			_, _ = s.Read(t.Context(), "s.0", 1, 0)
		}
		near.err = nil
		ctx, cancel := context.WithTimeout(t.Context(), (3 * clock.Second / 2).Duration())
		defer cancel()
		s.Run(ctx)
		asked := far.calls.Load()
		if _, err := s.Read(t.Context(), "s.0", 1, 0); err != nil || far.calls.Load() != asked {
			t.Errorf("error %v; the peer was asked again", err)
		}
	})
}
