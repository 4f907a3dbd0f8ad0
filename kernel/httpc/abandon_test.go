package httpc

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/ident"
)

const (
	// stalledWindow is the receive buffer of a stalled server, which takes only the first bytes
	// of a request of stalledBody bytes. The rest stays in the client's socket.
	stalledWindow = 4 << 10
	stalledBody   = 128 << 10
	giveUpAfter   = 200 * time.Millisecond
)

// stalledServer accepts one connection, sends answer, and does not read until resume is closed.
type stalledServer struct {
	address ident.Address
	resume  chan struct{}
}

func newStalledServer(t *testing.T, answer string) *stalledServer {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, stalledWindow)
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stalledServer{address: ident.Address(listener.Addr().String()), resume: make(chan struct{})}
	var group conc.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	group.Go(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, answer)
		<-s.resume
	})
	return s
}

func stalledCall(s *stalledServer) *Call {
	return &Call{Address: s.address, Method: "POST", Path: "/", Body: bytes.Repeat([]byte("x"), stalledBody)}
}

func TestUnackedCallIsReported(t *testing.T) {
	server := newStalledServer(t, "")
	ctx, cancel := context.WithTimeout(t.Context(), giveUpAfter)
	defer cancel()
	client := &Client{}
	_, err := client.Do(ctx, stalledCall(server))
	close(server.resume)
	if err == nil || !strings.Contains(err.Error(), "bytes of it unacknowledged") {
		t.Errorf("error %v, want the number of unacknowledged bytes", err)
	}
	if n := client.UnackedCalls(); n != 1 {
		t.Errorf("%d unacknowledged calls counted, want 1", n)
	}
}
