package httpc

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/fault"
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
	address  ident.Address
	resume   chan struct{}
	received chan []byte
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
	s := &stalledServer{address: ident.Address(listener.Addr().String()), resume: make(chan struct{}), received: make(chan []byte, 1)}
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
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		request, _ := io.ReadAll(conn)
		s.received <- request
	})
	return s
}

// receivedBody lets the server read on and returns what it gets of the request's body.
func (s *stalledServer) receivedBody() []byte {
	close(s.resume)
	_, body, _ := bytes.Cut(<-s.received, []byte("\r\n\r\n"))
	return body
}

func stalledCall(server ident.Address) *Call {
	return &Call{Address: server, Method: "POST", Path: "/", Body: bytes.Repeat([]byte("x"), stalledBody)}
}

// Guards against calls that reach a server after they were abandoned, when it or the network
// stalls for a while.
func TestAbandonedCallIsNotDelivered(t *testing.T) {
	const streamHead = head + "Transfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name   string
		answer string
		call   func(context.Context, *Client, *Call)
	}{
		{"no answer within the call's time", "", func(ctx context.Context, client *Client, call *Call) {
			_, _ = client.Do(ctx, call)
		}},
		{"no answer on a connection of its own", "", func(ctx context.Context, client *Client, call *Call) {
			call.FreshConn = true
			_, _ = client.Do(ctx, call)
		}},
		{"the answer of another call", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", func(ctx context.Context, client *Client, call *Call) {
			call.Accept = func(*Answer) bool { return false }
			_, _ = client.Do(ctx, call)
		}},
		{"no head of a stream within the call's time", "", func(ctx context.Context, client *Client, call *Call) {
			_, _ = client.Open(ctx, call)
		}},
		{"a stream that is closed before its end", streamHead, func(ctx context.Context, client *Client, call *Call) {
			if stream, err := client.Open(ctx, call); err == nil {
				stream.Close()
			}
		}},
		{"a stream whose context ends", streamHead, func(ctx context.Context, client *Client, call *Call) {
			if stream, err := client.Open(ctx, call); err == nil {
				_, _ = io.ReadAll(stream.Body)
				stream.Close()
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := newStalledServer(t, c.answer)
			ctx, cancel := context.WithTimeout(t.Context(), giveUpAfter)
			defer cancel()
			c.call(ctx, &Client{}, stalledCall(server.address))
			if got := len(server.receivedBody()); got >= stalledBody {
				t.Errorf("the server got all %d bytes of a call that was abandoned", got)
			}
		})
	}
}

// stalledAddressEnv gives a process of TestCallOfEndedProcessIsNotDelivered the server's address.
const stalledAddressEnv = "HTTPC_STALLED_ADDRESS"

func TestMain(m *testing.M) {
	if address := os.Getenv(stalledAddressEnv); address != "" {
		time.AfterFunc(giveUpAfter, func() { os.Exit(0) })
		_, err := (&Client{}).Do(context.Background(), stalledCall(ident.Address(address)))
		fmt.Println("the call ended before its process:", err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

func TestCallOfEndedProcessIsNotDelivered(t *testing.T) {
	server := newStalledServer(t, "")
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	sender := exec.CommandContext(t.Context(), program)
	sender.Env = append(os.Environ(), stalledAddressEnv+"="+string(server.address))
	if output, err := sender.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	if got := len(server.receivedBody()); got == 0 || got >= stalledBody {
		t.Errorf("the server got %d bytes of the call of an ended process, want some of %d", got, stalledBody)
	}
}

// Guards against cutting off the rest of a body that a server reads after it has answered.
func TestAnsweredCallIsDeliveredWhole(t *testing.T) {
	server := newStalledServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	call := stalledCall(server.address)
	call.FreshConn = true
	if _, err := (&Client{}).Do(ctx, call); err != nil {
		t.Fatal(err)
	}
	if got := len(server.receivedBody()); got != stalledBody {
		t.Errorf("the server got %d bytes of the body, want %d", got, stalledBody)
	}
}

// Guards against cutting off the rest of a body after a stream that was read whole and not kept.
func TestStreamReadWholeIsDeliveredWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 422 Unprocessable Entity\r\nContent-Length: 2\r\n\r\nno",
		"chunks": "HTTP/1.1 422 Unprocessable Entity\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"empty":  "HTTP/1.1 422 Unprocessable Entity\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := newStalledServer(t, answer)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			stream, err := (&Client{}).Open(ctx, stalledCall(server.address))
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.ReadAll(stream.Body)
			stream.Close()
			if got := len(server.receivedBody()); err != nil || got != stalledBody {
				t.Errorf("the server got %d bytes of the body, want %d (%v)", got, stalledBody, err)
			}
		})
	}
}

// Guards against resetting an answered call along with a later one on the same connection.
func TestAnsweredCallIsNotResetByTheNext(t *testing.T) {
	server := newStalledServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	client := &Client{}
	if _, err := client.Do(t.Context(), stalledCall(server.address)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), giveUpAfter)
	defer cancel()
	if answer, err := client.Do(ctx, stalledCall(server.address)); err == nil {
		t.Fatalf("the second call was answered with %d", answer.Status)
	}
	client.CloseIdle(server.address)
	close(server.resume)
	request := <-server.received
	if _, body, _ := bytes.Cut(request, []byte("\r\n\r\n")); len(body) != stalledBody {
		t.Errorf("the server got %d bytes of the answered call's body, want %d", len(body), stalledBody)
	}
}

func TestUnackedCallIsReported(t *testing.T) {
	server := newStalledServer(t, "")
	ctx, cancel := context.WithTimeout(t.Context(), giveUpAfter)
	defer cancel()
	client := &Client{}
	_, err := client.Do(ctx, stalledCall(server.address))
	close(server.resume)
	if err == nil || !strings.Contains(err.Error(), "bytes of it unacknowledged") {
		t.Errorf("error %v, want the number of unacknowledged bytes", err)
	}
	if n := client.UnackedCalls(); n != 1 {
		t.Errorf("%d unacknowledged calls counted, want 1", n)
	}
}

// Guards against sending a call on an idle connection after its caller has given it up.
func TestCancelledCallIsNotSent(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	calls := []struct {
		name string
		call func(context.Context, *Client, *Call) error
	}{
		{"whole answer", func(ctx context.Context, client *Client, call *Call) error {
			_, err := client.Do(ctx, call)
			return err
		}},
		{"stream", func(ctx context.Context, client *Client, call *Call) error {
			_, err := client.Open(ctx, call)
			return err
		}},
	}
	for _, c := range calls {
		t.Run(c.name, func(t *testing.T) {
			address, served := serveCounted(t, answer, answer)
			client, call := &Client{}, &Call{Address: address, Method: "GET", Path: "/"}
			defer client.CloseIdle(address)
			if _, err := client.Do(t.Context(), call); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			err := c.call(ctx, client, call)
			if kind := fault.KindOf[Kind](err); kind != NotSent {
				t.Errorf("error %v of kind %q, want %q", err, kind, NotSent)
			}
			time.Sleep(50 * time.Millisecond)
			if n := served.Load(); n != 1 {
				t.Errorf("%d calls reached the server, want 1", n)
			}
		})
	}
}
