package paths

import (
	"math/rand/v2"
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
		counts[route.Service(random)]++
	}
	if counts["a"] < 850 || counts["b"] < 50 || counts["c"] != 0 {
		t.Errorf("requests per service %v, want about 900, 100 and none", counts)
	}
}
