package httpc

import (
	"context"
	"io"
	"net"
	"testing"

	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// Chunks that are none must break the body off.
func TestChunksThatAreNone(t *testing.T) {
	const coded = ok + "Transfer-Encoding: chunked\r\n\r\n"
	for name, body := range map[string]string{
		"no size":                  "\r\n" + secret + "\r\n0\r\n\r\n",
		"a size that is no number": "g\r\n" + secret + "\r\n0\r\n\r\n",
		"a size with a sign":       "+6\r\n" + secret + "\r\n0\r\n\r\n",
		"a blank before the size":  " 6\r\n" + secret + "\r\n0\r\n\r\n",
		"a size beyond all bounds": "ffffffffffffffffff\r\n" + secret + "\r\n0\r\n\r\n",
		"a chunk that is longer":   "5\r\n" + secret + "\r\n0\r\n\r\n",
		"a line feed alone":        "6\n" + secret + "\r\n0\r\n\r\n",
		"text":                     secret + "\r\n",
	} {
		t.Run(name, func(t *testing.T) { wantMalformed(t, coded+body) })
	}
}

// More bytes than the length tells must not be cut off silently: the length is wrong then.
func TestMoreBytesThanTold(t *testing.T) {
	for name, response := range map[string]string{
		"behind a short length":        ok + "Content-Length: 2\r\n\r\n" + secret,
		"behind no body":               ok + "Content-Length: 0\r\n\r\n" + secret,
		"behind 204":                   "HTTP/1.1 204 No Content\r\n\r\n" + secret,
		"behind 304":                   "HTTP/1.1 304 Not Modified\r\nContent-Length: 6\r\n\r\n" + secret,
		"behind chunks":                ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks + secret,
		"a line end":                   ok + sound + "\r\n",
		"trailers that are none":       ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + secret + "\r\n\r\n",
		"behind more than a buffer":    ok + "Content-Length: 100000\r\n\r\n" + string(make([]byte, 100_000)) + secret,
		"a second body without a head": ok + sound + secret,
	} {
		t.Run(name, func(t *testing.T) { wantMalformed(t, response) })
	}
}

// A response that nobody asked for must not spoil the one before it, nor be read as the next one.
func TestSecondResponse(t *testing.T) {
	for name, response := range map[string]string{
		"whole":         ok + sound + ok + sound,
		"begun":         ok + sound + "HT",
		"behind chunks": ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks + ok + sound,
	} {
		t.Run(name, func(t *testing.T) {
			wantBody(t, response, secret)
			wantKept(t, response, false)
		})
	}
}

// serveHeld answers one request with response, and closes only after the client has.
func serveHeld(t *testing.T, response string) ident.Address {
	t.Helper()
	return listen(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, response)
		_, _ = io.Copy(io.Discard, conn)
	})
}

// A response whose last chunk has come must not hold the call for an end that does not come.
func TestChunksWithoutTheirEnd(t *testing.T) {
	const coded = ok + "Transfer-Encoding: chunked\r\n\r\n6\r\n" + secret + "\r\n0\r\n"
	for name, response := range map[string]string{"nothing": coded, "half of it": coded + "\r", "a trailer": coded + "A: b\r\n", "half a trailer": coded + "A"} {
		for how, read := range readings {
			t.Run(name+", read "+how, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), shortTerm)
				defer cancel()
				client, call := &Client{}, &Call{Address: serveHeld(t, response), Method: "GET", Path: "/"}
				err := read(ctx, client, call)
				if ctx.Err() != nil || fault.KindOf[Defect](err) != "" {
					t.Errorf("error %v, want the whole body before the deadline", err)
				}
				if client.HasIdle(call.Address) {
					t.Error("the connection is kept")
				}
			})
		}
	}
}

// Trailers without an end must not hold a call whose body is whole.
func TestTrailerLinesWithoutEnd(t *testing.T) {
	server := newEndlessServer(t, ok+"Transfer-Encoding: chunked\r\n\r\n6\r\n"+secret+"\r\n0\r\n", "A: b\r\n")
	ctx, cancel := context.WithTimeout(t.Context(), shortTerm)
	defer cancel()
	answer, err := boundedClient().Do(ctx, &Call{Address: server.address, Method: "GET", Path: "/"})
	if err != nil || string(answer.Body) != secret || ctx.Err() != nil {
		t.Errorf("%+v, %v, want the body before the deadline", answer, err)
	}
	server.wantReset(t)
}
