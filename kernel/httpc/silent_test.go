package httpc

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/ident"
)

// silencingProxy forwards connections to a server. It can silence all open connections for
// good, without a reset, while new ones work.
type silencingProxy struct {
	listener net.Listener
	// silenced counts how often the open connections were silenced.
	silenced atomic.Int64
}

func newSilencingProxy(t *testing.T, server string) *silencingProxy {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &silencingProxy{listener: listener}
	var group conc.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		group.Wait()
	})
	group.Go(func() {
		for {
			clientConn, err := listener.Accept()
			if err != nil {
				return
			}
			serverConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", server)
			if err != nil {
				_ = clientConn.Close()
				continue
			}
			generation := s.silenced.Load()
			context.AfterFunc(ctx, func() {
				_ = clientConn.Close()
				_ = serverConn.Close()
			})
			group.Go(func() { s.copy(serverConn, clientConn, generation) })
			group.Go(func() { s.copy(clientConn, serverConn, generation) })
		}
	})
	return s
}

// copy forwards bytes from a connection that was opened when silenced had the value
// generation. It discards them once the connection is silenced.
func (s *silencingProxy) copy(to io.Writer, from io.Reader, generation int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if s.silenced.Load() != generation {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// Guards against calls that time out one after another because all idle connections went
// silent at once.
func TestSilentConnections(t *testing.T) {
	const connections = 4
	gate := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			<-gate
		}
		_, _ = io.WriteString(w, "x")
	}))
	t.Cleanup(server.Close)
	for _, c := range []struct {
		name string
		call func(context.Context, *Client, ident.Address) error
	}{
		{"whole answers", func(ctx context.Context, client *Client, address ident.Address) error {
			_, err := client.Do(ctx, &Call{Address: address, Method: "GET", Path: "/"})
			return err
		}},
		{"streams", func(ctx context.Context, client *Client, address ident.Address) error {
			stream, err := client.Open(ctx, &Call{Address: address, Method: "GET", Path: "/"})
			if err == nil {
				stream.Close()
			}
			return err
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			proxy := newSilencingProxy(t, server.Listener.Addr().String())
			address := ident.Address(proxy.listener.Addr().String())
			client := &Client{}
			var calls conc.WaitGroup
			for range connections {
				calls.Go(func() {
					_, _ = client.Do(t.Context(), &Call{Address: address, Method: "GET", Path: "/together"})
				})
			}
			for range connections {
				gate <- struct{}{}
			}
			calls.Wait()
			proxy.silenced.Add(1)
			failed := 0
			for range connections {
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				if c.call(ctx, client, address) != nil {
					failed++
				}
				cancel()
			}
			if failed != 1 {
				t.Errorf("%d of %d calls failed after the connections went silent, want 1", failed, connections)
			}
		})
	}
}
