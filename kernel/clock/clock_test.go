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

// The clock that counts suspensions costs a call of the system: 190 to 280 ns a reading, 35
// for the language's own clock. Instances took 0.0131 of a core with it and 0.0138
// without on a quiet day, one play each.
func BenchmarkMono(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Mono()
	}
}
