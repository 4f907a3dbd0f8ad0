package admit

import "croftmoor.dev/kernel/clock"

const (
	// pressureThreshold is the mean fullness of servers from which on their slots are asked
	// for. Below it most requests find a free slot anyway.
	pressureThreshold = 0.7
	// fullnessWeight is the weight of a response in the moving average of the fullness.
	fullnessWeight = 0.2
)

// Pressure tells from the load that servers report with their responses whether an instance
// should ask an Allocator for slots. It is not safe for concurrent use.
type Pressure struct {
	// fullness is the moving average of the requests at a server, running and waiting, as a
	// fraction of its slots.
	fullness float64
	// until is the time until which the pressure counts as high.
	until clock.Millis
}

// Observe updates the pressure from a response.
func (p *Pressure) Observe(now clock.Millis, s Signal) {
	if s.Slots > 0 {
		p.fullness += fullnessWeight * (float64(s.Running+s.Waiting)/float64(s.Slots) - p.fullness)
	}
	if s.Shed || p.fullness >= pressureThreshold {
		p.until = now + liftDelay
	}
}

// Refused notes that a request found no slot in time.
func (p *Pressure) Refused(now clock.Millis) { p.until = now + liftDelay }

// High reports whether slots should be asked for.
func (p *Pressure) High(now clock.Millis) bool { return now < p.until }
