package conns

import (
	"io"
	"net"
	"net/http"
	"strconv"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
)

// Kind classifies the errors of this package.
type Kind string

// TooLong means that a head is longer than it may be.
const TooLong Kind = "TooLong"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// stage is how far the request of a connection has come.
type stage int

const (
	// atRest: no byte of a request has come.
	atRest stage = iota
	// readingHead: a part of a head has come.
	readingHead
	// receiving: the head is read, the body is not.
	receiving
	// serving: the request is whole and not answered yet.
	serving
	// lingering: the instance has closed it, and reads on so that the caller gets the answer.
	lingering
)

const (
	// lingerTerm and lingerBytes bound how long and how much is read of a connection that was
	// answered before its request had come.
	lingerTerm  = 2 * clock.Second
	lingerBytes = 64 << 20
)

// Conn is a connection of a Listener, whose mu guards its fields.
type Conn struct {
	net.Conn
	listener *Listener

	stage stage
	// activeAt is when bytes last came or a stage began, beganAt when the stage did.
	activeAt, beganAt clock.Millis
	// headBytes are those of the head that is being read, charged the memory that is counted.
	headBytes int
	charged   int64
	// givenUp is set once it was closed for others' sake.
	givenUp bool
	closed  bool
}

// charge adds to the memory that is counted. The caller holds mu.
func (c *Conn) charge(bytes int64) {
	c.charged += bytes
	c.listener.bytes += bytes
}

// Read reads what the caller sends. A head that is too long is refused here, while it comes.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.received(n) {
		c.refuseHead()
		// net/http answers nothing more after an error of a read.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: fault.New("conns.Read", TooLong, "the head is too long")}
	}
	return n, err
}

// received counts bytes that have come. It returns false if they make a head too long.
func (c *Conn) received(n int) bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Mono()
	c.activeAt = now
	if c.stage == atRest {
		c.stage, c.beganAt = readingHead, now
	}
	if c.stage != readingHead || c.givenUp {
		return true
	}
	c.headBytes += n
	if c.headBytes > l.Limits().HeadBytes+headSlack {
		return false
	}
	c.charge(int64(headFactor * n))
	for l.overMemory(0) {
		victim := l.victim(now, c)
		if victim == nil {
			break
		}
		l.giveUp(victim, HeadMemory)
	}
	return true
}

// refuseHead answers in the server's place, which would read on. None of the request was served.
func (c *Conn) refuseHead() {
	c.listener.tell(LongHead, c.Conn)
	const text = "the header is too large\n"
	_, _ = io.WriteString(c, "HTTP/1.1 431 "+http.StatusText(http.StatusRequestHeaderFieldsTooLarge)+
		"\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "+strconv.Itoa(len(text))+"\r\nConnection: close\r\n\r\n"+text)
}

// Write writes a part of an answer. Its caller has UnreadTerm to make room for it.
func (c *Conn) Write(b []byte) (int, error) {
	if term := c.listener.UnreadTerm; term > 0 {
		_ = c.SetWriteDeadline((c.listener.Clock.Now() + term).Time())
	}
	return c.Conn.Write(b)
}

// begin implements Begin; whole is whether the request has no body.
func (c *Conn) begin(whole bool) bool {
	next := receiving
	if whole {
		next = serving
	}
	return c.setStage(next)
}

// rest notes that the request was answered and the connection kept.
func (c *Conn) rest() { c.setStage(atRest) }

// setStage returns false if the connection was given up.
func (c *Conn) setStage(s stage) bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.givenUp {
		return false
	}
	c.stage = s
	c.beganAt = l.Clock.Mono()
	c.activeAt = c.beganAt
	if s != readingHead && c.headBytes > 0 {
		c.charge(connBytes - c.charged)
		c.headBytes = 0
	}
	return true
}

func (c *Conn) isReceiving() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.stage == receiving
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close closes the connection. If its caller may still be sending, it is read on for a while, since
// a reset could overtake the answer; what is read is dropped.
func (c *Conn) Close() error {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed || c.givenUp {
		return nil
	}
	c.closed = true
	if c.stage != readingHead && c.stage != receiving {
		l.drop(c)
		return c.Conn.Close()
	}
	c.stage = lingering
	l.lingering.Go(c.linger)
	return nil
}

// linger reads on and then closes.
func (c *Conn) linger() {
	_ = c.CloseWrite()
	_ = c.SetReadDeadline((c.listener.Clock.Now() + lingerTerm).Time())
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.givenUp {
		return
	}
	l.drop(c)
	_ = c.Conn.Close()
}

// rank tells how soon a connection is closed for others' sake.
type rank struct {
	// overdue is whether it is lingering, or has been at rest or in its head for too long.
	overdue bool
	// activeAt is when it last made progress.
	activeAt clock.Millis
}

// before reports whether a connection of rank r is closed before one of rank other.
func (r rank) before(other rank) bool {
	if r.overdue != other.overdue {
		return r.overdue
	}
	return r.activeAt < other.activeAt
}

// rank returns the connection's rank; false if its request is being served.
func (c *Conn) rank(now clock.Millis, limits Limits) (rank, bool) {
	r := rank{activeAt: c.activeAt}
	switch c.stage {
	case lingering:
		r.overdue = true
	case atRest:
		r.overdue = limits.IdleTerm > 0 && now-c.beganAt > limits.IdleTerm
	case readingHead:
		r.overdue = limits.HeadTerm > 0 && now-c.beganAt > limits.HeadTerm
	case receiving:
	case serving:
		return r, false
	}
	return r, true
}
