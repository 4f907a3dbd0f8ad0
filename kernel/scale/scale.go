// Package scale decides how many engines a service should have beside its regular
// ones. It is pure.
//
// The load it answers: several trainers ask for a step each 4 s, each step more items
// than the engines have slots for, while engines fail, turn slow or are cut off. The
// regular engines are the operator's and are left alone. Spot engines cost a fraction of
// them and are withdrawn at short notice, so they only carry what the regular ones have
// no slots for, spread over the zones: all of a zone are withdrawn together.
package scale

import (
	"cmp"
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

const (
	// maxSpotFraction is how many spot engines there may be, as a part of the regular ones.
	// Each engine more needs each version of the weights loaded, and the store of the
	// weights serves no more loads for it: with twice the engines a day's worth fell by
	// 0.064 in one play, with half as many more it rose by 0.007 and 0.015.
	maxSpotFraction = 0.5
	// demandWindow is for how long the greatest need counts: three steps, so that a pause
	// between two of them orders nothing off.
	demandWindow = 12 * clock.Second
)

// Limits are the operator's, for each zone.
type Limits struct {
	Min int
	Max  int
	// BootTime is how long a new engine takes to serve.
	BootTime clock.Millis
	// SpotPrice is the price of a spot engine as a part of a regular one's; 0 is none
	// to be had.
	SpotPrice float64
	// Prices are the zones' prices of an engine's second.
	Prices map[ident.Zone]float64
}

// Zone is a zone with the engines that serve there and are not leaving.
type Zone struct {
	Name    ident.Zone
	Regular int
	// SpotUnavailable tells that no spot engines are to be had there now.
	SpotUnavailable bool
}

// Demand is the greatest number of items that had no result yet within holdTerm.
type Demand struct {
	samples []sample
}

type sample struct {
	at    clock.Millis
	items int
}

// Observe adds the number of items without a result at a time.
func (d *Demand) Observe(at clock.Millis, items int) {
	d.samples = slices.DeleteFunc(d.samples, func(s sample) bool { return at-s.at > demandWindow || s.items <= items })
	d.samples = append(d.samples, sample{at: at, items: items})
}

// Peak returns the need.
func (d *Demand) Peak() int {
	peak := 0
	for _, s := range d.samples {
		peak = max(peak, s.items)
	}
	return peak
}

// DesiredSpot returns how many spot engines each zone should hold; slots is how many items one
// engine runs at once, and usual how many regular engines there are as a rule: while some
// of them are lost more are needed, not fewer. Cheaper zones come first where the number can't be shared evenly.
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
