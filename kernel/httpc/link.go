package httpc

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/gone"
	"croftmoor.dev/kernel/ident"
)

// unackedTimeout is how long sent data may stay unacknowledged before the kernel closes the
// connection.
const unackedTimeout = 4 * clock.Second

// link is one connection with its read buffer. Its Close resets the connection, so that the
// kernel discards the bytes that the peer has not acknowledged, also if the process ends; finish
// has them delivered.
type link struct {
	net.Conn
	client *Client
	reader *bufio.Reader
	// idleUntil is the monotonic time at which an idle connection expires; it is 0 while the
	// connection is in use.
	idleUntil clock.Millis
	// lengthKnown is whether the response has told the length of its body. It is set before its
	// memory is counted.
	lengthKnown bool
	// answered is whether a byte of the response to the current call has arrived.
	answered bool
	// givenUp is set once the exchange was given up for the memory that its response took.
	givenUp atomic.Bool
	// abandoning guards unacked, which is how many bytes of the request the peer had not
	// acknowledged when the exchange was abandoned.
	abandoning sync.Once
	unacked    int
}

func (c *Client) dial(ctx context.Context, address ident.Address) (*link, error) {
	timeout := c.DialTimeout
	if timeout == 0 {
		timeout = DefaultDialTimeout
	}
	dialer := net.Dialer{Timeout: timeout.Duration(), Control: setOptions}
	conn, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, fault.Wrap("httpc.dial", NotSent, err, "cannot connect to "+string(address))
	}
	c.mu.Lock()
	c.dialed++
	c.mu.Unlock()
	return &link{Conn: conn, client: c, reader: bufio.NewReader(conn)}, nil
}

// setOptions has the kernel close the connection if its peer stops acknowledging data, and reset
// it when it is closed.
func setOptions(network, address string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout))
	})
	if err != nil {
		return err
	}
	if sockErr != nil {
		return sockErr
	}
	return ResetOnClose(network, address, raw)
}

// ResetOnClose is a Control function for net.Dialer. When the connection is closed, or its
// process ends, the kernel resets it and discards the bytes that the peer has not acknowledged.
// Otherwise the kernel would go on sending them, and a request would reach its server long after
// it was abandoned.
func ResetOnClose(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	if err != nil {
		return err
	}
	return sockErr
}

// kernelLinger is the argument of SetLinger that has the kernel deliver unacknowledged bytes
// after the connection is closed.
const kernelLinger = -1

// finish closes the connection after a complete exchange. A server that has answered before it
// has read the whole request still gets the rest.
func (l *link) finish() {
	if conn, ok := l.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(kernelLinger)
	}
	_ = l.Close()
}

// abandon resets the connection of an exchange that has no complete response, so that the server
// gets nothing more of the request.
func (l *link) abandon() {
	l.abandoning.Do(func() {
		l.unacked = gone.UnackedBytes(l.Conn)
		_ = l.Close()
		if l.unacked > 0 {
			l.client.countUnackedCall()
		}
	})
}

// take counts memory for the response. If it is too much for all responses together, the
// exchange that memory.take names is abandoned; the error says that it is this one.
func (l *link) take(bytes int) error {
	if l.wasGivenUp() {
		return errTooLong
	}
	victim := l.client.memory().take(l, int64(bytes))
	if victim == nil {
		return nil
	}
	victim.givenUp.Store(true)
	victim.abandon()
	if victim == l {
		return errTooLong
	}
	return nil
}

// wasGivenUp reports whether the exchange was given up for its memory; one without a
// connection never is.
func (l *link) wasGivenUp() bool { return l != nil && l.givenUp.Load() }

// free drops the memory that was counted for the response.
func (l *link) free() { l.client.memory().free(l) }

func (c *Client) countUnackedCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unackedCalls++
}

// lostError abandons the exchange that failed with err and returns its error, which tells how
// many bytes of the request the peer has not acknowledged.
func lostError(call *Call, l *link, err error) error {
	l.abandon()
	if l.wasGivenUp() {
		err = errTooLong
	}
	text := "no whole answer from " + string(call.Address) + " to " + call.Method + " " + call.Path
	if l.unacked > 0 {
		text += ", " + strconv.Itoa(l.unacked) + " bytes of it unacknowledged"
	}
	return fault.Wrap("httpc.Do", Lost, err, text)
}
