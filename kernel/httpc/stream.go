package httpc

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"

	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/rope"
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
	stop func() bool
	head *responseHead
	// buffered is what ReadLine and ReadEvent read last.
	buffered buffer
	complete bool
	// ended is set once Body has returned io.EOF; reusable is whether the connection's next byte
	// begins the next response then.
	ended    bool
	reusable bool
}

// Header returns the named header's value, or "".
func (s *Stream) Header(name string) string {
	return (&Answer{Headers: s.Headers}).Header(name)
}

// Open sends a call and returns once the response header has arrived. ctx bounds the stream
// until Close. Like Do, Open sends the call once more on a new connection if a reused one
// breaks.
func (c *Client) Open(ctx context.Context, call *Call) (*Stream, error) {
	l, reused, err := c.acquire(ctx, call)
	if err != nil {
		return nil, err
	}
	stream, err := c.open(ctx, call, l)
	if err == nil || !reused {
		return stream, err
	}
	if !c.mayResend(ctx, l, call, err) {
		return stream, err
	}
	retry := *call
	retry.FreshConn = true
	retried, retryErr := c.Open(ctx, &retry)
	return retried, wrapRetryError(retryErr, err)
}

func (c *Client) open(ctx context.Context, call *Call, l *link) (*Stream, error) {
	l.answered = false
	stop := context.AfterFunc(ctx, l.abandon)
	stream := &Stream{client: c, call: call, link: l, stop: stop}
	if err := send(call, l); err != nil {
		stop()
		return nil, lostError(call, l, err)
	}
	if err := stream.readHead(); err != nil {
		c.countMalformed(err)
		stop()
		return nil, lostError(call, l, err)
	}
	stream.Status, stream.Headers = stream.head.status, stream.head.fields
	l.lengthKnown = stream.length() >= 0
	answer := &Answer{Status: stream.Status, Headers: stream.Headers}
	if call.Accept != nil && !call.Accept(answer) {
		stream.Close()
		other := fault.New("httpc.accept", OfOtherCall, string(call.Address)+" sent the answer of another call")
		return nil, fault.Wrap("httpc.Open", Lost, other, "to "+call.Method+" "+call.Path)
	}
	if call.Check != nil {
		if err := call.Check(answer); err != nil {
			c.countMalformed(err)
			stream.Close()
			return nil, lostError(call, l, err)
		}
	}
	stream.Body = bufio.NewReader(stream.body())
	return stream, nil
}

// maxInterimHeads is how many interim responses (status 1xx) may come before the response.
const maxInterimHeads = 8

// readHead reads the head of the response, after those of interim responses.
func (s *Stream) readHead() error {
	for range maxInterimHeads {
		head, err := s.link.readHead()
		if err != nil {
			return err
		}
		if head.status >= http.StatusOK {
			s.head = head
			return nil
		}
	}
	return errTooLong
}

// ReadAll reads the rest of the body, whose length is bounded by Client.MaxAnswerBytes or
// Call.MaxBytes. The stream is complete then; after an error, of kind Lost, it is closed.
func (s *Stream) ReadAll() ([]byte, error) {
	collected, err := s.collect()
	defer collected.release()
	if err != nil {
		return nil, err
	}
	return collected.body(), nil
}

// readRope is ReadAll without a copy of the body.
func (s *Stream) readRope() (rope.Rope, error) {
	collected, err := s.collect()
	defer collected.release()
	if err != nil {
		return rope.Rope{}, err
	}
	return collected.rope(), nil
}

// collect reads the rest of the body. The caller must release what it returns.
func (s *Stream) collect() (*collector, error) {
	collected := &collector{link: s.link, limit: cmp.Or(s.call.MaxBytes, s.client.MaxAnswerBytes, defaultAnswerBytes)}
	if s.length() > collected.limit {
		return collected, lostError(s.call, s.link, errTooLong)
	}
	for {
		part, err := s.nextPart()
		if err == nil {
			err = collected.add(part)
		}
		if errors.Is(err, io.EOF) {
			s.MarkComplete()
			return collected, nil
		}
		if err != nil {
			return collected, lostError(s.call, s.link, err)
		}
	}
}

// nextPart returns some bytes of the body, which are valid until the next read.
func (s *Stream) nextPart() ([]byte, error) {
	if _, err := s.Body.Peek(1); err != nil {
		return nil, err
	}
	part, err := s.Body.Peek(s.Body.Buffered())
	if err == nil {
		_, err = s.Body.Discard(len(part))
	}
	return part, err
}

// ReadLine returns the next line of the body with its end, valid until the next read. limit bounds
// its length in bytes. The error is io.EOF if the body has ended, and io.ErrUnexpectedEOF if
// it ends within a line.
func (s *Stream) ReadLine(limit int) ([]byte, error) {
	s.startBuffer(limit)
	if err := s.appendLine(); err != nil {
		return nil, s.readError(err)
	}
	return s.buffered.data, nil
}

// readError returns the reason of a failed read: the connection of a response that was given up
// for its memory is closed.
func (s *Stream) readError(err error) error {
	if s.link.wasGivenUp() {
		return errTooLong
	}
	return err
}

// ReadEvent returns the next event of a body of type text/event-stream, valid until the next read:
// its lines, with the empty one that ends it. limit bounds its length in bytes. The error is
// io.EOF if the body has ended, and io.ErrUnexpectedEOF if it ends within an event.
func (s *Stream) ReadEvent(limit int) ([]byte, error) {
	s.startBuffer(limit)
	for {
		begin := len(s.buffered.data)
		err := s.appendLine()
		if errors.Is(err, io.EOF) && begin > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, s.readError(err)
		}
		if line := s.buffered.data[begin:]; len(bytes.TrimRight(line, "\r\n")) == 0 {
			return s.buffered.data, nil
		}
	}
}

func (s *Stream) startBuffer(limit int) {
	s.buffered.link, s.buffered.limit = s.link, limit
	s.buffered.data = s.buffered.data[:0]
}

// appendLine reads a line into the buffer.
func (s *Stream) appendLine() error {
	begin := len(s.buffered.data)
	for {
		part, err := s.Body.ReadSlice('\n')
		if tooLong := s.buffered.append(part); tooLong != nil {
			return tooLong
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(s.buffered.data) > begin:
			return io.ErrUnexpectedEOF
		default:
			return err
		}
	}
}

// MarkComplete records that the body was read to its end, so that Close may keep the
// connection for reuse.
func (s *Stream) MarkComplete() {
	s.complete = true
}

// Close ends the call. If the body was read to its end, it closes the connection, or keeps it for
// reuse if MarkComplete was called; otherwise it resets the connection.
func (s *Stream) Close() {
	s.link.free()
	if !s.complete && !s.ended {
		s.stop()
		s.link.abandon()
		return
	}
	if s.complete && !s.call.FreshConn && s.reusable && s.stop() {
		s.client.putIdle(s.call.Address, s.link, idleTimeout(s.head))
		return
	}
	s.stop()
	s.link.finish()
}
