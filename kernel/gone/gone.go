// Package gone detects that a caller has closed its connection while its request is being
// served. The HTTP server does not notify handlers of this, and a failed write reveals it
// only once there is something to write.
//
// The check peeks at the socket without consuming bytes. A half-closed connection, on
// which the caller has closed only its sending side, counts as closed.
package gone

import (
	"context"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"croftmoor.dev/kernel/clock"
)

const (
	shards = 16
	// checkPeriod is the interval between two checks of a connection.
	checkPeriod = 50 * clock.Millis(1)
)

// Watcher cancels the contexts of requests whose connections are closed by the peer. Set
// Clock before Run. Connections are divided into shards, each with its own lock.
type Watcher struct {
	Clock  *clock.Clock
	shards [shards]shard
	ids    counter
}

// counter generates the keys of watched connections.
type counter struct {
	mu sync.Mutex
	n  uint64
}

type shard struct {
	mu      sync.Mutex
	watched map[uint64]watch
}

type watch struct {
	socket syscall.RawConn
	cancel context.CancelFunc
}

// Run checks all watched connections every checkPeriod until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	w.Clock.Every(ctx, checkPeriod, func() {
		for i := range w.shards {
			w.shards[i].check()
		}
	})
}

// Watch returns a context that is canceled when the peer closes conn. The caller must call
// stop when the request is done. A conn without a socket is not watched.
func (w *Watcher) Watch(ctx context.Context, conn net.Conn) (watched context.Context, stop func()) {
	watched, cancel := context.WithCancel(ctx)
	socket := socketOf(conn)
	if socket == nil {
		return watched, cancel
	}
	id := w.ids.next()
	s := &w.shards[id%shards]
	s.mu.Lock()
	if s.watched == nil {
		s.watched = map[uint64]watch{}
	}
	s.watched[id] = watch{socket: socket, cancel: cancel}
	s.mu.Unlock()
	return watched, func() {
		s.mu.Lock()
		delete(s.watched, id)
		s.mu.Unlock()
		cancel()
	}
}

func (c *counter) next() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return c.n
}

func (s *shard) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, w := range s.watched {
		if peerClosed(w.socket) {
			w.cancel()
			delete(s.watched, id)
		}
	}
}

// socketOf returns the socket under conn and its wrappers, or nil if there is none.
func socketOf(conn net.Conn) syscall.RawConn {
	for {
		switch c := conn.(type) {
		case syscall.Conn:
			socket, err := c.SyscallConn()
			if err != nil {
				return nil
			}
			return socket
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

// peerClosed reports whether the peer has closed or reset the connection and no unread
// bytes remain. It also returns true if the socket is not accessible any more.
func peerClosed(socket syscall.RawConn) bool {
	closed := false
	err := socket.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = (n == 0 && err == nil) || err == syscall.ECONNRESET
	})
	return closed || err != nil
}

// Reusable reports whether an idle connection can take another request: the peer has not
// closed it, the socket is accessible, and it has no unread bytes, which would be
// unsolicited. A conn without a socket counts as reusable.
func Reusable(conn net.Conn) bool {
	socket := socketOf(conn)
	if socket == nil {
		return true
	}
	reusable := false
	err := socket.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN
	})
	return reusable && err == nil
}

// UnackedBytes returns how many bytes written to conn its peer has not acknowledged; 0 if that is not
// known.
func UnackedBytes(conn net.Conn) int { return queuedBytes(conn, unix.SIOCOUTQ) }

// UnreadBytes returns how many bytes that have arrived on conn were not read; 0 if that is not known.
func UnreadBytes(conn net.Conn) int { return queuedBytes(conn, unix.SIOCINQ) }

// queuedBytes returns the length of a queue of the kernel.
func queuedBytes(conn net.Conn, queue uint) int {
	socket := socketOf(conn)
	if socket == nil {
		return 0
	}
	queued := 0
	var queueErr error
	err := socket.Control(func(fd uintptr) { queued, queueErr = unix.IoctlGetInt(int(fd), queue) })
	if err != nil || queueErr != nil {
		return 0
	}
	return queued
}
