package httpc

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// readBytes reads a response to a GET from data, and returns its head and its body.
func readBytes(data []byte) (*responseHead, []byte, error) {
	l := &link{client: &Client{}, reader: bufio.NewReader(bytes.NewReader(data))}
	head, err := l.readHead()
	if err != nil {
		return nil, nil, err
	}
	stream := &Stream{Status: head.status, client: l.client, call: &Call{Method: http.MethodGet}, link: l, head: head}
	body, err := io.ReadAll(stream.body())
	return head, body, err
}

// unlisted are fields that net/http takes away, changes or adds.
var unlisted = []string{"Transfer-Encoding", "Content-Length", "Trailer", "Connection", "Pragma", "Cache-Control"}

func headerOf(fields []Header) http.Header {
	header := http.Header{}
	for _, field := range fields {
		header.Add(field.Name, field.Value)
	}
	return header
}

// Whatever is taken for a response must be the same one to net/http: its status, fields and body.
func FuzzReadHead(f *testing.F) {
	for _, response := range []string{
		ok + sound, ok + "\r\n" + secret, "HTTP/1.0 200\r\n" + sound, "HTTP/1.1 204 No Content\r\n\r\n",
		ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks, ok + "Content Length: 6\r\n\r\n" + secret,
		ok + "Content-Length: 6\r\nContent-Length: 6\r\n\r\n" + secret, ok + "A: b\r\n c\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n",
		ok + "Transfer-Encoding: chunked\r\n\r\n6;a=b\r\n" + secret + "\r\n0\r\nA: b\r\n\r\n",
	} {
		f.Add([]byte(response))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		head, body, err := readBytes(data)
		if err != nil || headerOf(head.fields).Get("Trailer") != "" {
			return
		}
		var written bytes.Buffer
		fmt.Fprintf(&written, "HTTP/1.%d %03d \r\n", head.minor, head.status)
		for _, field := range head.fields {
			fmt.Fprintf(&written, "%s: %s\r\n", field.Name, field.Value)
		}
		written.WriteString("\r\n")
		_, rest, _ := bytes.Cut(data, []byte("\r\n\r\n"))
		written.Write(rest)
		other, err := http.ReadResponse(bufio.NewReader(&written), nil)
		if err != nil {
			t.Fatalf("net/http refuses %q: %v", data, err)
		}
		defer func() { _ = other.Body.Close() }()
		otherBody, err := io.ReadAll(other.Body)
		if err != nil && !strings.Contains(err.Error(), "trailer") && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("net/http refuses the body of %q: %v", data, err)
		}
		fields := headerOf(head.fields)
		for _, name := range unlisted {
			fields.Del(name)
			other.Header.Del(name)
		}
		if other.StatusCode != head.status || !maps.EqualFunc(fields, other.Header, slices.Equal) || !bytes.Equal(body, otherBody) {
			t.Errorf("%q is %+v with %q, to net/http %d %v with %q", data, head, body, other.StatusCode, other.Header, otherBody)
		}
	})
}
