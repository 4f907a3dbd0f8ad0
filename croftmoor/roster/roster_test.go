package roster

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/elect"
	"croftmoor.dev/kernel/ident"
)

// fakeBoard keeps the last post.
type fakeBoard struct {
	last elect.Member
}

func (b *fakeBoard) Post(_ context.Context, m elect.Member) error {
	b.last = m
	return nil
}

func rosterOf(name ident.InstanceName) (*Roster, *fakeBoard) {
	board := &fakeBoard{}
	r := &Roster{Self: elect.Member{Name: name, Zone: "z"}, Board: board, Clock: clock.New(), Log: zerolog.Nop(), WritesPerSecond: 800}
	r.Setup()
	return r, board
}

// followerPosts returns posts of n members that follow the ledger.
func followerPosts(n int) []Posted {
	posted := make([]Posted, 0, n)
	for i := range n {
		posted = append(posted, Posted{Offset: ident.Offset(i + 1), Member: elect.Member{
			Name: ident.InstanceName(fmt.Sprintf("front-%d~1", i)), Zone: "z", Follows: true, CPU: 800,
			Address: ident.Address(fmt.Sprintf("10.0.0.%d:1", i)),
		}})
	}
	return posted
}

// load reads the posts into the roster and backdates the read by settleTime.
func load(r *Roster, posted []Posted) {
	r.MarkCurrent(r.Clock.Mono())
	r.replaceMembers(posted)
	r.firstCurrent -= settleTime
}

func wantElected(t *testing.T, r *Roster, want bool) {
	t.Helper()
	if got := r.tryElect(); got != want {
		t.Errorf("elected in this call: %v, want %v", got, want)
	}
}

func TestJudge(t *testing.T) {
	t.Run("nobody follows before the roster is read", func(t *testing.T) {
		r, _ := rosterOf("front-x~1")
		wantElected(t, r, false)
	})
	t.Run("nobody follows while the others may not be listed yet", func(t *testing.T) {
		r, _ := rosterOf("front-x~1")
		r.MarkCurrent(r.Clock.Mono())
		r.SetMembers(nil)
		wantElected(t, r, false)
	})
	t.Run("an instance that started again follows at once", func(t *testing.T) {
		r, _ := rosterOf("front-3~9")
		r.MarkCurrent(r.Clock.Mono())
		r.SetMembers(followerPosts(elect.FollowersPerZone))
		if _, open := <-r.Elected(); open {
			t.Error("it is not elected although its previous process is listed")
		}
	})
	t.Run("an instance follows once, and says so", func(t *testing.T) {
		r, board := rosterOf("front-x~1")
		load(r, followerPosts(elect.FollowersPerZone-1))
		wantElected(t, r, true)
		wantElected(t, r, false)
		r.post(t.Context())
		if !board.last.Follows {
			t.Error("the post does not say that the instance follows")
		}
	})
	t.Run("where enough follow it does not", func(t *testing.T) {
		r, _ := rosterOf("front-x~1")
		load(r, followerPosts(elect.FollowersPerZone))
		wantElected(t, r, false)
	})
	t.Run("silence of followers is noticed", func(t *testing.T) {
		r, _ := rosterOf("front-x~1")
		load(r, followerPosts(elect.FollowersPerZone))
		for name, m := range r.members {
			m.LastHeartbeat -= 4 * elect.FollowerHeartbeatPeriod
			r.members[name] = m
		}
		wantElected(t, r, true)
	})
	t.Run("time in which the roster could not be read ages nobody", func(t *testing.T) {
		r, _ := rosterOf("front-x~1")
		load(r, followerPosts(elect.FollowersPerZone))
		const outage = 20 * clock.Second
		r.firstCurrent -= outage
		r.lastCurrent -= outage
		for name, m := range r.members {
			m.LastHeartbeat -= outage
			r.members[name] = m
		}
		r.MarkCurrent(r.Clock.Mono())
		wantElected(t, r, false)
	})
	t.Run("an instance that leaves does not follow", func(t *testing.T) {
		r, board := rosterOf("front-x~1")
		load(r, nil)
		if err := r.Leave(t.Context()); err != nil || !board.last.Leaving {
			t.Errorf("posted %+v, error %v, want Leaving set and no error", board.last, err)
		}
		wantElected(t, r, false)
	})
}

func TestFollowers(t *testing.T) {
	r, _ := rosterOf("front-0~2")
	posted := followerPosts(4)
	posted[1].Leaving = true
	posted[2].Zone = "y"
	posted[3].Follows = false
	posted = append(posted, Posted{Offset: 9, Member: elect.Member{Name: "front-9~1", Zone: "z", Follows: true}})
	load(r, posted)
	followers := r.Followers("job")
	if len(followers) != 2 || followers[0].Name != "front-9~1" || followers[1].Name != "front-2~1" {
		t.Errorf("followers are %+v, want front-9 of this zone, then front-2 of the other", followers)
	}
}
