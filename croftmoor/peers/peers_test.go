package peers

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/refuse"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/fold"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/once"
	"croftmoor.dev/kernel/steps"
)

// fakePeer answers claims with a done entry, except for the id "refused", and refuses records
// and pulls.
type fakePeer struct {
	open Open
}

func (*fakePeer) ClaimHere(_ context.Context, r once.Request) (once.Entry, error) {
	if r.ID == "refused" {
		return once.Entry{}, fault.New("test", once.NotPrimary, "the primary is b")
	}
	return once.Entry{ID: r.ID, Status: once.Done, Runner: r.Runner, Attempt: r.Attempt, Answer: once.Answer{Status: 200, Body: []byte("x")}}, nil
}
func (*fakePeer) RecordHere(Record) error {
	return fault.New("test", once.OldEpoch, "the epoch is over")
}
func (*fakePeer) InstallHere(Install) error                         { return nil }
func (*fakePeer) SettleHere(context.Context, once.Settlement) error { return nil }
func (p *fakePeer) OpenHere(_ context.Context, o Open) error        { p.open = o; return nil }
func (*fakePeer) PublishHere(Publication)                           {}
func (*fakePeer) PullHere(context.Context, Pull) (Pulled, error) {
	return Pulled{}, refuse.New("test", refuse.StepUnknown, "not open", "open it")
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// startPeer starts a server and returns a client for it and the number of bytes that the
// server has read and written.
func startPeer(t testing.TB, peer *fakePeer) (*Client, *atomic.Int64) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	heartbeat := func() Heartbeat { return Heartbeat{Instance: "b-1~12345678", UpTo: 123456, Revision: 123400} }
	server := &Server{Reader: &fold.Reader{}, Shards: peer, Feeder: peer, Heartbeat: heartbeat, OnHeartbeat: func(Heartbeat) {}}
	ctx, stop := context.WithCancel(context.Background())
	var group conc.WaitGroup
	bytes := &atomic.Int64{}
	group.Go(func() { _ = server.Run(ctx, countingListener{Listener: listener, bytes: bytes}) })
	t.Cleanup(func() { stop(); group.Wait() })
	table := &fleet.Table{Clock: clock.New()}
	table.Set([]fleet.Member{{Name: "b-1", Kind: fleet.Entry, Peer: ident.Address(listener.Addr().String()), State: fleet.Live}})
	return NewClient(table), bytes
}

func assertKind[K ~string](t *testing.T, err error, want K) {
	t.Helper()
	if got := fault.KindOf[K](err); got != want {
		t.Fatalf("%v has kind %q, want %q", err, got, want)
	}
}

func TestCalls(t *testing.T) {
	ctx := context.Background()
	peer := &fakePeer{}
	client, _ := startPeer(t, peer)
	t.Run("entries and kinds of errors are preserved", func(t *testing.T) {
		entry, err := client.Claim(ctx, "b-1", once.Request{ID: "x", Runner: "a", Attempt: 7})
		if err != nil || entry.Attempt != 7 || string(entry.Answer.Body) != "x" {
			t.Fatalf("%+v %v", entry, err)
		}
		_, err = client.Claim(ctx, "b-1", once.Request{ID: "refused"})
		assertKind(t, err, once.NotPrimary)
		assertKind(t, client.Record(ctx, "b-1", Record{}), once.OldEpoch)
	})
	t.Run("refusals to trainers keep their kind and remedy", func(t *testing.T) {
		_, err := client.Pull(ctx, "b-1", Pull{})
		if r := refuse.Of(err); r.Kind != refuse.StepUnknown || r.Do != "open it" {
			t.Fatalf("%+v", r)
		}
	})
	t.Run("steps keep their samples", func(t *testing.T) {
		var have steps.Set
		have.Add(9)
		spans := []steps.Span{{Version: 2, Tokens: 5}, {Version: 3, Tokens: 1}}
		open := Open{Spec: steps.Spec{Trainer: "t", Prompts: []string{"p"}, GroupSize: 2}, Have: have, Ready: []*steps.Sample{{ID: "s", Spans: spans}}}
		if err := client.Open(ctx, "b-1", open); err != nil {
			t.Fatal(err)
		}
		if !peer.open.Have.Has(9) || peer.open.Ready[0].Spans[1].Version != 3 {
			t.Fatalf("%+v", peer.open)
		}
	})
	t.Run("a peer that is not listed is unreachable", func(t *testing.T) {
		_, err := client.Ping(ctx, "c-1", Heartbeat{})
		assertKind(t, err, Unreachable)
		if !strings.Contains(err.Error(), "not on the platform's list") {
			t.Fatal(err)
		}
	})
}

func BenchmarkPing(b *testing.B) {
	client, bytes := startPeer(b, &fakePeer{})
	heartbeat := Heartbeat{Instance: "a-1~12345678", UpTo: 123456, Revision: 123400}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Ping(context.Background(), "b-1", heartbeat); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/ping")
}
