package elect

import (
	"fmt"
	"slices"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// now is the current time in the tests.
const now = 100 * clock.Second

// zoneOf returns n members of one availability zone with a heartbeat at now. Every fifth
// member has more processor time.
func zoneOf(n int) []Member {
	members := make([]Member, 0, n)
	for i := range n {
		power := Millicores(192)
		if i%5 == 0 {
			power = 800
		}
		members = append(members, Member{Name: ident.InstanceName(fmt.Sprintf("front-%d~1", i)), Zone: "z", CPU: power, LastHeartbeat: now})
	}
	return members
}

func chosen(members []Member) []int {
	var indices []int
	for i, m := range members {
		if m.Alive(now) && ShouldFollow(m, members, now) {
			indices = append(indices, i)
		}
	}
	return indices
}

func wantCount(t *testing.T, got []int, want int) {
	t.Helper()
	if len(got) != want {
		t.Errorf("%d members should follow, want %d: %v", len(got), want, got)
	}
}

func TestChosen(t *testing.T) {
	t.Run("a small zone follows as a whole", func(t *testing.T) {
		wantCount(t, chosen(zoneOf(4)), 4)
	})
	t.Run("the followers of a zone are bounded", func(t *testing.T) {
		for _, n := range []int{9, 49, 400} {
			wantCount(t, chosen(zoneOf(n)), FollowersPerZone)
		}
	})
	t.Run("the powerful are chosen first", func(t *testing.T) {
		for _, i := range chosen(zoneOf(49)) {
			if i%5 != 0 {
				t.Errorf("member %d should follow, but members with more processor time should not", i)
			}
		}
	})
	t.Run("zones count apart", func(t *testing.T) {
		other := zoneOf(20)
		for i := range other {
			other[i].Zone = "y"
			other[i].Name += "y"
		}
		wantCount(t, chosen(append(zoneOf(20), other...)), 2*FollowersPerZone)
	})
	t.Run("those that are gone or leave are replaced", func(t *testing.T) {
		members := zoneOf(49)
		first := chosen(members)
		for n, i := range first {
			members[i].Follows = true
			members[i].Leaving = n%2 == 0
			members[i].LastHeartbeat = now - missedHeartbeats*FollowerHeartbeatPeriod - 1
		}
		second := chosen(members)
		wantCount(t, second, FollowersPerZone)
		for _, i := range second {
			if slices.Contains(first, i) {
				t.Errorf("member %d is gone and was chosen again", i)
			}
		}
	})
	t.Run("any loss leaves followers among the rest", func(t *testing.T) {
		for lost := range 49 {
			members := zoneOf(49)
			for i := range lost {
				members[i].LastHeartbeat = 0
			}
			wantCount(t, chosen(members), min(FollowersPerZone, 49-lost))
		}
	})
	t.Run("a new life counts as the same member", func(t *testing.T) {
		members := zoneOf(9)
		again := members[chosen(members)[0]]
		again.Name = again.Name[:len(again.Name)-1] + "2"
		if !ShouldFollow(again, members, now) {
			t.Error("a restarted follower was not chosen")
		}
	})
}

// The heartbeats of a zone must not grow with it, or reading them costs the log the square
// of the instances; and a member must not count as gone between two of its own heartbeats.
func TestHeartbeatsOfAZone(t *testing.T) {
	for _, n := range []int{3, 30, 190, 400, 2000} {
		t.Run(fmt.Sprintf("%d members", n), func(t *testing.T) {
			members := zoneOf(n)
			rate := 0.0
			for i := range members {
				preceding := Preceding(members[i], members, now)
				members[i].Follows = preceding < FollowersPerZone
				if !members[i].Follows {
					members[i].Period = PeriodOf(preceding, n)
					rate += float64(clock.Second) / float64(members[i].HeartbeatPeriod())
				}
			}
			const most = 9
			if rate > most {
				t.Errorf("%.1f heartbeats a second of members that do not follow, want %d at most", rate, most)
			}
			for _, m := range members {
				if m.LastHeartbeat = now - 2*m.HeartbeatPeriod(); !m.Alive(now) {
					t.Errorf("%s is not alive two of its periods after a heartbeat", m.Name)
				}
			}
		})
	}
}
