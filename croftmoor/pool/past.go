package pool

import (
	"slices"

	"croftmoor.dev/kernel/clock"
)

// history is the number of this instance's in-flight requests at a server over time. A
// load report describes an earlier moment, so other instances' load is the report minus
// this instance's requests at that moment. Times are wall time.
type history struct {
	points []point
}

type point struct {
	at  clock.Millis
	own int
}

// maxHistory is the maximum number of points; at the maximum, the older half is dropped.
const maxHistory = 512

func (h *history) record(at clock.Millis, own int) {
	if len(h.points) >= maxHistory {
		h.points = slices.Delete(h.points, 0, maxHistory/2)
	}
	h.points = append(h.points, point{at: at, own: own})
}

// at returns the number of own requests at a time, or the current number if no point is
// as old as that.
func (h *history) at(when clock.Millis, now int) int {
	i, _ := slices.BinarySearchFunc(h.points, when+1, func(p point, t clock.Millis) int { return int(p.at - t) })
	if i == 0 {
		return now
	}
	return h.points[i-1].own
}
