package httpc

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

const (
	// testAnswerBytes and testBufferedBytes are the bounds of the clients of these tests.
	testAnswerBytes   = 1 << 20
	testBufferedBytes = 4 << 20
	// enoughBytes is what a server may have sent at most when its connection is reset: what the
	// client reads, and what the kernel buffers.
	enoughBytes = testAnswerBytes + 24<<20
)

// endlessServer sends head and then more, again and again, until its connection is reset.
type endlessServer struct {
	address ident.Address
	sent    atomic.Int64
	ended   chan struct{}
}

func newEndlessServer(t *testing.T, head, more string) *endlessServer {
	t.Helper()
	s := &endlessServer{ended: make(chan struct{}, 16)}
	part := bytes.Repeat([]byte(more), 1+(64<<10)/len(more))
	s.address = listen(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 4096))
		_, err := io.WriteString(conn, head)
		for n := 0; err == nil; s.sent.Add(int64(n)) {
			n, err = conn.Write(part)
		}
		s.ended <- struct{}{}
	})
	return s
}

// wantReset checks that the connection was reset soon.
func (s *endlessServer) wantReset(t *testing.T) {
	t.Helper()
	select {
	case <-s.ended:
	case <-time.After(2 * time.Second):
		t.Error("the connection is open still")
	}
	if n := s.sent.Load(); n > enoughBytes {
		t.Errorf("%d bytes were read, want %d at most", n, enoughBytes)
	}
}

func boundedClient() *Client {
	return &Client{MaxAnswerBytes: testAnswerBytes, MaxBufferedBytes: testBufferedBytes}
}

// readings are the ways in which a response is read.
var readings = map[string]func(context.Context, *Client, *Call) error{
	"whole": func(ctx context.Context, c *Client, call *Call) error {
		_, err := c.Do(ctx, call)
		return err
	},
	"by event": func(ctx context.Context, c *Client, call *Call) error {
		stream, err := c.Open(ctx, call)
		for err == nil {
			if _, err = stream.ReadEvent(testAnswerBytes); err != nil {
				stream.Close()
			}
		}
		return err
	},
	"by line": func(ctx context.Context, c *Client, call *Call) error {
		stream, err := c.Open(ctx, call)
		for err == nil {
			if _, err = stream.ReadLine(testAnswerBytes); err != nil {
				stream.Close()
			}
		}
		return err
	},
}

// A server that sends bytes without an end must not take the memory, nor keep the call until its deadline.
func TestBytesWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string][2]string{
		"a line of the head":     {ok + "A: ", "x"},
		"lines of the head":      {ok, "A: b\r\n"},
		"interim heads":          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"a body until the close": {ok + "Connection: close\r\n\r\n", "x"},
		"an announced body":      {ok + "Content-Length: 99999999999\r\n\r\n", "x"},
		"chunks":                 {chunked, "1000\r\n" + strings.Repeat("y", 4096) + "\r\n"},
		"the size of a chunk":    {chunked + "1;", "z"},
		"noise":                  {"", "\x00\x01x"},
	} {
		for how, read := range readings {
			t.Run(name+", read "+how, func(t *testing.T) {
				server := newEndlessServer(t, c[0], c[1])
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				err := read(ctx, boundedClient(), &Call{Address: server.address, Method: "GET", Path: "/"})
				if err == nil || ctx.Err() != nil {
					t.Fatalf("error %v, want one before the deadline", err)
				}
				server.wantReset(t)
			})
		}
	}
}

// Trailers without an end must not keep a call whose body is whole.
func TestTrailersWithoutEnd(t *testing.T) {
	server := newEndlessServer(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "x")
	answer, err := boundedClient().Do(t.Context(), &Call{Address: server.address, Method: "GET", Path: "/"})
	if err != nil || string(answer.Body) != "a" {
		t.Fatalf("%+v, %v, want the body", answer, err)
	}
	server.wantReset(t)
}

// A call must not be sent again to the server that did not stop.
func TestCallAnsweredWithoutEndIsNotResent(t *testing.T) {
	long := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 2*testAnswerBytes)
	address, served := serveCounted(t, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", long)
	client := boundedClient()
	call := &Call{Address: address, Method: "GET", Path: "/"}
	if _, err := client.Do(t.Context(), call); err != nil {
		t.Fatal(err)
	}
	_, err := client.Do(t.Context(), call)
	if !TooLong(err) || fault.KindOf[Kind](err) != Lost || served.Load() != 2 {
		t.Errorf("error %v after %d requests, want one of kind Lost after 2", err, served.Load())
	}
}

// Many endless answers must not take the memory together, nor a sound one with them.
func TestManyAnswersWithoutEnd(t *testing.T) {
	const servers = 40
	client := boundedClient()
	// Each alone stays within its bound, all together do not.
	client.MaxAnswerBytes = testBufferedBytes
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var group conc.WaitGroup
	for range servers {
		server := newEndlessServer(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x")
		group.Go(func() {
			_, err := client.Do(ctx, &Call{Address: server.address, Method: "GET", Path: "/"})
			if !TooLong(err) {
				t.Errorf("error %v, want one for the length", err)
			}
		})
	}
	sound := strings.Repeat("y", testBufferedBytes/2)
	address := serveRaw(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(sound), sound))
	answer, err := client.Do(ctx, &Call{Address: address, Method: "GET", Path: "/"})
	if err != nil || string(answer.Body) != sound {
		t.Errorf("the sound answer is lost: %v", err)
	}
	group.Wait()
	client.memory().mu.Lock()
	defer client.memory().mu.Unlock()
	if client.memory().total != 0 || len(client.memory().held) != 0 {
		t.Errorf("%d bytes of %d responses are counted still", client.memory().total, len(client.memory().held))
	}
}

func TestResponsesWithoutBody(t *testing.T) {
	for name, c := range map[string]struct{ method, answer string }{
		"to HEAD":             {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
		"without content":     {"GET", "HTTP/1.1 204 No Content\r\n\r\n"},
		"not modified":        {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
		"after interim heads": {"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			answer, err := (&Client{}).Do(ctx, &Call{Address: serveRaw(t, c.answer), Method: c.method, Path: "/"})
			if err != nil || len(answer.Body) > 0 || answer.Status == 100 {
				t.Errorf("%+v, %v, want an answer without a body", answer, err)
			}
		})
	}
}
