package loads

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"croftmoor.dev/kernel/ident"
)

// fleet returns engines of the median speed with the given versions of models a and b.
func fleet(versions ...[2]ident.Version) []Engine {
	var engines []Engine
	for n, v := range versions {
		engines = append(engines, Engine{
			Name: ident.BackendName(fmt.Sprintf("e%d", n)), Speed: 1, Versions: map[ident.Model]ident.Version{"a": v[0], "b": v[1]},
		})
	}
	return engines
}

func expectLoads(t *testing.T, got []Load, want ...string) {
	t.Helper()
	var names []string
	for _, l := range got {
		names = append(names, fmt.Sprintf("%s %s%d", l.Engine, l.Model, l.Version))
	}
	if fmt.Sprint(names) != fmt.Sprint(want) {
		t.Errorf("loads %v, want %v", names, want)
	}
}

func TestPlan(t *testing.T) {
	waits := func(name ident.Model, newest, least ident.Version) Model {
		return Model{Name: name, Newest: newest, Steps: []Step{{MinVersion: least, Work: 100, Waiting: true}, {MinVersion: newest, Work: 70}}}
	}
	idle := func(name ident.Model, newest ident.Version) Model {
		return Model{Name: name, Newest: newest, Steps: []Step{{MinVersion: newest, Work: 70}}}
	}
	t.Run("a step that waits and has no engine goes first", func(t *testing.T) {
		got := Plan(fleet([2]ident.Version{1, 2}, [2]ident.Version{1, 2}), []Model{waits("a", 3, 2), idle("b", 3)}, 1)
		expectLoads(t, got, "e0 a3")
	})
	t.Run("each model gets its first engine before another gets its second", func(t *testing.T) {
		got := Plan(fleet([2]ident.Version{1, 1}, [2]ident.Version{1, 1}, [2]ident.Version{1, 1}), []Model{waits("a", 3, 2), waits("b", 3, 2)}, 2)
		expectLoads(t, got, "e0 a3", "e1 b3")
	})
	t.Run("an engine that serves the waiting step goes on serving it", func(t *testing.T) {
		got := Plan(fleet([2]ident.Version{2, 2}, [2]ident.Version{1, 2}), []Model{waits("a", 3, 2)}, 1)
		expectLoads(t, got, "e1 a3")
	})
	t.Run("the faster engine goes first", func(t *testing.T) {
		engines := fleet([2]ident.Version{1, 1}, [2]ident.Version{1, 1})
		engines[0].Speed = 0.75
		expectLoads(t, Plan(engines, []Model{waits("a", 3, 2)}, 1), "e1 a3")
	})
	t.Run("an engine that serves no other model goes first", func(t *testing.T) {
		got := Plan(fleet([2]ident.Version{1, 3}, [2]ident.Version{1, 2}), []Model{waits("a", 3, 2), idle("b", 3)}, 1)
		expectLoads(t, got, "e1 a3")
	})
	t.Run("engines that can't be ordered are left out, the plan changes nothing", func(t *testing.T) {
		engines := fleet([2]ident.Version{1, 3}, [2]ident.Version{1, 3})
		engines[0].Unavailable = true
		expectLoads(t, Plan(engines, []Model{waits("a", 3, 2)}, 2), "e1 a3")
		if engines[1].Versions["a"] != 1 || engines[1].Unavailable {
			t.Error("the caller's engines were changed")
		}
	})
	t.Run("with plenty of loads every engine gets one", func(t *testing.T) {
		got := Plan(fleet([2]ident.Version{1, 1}, [2]ident.Version{1, 1}, [2]ident.Version{1, 1}), []Model{idle("a", 2)}, 9)
		expectLoads(t, got, "e0 a2", "e1 a2", "e2 a2")
	})
	t.Run("nothing newer, nothing to load", func(t *testing.T) {
		expectLoads(t, Plan(fleet([2]ident.Version{2, 2}), []Model{idle("a", 2)}, 3))
	})
}

// world simulates engines that complete a load in one round, and models whose newest
// versions advance in any order.
type world struct {
	engines  []Engine
	models   []Model
	maxLoads int
}

func drawWorld(t *rapid.T) *world {
	w := &world{maxLoads: rapid.IntRange(1, 4).Draw(t, "at once")}
	names := []ident.Model{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "models")]
	for n := range rapid.IntRange(2, 8).Draw(t, "engines") {
		e := Engine{Name: ident.BackendName(fmt.Sprintf("e%d", n)), Versions: map[ident.Model]ident.Version{}}
		e.Speed = rapid.Float64Range(0.2, 1.5).Draw(t, "speed")
		for _, name := range names {
			e.Versions[name] = 1
		}
		w.engines = append(w.engines, e)
	}
	for _, name := range names {
		w.models = append(w.models, Model{Name: name, Newest: 1})
	}
	return w
}

// advanceVersion raises the newest version of a model. A waiting step needs the version
// before it, and an expected step needs the new one.
func (w *world) advanceVersion(n int) {
	m := &w.models[n]
	m.Newest++
	m.Steps = []Step{{MinVersion: m.Newest - 1, Work: 100, Waiting: true}, {MinVersion: m.Newest, Work: 70}}
}

// served reports whether an engine can run the waiting step of a model.
func (w *world) served(m Model) bool {
	for _, e := range w.engines {
		if len(m.Steps) == 0 || e.Versions[m.Name] >= m.Steps[0].MinVersion {
			return true
		}
	}
	return false
}

// round plans loads, checks them, and completes them.
func (w *world) round(t *rapid.T) {
	unservedBefore := 0
	for _, m := range w.models {
		if !w.served(m) {
			unservedBefore++
		}
	}
	chosen := Plan(w.engines, w.models, w.maxLoads)
	loaded := map[ident.BackendName]bool{}
	for _, l := range chosen {
		if loaded[l.Engine] {
			t.Fatalf("engine %s was ordered to load twice in one round", l.Engine)
		}
		loaded[l.Engine] = true
		if l.Version <= l.PreviousVersion {
			t.Fatalf("engine %s would load version %d after %d", l.Engine, l.Version, l.PreviousVersion)
		}
		for _, e := range w.engines {
			if e.Name == l.Engine {
				e.Versions[l.Model] = l.Version
			}
		}
	}
	unservedAfter := 0
	for _, m := range w.models {
		if !w.served(m) {
			unservedAfter++
		}
	}
	if got, want := unservedBefore-unservedAfter, min(unservedBefore, len(chosen)); got < want {
		t.Fatalf("%d steps had no engine; %d loads served only %d of them", unservedBefore, len(chosen), got)
	}
}

// Guards against starvation: a waiting step without an engine must get one as early as
// the loads allow, and every engine must reach the newest versions once these stop
// advancing.
func TestPlanServesEveryTrainer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			if rapid.Bool().Draw(t, "named") {
				w.advanceVersion(rapid.IntRange(0, len(w.models)-1).Draw(t, "model"))
			}
			w.round(t)
		}
		for n := range w.models {
			for s := range w.models[n].Steps {
				w.models[n].Steps[s].Waiting = false
			}
		}
		for range len(w.engines) * len(w.models) {
			w.round(t)
		}
		for _, e := range w.engines {
			for _, m := range w.models {
				if e.Versions[m.Name] != m.Newest {
					t.Fatalf("engine %s has version %d of model %s, want %d", e.Name, e.Versions[m.Name], m.Name, m.Newest)
				}
			}
		}
	})
}

func TestFurthestBehind(t *testing.T) {
	engines := fleet([2]ident.Version{2, 2}, [2]ident.Version{1, 3}, [2]ident.Version{3, 1})
	engines[2].Unavailable = true
	models := []Model{{Name: "a", Newest: 3}, {Name: "b", Newest: 3}}
	expectLoads(t, FurthestBehind(engines, models, 3), "e1 a3", "e0 a3")
	expectLoads(t, FurthestBehind(engines, models, 1), "e1 a3")
}
