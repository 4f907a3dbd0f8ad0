// Package httpc is the HTTP/1.1 client towards backend servers and the
// platform. It is built on fasthttp's messages over connections of its own,
// because croftmoor must know whether any byte of a request can have left:
// only then may a caller be told "not run".
package httpc

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/valyala/fasthttp"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/gone"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// NotSent means that no byte of the request left this process.
	NotSent Kind = "NotSent"
	// Lost means that bytes left and no whole answer came back.
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
	Body    []byte
	// FreshConn asks for a new connection. Work that may not be repeated needs
	// it: on a reused connection a late close can't be told from a run.
	FreshConn bool
	// Accept tells whether an answer belongs to this call; nil accepts all. The
	// connection of an answer that does not belong is closed and the call lost.
	Accept func(*Answer) bool
}

// Answer is a whole answer.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
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

const (
	// DefaultDialTimeout bounds a dial when ctx allows longer.
	DefaultDialTimeout = 2 * clock.Second
	maxIdlePerAddress  = 64
	maxAnswerBytes     = 64 << 20
	// defaultIdleTimeout is how long a connection is kept idle when the server does not
	// say; restMargin is how much sooner than the server it is closed.
	defaultIdleTimeout = 4 * clock.Second
	idleTimeoutMargin  = 500 * clock.Millis(1)
	// unackedTimeout is how long sent bytes may stay without an acknowledgement
	// before the connection counts as dead.
	unackedTimeout = 4 * clock.Second
)

// Client sends calls. Set the fields before use; the zero value works. Idle
// connections are guarded by mu.
type Client struct {
	DialTimeout clock.Millis

	mu     sync.Mutex
	idle   map[ident.Address][]*link
	clock  *clock.Clock
	dialed int64
}

// Dialed returns how many connections were opened.
func (c *Client) Dialed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed
}

// HasIdle tells whether a connection to an address rests that may still be used.
func (c *Client) HasIdle(address ident.Address) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	links := c.idle[address]
	return len(links) > 0 && c.now() < links[len(links)-1].idleUntil
}

// now returns the steady time; mu is held.
func (c *Client) now() clock.Millis {
	if c.clock == nil {
		c.clock = clock.New()
	}
	return c.clock.Mono()
}

// link is one connection with its read buffer. Until is the end of its rest by
// the steady clock; 0 while it is in use.
type link struct {
	net.Conn
	reader    *bufio.Reader
	idleUntil clock.Millis
}

func (c *Client) dial(ctx context.Context, address ident.Address) (*link, error) {
	timeout := c.DialTimeout
	if timeout == 0 {
		timeout = DefaultDialTimeout
	}
	dialer := net.Dialer{Timeout: timeout.Duration(), Control: setUserTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, fault.Wrap("httpc.dial", NotSent, err, "cannot connect to "+string(address))
	}
	c.mu.Lock()
	c.dialed++
	c.mu.Unlock()
	return &link{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// setUserTimeout bounds how long a silent peer holds unacknowledged bytes.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall lacks.
const tcpUserTimeout = 18

func (c *Client) acquire(ctx context.Context, call *Call) (l *link, reused bool, err error) {
	if !call.FreshConn {
		if l = c.takeIdle(call.Address); l != nil {
			return l, true, nil
		}
	}
	l, err = c.dial(ctx, call.Address)
	return l, false, err
}

// takeIdle returns the idle connection that was used last, if one is still good.
func (c *Client) takeIdle(address ident.Address) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		links := c.idle[address]
		n := len(links)
		if n == 0 {
			delete(c.idle, address)
			return nil
		}
		l := links[n-1]
		c.idle[address] = links[:n-1]
		if c.now() < l.idleUntil && gone.Quiet(l.Conn) {
			l.idleUntil = 0
			return l
		}
		_ = l.Close()
	}
}

// putIdle keeps a connection for reuse; rest is how long the server keeps it.
func (c *Client) putIdle(address ident.Address, l *link, idleFor clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[ident.Address][]*link{}
	}
	c.closeExpired(address)
	if l.reader.Buffered() > 0 || idleFor <= 0 || len(c.idle[address]) >= maxIdlePerAddress {
		_ = l.Close()
		return
	}
	l.idleUntil = c.now() + idleFor
	c.idle[address] = append(c.idle[address], l)
}

// closeExpired closes the connections of an address whose rest is over; mu is held.
func (c *Client) closeExpired(address ident.Address) {
	now := c.now()
	c.idle[address] = slices.DeleteFunc(c.idle[address], func(l *link) bool {
		if now < l.idleUntil {
			return false
		}
		_ = l.Close()
		return true
	})
}

// idleTimeout returns how long a connection may be kept idle after an answer.
func idleTimeout(head *fasthttp.ResponseHeader) clock.Millis {
	if head.ConnectionClose() {
		return 0
	}
	for part := range strings.SplitSeq(string(head.Peek("Keep-Alive")), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil {
			return clock.Millis(seconds)*clock.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

// Do sends call and reads the whole answer. ctx bounds it all. A call on a
// reused connection that died before any answer byte is sent once more on a
// fresh one; calls that may not be repeated set Fresh and never take this way.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	l, reused, err := c.acquire(ctx, call)
	if err != nil {
		return nil, err
	}
	answer, err := c.exchange(ctx, call, l)
	if err == nil || !reused {
		return answer, err
	}
	if ctx.Err() != nil {
		c.closeIdleOnTimeout(ctx, call.Address)
		return answer, err
	}
	retry := *call
	retry.FreshConn = true
	retried, retryErr := c.Do(ctx, &retry)
	return retried, wrapRetryError(retryErr, err)
}

// wrapRetryError returns the error of a call that was sent once more after its first
// connection broke. It is lost whatever became of the second: a server that ended while
// it ran the call leaves a closed port, and a call that only met the closed port would
// pass for one that was never sent.
func wrapRetryError(retryErr, firstErr error) error {
	if retryErr == nil {
		return nil
	}
	return fault.Wrap("httpc.again", Lost, retryErr, "after a reused connection broke ("+firstErr.Error()+")")
}

// probeTimeout bounds the wait for a refusal, which comes within a round trip: some 6 ms
// on the users' deployments, reckoned from their latencies. Whoever asks holds up work that should go on elsewhere.
const probeTimeout = 100 * clock.Millis(1)

// ConnectionRefused tells whether nobody listens at an address any more: its server has ended.
// Silence tells nothing. A connection that comes about is not kept: a call that breaks on
// a kept one is sent once more, and a server that loses every second answer would cost each
// call 1.26 tries, 1.2 are allowed.
func (c *Client) ConnectionRefused(ctx context.Context, address ident.Address) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	l, err := c.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = l.Close()
	return false
}

// closeIdleOnTimeout closes the idle connections to an address if the call on one of them
// ran out of time: open connections may go silent all at once, without a reset,
// while new ones work.
func (c *Client) closeIdleOnTimeout(ctx context.Context, address ident.Address) {
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return
	}
	c.CloseIdle(address)
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address ident.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.idle[address] {
		_ = l.Close()
	}
	delete(c.idle, address)
}

func (c *Client) exchange(ctx context.Context, call *Call, l *link) (*Answer, error) {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	if err := send(call, l); err != nil {
		_ = l.Close()
		return nil, err
	}
	if err := response.ReadLimitBody(l.reader, maxAnswerBytes); err != nil {
		_ = l.Close()
		return nil, lostError(call, err)
	}
	answer := &Answer{Status: response.StatusCode(), Headers: headers(&response.Header), Body: append([]byte(nil), response.Body()...)}
	if call.Accept != nil && !call.Accept(answer) {
		_ = l.Close()
		return nil, fault.New("httpc.Do", Lost, string(call.Address)+" sent the answer of another call")
	}
	if call.FreshConn || !stop() {
		// The connection of a call that was sent once more is not kept either: a
		// server that loses every second answer would cost each call twice.
		_ = l.Close()
	} else {
		c.putIdle(call.Address, l, idleTimeout(&response.Header))
	}
	return answer, nil
}

func send(call *Call, l *link) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(call.Method)
	// The target goes out as it is: parsing it would normalise the path.
	request.Header.SetRequestURI(call.Path)
	request.Header.SetHost(string(call.Address))
	request.Header.SetNoDefaultContentType(true)
	for _, h := range call.Headers {
		request.Header.Set(h.Name, h.Value)
	}
	request.SetBodyRaw(call.Body)
	writer := bufio.NewWriter(l)
	err := request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	if err != nil {
		return lostError(call, err)
	}
	return nil
}

func lostError(call *Call, err error) error {
	return fault.Wrap("httpc.Do", Lost, err, "no whole answer from "+string(call.Address)+" to "+call.Method+" "+call.Path)
}

func headers(head *fasthttp.ResponseHeader) []Header {
	var list []Header
	for name, value := range head.All() {
		list = append(list, Header{Name: string(name), Value: string(value)})
	}
	return list
}

// StatusError says that a server answered with an unexpected status.
func StatusError(call *Call, answer *Answer) error {
	return fault.New("httpc.Do", Lost, string(call.Address)+" answered "+strconv.Itoa(answer.Status)+" to "+call.Path+": "+string(answer.Body))
}
