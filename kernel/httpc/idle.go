package httpc

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/gone"
	"croftmoor.dev/kernel/ident"
)

const (
	maxIdlePerAddress = 64
	// defaultIdleTimeout is how long a connection is kept idle if the server announces no
	// Keep-Alive timeout. idleTimeoutMargin is subtracted from an announced timeout, so that
	// the client closes the connection before the server does.
	defaultIdleTimeout = 4 * clock.Second
	idleTimeoutMargin  = 500 * clock.Millis(1)
)

// HasIdle reports whether an idle connection to address is kept that has not expired.
func (c *Client) HasIdle(address ident.Address) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	links := c.idle[address]
	return len(links) > 0 && c.now() < links[len(links)-1].idleUntil
}

// now returns monotonic time. The caller holds mu.
func (c *Client) now() clock.Millis {
	if c.monoClock == nil {
		c.monoClock = clock.New()
	}
	return c.monoClock.Mono()
}

// acquire returns an idle connection, or dials if there is none or call.FreshConn is set.
// reused reports whether the connection was idle. A call whose ctx has ended gets none.
func (c *Client) acquire(ctx context.Context, call *Call) (l *link, reused bool, err error) {
	if ctx.Err() != nil {
		return nil, false, fault.Wrap("httpc.acquire", NotSent, ctx.Err(), "the call to "+string(call.Address)+" ended before it was sent")
	}
	if !call.FreshConn {
		if l = c.takeIdle(call.Address); l != nil {
			return l, true, nil
		}
	}
	l, err = c.dial(ctx, call.Address)
	return l, false, err
}

// takeIdle returns the most recently used idle connection that has not expired, is still open and
// has no unacknowledged bytes, or nil. It closes the unusable ones that it meets: if a call is
// abandoned, the reset also discards what is unacknowledged of the answered call before it.
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
		if c.now() < l.idleUntil && gone.Reusable(l.Conn) && gone.UnackedBytes(l.Conn) == 0 {
			l.idleUntil = 0
			return l
		}
		l.finish()
	}
}

// putIdle keeps a connection idle for idleFor at most. It closes the connection instead if
// unread bytes remain, which the next call would read as its response, or if the address
// already has maxIdlePerAddress idle connections.
func (c *Client) putIdle(address ident.Address, l *link, idleFor clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[ident.Address][]*link{}
	}
	c.closeExpired(address)
	if l.reader.Buffered() > 0 || idleFor <= 0 || len(c.idle[address]) >= maxIdlePerAddress {
		l.finish()
		return
	}
	l.idleUntil = c.now() + idleFor
	c.idle[address] = append(c.idle[address], l)
}

// closeExpired closes the expired idle connections of an address. The caller holds mu.
func (c *Client) closeExpired(address ident.Address) {
	now := c.now()
	c.idle[address] = slices.DeleteFunc(c.idle[address], func(l *link) bool {
		if now < l.idleUntil {
			return false
		}
		l.finish()
		return true
	})
}

// idleTimeout returns how long a connection may stay idle after a response with this header.
// If it is not positive, the connection must be closed.
func idleTimeout(head *responseHead) clock.Millis {
	if head.closesConnection() {
		return 0
	}
	for part := range strings.SplitSeq(head.header("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil {
			return clock.Millis(seconds)*clock.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

// closeIdleOnTimeout closes the idle connections to address if ctx passed its deadline. When a
// network drops one open connection without a reset, it often drops the others as well, while
// new connections work.
func (c *Client) closeIdleOnTimeout(ctx context.Context, address ident.Address) {
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return
	}
	c.CloseIdle(address)
}

// CloseIdle closes the idle connections to address.
func (c *Client) CloseIdle(address ident.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.idle[address] {
		l.finish()
	}
	delete(c.idle, address)
}
