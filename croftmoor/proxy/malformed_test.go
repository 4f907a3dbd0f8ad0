package proxy

import (
	"net/http"
	"strconv"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/paths"
)

// discardingSink takes an answer for a caller.
type discardingSink struct{}

func (discardingSink) Head(int, []httpc.Header) {}
func (discardingSink) Event([]byte) error       { return nil }

// newMalformedBackend returns a server that answers with the bytes of response.
func newMalformedBackend(t *testing.T, name, response string) *backend {
	t.Helper()
	return serveBackend(t, name, func(w http.ResponseWriter) {
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = buffer.WriteString(response)
		_ = buffer.Flush()
		_ = conn.Close()
	})
}

// A server whose answers are malformed must be left like one that fails, whatever is wrong with them.
func TestServerOfMalformedAnswersIsLeft(t *testing.T) {
	const calls = 40
	for name, response := range map[string]string{
		"the head":              "HTTP/1.1 000 OK\r\n\r\n",
		"behind the last event": "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\nid: 2\n",
		"the chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\nx\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			bad, good := newMalformedBackend(t, "bad", response), newStreamBackend(t, "good", http.StatusOK)
			p := newProxy(bad, good)
			for n := range calls {
				_ = p.Stream(t.Context(), Request{
					ID: ident.RequestID("r" + strconv.Itoa(n)), Method: http.MethodPost, Target: "/x", Deadline: p.Clock.Mono() + clock.Second,
					Route: paths.Route{Kind: paths.Stream, MaxAttempts: 1, Shares: []paths.Share{{Service: "plain", Weight: 1}}},
				}, discardingSink{})
			}
			if n := bad.calls.Load(); n == 0 || n > 5 {
				t.Errorf("%d of %d calls went to the server of malformed answers, want 1 to 5", n, calls)
			}
			if p.Client.MalformedResponses() != bad.calls.Load() {
				t.Errorf("%d malformed answers are counted, want %d", p.Client.MalformedResponses(), bad.calls.Load())
			}
		})
	}
}
