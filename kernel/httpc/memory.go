package httpc

import (
	"errors"
	"sync"

	"croftmoor.dev/kernel/fault"
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

// buffer collects a part of a response that must not exceed limit. Its memory is counted from
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
