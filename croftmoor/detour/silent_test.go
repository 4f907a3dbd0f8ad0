package detour

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"croftmoor.dev/croftmoor/rpcs"
	"croftmoor.dev/kernel/ident"
)

// muteListener's open connections can be silenced for good, without a reset; new
// ones work.
type muteListener struct {
	net.Listener
	silenced atomic.Int64
}

// muteConn loses what it is to write once it was silenced.
type muteConn struct {
	net.Conn
	listener *muteListener
	born     int64
}

// Accept returns a connection that lives until the next silence.
func (l *muteListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &muteConn{Conn: conn, listener: l, born: l.silenced.Load()}, err
}

// Write writes, or pretends to.
func (c *muteConn) Write(p []byte) (int, error) {
	if c.listener.silenced.Load() != c.born {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// All calls to another instance share one connection: when it goes silent, a check
// of its own must end it, since calls that run out of time do not.
func TestSilentConnectionToAPeer(t *testing.T) {
	server := httptest.NewUnstartedServer(serving(&fakeDirect{}))
	listener := &muteListener{Listener: server.Listener}
	server.Listener = listener
	server.Config.Protocols = rpcs.CleartextHTTP2()
	server.Start()
	t.Cleanup(server.Close)
	s := storeWith(&fakeDirect{err: refusal()}, ident.Address(strings.TrimPrefix(server.URL, "http://")))
	read := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := s.Read(ctx, "s.0", 7, 0)
		return err
	}
	_ = read()
	if err := read(); err != nil {
		t.Fatalf("before the silence: %v", err)
	}
	listener.silenced.Add(1)
	began := time.Now()
	for read() != nil {
		if time.Since(began) > 5*time.Second {
			t.Fatal("the silent connection is still used after five seconds")
		}
	}
}
