// Package lanes decides how many of a service's engines live requests are kept
// on. Batching slows every sequence of an engine, so live requests packed onto
// just enough engines leave the others to rollouts, whose longest samples end
// their steps sooner. The instances agree without asking each other: the order
// of the engines is the same for all, and each infers the live load from its
// own share of it.
package lanes

import (
	"math"

	"croftmoor.dev/kernel/clock"
)

const (
	// fill is how full, as a share of their slots, the lane's engines are to be.
	fill = 0.5
	// spare engines stand ready for what the estimate is late for.
	spare = 1
	// slack keeps a remainder from counting as an engine.
	slack = 0.05
	// rise and fall are the time constants of the estimate: quick to widen,
	// slow to narrow.
	rise = 200.0
	fall = 4000.0
)

// Width follows the live load of one service. The zero value is ready; it has
// no lock of its own.
type Width struct {
	load float64
	at   clock.Millis
}

// Engines returns how many engines live requests are kept on, given how many
// live requests this instance serves now, how many instances there are, and
// the engines and their slots.
func (w *Width) Engines(own, instances, engines, slots int, now clock.Millis) int {
	w.follow(float64(own*max(instances, 1)), now)
	need := int(math.Ceil(w.load/(fill*float64(max(slots, 1)))-slack)) + spare
	return min(max(need, 1), engines)
}

// follow moves the estimate towards the load seen now.
func (w *Width) follow(load float64, now clock.Millis) {
	constant := fall
	if load > w.load {
		constant = rise
	}
	span := float64(max(now-w.at, 0))
	w.load += (load - w.load) * (1 - math.Exp(-span/constant))
	w.at = now
}
