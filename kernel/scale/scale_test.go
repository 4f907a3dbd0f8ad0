package scale

import (
	"maps"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

func TestSpot(t *testing.T) {
	limits := Limits{Min: 1, Max: 22, SpotPrice: 0.15, Prices: map[ident.Zone]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9}}
	zones := func(unavailable ...ident.Zone) []Zone {
		var list []Zone
		for _, name := range []ident.Zone{"a", "b", "c", "d"} {
			z := Zone{Name: name, Regular: 11}
			for _, d := range unavailable {
				z.SpotUnavailable = z.SpotUnavailable || d == name
			}
			list = append(list, z)
		}
		return list
	}
	crowded := limits
	crowded.Max = 13
	none := limits
	none.SpotPrice = 0
	cases := []struct {
		name   string
		limits Limits
		zones  []Zone
		items  int
		want   map[ident.Zone]int
	}{
		{"what fits needs none", limits, zones(), 352, map[ident.Zone]int{"a": 0, "b": 0, "c": 0, "d": 0}},
		{"a few go to the cheapest zones", limits, zones(), 352 + 16, map[ident.Zone]int{"a": 0, "b": 1, "c": 0, "d": 1}},
		{"four steps of 176 are shared evenly, up to half as many more", limits, zones(), 704, map[ident.Zone]int{"a": 5, "b": 6, "c": 5, "d": 6}},
		{"where none are to be had the others have them", limits, zones("b", "c"), 704, map[ident.Zone]int{"a": 11, "b": 0, "c": 0, "d": 11}},
		{"the operator's limit holds", crowded, zones(), 704, map[ident.Zone]int{"a": 2, "b": 2, "c": 2, "d": 2}},
		{"regular ones that are lost don't make them fewer", limits, zones()[1:], 704, map[ident.Zone]int{"b": 8, "c": 7, "d": 7}},
		{"all dry", limits, zones("a", "b", "c", "d"), 704, map[ident.Zone]int{"a": 0, "b": 0, "c": 0, "d": 0}},
		{"no spot engines at all", none, zones(), 704, map[ident.Zone]int{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := DesiredSpot(c.limits, c.zones, 44, c.items, 8); !maps.Equal(got, c.want) {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

// Guards against removing engines in the pause between two steps.
func TestNeedLastsBetweenSteps(t *testing.T) {
	var d Demand
	for at := clock.Millis(0); at < 20*clock.Second; at += 500 {
		items := 0
		if at%(4*clock.Second) < 2*clock.Second {
			items = 700
		}
		d.Observe(at, items)
		if d.Peak() != 700 {
			t.Fatalf("at %d the peak demand is %d, want 700", at, d.Peak())
		}
	}
	d.Observe(20*clock.Second+demandWindow, 10)
	if d.Peak() != 10 {
		t.Errorf("after demandWindow the peak demand is %d, want 10", d.Peak())
	}
}
