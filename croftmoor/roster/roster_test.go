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

// fakeBoard keeps the last post and its scope.
type fakeBoard struct {
	last  elect.Member
	scope Scope
}

func (b *fakeBoard) Post(_ context.Context, of Scope, m elect.Member) error {
	b.last, b.scope = m, of
	return nil
}

func rosterOf(name ident.InstanceName) (*Roster, *fakeBoard) {
	board := &fakeBoard{}
	r := &Roster{Self: elect.Member{Name: name, Zone: "z"}, Board: board, Clock: clock.New(), Log: zerolog.Nop()}
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

// load reads the posts into the roster, those of followers in the fleet's scope, and
// backdates the read by settleTime.
func load(r *Roster, posted []Posted) {
	var followers, others []Posted
	for _, p := range posted {
		if p.Follows {
			followers = append(followers, p)
		} else {
			others = append(others, p)
		}
	}
	markCurrent(r)
	r.replaceMembers(ZoneScope, others)
	r.replaceMembers(FleetScope, followers)
	backdate(r, settleTime, 0)
}

// markCurrent marks all scopes as current now.
func markCurrent(r *Roster) {
	for of := range scopes {
		r.MarkCurrent(of, r.Clock.Mono())
	}
}

// backdate moves the first and the last time at which the scopes were current.
func backdate(r *Roster, first, last clock.Millis) {
	for of := range scopes {
		r.scopes[of].firstCurrent -= first
		r.scopes[of].lastCurrent -= last
	}
}

// silence moves the heartbeats of all members back.
func silence(r *Roster, span clock.Millis) {
	for of := range scopes {
		for name, m := range r.scopes[of].members {
			m.LastHeartbeat -= span
			r.scopes[of].members[name] = m
		}
	}
	r.merge()
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
		markCurrent(r)
		r.SetMembers(ZoneScope, nil)
		r.SetMembers(FleetScope, nil)
		wantElected(t, r, false)
	})
	t.Run("nobody follows by a read from before the others were listed", func(t *testing.T) {
		r, _ := rosterOf("front-x~1")
		load(r, nil)
		backdate(r, 0, settleTime)
		wantElected(t, r, false)
	})
	t.Run("nobody follows who knows only a part of the roster", func(t *testing.T) {
		r, _ := rosterOf("front-x~1")
		r.MarkCurrent(ZoneScope, r.Clock.Mono())
		r.SetMembers(ZoneScope, nil)
		backdate(r, settleTime, 0)
		wantElected(t, r, false)
	})
	t.Run("an instance that started again follows at once", func(t *testing.T) {
		r, _ := rosterOf("front-3~9")
		markCurrent(r)
		r.SetMembers(FleetScope, followerPosts(elect.FollowersPerZone))
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
		if !board.last.Follows || board.scope != FleetScope {
			t.Errorf("posted %+v in scope %d, want a follower in the fleet's", board.last, board.scope)
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
		silence(r, 4*elect.FollowerHeartbeatPeriod)
		wantElected(t, r, true)
	})
	t.Run("time in which the roster could not be read ages nobody", func(t *testing.T) {
		r, _ := rosterOf("front-x~1")
		load(r, followerPosts(elect.FollowersPerZone))
		const outage = 20 * clock.Second
		backdate(r, outage, outage)
		silence(r, outage)
		markCurrent(r)
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

// An instance that does not follow must not be announced to other zones, and its earlier
// post as a follower must not outlive it there.
func TestScopeOfPosts(t *testing.T) {
	t.Run("one that does not follow is told to its zone", func(t *testing.T) {
		r, board := rosterOf("front-x~1")
		load(r, followerPosts(elect.FollowersPerZone))
		r.post(t.Context())
		if board.scope != ZoneScope || board.last.Follows {
			t.Errorf("posted %+v in scope %d, want no follower in the zone's", board.last, board.scope)
		}
	})
	t.Run("one whose earlier process followed replaces that post", func(t *testing.T) {
		r, board := rosterOf("front-3~9")
		load(r, followerPosts(elect.FollowersPerZone))
		r.post(t.Context())
		if board.scope != FleetScope || board.last.Follows {
			t.Errorf("posted %+v in scope %d, want no follower in the fleet's", board.last, board.scope)
		}
	})
}

// Guards against a living instance that is listed as its ended start until its next post is due.
func TestLatePostOfEndedStart(t *testing.T) {
	r, _ := rosterOf("front-0~2")
	posted := followerPosts(2)
	posted[0].Name = r.Self.Name
	load(r, posted)
	wantPostDue(t, r, false)
	posted[0].Name, posted[0].Offset = "front-0~1", 9
	load(r, posted)
	wantPostDue(t, r, true)
	load(r, posted)
	wantPostDue(t, r, false)
}

// wantPostDue checks whether the instance posts itself soon, and takes that as done.
func wantPostDue(t *testing.T, r *Roster, want bool) {
	t.Helper()
	due := false
	select {
	case <-r.postNow:
		due = true
	default:
	}
	if due != want {
		t.Errorf("a post is due: %v, want %v", due, want)
	}
}

func TestInstances(t *testing.T) {
	r, _ := rosterOf("front-x~1")
	posted := followerPosts(4)
	posted[2].Zone, posted[2].ZoneMembers = "y", 90
	posted[3].Zone, posted[3].ZoneMembers = "y", 80
	posted = append(posted, Posted{Offset: 9, Member: elect.Member{Name: "front-9~1", Zone: "z"}})
	load(r, posted)
	const own, other = 4, 90
	if got := r.Instances(); got != own+other {
		t.Errorf("%d instances, want %d", got, own+other)
	}
}

// Guards against two instances that name different ones for the same task.
func TestFirstFollower(t *testing.T) {
	const key = "slots plain"
	first, _ := rosterOf("front-0~1")
	load(first, followerPosts(3))
	first.follows = true
	outside, _ := rosterOf("front-9~1")
	outside.Self.Zone = "y"
	load(outside, followerPosts(3))
	of, ok := first.FirstFollower(key, "z")
	other, okOther := outside.FirstFollower(key, "z")
	if !ok || !okOther || of.Name != other.Name {
		t.Errorf("named %q and %q, want the same instance", of.Name, other.Name)
	}
	if _, ok := first.FirstFollower(key, "x"); ok {
		t.Error("an instance is named in a zone without followers")
	}
}
