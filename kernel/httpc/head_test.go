package httpc

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"croftmoor.dev/kernel/fault"
)

// secret stands in bodies and fields of responses that are refused: no error may quote it.
const secret = "s3cret"

// rest are the fields and the body behind a status line.
const rest = "Key: " + secret + "\r\nContent-Length: 6\r\n\r\n" + secret

// shortTerm bounds calls whose outcome must not depend on their deadline.
const shortTerm = 2 * time.Second

// wantMalformed checks that no way of reading takes a response, and what their errors tell.
func wantMalformed(t *testing.T, response string) {
	t.Helper()
	for how, read := range readings {
		ctx, cancel := context.WithTimeout(t.Context(), shortTerm)
		defer cancel()
		err := read(ctx, &Client{}, &Call{Address: serveRaw(t, response), Method: "GET", Path: "/"})
		if errors.Is(err, io.EOF) || fault.KindOf[Defect](err) != Malformed {
			t.Errorf("read %s: error %v, want one with the defect Malformed", how, err)
		}
		if err != nil && strings.Contains(err.Error(), secret) {
			t.Errorf("read %s: the error quotes the response: %v", how, err)
		}
	}
}

// Bytes whose first line is no status line must not be returned as a response.
func TestStatusLinesThatAreNone(t *testing.T) {
	for name, line := range map[string]string{
		"000":                   "HTTP/1.1 000 OK",
		"000 alone":             "HTTP/1.1 000",
		"no status":             "HTTP/1.1 OK",
		"nothing":               "HTTP/1.1 ",
		"one digit":             "HTTP/1.1 2 OK",
		"two digits":            "HTTP/1.1 20 OK",
		"four digits":           "HTTP/1.1 0200 OK",
		"a sign":                "HTTP/1.1 +20 OK",
		"a letter":              "HTTP/1.1 2o0 OK",
		"099":                   "HTTP/1.1 099 OK",
		"600":                   "HTTP/1.1 600 OK",
		"999":                   "HTTP/1.1 999 OK",
		"another protocol":      "HTTP/1.1 101 Switching Protocols",
		"two blanks":            "HTTP/1.1  200 OK",
		"a tab":                 "HTTP/1.1\t200 OK",
		"no blank":              "HTTP/1.1200 OK",
		"text behind it":        "HTTP/1.1 200x OK",
		"a control byte":        "HTTP/1.1 200 O\x00K",
		"a carriage return":     "HTTP/1.1 200 O\rK",
		"HTTP/2":                "HTTP/2.0 200 OK",
		"HTTP/1.10":             "HTTP/1.10 200 OK",
		"no minor version":      "HTTP/1 200 OK",
		"small letters":         "http/1.1 200 OK",
		"another name":          "HTTQ/1.1 200 OK",
		"an empty line":         "\r\nHTTP/1.1 200 OK",
		"a blank before it":     " HTTP/1.1 200 OK",
		"a field":               "Content-Type: text/plain",
		"a request":             "GET / HTTP/1.1",
		"bytes":                 "\x00\x01\x02\x03\x04\x05\x06\x07",
		"behind an interim one": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK",
	} {
		t.Run(name, func(t *testing.T) { wantMalformed(t, line+"\r\n"+rest) })
	}
}

func TestStatusLines(t *testing.T) {
	for line, want := range map[string]int{
		"HTTP/1.1 200 OK":             200,
		"HTTP/1.0 200 OK":             200,
		"HTTP/1.2 200 OK":             200,
		"HTTP/1.1 200 ":               200,
		"HTTP/1.1 200":                200,
		"HTTP/1.1 299 a\tb \xe4 c":    299,
		"HTTP/1.1 404 Not Found":      404,
		"HTTP/1.1 599 ":               599,
		"HTTP/1.1 503 try  later ok?": 503,
	} {
		t.Run(line, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), shortTerm)
			defer cancel()
			answer, err := (&Client{}).Do(ctx, &Call{Address: serveRaw(t, line+"\r\n"+rest), Method: "GET", Path: "/"})
			if err != nil || answer.Status != want || string(answer.Body) != secret {
				t.Errorf("%+v, %v, want status %d and the body", answer, err, want)
			}
		})
	}
}

// A server that sends no response and keeps its connection open must not hold a call.
func TestNoResponseOnAnOpenConnection(t *testing.T) {
	address := listen(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "\x00\x01\x02\x03\x04\x05\x06\x07")
		_, _ = io.Copy(io.Discard, conn)
	})
	ctx, cancel := context.WithTimeout(t.Context(), shortTerm)
	defer cancel()
	_, err := (&Client{}).Do(ctx, &Call{Address: address, Method: "GET", Path: "/"})
	if fault.KindOf[Kind](err) != Lost || fault.KindOf[Defect](err) != Malformed || ctx.Err() != nil {
		t.Errorf("error %v, want one of kind Lost before the deadline", err)
	}
}
