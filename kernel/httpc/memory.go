package httpc

import (
	"errors"
	"sync"

	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/rope"
)

// errTooLong is in the chain of the error of an exchange whose response is longer than it may
// be, or was given up for the memory that it took.
var errTooLong = fault.New("httpc.read", Lost, "the answer is too long")

// TooLong reports whether an exchange failed because its response was longer than it may be,
// or was given up for the memory that it took. The server may send without an end.
func TooLong(err error) bool { return errors.Is(err, errTooLong) }

// memory counts the bytes that responses take while they are read. If all together take more
// than limit, one is given up: that which takes the most of those that may have no end, since
// their length is not known, or else of all.
type memory struct {
	mu    sync.Mutex
	limit int64
	total int64
	held  map[*link]int64
}

// take adds bytes to those of a link. It returns the link that has to be given up, which may
// be the same one, or nil.
func (m *memory) take(l *link, bytes int64) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held == nil {
		m.held = map[*link]int64{}
	}
	m.held[l] += bytes
	m.total += bytes
	if m.total <= m.limit {
		return nil
	}
	victim := l
	for other := range m.held {
		if m.goesBefore(other, victim) {
			victim = other
		}
	}
	m.drop(victim)
	return victim
}

// goesBefore reports whether a is given up before b.
func (m *memory) goesBefore(a, b *link) bool {
	if a.lengthKnown != b.lengthKnown {
		return b.lengthKnown
	}
	return m.held[a] > m.held[b]
}

// free drops the bytes of a link.
func (m *memory) free(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(l)
}

// drop implements free; the caller holds mu.
func (m *memory) drop(l *link) {
	m.total -= m.held[l]
	delete(m.held, l)
}

// buffer holds a line or an event, which must not exceed limit. Its memory is counted from
// uncountedBytes on.
type buffer struct {
	link  *link
	limit int
	data  []byte
}

// uncountedBytes is the size up to which a buffer's memory is not counted, since most are small.
const uncountedBytes = 4096

// append adds bytes. Its errors wrap errTooLong.
func (b *buffer) append(part []byte) error {
	size := len(b.data) + len(part)
	if size > b.limit {
		return errTooLong
	}
	if size > cap(b.data) {
		if err := b.grow(size); err != nil {
			return err
		}
	}
	b.data = append(b.data, part...)
	return nil
}

// grow makes room for at least size bytes.
func (b *buffer) grow(size int) error {
	capacity := min(max(2*cap(b.data), size, uncountedBytes), max(b.limit, size))
	if capacity > uncountedBytes {
		if err := b.link.take(capacity - cap(b.data)); err != nil {
			return err
		}
	}
	grown := make([]byte, len(b.data), capacity)
	copy(grown, b.data)
	b.data = grown
	return nil
}

// segmentBytes is the size of the segments in which the body of a response is collected. They
// are used again, so that responses that are given up leave no garbage.
const segmentBytes = 64 << 10

var segments = sync.Pool{New: func() any {
	segment := make([]byte, 0, segmentBytes)
	return &segment
}}

// collector collects a body that must not exceed limit.
type collector struct {
	link  *link
	limit int
	size  int
	// small holds the first uncountedBytes, which are all of most bodies.
	small []byte
	large []*[]byte
}

// add adds bytes. Its errors wrap errTooLong.
func (c *collector) add(part []byte) error {
	if c.size += len(part); c.size > c.limit {
		return errTooLong
	}
	if len(c.large) == 0 && c.size <= uncountedBytes {
		c.small = append(c.small, part...)
		return nil
	}
	for len(part) > 0 {
		last, err := c.segment()
		if err != nil {
			return err
		}
		n := min(len(part), segmentBytes-len(*last))
		*last = append(*last, part[:n]...)
		part = part[n:]
	}
	return nil
}

// segment returns the last segment, if it has room, or a new one.
func (c *collector) segment() (*[]byte, error) {
	if n := len(c.large); n > 0 && len(*c.large[n-1]) < segmentBytes {
		return c.large[n-1], nil
	}
	if err := c.link.take(segmentBytes); err != nil {
		return nil, err
	}
	segment, _ := segments.Get().(*[]byte)
	*segment = (*segment)[:0]
	c.large = append(c.large, segment)
	return segment, nil
}

// body returns all that was added.
func (c *collector) body() []byte {
	if len(c.large) == 0 {
		return c.small
	}
	whole := append(make([]byte, 0, c.size), c.small...)
	for _, segment := range c.large {
		whole = append(whole, *segment...)
	}
	return whole
}

// rope returns all that was added, without a copy: the collector keeps nothing of it.
func (c *collector) rope() rope.Rope {
	body := rope.Of(c.small)
	for _, segment := range c.large {
		body.Append(*segment)
	}
	c.large = nil
	return body
}

// release gives the segments back.
func (c *collector) release() {
	for _, segment := range c.large {
		segments.Put(segment)
	}
	c.large = nil
	c.link.free()
}
