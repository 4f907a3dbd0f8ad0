package rope

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func TestRope(t *testing.T) {
	var r Rope
	for _, part := range []string{"one ", "", "two ", "three"} {
		r.Append([]byte(part))
	}
	const want = "one two three"
	t.Run("length and bytes", func(t *testing.T) {
		if got := string(r.Bytes()); got != want || r.Len() != len(want) {
			t.Errorf("%q, %d bytes", got, r.Len())
		}
	})
	t.Run("written", func(t *testing.T) {
		var text strings.Builder
		if n, err := r.WriteTo(&text); err != nil || int(n) != len(want) || text.String() != want {
			t.Errorf("%q, %d bytes, %v", text.String(), n, err)
		}
	})
	t.Run("read in small pieces, again and again", func(t *testing.T) {
		for range 2 {
			data, err := io.ReadAll(io.LimitReader(&Reader{Rope: &r}, 1<<10))
			if err != nil || string(data) != want {
				t.Errorf("%q, %v", data, err)
			}
		}
	})
}

func TestReader(t *testing.T) {
	t.Run("a rope is emptied as it is read", func(t *testing.T) {
		var r Rope
		r.Append([]byte("one "))
		r.Append([]byte("two"))
		data, err := io.ReadAll(&Reader{Rope: &r, Consume: true})
		if err != nil || string(data) != "one two" || r.Len() != 0 {
			t.Errorf("%q, %v, %d bytes are left", data, err, r.Len())
		}
	})
	t.Run("empty", func(t *testing.T) {
		none := Of(nil)
		if n, err := (&Reader{Rope: &none}).Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) || none.Len() != 0 {
			t.Errorf("%d bytes, %v", n, err)
		}
	})
}
