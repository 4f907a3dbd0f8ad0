package wall

import (
	"testing"

	"croftmoor.dev/kernel/clock"
)

func TestLook(t *testing.T) {
	const start = 1000 * clock.Second
	cases := []struct {
		name     string
		readings []clock.Millis
		every    clock.Millis
		want     clock.Millis
	}{
		{"small corrections are followed", []clock.Millis{start + 50, start + 120, start + 200}, clock.Second, start + 200},
		{"a jump is not", []clock.Millis{start + 2000, start + 2000}, clock.Second, start},
		{"nor one backwards", []clock.Millis{start - 2000, start - 2000}, clock.Second, start},
		{"the way back is no jump", []clock.Millis{start + 2000, start + 2000, start + 10}, clock.Second, start + 10},
		{"one that lasts is believed", []clock.Millis{start + 2000, start + 2000, start + 2000}, acceptDelay, start + 2000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := state{offset: start}
			now := clock.Millis(0)
			for _, reading := range c.readings {
				now += c.every
				s = s.next(reading, now)
			}
			if s.offset != c.want {
				t.Errorf("offset %d, want %d", s.offset, c.want)
			}
		})
	}
}
