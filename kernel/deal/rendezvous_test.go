package deal

import (
	"fmt"
	"testing"

	"croftmoor.dev/kernel/ident"
)

func sixEngines() []Engine {
	var engines []Engine
	for n := range 6 {
		engines = append(engines, Engine{Name: ident.BackendName(fmt.Sprintf("e-%d", n)), Slots: 8, MillisPerEvent: 40})
	}
	return engines
}

func everywhere(ident.BackendName, Demand) Fit { return Fitting }

func TestFixed(t *testing.T) {
	const items = 6000
	where := func(engines []Engine, fits func(ident.BackendName, Demand) Fit) map[ident.Item]ident.BackendName {
		f := NewRendezvous(engines, fits)
		at := map[ident.Item]ident.BackendName{}
		for n := range items {
			id := ident.Item(fmt.Sprintf("item-%d", n))
			if engine, ok := f.Engine(id, Demand{Job: "j"}); ok {
				at[id] = engine
			}
		}
		return at
	}
	share := func(at map[ident.Item]ident.BackendName, engine ident.BackendName) float64 {
		n := 0
		for _, e := range at {
			if e == engine {
				n++
			}
		}
		return float64(n) / items
	}
	t.Run("an engine that is twice as fast gets twice as many", func(t *testing.T) {
		engines := sixEngines()
		engines[0].MillisPerEvent = 20
		at := where(engines, everywhere)
		if fast, usual := share(at, "e-0"), share(at, "e-1"); fast < 0.26 || fast > 0.31 || usual < 0.12 || usual > 0.165 {
			t.Errorf("shares %.3f and %.3f, want 2/7 and 1/7", fast, usual)
		}
	})
	t.Run("without an engine only its items move", func(t *testing.T) {
		all := where(sixEngines(), everywhere)
		fewer := where(sixEngines()[1:], everywhere)
		for id, engine := range all {
			if engine != "e-0" && fewer[id] != engine {
				t.Fatalf("%s moved from %s to %s", id, engine, fewer[id])
			}
		}
	})
	t.Run("only engines that can run the job count", func(t *testing.T) {
		at := where(sixEngines(), func(e ident.BackendName, _ Demand) Fit {
			if e == "e-3" {
				return Anew
			}
			return Unfit
		})
		if share(at, "e-3") != 1 {
			t.Errorf("the only allowed engine has a share of %.3f, want 1", share(at, "e-3"))
		}
		if none := where(sixEngines(), func(ident.BackendName, Demand) Fit { return Unfit }); len(none) > 0 {
			t.Errorf("%d items assigned to engines that can't run them", len(none))
		}
	})
}
