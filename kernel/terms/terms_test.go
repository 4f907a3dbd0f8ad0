package terms

import (
	"fmt"
	"testing"

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

func assertService(t *testing.T, terms Terms, want ident.Service) {
	t.Helper()
	if got := terms.Service(jobs.ItemSpec{ID: "i", Group: "g"}); got != want {
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
			if got := terms.Service(jobs.ItemSpec{ID: ident.Item(fmt.Sprint(n))}); got != "new" {
				t.Fatalf("service %s, want new", got)
			}
		}
	})
	t.Run("is one for the items of a group", func(t *testing.T) {
		terms := Of(accepted(), tableOf(route(paths.Share{Service: "old", Weight: 1}, paths.Share{Service: "new", Weight: 1})))
		want := terms.Service(jobs.ItemSpec{ID: "0", Group: "g"})
		for n := range 50 {
			if got := terms.Service(jobs.ItemSpec{ID: ident.Item(fmt.Sprint(n)), Group: "g"}); got != want {
				t.Fatalf("services %s and %s in one group", got, want)
			}
		}
	})
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
