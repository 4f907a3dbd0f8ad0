// Package scale decides how many spot engines each zone of a service should have. Its
// functions have no side effects.
//
// The operator sets the number of regular engines. Spot engines are cheaper but can be
// withdrawn at short notice, so they only take the load for which the regular engines have
// no slots. They are spread over the zones, since a zone may lose all of its spot engines
// at once.
package scale

import (
	"cmp"
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

const (
	// maxSpotFraction bounds the spot engines as a fraction of the regular ones. Each engine
	// loads every version of the weights, and more engines would overload the weight store.
	maxSpotFraction = 0.5
	// demandWindow is how long a sample counts. It spans three steps, so the pause between
	// two steps does not remove engines.
	demandWindow = 12 * clock.Second
)

// Limits are the operator's limits: the Min and Max number of engines in each zone of a
// service, and their prices.
type Limits struct {
	Min int
	Max int
	// BootTime is the time from the order of an engine until it serves.
	BootTime clock.Millis
	// SpotPrice is the price of a spot engine as a fraction of a regular engine's; 0 means
	// that the service has no spot engines.
	SpotPrice float64
	// Prices are the prices of one engine for one second, by zone.
	Prices map[ident.Zone]float64
}

// Zone is a zone with the number of regular engines that serve there and are not leaving.
type Zone struct {
	Name    ident.Zone
	Regular int
	// SpotUnavailable is whether the zone has no spot engines to offer now.
	SpotUnavailable bool
}

// Demand tracks the maximum number of items without a result over demandWindow.
type Demand struct {
	samples []sample
}

type sample struct {
	at    clock.Millis
	items int
}

// Observe records the number of items without a result at a time.
func (d *Demand) Observe(at clock.Millis, items int) {
	d.samples = slices.DeleteFunc(d.samples, func(s sample) bool { return at-s.at > demandWindow || s.items <= items })
	d.samples = append(d.samples, sample{at: at, items: items})
}

// Peak returns the maximum number of items over demandWindow before the last Observe.
func (d *Demand) Peak() int {
	peak := 0
	for _, s := range d.samples {
		peak = max(peak, s.items)
	}
	return peak
}

// DesiredSpot returns how many spot engines each zone should have. items is the peak demand
// and slots the number of items that one engine runs at once. peakRegular is the largest
// number of regular engines that the service has had; maxSpotFraction applies to it, so lost
// regular engines do not lower the bound. Available zones get one engine each in turn, the
// cheapest first, until the demand is covered or limits are reached.
func DesiredSpot(limits Limits, zones []Zone, peakRegular, items, slots int) map[ident.Zone]int {
	desired := map[ident.Zone]int{}
	if limits.SpotPrice <= 0 || slots <= 0 {
		return desired
	}
	regular := 0
	var available []Zone
	for _, z := range zones {
		desired[z.Name] = 0
		regular += z.Regular
		if !z.SpotUnavailable {
			available = append(available, z)
		}
	}
	slices.SortFunc(available, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(limits.Prices[a.Name], limits.Prices[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	missing := (items+slots-1)/slots - regular
	remaining := min(max(missing, 0), int(maxSpotFraction*float64(peakRegular)))
	for remaining > 0 {
		added := 0
		for _, z := range available {
			if remaining > added && z.Regular+desired[z.Name] < limits.Max {
				desired[z.Name]++
				added++
			}
		}
		if added == 0 {
			break
		}
		remaining -= added
	}
	return desired
}
