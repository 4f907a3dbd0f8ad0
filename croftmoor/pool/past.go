package pool

import (
	"slices"

	"croftmoor.dev/kernel/clock"
)

// history is how many requests of this instance ran at a server, by wall time.
// A load report tells of a moment in the past; to know what others had there,
// the own requests of that moment must be subtracted, not today's.
type history struct {
	points []point
}

type point struct {
	at  clock.Millis
	own int
}

// maxHistory bounds the points.
const maxHistory = 512

func (h *history) record(at clock.Millis, own int) {
	if len(h.points) >= maxHistory {
		h.points = slices.Delete(h.points, 0, maxHistory/2)
	}
	h.points = append(h.points, point{at: at, own: own})
}

// at returns the own requests at a moment; without a point before it, the
// count now is the best guess.
func (h *history) at(when clock.Millis, now int) int {
	i, _ := slices.BinarySearchFunc(h.points, when+1, func(p point, t clock.Millis) int { return int(p.at - t) })
	if i == 0 {
		return now
	}
	return h.points[i-1].own
}
