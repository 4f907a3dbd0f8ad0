package httpc

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"

	"croftmoor.dev/kernel/gone"
)

// length returns the length of the body, or chunked or untilClose if it is not known before its end
// (RFC 9112 section 6.3).
func (s *Stream) length() int {
	switch status := s.Status; {
	case s.call.Method == http.MethodHead, status < http.StatusOK, status == http.StatusNoContent, status == http.StatusNotModified:
		return 0
	default:
		return s.head.length
	}
}

// bodyReader reads the body of a response. It returns io.EOF only if the body is complete, and nothing
// that has arrived behind it shows that its end was told wrongly.
type bodyReader struct {
	stream *Stream
	framed io.Reader
	// err is what all further reads return, if it is set.
	err error
}

func (s *Stream) body() io.Reader {
	reader := &bodyReader{stream: s, framed: s.link.reader}
	switch length := s.length(); length {
	case untilClose:
	case chunked:
		reader.framed = httputil.NewChunkedReader(s.link.reader)
	default:
		reader.framed = &exactReader{reader: s.link.reader, remaining: length}
	}
	return reader
}

// Read returns an error with the defect Malformed if the framing of the body is none.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.framed.Read(p)
	if err != nil {
		r.err = r.classify(err)
		r.stream.client.countMalformed(r.err)
	}
	return n, r.err
}

// classify returns the error of the body for one of its framing or its connection.
func (r *bodyReader) classify(err error) error {
	var connErr net.Error
	switch {
	case errors.Is(err, io.EOF):
		return r.stream.endBody()
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &connErr):
		return err
	default:
		return malformed("its chunks are none")
	}
}

// exactReader reads a body of a known length.
type exactReader struct {
	reader    io.Reader
	remaining int
}

// Read returns io.ErrUnexpectedEOF if the connection ends before the body does.
func (r *exactReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	n, err := r.reader.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	if err == io.EOF && r.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// endBody checks what has arrived behind the body, and returns io.EOF if the body is complete. It waits
// for nothing: a body in chunks is complete with its last chunk (RFC 9112 section 8), but the
// connection is used again only if the end of the trailers has arrived as well.
func (s *Stream) endBody() error {
	if s.length() == untilClose {
		s.ended = true
		return io.EOF
	}
	framed := true
	if s.length() == chunked {
		var err error
		if framed, err = s.link.skipTrailers(); err != nil {
			return err
		}
	}
	behind := s.link.arrived()
	if framed && len(behind) > 0 && !beginsResponse(behind) {
		return malformed("more follows than its length tells")
	}
	s.ended, s.reusable = true, framed && len(behind) == 0
	return io.EOF
}

// skipTrailers consumes the trailers behind the last chunk (RFC 9112 section 7.1.2), as far as whole
// lines of them have arrived, and no more than a head may have. It reports whether that was all, up to
// the empty line.
func (l *link) skipTrailers() (all bool, err error) {
	for left := maxHeadBytes; ; {
		line, _, whole := bytes.Cut(l.arrived(), []byte(lineEnd))
		if left -= len(line) + len(lineEnd); !whole || left < 0 {
			return false, nil
		}
		if len(line) > 0 {
			if _, err := parseField(line); err != nil {
				return false, err
			}
		}
		if _, err := l.reader.Discard(len(line) + len(lineEnd)); err != nil || len(line) == 0 {
			return err == nil, err
		}
	}
}

// arrived returns the unread bytes that have arrived, as many as the read buffer holds, without
// waiting for more. They are valid until the next read.
func (l *link) arrived() []byte {
	if gone.UnreadBytes(l.Conn) > 0 {
		_, _ = l.reader.Peek(l.reader.Buffered() + 1)
	}
	unread, _ := l.reader.Peek(l.reader.Buffered())
	return unread
}

// beginsResponse reports whether bytes behind a body may be another response. A server may send one
// that belongs to no request; the body before it is complete all the same.
func beginsResponse(behind []byte) bool {
	return strings.HasPrefix(protocolName, string(behind[:min(len(behind), len(protocolName))]))
}
