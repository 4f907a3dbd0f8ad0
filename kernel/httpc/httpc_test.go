package httpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// serveRaw answers the requests of each connection with the given raw responses, one each, and
// then closes the connection. Requests must have no body.
func serveRaw(t *testing.T, answers ...string) ident.Address {
	t.Helper()
	address, _ := serveCounted(t, answers...)
	return address
}

// serveCounted is serveRaw that also counts the requests that it has read.
func serveCounted(t *testing.T, answers ...string) (ident.Address, *atomic.Int64) {
	t.Helper()
	served := &atomic.Int64{}
	return listen(t, func(conn net.Conn) { answerRaw(conn, answers, served) }), served
}

// listen serves each connection to a free port until the test ends.
func listen(t *testing.T, serve func(net.Conn)) ident.Address {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { serve(conn) })
		}
	})
	return ident.Address(listener.Addr().String())
}

func answerRaw(conn net.Conn, answers []string, served *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			if line == "\r\n" {
				break
			}
		}
		served.Add(1)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"

func openAll(t *testing.T, answer string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	client := &Client{}
	stream, err := client.Open(ctx, &Call{Address: serveRaw(t, answer), Method: "GET", Path: "/"})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	body, err := io.ReadAll(stream.Body)
	return string(body), err
}

func TestStreamEnds(t *testing.T) {
	cases := []struct {
		name   string
		answer string
		whole  bool
	}{
		{"a chunked body with its last chunk is whole", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true},
		{"a chunked body closed after the head is not", head + "Transfer-Encoding: chunked\r\n\r\n", false},
		{"a chunked body closed between two chunks is not", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false},
		{"a chunked body closed within a chunk is not", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nab", false},
		{"a body of its announced length is whole", head + "Content-Length: 3\r\n\r\nabc", true},
		{"a body shorter than announced is not", head + "Content-Length: 4\r\n\r\nabc", false},
		{"a body without a length ends with its connection", head + "\r\nabc", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := openAll(t, c.answer)
			if whole := err == nil; whole != c.whole {
				t.Errorf("whole is %v (%v), want %v", whole, err, c.whole)
			}
		})
	}
}

func TestDo(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\nx"
	t.Run("a connection is used again", func(t *testing.T) {
		client := &Client{}
		call := &Call{Address: serveRaw(t, answer, answer), Method: "GET", Path: "/"}
		for range 2 {
			if _, err := client.Do(t.Context(), call); err != nil {
				t.Fatal(err)
			}
		}
		if n := client.Dialed(); n != 1 {
			t.Errorf("dialed %d times, want once", n)
		}
	})
	t.Run("a server that loses every second answer does not cost each call twice", func(t *testing.T) {
		client := &Client{}
		address, served := serveCounted(t, answer, "")
		for range 10 {
			_, _ = client.Do(t.Context(), &Call{Address: address, Method: "GET", Path: "/"})
		}
		if n := served.Load(); n > 15 {
			t.Errorf("10 calls were sent %d times, want 15 at most", n)
		}
	})
	t.Run("bytes that nobody asked for belong to no call", func(t *testing.T) {
		client := &Client{}
		call := &Call{Address: serveRaw(t, answer+"HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\ny", answer), Method: "GET", Path: "/"}
		for range 2 {
			got, err := client.Do(t.Context(), call)
			if err != nil {
				t.Fatal(err)
			}
			if got.Header("Id") != "a" {
				t.Error("the surplus response of the first call was returned for the second call")
			}
		}
	})
	t.Run("an answer of another call is lost", func(t *testing.T) {
		client := &Client{}
		call := &Call{Address: serveRaw(t, answer), Method: "GET", Path: "/", FreshConn: true, Accept: func(a *Answer) bool { return a.Header("Id") == "z" }}
		_, err := client.Do(t.Context(), call)
		if kind := fault.KindOf[Kind](err); kind != Lost || eris.Is(err, io.EOF) {
			t.Errorf("error %v, want kind Lost", err)
		}
	})
}
