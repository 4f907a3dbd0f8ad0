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

// quietBoard takes posts and keeps the last one.
type quietBoard struct {
	last elect.Member
}

func (b *quietBoard) Post(_ context.Context, m elect.Member) error {
	b.last = m
	return nil
}

func rosterOf(name ident.InstanceName) (*Roster, *quietBoard) {
	board := &quietBoard{}
	r := &Roster{Self: elect.Member{Name: name, Zone: "z"}, Board: board, Clock: clock.New(), Log: zerolog.Nop(), WritesPerSecond: 800}
	r.Setup()
	return r, board
}

// zone returns so many posts of members that follow the ledger.
func zone(n int) []Posted {
	posted := make([]Posted, 0, n)
	for i := range n {
		posted = append(posted, Posted{Offset: ident.Offset(i + 1), Member: elect.Member{
			Name: ident.InstanceName(fmt.Sprintf("front-%d~1", i)), Zone: "z", Follows: true, CPU: 800,
			Address: ident.Address(fmt.Sprintf("10.0.0.%d:1", i)),
		}})
	}
	return posted
}

// read has the roster hear posts long enough ago to judge by.
func read(r *Roster, posted []Posted) {
	r.Heard(r.Clock.Mono())
	r.take(posted)
	r.first -= settleTerm
}

func wantJudged(t *testing.T, r *Roster, want bool) {
	t.Helper()
	if got := r.judge(); got != want {
		t.Errorf("follows from now on: %v, want %v", got, want)
	}
}

func TestJudge(t *testing.T) {
	t.Run("nobody follows before the roster is read", func(t *testing.T) {
		r, _ := rosterOf("front-x~1")
		wantJudged(t, r, false)
	})
	t.Run("nobody follows while the others may not be listed yet", func(t *testing.T) {
		r, _ := rosterOf("front-x~1")
		r.Heard(r.Clock.Mono())
		r.Take(nil)
		wantJudged(t, r, false)
	})
	t.Run("an instance that started again follows at once", func(t *testing.T) {
		r, _ := rosterOf("front-3~9")
		r.Heard(r.Clock.Mono())
		r.Take(zone(elect.FollowersPerZone))
		if _, open := <-r.Elected(); open {
			t.Error("it waits though the others are listed")
		}
	})
	t.Run("an instance follows once, and says so", func(t *testing.T) {
		r, board := rosterOf("front-x~1")
		read(r, zone(elect.FollowersPerZone-1))
		wantJudged(t, r, true)
		wantJudged(t, r, false)
		r.post(t.Context())
		if !board.last.Follows {
			t.Error("the others are not told")
		}
	})
	t.Run("where enough follow it does not", func(t *testing.T) {
		r, _ := rosterOf("front-x~1")
		read(r, zone(elect.FollowersPerZone))
		wantJudged(t, r, false)
	})
	t.Run("silence of followers is noticed", func(t *testing.T) {
		r, _ := rosterOf("front-x~1")
		read(r, zone(elect.FollowersPerZone))
		for name, m := range r.members {
			m.LastHeartbeat -= 4 * elect.FollowerHeartbeatPeriod
			r.members[name] = m
		}
		wantJudged(t, r, true)
	})
	t.Run("time in which the roster could not be read ages nobody", func(t *testing.T) {
		r, _ := rosterOf("front-x~1")
		read(r, zone(elect.FollowersPerZone))
		const outage = 20 * clock.Second
		r.first -= outage
		r.last -= outage
		for name, m := range r.members {
			m.LastHeartbeat -= outage
			r.members[name] = m
		}
		r.Heard(r.Clock.Mono())
		wantJudged(t, r, false)
	})
	t.Run("an instance that leaves does not follow", func(t *testing.T) {
		r, board := rosterOf("front-x~1")
		read(r, nil)
		if err := r.Leave(t.Context()); err != nil || !board.last.Leaving {
			t.Errorf("posted %+v, error %v", board.last, err)
		}
		wantJudged(t, r, false)
	})
}

func TestFollowers(t *testing.T) {
	r, _ := rosterOf("front-0~2")
	posted := zone(4)
	posted[1].Leaving = true
	posted[2].Zone = "y"
	posted[3].Follows = false
	posted = append(posted, Posted{Offset: 9, Member: elect.Member{Name: "front-9~1", Zone: "z", Follows: true}})
	read(r, posted)
	followers := r.Followers("job")
	if len(followers) != 2 || followers[0].Name != "front-9~1" || followers[1].Name != "front-2~1" {
		t.Errorf("%+v, want the one of this zone, then that of the other", followers)
	}
}
