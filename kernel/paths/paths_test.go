package paths

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"croftmoor.dev/kernel/ident"
)

func TestFind(t *testing.T) {
	shares := []Share{{Service: "s", Weight: 1}}
	table := NewTable(1, []Route{
		{Name: "long", Host: "A.example", Prefix: "/a/b/", Shares: shares}, {Name: "short", Host: "a.example", Prefix: "/a/", Shares: shares},
	}, nil, Limits{})
	cases := []struct{ host, path, want string }{
		{"a.example", "/a/b/c", "long"}, {"A.EXAMPLE", "/a/x", "short"}, {"a.example", "/a/bc", "short"},
		{"a.example", "/b/", ""}, {"b.example", "/a/", ""},
	}
	for _, c := range cases {
		route, _ := table.Find(c.host, c.path)
		if route.Name != c.want {
			t.Errorf("route of %s%s is %q, want %q", c.host, c.path, route.Name, c.want)
		}
	}
}

func TestShares(t *testing.T) {
	route := Route{Shares: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[ident.Service]int{}
	for range 1000 {
		counts[route.DrawServices(random)[0]]++
	}
	if counts["a"] < 850 || counts["b"] < 50 || counts["c"] != 0 {
		t.Errorf("requests per service %v, want about 900, 100 and none", counts)
	}
}

func TestServiceForKey(t *testing.T) {
	split := func(a, b int) Route {
		return Route{Shares: []Share{{Service: "a", Weight: a}, {Service: "b", Weight: b}}}
	}
	count := func(route Route, service ident.Service) int {
		n := 0
		for key := range 1000 {
			if route.ServicesFor(fmt.Sprint("g", key))[0] == service {
				n++
			}
		}
		return n
	}
	t.Run("weights are kept", func(t *testing.T) {
		if n := count(split(90, 10), "b"); n < 70 || n > 130 {
			t.Errorf("%d of 1,000 keys at the service of weight 10, want about 100", n)
		}
	})
	t.Run("a weight of 0 gets nothing", func(t *testing.T) {
		if n := count(split(0, 100), "a"); n != 0 {
			t.Errorf("%d keys at the service of weight 0", n)
		}
	})
	t.Run("without weights the first gets all", func(t *testing.T) {
		if n := count(split(0, 0), "a"); n != 1000 {
			t.Errorf("%d of 1,000 keys at the first service", n)
		}
	})
	t.Run("each service with a weight stands in the order once", func(t *testing.T) {
		route := Route{Shares: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}, {Service: "a", Weight: 5}}}
		for key := range 100 {
			if order := route.ServicesFor(fmt.Sprint("g", key)); len(order) != 2 || !slices.Contains(order, "a") || !slices.Contains(order, "b") {
				t.Fatalf("order %v, want a and b", order)
			}
		}
	})
	t.Run("a change of weights moves no other keys", func(t *testing.T) {
		before, after := split(50, 50), split(30, 50)
		for key := range 1000 {
			if name := fmt.Sprint("g", key); before.ServicesFor(name)[0] == "b" && after.ServicesFor(name)[0] != "b" {
				t.Fatalf("%s moved to the service that lost weight", name)
			}
		}
	})
}
