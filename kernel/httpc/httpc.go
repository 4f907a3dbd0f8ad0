// Package httpc is the HTTP/1.1 client towards backend servers and the
// platform. It is built on fasthttp's messages over connections of its own,
// because croftmoor must know whether any byte of a request can have left:
// only then may a caller be told "not run".
package httpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
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
	// Fresh asks for a new connection. Work that may not be repeated needs
	// it: on a reused connection a late close can't be told from a run.
	Fresh bool
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
)

// Client sends calls. Set the fields before use; the zero value works. Idle
// connections are guarded by mu.
type Client struct {
	DialTimeout clock.Millis

	mu   sync.Mutex
	idle map[ident.Address][]*link
}

// link is one connection with its read buffer.
type link struct {
	net.Conn
	reader *bufio.Reader
}

func (c *Client) dial(ctx context.Context, address ident.Address) (*link, error) {
	timeout := c.DialTimeout
	if timeout == 0 {
		timeout = DefaultDialTimeout
	}
	dialer := net.Dialer{Timeout: timeout.Duration()}
	conn, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, fault.Wrap("httpc.dial", NotSent, err, "cannot connect to "+string(address))
	}
	return &link{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *Client) take(ctx context.Context, call *Call) (l *link, reused bool, err error) {
	if !call.Fresh {
		c.mu.Lock()
		links := c.idle[call.Address]
		if n := len(links); n > 0 {
			l = links[n-1]
			c.idle[call.Address] = links[:n-1]
		}
		c.mu.Unlock()
		if l != nil {
			return l, true, nil
		}
	}
	l, err = c.dial(ctx, call.Address)
	return l, false, err
}

func (c *Client) put(address ident.Address, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[ident.Address][]*link{}
	}
	if l.reader.Buffered() > 0 || len(c.idle[address]) >= maxIdlePerAddress {
		_ = l.Close()
		return
	}
	c.idle[address] = append(c.idle[address], l)
}

// Do sends call and reads the whole answer. ctx bounds it all. A call on a
// reused connection that died before any answer byte is sent once more on a
// fresh one; calls that may not be repeated set Fresh and never take this way.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	l, reused, err := c.take(ctx, call)
	if err != nil {
		return nil, err
	}
	answer, err := c.exchange(ctx, call, l)
	if err != nil && reused && ctx.Err() == nil {
		fresh := *call
		fresh.Fresh = true
		return c.Do(ctx, &fresh)
	}
	return answer, err
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
		return nil, lost(call, err)
	}
	if response.ConnectionClose() || call.Fresh || !stop() {
		_ = l.Close()
	} else {
		c.put(call.Address, l)
	}
	return &Answer{Status: response.StatusCode(), Headers: headers(response), Body: append([]byte(nil), response.Body()...)}, nil
}

// Stream is an answer whose body is read as it comes. Close ends the call;
// the backend server sees its connection close.
type Stream struct {
	Status int
	Body   *bufio.Reader

	link     *link
	stop     func() bool
	response *fasthttp.Response
}

// Open sends call on a fresh connection and returns once the answer's header is there.
func (c *Client) Open(ctx context.Context, call *Call) (*Stream, error) {
	l, err := c.dial(ctx, call.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	stream := &Stream{link: l, stop: stop, response: fasthttp.AcquireResponse()}
	stream.response.StreamBody = true
	if err := send(call, l); err != nil {
		stream.Close()
		return nil, err
	}
	if err := stream.response.ReadLimitBody(l.reader, 0); err != nil {
		stream.Close()
		return nil, lost(call, err)
	}
	stream.Status = stream.response.StatusCode()
	body := stream.response.BodyStream()
	if body == nil {
		body = &io.LimitedReader{}
	}
	stream.Body = bufio.NewReader(body)
	return stream, nil
}

// Close ends the call and its connection.
func (s *Stream) Close() {
	s.stop()
	_ = s.link.Close()
}

func send(call *Call, l *link) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(call.Method)
	request.SetRequestURI("http://" + string(call.Address) + call.Path)
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
		return lost(call, err)
	}
	return nil
}

func lost(call *Call, err error) error {
	return fault.Wrap("httpc.Do", Lost, err, "no whole answer from "+string(call.Address)+" to "+call.Method+" "+call.Path)
}

func headers(response *fasthttp.Response) []Header {
	var list []Header
	for name, value := range response.Header.All() {
		list = append(list, Header{Name: string(name), Value: string(value)})
	}
	return list
}

// StatusError says that a server answered with an unexpected status.
func StatusError(call *Call, answer *Answer) error {
	return fault.New("httpc.Do", Lost, string(call.Address)+" answered "+strconv.Itoa(answer.Status)+" to "+call.Path+": "+string(answer.Body))
}
