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

// silenced is a way to a server on which open connections can be silenced for
// good, without a reset, while new ones work.
type silenced struct {
	listener net.Listener
	// cut counts how often the open connections were silenced.
	cut atomic.Int64
}

func newSilenced(t *testing.T, server string) *silenced {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &silenced{listener: listener}
	var group conc.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		group.Wait()
	})
	group.Go(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := (&net.Dialer{}).DialContext(ctx, "tcp", server)
			if err != nil {
				_ = near.Close()
				continue
			}
			began := s.cut.Load()
			context.AfterFunc(ctx, func() {
				_ = near.Close()
				_ = far.Close()
			})
			group.Go(func() { s.copy(far, near, began) })
			group.Go(func() { s.copy(near, far, began) })
		}
	})
	return s
}

// copy passes bytes on until the connections that were open then are silenced.
func (s *silenced) copy(to io.Writer, from io.Reader, began int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if s.cut.Load() != began {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// A call that runs out of time on a connection that went silent must not leave
// the next ones to the other connections of the same age.
func TestSilentConnections(t *testing.T) {
	const held = 4
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
			way := newSilenced(t, server.Listener.Addr().String())
			address := ident.Address(way.listener.Addr().String())
			client := &Client{}
			var calls conc.WaitGroup
			for range held {
				calls.Go(func() {
					_, _ = client.Do(t.Context(), &Call{Address: address, Method: "GET", Path: "/together"})
				})
			}
			for range held {
				gate <- struct{}{}
			}
			calls.Wait()
			way.cut.Add(1)
			failed := 0
			for range held {
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				if c.call(ctx, client, address) != nil {
					failed++
				}
				cancel()
			}
			if failed != 1 {
				t.Errorf("%d of %d calls failed after the connections went silent, want 1", failed, held)
			}
		})
	}
}
