// Package conns bounds what the connections of callers cost an instance, from their first byte on:
// their number, and the memory of heads that are being read. When there is no room, the connection
// that makes the least progress is closed, so that those that stay open keep nobody out.
package conns

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/gone"
)

// Reason is why a connection was closed by the instance.
type Reason string

// Reasons.
const (
	// Crowded means that its place was needed for another connection.
	Crowded Reason = "crowded"
	// HeadMemory means that the heads that are being read took too much memory.
	HeadMemory Reason = "head memory"
	// LongHead means that its head was longer than it may be.
	LongHead Reason = "long head"
	// Refused means that it was closed when it came, because no other could be closed for it.
	Refused Reason = "refused"
)

const (
	// connBytes is the memory of a connection beside what it sends: buffers, stacks, a small
	// request.
	connBytes = 24 << 10
	// headFactor is the memory of a head while it is read and parsed, as a multiple of its bytes.
	headFactor = 3
	// headSlack is how much more than a head may arrive with it: the buffer that it is read into.
	headSlack = 4 << 10
	// receiveBuffer is what the kernel keeps of a connection that is not read.
	receiveBuffer = 64 << 10
)

// Limits are those of callers' requests that are in force.
type Limits struct {
	// HeadBytes is the greatest size of a head.
	HeadBytes int
	// HeadTerm is how long a head may take, IdleTerm how long a connection may be at rest. They
	// decide which connections are closed first when there is no room; 0 is no limit.
	HeadTerm clock.Millis
	IdleTerm clock.Millis
}

// Listener accepts connections within its bounds. Set the exported fields before use; mu guards the
// others.
type Listener struct {
	net.Listener
	Clock *clock.Clock
	// MaxConns bounds the connections, MaxBytes the memory that they take until their requests
	// are served; 0 is no limit.
	MaxConns int
	MaxBytes int64
	// Limits returns the limits in force.
	Limits func() Limits
	// UnreadTerm is how long a write may wait for its reader.
	UnreadTerm clock.Millis
	// GivenUp is called for each connection that is closed for one of the reasons.
	GivenUp func(reason Reason, remote string)

	lingering conc.WaitGroup

	mu    sync.Mutex
	conns map[*Conn]struct{}
	bytes int64
}

// Listen listens on address. The kernel keeps little of what its connections send unread.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return sockErr
	}}
	return config.Listen(ctx, "tcp", address)
}

// Accept returns the next connection for which there is room, or for which room was made.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.admit(inner); ok {
			return c, nil
		}
		_ = inner.Close()
		l.tell(Refused, inner)
	}
}

// admit counts a new connection, and closes others that are in its way. It returns false if there
// are none.
func (l *Listener) admit(inner net.Conn) (*Conn, bool) {
	now := l.Clock.Mono()
	c := &Conn{Conn: inner, listener: l, stage: atRest, activeAt: now, beganAt: now}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*Conn]struct{}{}
	}
	for l.full(connBytes) {
		victim := l.victim(now, nil)
		if victim == nil {
			return nil, false
		}
		l.giveUp(victim, Crowded)
	}
	l.conns[c] = struct{}{}
	c.charge(connBytes)
	return c, true
}

// full reports whether there is no room for a connection that takes so much memory. The caller holds
// mu.
func (l *Listener) full(bytes int64) bool {
	return l.MaxConns > 0 && len(l.conns) >= l.MaxConns || l.overMemory(bytes)
}

func (l *Listener) overMemory(bytes int64) bool { return l.MaxBytes > 0 && l.bytes+bytes > l.MaxBytes }

// victim returns the connection to be closed first, but for one, or nil if none may be. While a
// request is served its connection is closed only if its caller has sent on without an answer, and
// no other can be. The caller holds mu.
func (l *Listener) victim(now clock.Millis, except *Conn) *Conn {
	limits := l.Limits()
	var first *Conn
	var firstRank rank
	for c := range l.conns {
		if c == except {
			continue
		}
		if r, ok := c.rank(now, limits); ok && (first == nil || r.before(firstRank)) {
			first, firstRank = c, r
		}
	}
	if first != nil {
		return first
	}
	most := 0
	for c := range l.conns {
		if unread := gone.UnreadBytes(c.Conn); c != except && unread > most {
			first, most = c, unread
		}
	}
	return first
}

// giveUp closes a connection at once. The caller holds mu.
func (l *Listener) giveUp(c *Conn, reason Reason) {
	c.givenUp = true
	l.drop(c)
	_ = c.Conn.Close()
	l.tell(reason, c.Conn)
}

// drop uncounts a connection. The caller holds mu.
func (l *Listener) drop(c *Conn) {
	c.charge(-c.charged)
	delete(l.conns, c)
}

func (l *Listener) tell(reason Reason, conn net.Conn) {
	if l.GivenUp != nil {
		l.GivenUp(reason, conn.RemoteAddr().String())
	}
}

// Held returns how many connections there are, and the memory that is counted for them.
func (l *Listener) Held() (conns int, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.bytes
}

type contextKey struct{}

// Context is the ConnContext function of the server that serves the listener's connections.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// State is the ConnState function of that server.
func State(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*Conn); ok && state == http.StateIdle {
		conn.rest()
	}
}

// of returns the connection of a request, or nil.
func of(r *http.Request) *Conn {
	c, _ := r.Context().Value(contextKey{}).(*Conn)
	return c
}

// Begin notes that the head of a request was read. It returns false if the connection was closed
// meanwhile: the request must not be served.
func Begin(r *http.Request) bool {
	c := of(r)
	return c == nil || c.begin(r.ContentLength == 0)
}

// Received notes that a request was read to its end. Its connection is not closed any more for
// others' sake until it is answered.
func Received(r *http.Request) {
	if c := of(r); c != nil {
		c.setStage(serving)
	}
}

// CloseAfter has the connection of a request closed behind its answer if its body has not been read,
// and reports whether that is so: the answer need not wait for it, and what is left is not taken for
// a request.
func CloseAfter(w http.ResponseWriter, r *http.Request) bool {
	c := of(r)
	if c == nil || !c.isReceiving() {
		return false
	}
	w.Header().Set("Connection", "close")
	_ = c.SetReadDeadline((c.listener.Clock.Now() + lingerTerm).Time())
	return true
}
