package clock

import (
	"testing"
	"time"
)

func TestMono(t *testing.T) {
	c := New()
	before, wall := c.Mono(), time.Now()
	time.Sleep(50 * time.Millisecond)
	if passed, want := c.Mono()-before, FromDuration(time.Since(wall)); passed < want-2 || passed > want+2 {
		t.Errorf("%d ms passed, want %d", passed, want)
	}
	if s := c.Suspended(); s < -2 || s > 2 {
		t.Errorf("suspended for %d ms, want none", s)
	}
}

// Measures one reading of Mono, which costs a system call.
func BenchmarkMono(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Mono()
	}
}
