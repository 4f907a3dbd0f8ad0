package proxy

import (
	"errors"
	"net/http"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/paths"
)

// leftSink takes the head and fails at the first event, as the connection of a caller that
// has left does.
type leftSink struct{}

func (leftSink) Head(int, []httpc.Header) {}
func (leftSink) Event([]byte) error       { return errors.New("connection reset by peer") }

// newStreamBackend returns a server whose answers have the given status and two events.
func newStreamBackend(t *testing.T, name string, status int) *backend {
	t.Helper()
	return serveBackend(t, name, func(w http.ResponseWriter) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	})
}

func TestNoFurtherServerForACallerThatLeft(t *testing.T) {
	for name, status := range map[string]int{"events": http.StatusOK, "a failure": http.StatusInternalServerError} {
		t.Run(name, func(t *testing.T) {
			one, two := newStreamBackend(t, "one", status), newStreamBackend(t, "two", status)
			p := newProxy(one, two)
			err := p.Stream(t.Context(), Request{
				ID: "r", Method: http.MethodPost, Target: "/x", Deadline: p.Clock.Mono() + clock.Second,
				Route: paths.Route{Kind: paths.Stream, Resumable: true, MaxAttempts: 2, Shares: []paths.Share{{Service: "plain", Weight: 1}}},
			}, leftSink{})
			wantKind(t, err, Broke)
			if n := one.calls.Load() + two.calls.Load(); n != 1 {
				t.Errorf("%d servers got the call, want 1", n)
			}
		})
	}
}
