package proxy

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/trail"
)

// plainProtocol accepts every answer as the call's own, and treats status 500 as a failure.
type plainProtocol struct{}

func (plainProtocol) Headers(*Request, ident.BackendName, clock.Millis) []httpc.Header { return nil }
func (plainProtocol) Resume(h []httpc.Header, _ string) []httpc.Header                 { return h }
func (plainProtocol) Own(*Request, *httpc.Answer) bool                                 { return true }
func (plainProtocol) Check(*httpc.Answer) error                                        { return nil }
func (plainProtocol) Judge(a *httpc.Answer) Verdict {
	return Verdict{Failed: a.Status == http.StatusInternalServerError}
}

// backend is a server that answers with a fixed status and counts its calls.
type backend struct {
	member fleet.Member
	calls  atomic.Int64
}

func newBackend(t *testing.T, name string, status int) *backend {
	t.Helper()
	return serveBackend(t, name, func(w http.ResponseWriter) { w.WriteHeader(status) })
}

// serveBackend returns a server that answers each call by answer.
func serveBackend(t *testing.T, name string, answer func(http.ResponseWriter)) *backend {
	t.Helper()
	b := &backend{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b.calls.Add(1)
		answer(w)
	}))
	t.Cleanup(server.Close)
	b.member = fleet.Member{
		Name: name, Kind: fleet.Backend, Service: "plain", State: fleet.Live, Slots: 4,
		Address: ident.Address(strings.TrimPrefix(server.URL, "http://")),
	}
	return b
}

func newProxy(backends ...*backend) *Proxy {
	c := clock.New()
	table := &fleet.Table{Clock: c}
	var list []fleet.Member
	for _, b := range backends {
		list = append(list, b.member)
	}
	table.Set(list)
	p := &pool.Pool{Fleet: table, Clock: c, Self: "a"}
	p.Refresh()
	return &Proxy{
		Pool: p, Protocol: plainProtocol{}, Client: &httpc.Client{}, Clock: c,
		Trail: &trail.Trail{Log: zerolog.Nop(), Clock: c}, AttemptTimeout: clock.Second,
	}
}

func TestServerThatFailsIsLeft(t *testing.T) {
	bad, good := newBackend(t, "bad", http.StatusInternalServerError), newBackend(t, "good", http.StatusOK)
	p := newProxy(bad, good)
	const calls = 40
	for n := range calls {
		answer, err := p.Do(t.Context(), Request{
			ID: ident.RequestID("r-" + strconv.Itoa(n)), Method: http.MethodPost, Target: "/x", Deadline: p.Clock.Mono() + clock.Second,
			Route: paths.Route{Kind: paths.Repeatable, MaxAttempts: 2, Shares: []paths.Share{{Service: "plain", Weight: 1}}},
		})
		if err != nil || answer.Status != http.StatusOK {
			t.Fatalf("call %d: %v, %v", n, answer, err)
		}
	}
	if n := bad.calls.Load(); n > 5 {
		t.Errorf("%d of %d calls went to the server that fails them all, want 5 at most", n, calls)
	}
}
