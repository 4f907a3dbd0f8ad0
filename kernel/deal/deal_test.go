package deal

import (
	"slices"
	"testing"

	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

func anywhere(ident.BackendName, Demand) Fit { return Fitting }

func itemsOf(expects ...ident.Tokens) []RankedItem {
	var list []RankedItem
	for i, e := range expects {
		list = append(list, RankedItem{Demand: Demand{Job: "j"}, Target: jobs.Target{Index: i}, Expect: e})
	}
	return list
}

func engineOf(t *testing.T, assignments []Assignment, index int) ident.BackendName {
	t.Helper()
	position := slices.IndexFunc(assignments, func(a Assignment) bool { return a.Item.Target.Index == index })
	if position < 0 {
		t.Fatalf("item %d was not assigned", index)
	}
	return assignments[position].Engine
}

func TestOrder(t *testing.T) {
	waiting := []WaitingItem{{Target: jobs.Target{Index: 0}, Group: "a", Expect: 5}, {Target: jobs.Target{Index: 1}, Group: "b", Expect: 9}, {Target: jobs.Target{Index: 2}, Group: "c", Expect: 7}}
	groupLengths := map[ident.Group]ident.Tokens{"a": 5, "b": 9, "c": 7}
	got := Order(waiting, 2, groupLengths, map[ident.Group]bool{"c": true})
	var order []int
	var ranks []Rank
	for _, p := range got {
		order = append(order, p.Target.Index)
		ranks = append(ranks, p.Rank)
	}
	if !slices.Equal(order, []int{1, 2, 0}) {
		t.Errorf("order %v, want longest first", order)
	}
	if !slices.Equal(ranks, []Rank{Surplus, CarriedOver, Required}) {
		t.Errorf("ranks %v, want surplus, carried over, required", ranks)
	}
}

func TestSpread(t *testing.T) {
	t.Run("no engine gets more than its slots and what is allowed beyond", func(t *testing.T) {
		assignments := Assign(itemsOf(1, 1, 1, 1, 1), []Engine{{Name: "e", Slots: 2}, {Name: "f", Slots: 1}}, 1, anywhere)
		if len(assignments) != 5 {
			t.Errorf("%d items assigned, want 5", len(assignments))
		}
		if assignments = Assign(itemsOf(1), []Engine{{Name: "e", Slots: 2, Load: jobs.Load{Items: 3}}}, 1, anywhere); len(assignments) != 0 {
			t.Errorf("%d items assigned to a full engine", len(assignments))
		}
	})
	t.Run("long items do not gather at one engine", func(t *testing.T) {
		assignments := Assign(itemsOf(9000, 9000), []Engine{{Name: "e", Slots: 9, MillisPerEvent: 38}, {Name: "f", Slots: 9, MillisPerEvent: 40}}, 0, anywhere)
		if engineOf(t, assignments, 0) == engineOf(t, assignments, 1) {
			t.Error("both items were assigned to one engine")
		}
	})
	t.Run("a slow engine comes last", func(t *testing.T) {
		engines := []Engine{{Name: "e", Slots: 2, MillisPerEvent: 140}, {Name: "f", Slots: 2, MillisPerEvent: 40}, {Name: "g", Slots: 2, MillisPerEvent: 41}}
		assignments := Assign(itemsOf(9, 8, 7, 6, 5), engines, 0, anywhere)
		if engineOf(t, assignments, 4) != "e" || engineOf(t, assignments, 3) == "e" {
			t.Error("the slow engine did not get the shortest item")
		}
	})
	t.Run("an item does not go back to the engine that failed it", func(t *testing.T) {
		failed := itemsOf(9)
		failed[0].FailedOn = []ident.BackendName{"e"}
		two := []Engine{{Name: "e", Slots: 2, MillisPerEvent: 40}, {Name: "f", Slots: 2, MillisPerEvent: 90}}
		if got := engineOf(t, Assign(failed, two, 0, anywhere), 0); got != "f" {
			t.Errorf("assigned to %s, want f", got)
		}
		if got := engineOf(t, Assign(failed, two[:1], 0, anywhere), 0); got != "e" {
			t.Errorf("assigned to %s, want the only engine", got)
		}
	})
	t.Run("an engine that fails half of its runs comes last", func(t *testing.T) {
		list := []Engine{{Name: "e", Slots: 2, MillisPerEvent: 40, FailureRate: 0.5}, {Name: "f", Slots: 2, MillisPerEvent: 45}}
		if got := engineOf(t, Assign(itemsOf(9), list, 0, anywhere), 0); got != "f" {
			t.Errorf("assigned to %s, want f", got)
		}
	})
	t.Run("an item goes only where it is allowed", func(t *testing.T) {
		assignments := Assign(itemsOf(1), []Engine{{Name: "e", Slots: 1}}, 0, func(ident.BackendName, Demand) Fit { return Unfit })
		if len(assignments) != 0 {
			t.Error("item assigned to an engine that is not allowed")
		}
	})
}

func TestEngineThatGoesOnWithTheText(t *testing.T) {
	item := itemsOf(9)
	item[0].TextVersion = 1
	old := Engine{Name: "old", Slots: 1, MillisPerEvent: 90}
	young := Engine{Name: "young", Slots: 1, MillisPerEvent: 40}
	fits := func(e ident.BackendName, _ Demand) Fit {
		if e == "old" {
			return Fitting
		}
		return Anew
	}
	t.Run("goes before a faster one", func(t *testing.T) {
		if got := engineOf(t, Assign(item, []Engine{young, old}, 0, fits), 0); got != "old" {
			t.Errorf("assigned to %s, want old", got)
		}
	})
	t.Run("is not waited for while it has no room", func(t *testing.T) {
		old.Load.Items = 1
		if got := engineOf(t, Assign(item, []Engine{young, old}, 0, fits), 0); got != "young" {
			t.Errorf("assigned to %s, want young", got)
		}
	})
}

func TestPatientItemsLeaveRoom(t *testing.T) {
	deferrable := itemsOf(1, 1, 1, 1, 1)
	for i := range deferrable {
		deferrable[i].Deferrable = true
	}
	engines := []Engine{{Name: "e", Slots: 5}}
	if assignments := Assign(deferrable, engines, 1, anywhere); len(assignments) != 4 {
		t.Errorf("%d deferrable items on an engine with 5 slots, want 4", len(assignments))
	}
	if assignments := Assign(append(deferrable, itemsOf(9, 9, 9)...), engines, 1, anywhere); len(assignments) != 6 {
		t.Errorf("%d items in total, deferrable and urgent, want 6", len(assignments))
	}
}
