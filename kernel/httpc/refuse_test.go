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
		t.Error("a listening server is reported as refusing connections")
	}
	if client.HasIdle(address) {
		t.Error("the probe connection is kept idle")
	}
	_ = listener.Close()
	if !client.ConnectionRefused(t.Context(), address) {
		t.Error("a closed port is not reported as refusing connections")
	}
}

// Guards against reporting a call as not sent if the server ends while it runs the call on a
// reused connection: the retry meets a closed port.
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
				t.Errorf("the call ended with %v, want kind Lost", err)
			}
		})
	}
}
