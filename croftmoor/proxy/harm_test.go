package proxy

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/poison"
	"croftmoor.dev/kernel/rope"
)

// fakeGuard records the calls of the guard's methods and holds requests while left is set.
type fakeGuard struct {
	mu       sync.Mutex
	left     clock.Millis
	ended    []poison.End
	servers  []ident.BackendName
	answered int
}

func (*fakeGuard) Quiet() bool { return false }

func (g *fakeGuard) Held(poison.Fingerprint) (left clock.Millis, why string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.left, "held"
}

func (g *fakeGuard) Ended(request poison.Fingerprint, server ident.BackendName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = append(g.ended, poison.End{Request: request, Server: server})
	if len(g.ended) >= poison.Threshold {
		g.left = clock.Second
	}
}

func (g *fakeGuard) ServerEnded(server ident.BackendName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers = append(g.servers, server)
}

func (g *fakeGuard) Answered(poison.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered++
}

// newBreakingBackend returns a server that closes the connection of each request. If ends is
// true, it stops listening at the first one.
func newBreakingBackend(t *testing.T, name string, ends bool) *backend {
	t.Helper()
	b := &backend{}
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		b.calls.Add(1)
		if ends {
			_ = server.Listener.Close()
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	b.member = fleet.Member{
		Name: string(ident.NewBackend(name, 7)), Kind: fleet.Backend, Service: "plain", State: fleet.Live, Slots: 4,
		Address: ident.Address(strings.TrimPrefix(server.URL, "http://")),
	}
	return b
}

func call(t *testing.T, p *Proxy, id string, attempts int) error {
	t.Helper()
	_, err := p.Do(t.Context(), Request{
		ID: ident.RequestID(id), Method: http.MethodPost, Target: "/x", Body: rope.Of([]byte("b")), Deadline: p.Clock.Mono() + clock.Second,
		Route: paths.Route{Kind: paths.Repeatable, MaxAttempts: attempts, Shares: []paths.Share{{Service: "plain", Weight: 1}}},
	})
	return err
}

func wantKind(t *testing.T, err error, kind Kind) {
	t.Helper()
	if got := fault.KindOf[Kind](err); got != kind {
		t.Errorf("got error %v, want kind %s", err, kind)
	}
}

func TestGuardedCalls(t *testing.T) {
	t.Run("an end is told of with the server's start, and the call is lost", func(t *testing.T) {
		g := &fakeGuard{}
		p := newProxy(newBreakingBackend(t, "s", true))
		p.Guard = g
		wantKind(t, call(t, p, "r", 1), Lost)
		if want := ident.NewBackend("s", 7); len(g.ended) != 1 || g.ended[0].Server != want {
			t.Errorf("recorded ends %v, want one of %v", g.ended, want)
		}
	})
	t.Run("a server that loses answers and lives on is not told of", func(t *testing.T) {
		g := &fakeGuard{}
		p := newProxy(newBreakingBackend(t, "s", false))
		p.Guard = g
		wantKind(t, call(t, p, "r", 1), Lost)
		if len(g.ended) > 0 {
			t.Errorf("recorded ends %v, want none", g.ended)
		}
	})
	t.Run("nor is one that had said it would leave", func(t *testing.T) {
		g := &fakeGuard{}
		b := newBreakingBackend(t, "s", true)
		p := newProxy(b)
		p.Guard = g
		server := p.Pool.Servers("plain")[0]
		b.member.State = fleet.Leaving
		p.Pool.Fleet.Set([]fleet.Member{b.member})
		p.Pool.Refresh()
		p.detectServerExit(t.Context(), &Request{}, &callState{}, server, 0)
		if len(g.ended) > 0 {
			t.Errorf("recorded ends %v, want none", g.ended)
		}
	})
	t.Run("a call under which the last server that it may cost has ended goes to no other", func(t *testing.T) {
		g := &fakeGuard{}
		var servers []*backend
		for n := range 6 {
			servers = append(servers, newBreakingBackend(t, "s"+strconv.Itoa(n), true))
		}
		p := newProxy(servers...)
		p.Guard = g
		wantKind(t, call(t, p, "r", len(servers)), Lost)
		if n := len(g.ended); n != poison.Threshold {
			t.Errorf("%d servers ended, want %d", n, poison.Threshold)
		}
		wantKind(t, call(t, p, "again", len(servers)), Harmful)
		reached := slices.DeleteFunc(servers, func(b *backend) bool { return b.calls.Load() == 0 })
		if n := len(reached); n != poison.Threshold {
			t.Errorf("%d servers were reached, want %d", n, poison.Threshold)
		}
	})
	t.Run("an answer is told, also a failure", func(t *testing.T) {
		g := &fakeGuard{}
		p := newProxy(newBackend(t, "s", http.StatusInternalServerError))
		p.Guard = g
		_ = call(t, p, "r", 1)
		if g.answered != 1 {
			t.Errorf("recorded %d answers, want 1", g.answered)
		}
	})
}

// A call on behalf of an item must be neither suspected nor held.
func TestCallOfTheSystemItself(t *testing.T) {
	g := &fakeGuard{left: clock.Second}
	p := newProxy(newBreakingBackend(t, "s", true))
	p.Guard = g
	_, err := p.Do(t.Context(), Request{
		ID: "r", Internal: true, Method: http.MethodPost, Target: "/x", Deadline: p.Clock.Mono() + clock.Second,
		Route: paths.Route{Kind: paths.Repeatable, MaxAttempts: 1, Shares: []paths.Share{{Service: "plain", Weight: 1}}},
	})
	wantKind(t, err, Lost)
	if len(g.ended) > 0 || len(g.servers) != 1 {
		t.Errorf("recorded %v for requests and %v of servers, want none and one", g.ended, g.servers)
	}
}
