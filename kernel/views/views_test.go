package views

import (
	"testing"

	"croftmoor.dev/kernel/ident"
)

var members = []Member{{"a", "1"}, {"b", "2"}, {"c", "3"}, {"d", "1"}}

func none(ident.InstanceName) bool { return false }
func all(ident.InstanceName) bool  { return true }

// situation returns one in which all instances are reachable and membership is settled.
func situation(self ident.InstanceName) Situation {
	return Situation{Self: self, Live: members, Alive: all, Gone: none, Synced: true, Settled: true, MostReached: true}
}

func assertNext(t *testing.T, view View, s Situation, want Proposal, wantOK bool) {
	t.Helper()
	got, ok := Next(1, view, s)
	want.Shard, want.Base = 1, view.Epoch
	if ok != wantOK || (ok && got != want) {
		t.Fatalf("%+v %v, want %+v %v", got, ok, want, wantOK)
	}
}

func TestFirst(t *testing.T) {
	for _, key := range []string{"x", "y", "z", "w"} {
		if got, ok := First(key, members); !ok || got != Rank(key, members)[0] {
			t.Errorf("%s: first is %v, ranked first is %v", key, got, Rank(key, members)[0])
		}
	}
	if _, ok := First("x", nil); ok {
		t.Error("First returned a member of an empty list")
	}
}

func TestPairIsInTwoZones(t *testing.T) {
	for shard := range Shard(Shards) {
		primary, backup := Pair(shard, members)
		if primary == backup || zoneOf(members, primary) == zoneOf(members, backup) {
			t.Fatalf("shard %d: %s and %s", shard, primary, backup)
		}
	}
}

func TestNext(t *testing.T) {
	primary, backup := Pair(1, members)
	view := View{Epoch: 9, Primary: primary, Backup: backup}
	dead := func(name ident.InstanceName) func(ident.InstanceName) bool {
		return func(n ident.InstanceName) bool { return n != name }
	}
	t.Run("the wanted pair stays", func(t *testing.T) {
		for _, m := range members {
			assertNext(t, view, situation(m.Name), Proposal{}, false)
		}
	})
	t.Run("a backup with the state takes over from a silent primary", func(t *testing.T) {
		s := situation(backup)
		s.Alive = dead(primary)
		got, ok := Next(1, view, s)
		if !ok || got.Primary != backup || got.Backup == primary || got.Backup == "" || got.Lost {
			t.Fatalf("%+v %v", got, ok)
		}
	})
	t.Run("a backup without the state does not, until the primary is gone", func(t *testing.T) {
		s := situation(backup)
		s.Alive, s.Synced = dead(primary), false
		if _, ok := Next(1, view, s); ok {
			t.Fatal("the backup gave up the state before the primary was gone")
		}
		s.Gone = func(n ident.InstanceName) bool { return n == primary }
		if got, ok := Next(1, view, s); !ok || !got.Lost {
			t.Fatalf("%+v %v", got, ok)
		}
	})
	t.Run("a primary replaces a silent backup", func(t *testing.T) {
		s := situation(primary)
		s.Alive = dead(backup)
		if got, ok := Next(1, view, s); !ok || got.Primary != primary || got.Backup == backup {
			t.Fatalf("%+v %v", got, ok)
		}
	})
	t.Run("others start anew only when both are gone and most are reached", func(t *testing.T) {
		gone := View{Epoch: 9, Primary: "x", Backup: "y"}
		s := situation(primary)
		assertNext(t, gone, s, Proposal{}, false)
		s.Gone = all
		assertNext(t, gone, s, Proposal{Primary: primary, Backup: backup, Lost: true}, true)
		s.MostReached = false
		assertNext(t, gone, s, Proposal{}, false)
	})
	t.Run("moves without need wait until the instances have settled", func(t *testing.T) {
		other := View{Epoch: 9, Primary: backup, Backup: primary}
		s := situation(backup)
		assertNext(t, other, s, Proposal{Primary: primary, Backup: backup}, true)
		s.Settled = false
		assertNext(t, other, s, Proposal{}, false)
	})
}

// TestJudge tests State.Apply.
func TestJudge(t *testing.T) {
	s := &State{}
	s.Apply([]Proposal{{Shard: 1, Primary: "a", Backup: "b"}}, 1, 0)
	s.Apply([]Proposal{{Shard: 1, Primary: "c"}}, 2, 0)
	s.Apply([]Proposal{{Shard: 1, Base: 1, Primary: "c"}}, 3, 0)
	if v := s.Views[1]; v.Epoch != 1 || v.Primary != "a" {
		t.Fatalf("a proposal with an old base, or with a primary outside the view, was applied: %+v", v)
	}
	s.Apply([]Proposal{{Shard: 1, Base: 1, Primary: "b", Backup: "c"}}, 4, 0)
	if v := s.Views[1]; v.Epoch != 4 || v.Base != 1 || v.Primary != "b" {
		t.Fatalf("%+v", v)
	}
}
