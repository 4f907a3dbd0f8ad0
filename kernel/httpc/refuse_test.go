package httpc

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

func TestRefuses(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client, address := &Client{}, ident.Address(listener.Addr().String())
	if client.ConnectionRefused(t.Context(), address) {
		t.Error("a server that listens counts as ended")
	}
	if client.HasIdle(address) {
		t.Error("the connection that was made to find out is kept, so that a call may break on it")
	}
	_ = listener.Close()
	if !client.ConnectionRefused(t.Context(), address) {
		t.Error("a server that has ended does not count as ended")
	}
}

// A server that ends while it runs a call on a reused connection may have run it: that its
// port is closed afterwards is no proof that the call was never sent. Callers were told "not
// run" of requests that had ended a server, and the end went unnoticed.
func TestServerEndsUnderACall(t *testing.T) {
	for name, do := range map[string]func(*Client, *Call) error{
		"whole answer": func(c *Client, call *Call) error { _, err := c.Do(t.Context(), call); return err },
		"stream":       func(c *Client, call *Call) error { _, err := c.Open(t.Context(), call); return err },
	} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			var server *http.Server
			server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if calls++; calls > 1 {
					_ = server.Close()
				}
				w.WriteHeader(http.StatusOK)
			})}
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var group conc.WaitGroup
			group.Go(func() { _ = server.Serve(listener) })
			defer group.Wait()
			client := &Client{}
			call := &Call{Address: ident.Address(listener.Addr().String()), Method: http.MethodPost, Path: "/", Body: []byte("x")}
			if _, err := client.Do(t.Context(), call); err != nil {
				t.Fatal(err)
			}
			if err := do(client, call); fault.KindOf[Kind](err) != Lost {
				t.Errorf("the call ended with %v, want that it is lost", err)
			}
		})
	}
}
