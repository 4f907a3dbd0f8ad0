package route

import (
	"math/rand/v2"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/eject"
	"croftmoor.dev/kernel/ident"
)

func pick(t *testing.T, name string, candidates []Candidate, seed uint64) Choice {
	t.Helper()
	p, err := Policies.New(name)
	if err != nil {
		t.Fatal(err)
	}
	return p.Pick(Request{Zone: "a", Work: 100, ZoneLatency: 1}, candidates, rand.New(rand.NewPCG(seed, 1)))
}

func server(zone ident.Zone, own int) Candidate {
	return Candidate{Zone: zone, Own: own, Slots: 8, Weight: 1, HasReport: true}
}

func warm(c Candidate) Candidate {
	c.Warm = true
	return c
}

func TestBalanced(t *testing.T) {
	for name, c := range map[string]struct {
		candidates []Candidate
		want       int
	}{
		"less own load":                 {[]Candidate{server("a", 5), server("a", 1)}, 1},
		"its own zone, all else same":   {[]Candidate{server("b", 1), server("a", 1)}, 1},
		"another zone if much freer":    {[]Candidate{server("a", 8), server("b", 0)}, 1},
		"not an ejected one":            {[]Candidate{{Slots: 8}, server("a", 7)}, 1},
		"a faster one":                  {[]Candidate{{Slots: 8, Weight: 1, Speed: 0.25}, {Slots: 8, Weight: 1, Speed: 1.5}}, 1},
		"a believed cache":              {[]Candidate{{Slots: 8, Weight: 1}, {Slots: 8, Weight: 1, Cached: 1}}, 1},
		"one with a resting connection": {[]Candidate{server("a", 1), warm(server("a", 1))}, 1},
		"a cold one if much freer":      {[]Candidate{warm(server("a", 7)), server("a", 1)}, 1},
		"nothing to choose":             {nil, -1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := pick(t, Balanced, c.candidates, 1); got.Index != c.want {
				t.Fatalf("chose %d (%s), want %d", got.Index, got.Reason, c.want)
			}
		})
	}
}

// TestNoHerding checks that instances which hold the same stale report, in which one of
// ten engines looks idle, do not all send their requests there.
func TestNoHerding(t *testing.T) {
	const instances, requests = 13, 4
	sentToIdle := func(policy string) int {
		onIdle := 0
		for i := range instances {
			candidates := make([]Candidate, 10)
			for j := range candidates {
				candidates[j] = Candidate{Zone: "a", Slots: 8, Weight: 1, HasReport: true, Reported: 6, ReportAge: clock.Second}
			}
			candidates[3].Reported = 0
			for r := range requests {
				choice := pick(t, policy, candidates, uint64(i*100+r))
				candidates[choice.Index].Own++
				if choice.Index == 3 {
					onIdle++
				}
			}
		}
		return onIdle
	}
	if herd := sentToIdle(LeastReported); herd != instances*requests {
		t.Fatalf("the baseline sent %d requests to the engine that looked idle, want all", herd)
	}
	if herd := sentToIdle(Balanced); herd > instances*requests/2 {
		t.Fatalf("%d of %d requests went to the engine that looked idle", herd, instances*requests)
	}
}

func TestBreaker(t *testing.T) {
	b := &eject.Breaker{}
	for range eject.FailureThreshold {
		b.RecordFailure(100)
	}
	assertWeight(t, b, 101, 0, 0)
	assertWeight(t, b, 100+eject.FirstEjection+1, 0.01, 0.2)
	assertWeight(t, b, 100+eject.FirstEjection+eject.RampDuration, 1, 1)
	// A failure during the ramp ejects the server again at once, for longer.
	b.RecordFailure(100 + eject.FirstEjection + 10)
	assertWeight(t, b, 100+2*eject.FirstEjection+20, 0, 0)
}

func assertWeight(t *testing.T, b *eject.Breaker, now clock.Millis, low, high float64) {
	t.Helper()
	if got := b.Weight(now); got < low || got > high {
		t.Fatalf("weight %v at %d, want %v to %v", got, now, low, high)
	}
}
