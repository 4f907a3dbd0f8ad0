package fleet

import (
	"fmt"
	"testing"

	"croftmoor.dev/kernel/ident"
)

const (
	perInstance = 64
	farServers  = 16
	enginesEach = 64
)

// membersIn returns n live servers in each of the zones.
func membersIn(zones, n int) []Member {
	var members []Member
	for z := range zones {
		for i := range n {
			members = append(members, Member{
				Name: string(ident.NewBackend(fmt.Sprintf("i-%d-%d", z, i), 1)), Service: "s", Zone: ident.Zone(fmt.Sprintf("zone-%d", z)), State: Live,
			})
		}
	}
	return members
}

func wantNumber(t *testing.T, got []Member, want int) {
	t.Helper()
	if len(got) != want {
		t.Errorf("%d servers, want %d", len(got), want)
	}
}

func inZone(members []Member, zone ident.Zone) int {
	n := 0
	for _, m := range members {
		if m.Zone == zone {
			n++
		}
	}
	return n
}

// What an instance uses must not grow with the fleet, and no server may be used by many
// more instances than another.
func TestNearest(t *testing.T) {
	for _, perZone := range []int{640, 3300} {
		t.Run(fmt.Sprintf("bounded with %d servers a zone", perZone), func(t *testing.T) {
			got := NewIndex(membersIn(6, perZone)).Nearest("zone-1", "front-1", perInstance, farServers)
			wantNumber(t, got, perInstance)
			if own := inZone(got, "zone-1"); own != perInstance-farServers {
				t.Errorf("%d of them in the own zone, want %d", own, perInstance-farServers)
			}
		})
	}
	t.Run("a small service is used whole", func(t *testing.T) {
		wantNumber(t, NewIndex(membersIn(6, 10)).Nearest("zone-1", "front-1", perInstance, farServers), 60)
	})
	t.Run("a zone with few servers uses all of them and those of others", func(t *testing.T) {
		got := NewIndex(append(membersIn(1, 20), membersIn(3, 100)[100:]...)).Nearest("zone-0", "front-1", perInstance, farServers)
		wantNumber(t, got, perInstance)
		if own := inZone(got, "zone-0"); own != 20 {
			t.Errorf("%d of them in the own zone, want 20", own)
		}
	})
	t.Run("a zone whose servers are nearly all there are uses more of them", func(t *testing.T) {
		got := NewIndex(append(membersIn(1, 100), membersIn(2, 5)[5:]...)).Nearest("zone-0", "front-1", perInstance, farServers)
		wantNumber(t, got, perInstance)
	})
	t.Run("a zone without servers uses those of others", func(t *testing.T) {
		wantNumber(t, NewIndex(membersIn(6, 100)).Nearest("zone-9", "front-1", perInstance, farServers), perInstance)
	})
	t.Run("leaving servers take no live one's place", func(t *testing.T) {
		members := membersIn(1, 200)
		for i := range members {
			if i%2 == 0 {
				members[i].State = Leaving
			}
		}
		got := NewIndex(members).Nearest("zone-0", "front-1", perInstance, farServers)
		if live := countLive(got); live != perInstance {
			t.Errorf("%d live servers, want %d", live, perInstance)
		}
	})
	t.Run("instances are spread over the servers", func(t *testing.T) {
		const instances = 160
		index := NewIndex(membersIn(1, 640))
		uses := map[string]int{}
		for i := range instances {
			for _, m := range index.Nearest("zone-0", fmt.Sprintf("front-%d", i), perInstance, farServers) {
				uses[m.Name]++
			}
		}
		const mean = instances * perInstance / 640
		for name, n := range uses {
			if n > 3*mean {
				t.Errorf("%s is used by %d instances, the mean is %d", name, n, mean)
			}
		}
		if len(uses) < 630 {
			t.Errorf("%d of 640 servers are used", len(uses))
		}
	})
}

func TestPerZone(t *testing.T) {
	members := membersIn(6, 1030)
	before := NewIndex(members).PerZone("s", enginesEach)
	t.Run("bounded in each zone", func(t *testing.T) {
		wantNumber(t, before, 6*enginesEach)
		for z := range 6 {
			if zone := ident.Zone(fmt.Sprintf("zone-%d", z)); inZone(before, zone) != enginesEach {
				t.Errorf("%d servers of %s, want %d", inZone(before, zone), zone, enginesEach)
			}
		}
	})
	t.Run("a small service is used whole", func(t *testing.T) {
		wantNumber(t, NewIndex(membersIn(3, 17)).PerZone("s", enginesEach), 51)
	})
	t.Run("one that goes is replaced and moves no other", func(t *testing.T) {
		gone := before[0].Name
		var left []Member
		for _, m := range members {
			if m.Name != gone {
				left = append(left, m)
			}
		}
		used := map[string]bool{}
		for _, m := range before {
			used[m.Name] = true
		}
		added := 0
		for _, m := range NewIndex(left).PerZone("s", enginesEach) {
			if !used[m.Name] {
				added++
			}
		}
		if added != 1 {
			t.Errorf("%d servers are new, want 1", added)
		}
	})
	t.Run("a restart keeps the place", func(t *testing.T) {
		again := make([]Member, len(members))
		for i, m := range members {
			again[i] = m
			again[i].Name = string(ident.NewBackend(ident.BackendName(m.Name).ListName(), 2))
		}
		after := map[string]bool{}
		for _, m := range NewIndex(again).PerZone("s", enginesEach) {
			after[ident.BackendName(m.Name).ListName()] = true
		}
		for _, m := range before {
			if !after[ident.BackendName(m.Name).ListName()] {
				t.Errorf("%s lost its place by a restart", m.Name)
			}
		}
	})
}

func BenchmarkNearest(b *testing.B) {
	for _, servers := range []int{300, 1000, 3000, 20000} {
		b.Run(fmt.Sprintf("of %d", servers), func(b *testing.B) {
			index := NewIndex(membersIn(6, servers/6))
			b.ReportAllocs()
			for b.Loop() {
				index.Nearest("zone-1", "front-1", perInstance, farServers)
			}
		})
	}
}
