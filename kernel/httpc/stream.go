package httpc

import (
	"bufio"
	"context"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"croftmoor.dev/kernel/fault"
)

// Stream is a response whose body is read as it arrives. Close must be called.
type Stream struct {
	Status  int
	Headers []Header
	Body    *bufio.Reader

	client *Client
	call   *Call
	link   *link
	// stop detaches link from the context of Open. It returns false if that context has ended.
	stop     func() bool
	head     fasthttp.ResponseHeader
	complete bool
	// ended is set once Body has returned io.EOF.
	ended bool
}

// Header returns the named header's value, or "".
func (s *Stream) Header(name string) string {
	return (&Answer{Headers: s.Headers}).Header(name)
}

// Open sends a call and returns once the response header has arrived. ctx bounds the stream
// until Close. Like Do, Open sends the call once more on a new connection if a reused one
// fails.
func (c *Client) Open(ctx context.Context, call *Call) (*Stream, error) {
	l, reused, err := c.acquire(ctx, call)
	if err != nil {
		return nil, err
	}
	stream, err := c.open(ctx, call, l)
	if err == nil || !reused {
		return stream, err
	}
	if ctx.Err() != nil {
		c.closeIdleOnTimeout(ctx, call.Address)
		return stream, err
	}
	retry := *call
	retry.FreshConn = true
	retried, retryErr := c.Open(ctx, &retry)
	return retried, wrapRetryError(retryErr, err)
}

func (c *Client) open(ctx context.Context, call *Call, l *link) (*Stream, error) {
	stop := context.AfterFunc(ctx, l.abandon)
	stream := &Stream{client: c, call: call, link: l, stop: stop}
	if err := send(call, l); err != nil {
		stop()
		return nil, lostError(call, l, err)
	}
	if err := stream.head.Read(l.reader); err != nil {
		stop()
		return nil, lostError(call, l, err)
	}
	stream.Status = stream.head.StatusCode()
	stream.Headers = headers(&stream.head)
	if call.Accept != nil && !call.Accept(&Answer{Status: stream.Status, Headers: stream.Headers}) {
		stream.Close()
		return nil, fault.New("httpc.Open", Lost, string(call.Address)+" sent the answer of another call")
	}
	stream.Body = bufio.NewReader(&endReader{reader: stream.body(), ended: &stream.ended})
	return stream, nil
}

// untilClose is fasthttp's content length of a body that ends when its connection closes.
const untilClose = -2

// body returns a reader that reaches io.EOF only if the body is complete or has no length.
// fasthttp's own reader also returns io.EOF if the connection closes between two chunks.
func (s *Stream) body() io.Reader {
	length := s.head.ContentLength()
	switch {
	case length == untilClose:
		return s.link.reader
	case length >= 0:
		return &exactReader{reader: s.link.reader, remaining: length}
	default:
		return httputil.NewChunkedReader(s.link.reader)
	}
}

// endReader sets ended when reader returns io.EOF.
type endReader struct {
	reader io.Reader
	ended  *bool
}

// Read reads from the reader.
func (r *endReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err == io.EOF {
		*r.ended = true
	}
	return n, err
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

// trailerEnd ends a chunked body. The reader of httputil does not consume it.
const trailerEnd = "\r\n"

// reusable reports whether the connection's next byte begins the next response, provided that
// the body was read to its end. It consumes the end of a chunked body.
func (s *Stream) reusable() bool {
	switch length := s.head.ContentLength(); {
	case length == untilClose:
		return false
	case length >= 0:
		return true
	}
	line, err := s.link.reader.ReadString('\n')
	return err == nil && line == trailerEnd
}

// MarkComplete records that the body was read to its end, so that Close may keep the
// connection for reuse.
func (s *Stream) MarkComplete() {
	s.complete = true
}

// Close ends the call. If the body was read to its end, it closes the connection, or keeps it for
// reuse if MarkComplete was called; otherwise it resets the connection.
func (s *Stream) Close() {
	if !s.complete && !s.ended {
		s.stop()
		s.link.abandon()
		return
	}
	if s.complete && !s.call.FreshConn && s.reusable() && s.stop() {
		s.client.putIdle(s.call.Address, s.link, idleTimeout(&s.head))
		return
	}
	s.stop()
	s.link.finish()
}
