package terms

import (
	"fmt"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/paths"
)

func accepted() jobs.Accept {
	return jobs.Accept{Job: "j", Host: "h", Prefix: "/p/", Service: "old"}
}

func tableOf(routes ...paths.Route) *paths.Table {
	return paths.NewTable(2, routes, []paths.Service{{Name: "new", Slots: 3}}, paths.Limits{})
}

func route(shares ...paths.Share) paths.Route {
	return paths.Route{Host: "h", Prefix: "/p/", Shares: shares, MaxAttempts: 4, JobDeadline: 50, Priority: 2}
}

// able returns what services can do, where all but those that are named can run items now.
func able(others map[ident.Service]Ability) func(ident.Service) Ability {
	return func(service ident.Service) Ability {
		if ability, named := others[service]; named {
			return ability
		}
		return Free
	}
}

// serviceOf returns the service of an item of a new job where all services can run it now.
func serviceOf(terms Terms, item jobs.ItemSpec) ident.Service {
	return terms.Service(item, 0, able(nil))
}

func assertService(t *testing.T, terms Terms, want ident.Service) {
	t.Helper()
	if got := serviceOf(terms, jobs.ItemSpec{ID: "i", Group: "g"}); got != want {
		t.Errorf("service %s, want %s", got, want)
	}
}

func TestServiceOfAnOpenJob(t *testing.T) {
	t.Run("is the one that the route has now", func(t *testing.T) {
		assertService(t, Of(accepted(), tableOf(route(paths.Share{Service: "new", Weight: 1}))), "new")
	})
	t.Run("is that of the acceptance once the route is gone", func(t *testing.T) {
		assertService(t, Of(accepted(), tableOf()), "old")
	})
	t.Run("is that of the acceptance while no table is known", func(t *testing.T) {
		assertService(t, Of(accepted(), nil), "old")
	})
	t.Run("is never one without weight", func(t *testing.T) {
		terms := Of(accepted(), tableOf(route(paths.Share{Service: "old"}, paths.Share{Service: "new", Weight: 100})))
		for n := range 50 {
			if got := serviceOf(terms, jobs.ItemSpec{ID: ident.Item(fmt.Sprint(n))}); got != "new" {
				t.Fatalf("service %s, want new", got)
			}
		}
	})
	t.Run("is one for the items of a group", func(t *testing.T) {
		terms := Of(accepted(), tableOf(route(paths.Share{Service: "old", Weight: 1}, paths.Share{Service: "new", Weight: 1})))
		want := serviceOf(terms, jobs.ItemSpec{ID: "0", Group: "g"})
		for n := range 50 {
			if got := serviceOf(terms, jobs.ItemSpec{ID: ident.Item(fmt.Sprint(n)), Group: "g"}); got != want {
				t.Fatalf("services %s and %s in one group", got, want)
			}
		}
	})
}

// Guards against items that wait for ever for the service that their group prefers, while another
// one of their route could run them.
func TestServiceThatCannotRunItems(t *testing.T) {
	terms := Of(accepted(), tableOf(route(paths.Share{Service: "a", Weight: 5}, paths.Share{Service: "b", Weight: 90}, paths.Share{Service: "c", Weight: 5})))
	const old = PreferenceTerm
	cases := []struct {
		name string
		age  clock.Millis
		// b is what b, which all groups here prefer, can do; others what a and c can.
		b, others Ability
		moves     bool
	}{
		{"one with room keeps its items", 0, Free, Free, false},
		{"a busy one keeps those of a new job", old - 1, Busy, Free, false},
		{"a busy one keeps no old ones from others with room", old, Busy, Free, true},
		{"a busy one keeps old ones while all are busy", old, Busy, Busy, false},
		{"an absent one keeps none", 0, Absent, Busy, true},
		{"an absent one keeps those that nobody can run", old, Absent, Absent, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ability := able(map[ident.Service]Ability{"a": tc.others, "b": tc.b, "c": tc.others})
			for n := range 50 {
				item := jobs.ItemSpec{ID: "i", Group: ident.Group(fmt.Sprint(n))}
				if terms.Preferred(item) != "b" {
					continue
				}
				got := terms.Service(item, tc.age, ability)
				other := terms.Service(jobs.ItemSpec{ID: "j", Group: item.Group}, tc.age, ability)
				if (got != "b") != tc.moves || got != other {
					t.Fatalf("service %s, and %s for another item of the group; moved: want %v, together", got, other, tc.moves)
				}
			}
		})
	}
}

func TestOtherTermsFollowTheTable(t *testing.T) {
	terms := Of(accepted(), tableOf(route(paths.Share{Service: "new", Weight: 1})))
	if terms.Attempts() != 4 || terms.Deadline() != 50 || terms.Priority() != 2 || terms.Slots("new") != 3 {
		t.Errorf("attempts %d, deadline %d, priority %d, slots %d; want 4, 50, 2, 3", terms.Attempts(), terms.Deadline(), terms.Priority(), terms.Slots("new"))
	}
	gone := Of(accepted(), tableOf())
	if gone.Attempts() != 1 || gone.Deadline() != 0 || gone.Slots("old") != 0 {
		t.Errorf("attempts %d, deadline %d, slots %d without a route; want 1, 0, 0", gone.Attempts(), gone.Deadline(), gone.Slots("old"))
	}
}
