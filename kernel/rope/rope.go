// Package rope holds long data in segments, so that it can grow without being copied.
package rope

import (
	"bytes"
	"io"
)

// Rope is data in segments. The zero value is empty. Copies share the segments.
type Rope struct {
	segments [][]byte
	size     int
}

// Of returns a rope of one segment, which is not copied.
func Of(data []byte) Rope {
	if len(data) == 0 {
		return Rope{}
	}
	return Rope{segments: [][]byte{data}, size: len(data)}
}

// Len returns the number of bytes.
func (r *Rope) Len() int { return r.size }

// Segments returns the number of segments.
func (r *Rope) Segments() int { return len(r.segments) }

// Append adds a segment, which is not copied.
func (r *Rope) Append(segment []byte) {
	if len(segment) == 0 {
		return
	}
	r.segments = append(r.segments, segment)
	r.size += len(segment)
}

// Bytes returns all data in one piece. A rope of one segment is not copied.
func (r *Rope) Bytes() []byte {
	if len(r.segments) == 1 {
		return r.segments[0]
	}
	return bytes.Join(r.segments, nil)
}

// WriteTo writes all data.
func (r *Rope) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for _, segment := range r.segments {
		n, err := w.Write(segment)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Reader reads the data of a rope. If Consume is set, the rope is emptied as it is read, so that
// what was read takes no memory any more.
type Reader struct {
	Rope    *Rope
	Consume bool

	// next is the index of the segment that is read, at how much of it was.
	next, at int
}

// Read implements io.Reader.
func (r *Reader) Read(b []byte) (int, error) {
	for r.next < len(r.Rope.segments) {
		n := copy(b, r.Rope.segments[r.next][r.at:])
		r.at += n
		if r.at == len(r.Rope.segments[r.next]) {
			r.advance()
		}
		if n > 0 || len(b) == 0 {
			return n, nil
		}
	}
	return 0, io.EOF
}

// advance goes on to the next segment.
func (r *Reader) advance() {
	if r.Consume {
		r.Rope.size -= len(r.Rope.segments[r.next])
		r.Rope.segments[r.next] = nil
	}
	r.next++
	r.at = 0
}
