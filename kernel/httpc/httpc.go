// Package httpc is the HTTP/1.1 client for backend servers and the platform. It has connections of
// its own, because croftmoor must know whether any byte of a request may have left the process: only
// if none has may the caller be told that the request did not run. It writes requests with fasthttp,
// and reads responses itself: what is not one by the protocol is refused, whatever it could mean.
package httpc

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"strconv"
	"sync"
	"syscall"

	"github.com/valyala/fasthttp"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/rope"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// NotSent means that no byte of the request left this process.
	NotSent Kind = "NotSent"
	// Lost means that the request may have been sent, but no usable response was received.
	Lost Kind = "Lost"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// Call is one request.
type Call struct {
	Address ident.Address
	Method  string
	Path    string
	Headers []Header
	// Body is what is sent, LongBody if there is no Body.
	Body     []byte
	LongBody rope.Rope
	// FreshConn demands a new connection, which is closed after the response. Requests that
	// must not be sent twice need it: if a reused connection closes, the client cannot know
	// whether the server ran the request.
	FreshConn bool
	// InSegments has the body of the response returned as LongBody, which is not copied.
	InSegments bool
	// MaxBytes bounds the body that Do reads; 0 means Client.MaxAnswerBytes.
	MaxBytes int
	// Accept reports whether a response belongs to this call; nil accepts every response. If
	// it returns false, the connection is closed and the call fails with Lost. It is called
	// before the body is read, with an empty Body.
	Accept func(*Answer) bool
	// Check returns what is wrong with a response that belongs to this call, as an error with a
	// Defect; nil checks nothing. It is called like Accept, after it.
	Check func(*Answer) error
}

// Answer is a complete response.
type Answer struct {
	Status  int
	Headers []Header
	// Body is the body; LongBody is, if the call asked for segments.
	Body     []byte
	LongBody rope.Rope
	// Resent reports whether the call was sent before on a reused connection that broke. The
	// server may have run that one, whatever it responded to this one.
	Resent bool
}

// Header returns the named header's value, or "".
func (a *Answer) Header(name string) string {
	for _, h := range a.Headers {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

// Values returns the values of all fields of a name.
func (a *Answer) Values(name string) []string {
	var values []string
	for _, h := range a.Headers {
		if h.Name == name {
			values = append(values, h.Value)
		}
	}
	return values
}

const (
	// DefaultDialTimeout bounds a dial; an earlier deadline of the context still applies.
	DefaultDialTimeout = 2 * clock.Second
	// defaultAnswerBytes and defaultBufferedBytes are the values of a Client's bounds that are
	// not set.
	defaultAnswerBytes   = 64 << 20
	defaultBufferedBytes = 256 << 20
)

// Client sends calls and keeps idle connections for reuse. The zero value is ready to use; set
// the exported fields before the first call. mu guards the unexported fields but responses.
type Client struct {
	DialTimeout clock.Millis
	// MaxAnswerBytes bounds the body of a response, MaxBufferedBytes the memory of all
	// responses that are being read.
	MaxAnswerBytes   int
	MaxBufferedBytes int64

	responsesOnce sync.Once
	responses     memory

	mu        sync.Mutex
	idle      map[ident.Address][]*link
	monoClock *clock.Clock
	dialed    int64
	// unackedCalls counts abandoned exchanges whose requests were not fully acknowledged.
	unackedCalls int64
	malformed    int64
}

// Dialed returns the number of connections opened so far.
func (c *Client) Dialed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed
}

// UnackedCalls returns how many exchanges were abandoned so far while the peer had not
// acknowledged all bytes of the request.
func (c *Client) UnackedCalls() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unackedCalls
}

// MalformedResponses returns how many responses had the defect Malformed so far.
func (c *Client) MalformedResponses() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.malformed
}

// countMalformed counts a response whose error has the defect Malformed.
func (c *Client) countMalformed(err error) {
	if fault.KindOf[Defect](err) != Malformed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.malformed++
}

// Do sends a call and reads the complete response. ctx bounds the whole exchange. If a reused
// connection breaks before a byte of the response has arrived, Do sends the call once more on a new
// connection; calls that must not be sent twice set FreshConn.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	l, reused, err := c.acquire(ctx, call)
	if err != nil {
		return nil, err
	}
	answer, err := c.exchange(ctx, call, l)
	if err == nil || !reused {
		return answer, err
	}
	if !c.mayResend(ctx, l, call, err) {
		return answer, err
	}
	retry := *call
	retry.FreshConn = true
	retried, retryErr := c.Do(ctx, &retry)
	if retryErr != nil {
		return nil, wrapRetryError(retryErr, err)
	}
	retried.Resent = true
	return retried, nil
}

// mayResend reports whether a call that failed on a reused connection is sent once more: its context
// has not ended, and no byte of its response has arrived. What had arrived may be the response of an
// earlier call.
func (c *Client) mayResend(ctx context.Context, l *link, call *Call, err error) bool {
	if ctx.Err() != nil {
		c.closeIdleOnTimeout(ctx, call.Address)
		return false
	}
	return !l.answered || fault.KindOf[Defect](err) == OfOtherCall
}

// wrapRetryError returns the error of a call that was sent a second time after its reused
// connection broke; nil if the second attempt succeeded. The kind is always Lost, because the
// server may have run the call the first time. A refused second connection does not rule that
// out: a server that ended while it ran the call refuses connections too.
func wrapRetryError(retryErr, firstErr error) error {
	if retryErr == nil {
		return nil
	}
	return fault.Wrap("httpc.again", Lost, retryErr, "after a reused connection broke ("+firstErr.Error()+")")
}

// probeTimeout bounds the dial of ConnectionRefused, during which the caller's retry waits.
// A refusal comes within a round trip, some 6 ms between the platform's zones.
const probeTimeout = 100 * clock.Millis(1)

// ConnectionRefused reports whether address refuses connections, which means that its server
// has ended. It returns false if the dial times out or fails otherwise. It does not keep the
// probe connection: a call that breaks on a reused connection is sent twice, so keeping it
// would add retries.
func (c *Client) ConnectionRefused(ctx context.Context, address ident.Address) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	l, err := c.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	l.finish()
	return false
}

// Reachable reports whether the host of address answers a dial, also if it refuses the
// connection, before ctx ends. It does not keep the connection.
func (c *Client) Reachable(ctx context.Context, address ident.Address) bool {
	l, err := c.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	l.finish()
	return true
}

// memory returns the memory of the responses that are being read.
func (c *Client) memory() *memory {
	c.responsesOnce.Do(func() { c.responses.limit = cmp.Or(c.MaxBufferedBytes, defaultBufferedBytes) })
	return &c.responses
}

func (c *Client) exchange(ctx context.Context, call *Call, l *link) (*Answer, error) {
	stream, err := c.open(ctx, call, l)
	if err != nil {
		return nil, err
	}
	answer := &Answer{Status: stream.Status, Headers: stream.Headers}
	if call.InSegments {
		answer.LongBody, err = stream.readRope()
	} else {
		answer.Body, err = stream.ReadAll()
	}
	if err != nil {
		stream.stop()
		return nil, err
	}
	stream.Close()
	return answer, nil
}

func send(call *Call, l *link) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(call.Method)
	// The request target is sent unchanged: parsing would normalise the path.
	request.Header.SetRequestURI(call.Path)
	request.Header.SetHost(string(call.Address))
	request.Header.SetNoDefaultContentType(true)
	for _, h := range call.Headers {
		request.Header.Set(h.Name, h.Value)
	}
	switch {
	case call.Body != nil:
		request.SetBodyRaw(call.Body)
	case call.LongBody.Segments() <= 1:
		request.SetBodyRaw(call.LongBody.Bytes())
	default:
		request.SetBodyStream(&rope.Reader{Rope: &call.LongBody}, call.LongBody.Len())
	}
	writer := bufio.NewWriter(l)
	err := request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	return err
}

// shownBytes is how much of a body an error tells.
const shownBytes = 200

// StatusError returns a Lost error for a response that is not usable because of its status. Its
// text contains the status and the beginning of the body.
func StatusError(call *Call, answer *Answer) error {
	shown := answer.Body[:min(len(answer.Body), shownBytes)]
	return fault.New("httpc.Do", Lost, string(call.Address)+" answered "+strconv.Itoa(answer.Status)+" to "+call.Path+": "+string(shown))
}
