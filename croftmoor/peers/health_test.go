package peers

import (
	"fmt"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
)

// newHealth makes the health of instance i-0 among many.
func newHealth(instances int) (*Health, *clock.Clock) {
	c := clock.NewManual(clock.Minute)
	table := &fleet.Table{Clock: c}
	var members []fleet.Member
	for i := range instances {
		members = append(members, fleet.Member{Name: fmt.Sprintf("i-%d", i), Kind: fleet.Entry, State: fleet.Live})
	}
	table.Set(members)
	h := &Health{
		Self: "i-0~a", Fleet: table, Clock: c, Heartbeat: func() Heartbeat { return Heartbeat{Instance: "i-0~a"} },
		Partners: func() []ident.InstanceName { return []ident.InstanceName{"i-1~b", "i-2~b", "i-3~b", "i-4~b"} },
	}
	h.startedAt = c.Mono()
	return h, c
}

func assertLive(t *testing.T, h *Health, want int) {
	t.Helper()
	if got := len(h.Live()); got != want {
		t.Fatalf("%d live, want %d", got, want)
	}
}

func TestHealth(t *testing.T) {
	t.Run("silence ends liveness soon, and loses state late", func(t *testing.T) {
		h, c := newHealth(3)
		h.RecordHeartbeat(Heartbeat{Instance: "i-1~b"})
		assertLive(t, h, 2)
		c.Advance(aliveTimeout + 1)
		assertLive(t, h, 1)
		if h.Alive("i-1~b") || h.Gone("i-1~b") {
			t.Fatal("silent, and not gone yet")
		}
		c.Advance(LostAfter)
		if !h.Gone("i-1~b") {
			t.Fatal("gone by now")
		}
	})
	t.Run("a new life of an instance is not the old one", func(t *testing.T) {
		h, c := newHealth(2)
		h.RecordHeartbeat(Heartbeat{Instance: "i-1~old"})
		c.Advance(aliveTimeout + 1)
		h.RecordHeartbeat(Heartbeat{Instance: "i-1~new"})
		if h.Alive("i-1~old") || !h.Alive("i-1~new") {
			t.Fatal("lives were mixed up")
		}
	})
	t.Run("a suspect is not live, and keeps its state", func(t *testing.T) {
		h, _ := newHealth(2)
		h.RecordHeartbeat(Heartbeat{Instance: "i-1~b"})
		h.Suspect("i-1~b")
		assertLive(t, h, 1)
		if h.Gone("i-1~b") || !h.Alive("i-1~b") {
			t.Fatal("a call without an answer is no lost state")
		}
		h.RecordHeartbeat(Heartbeat{Instance: "i-1~b"})
		assertLive(t, h, 2)
	})
	t.Run("draining instances take no part", func(t *testing.T) {
		h, _ := newHealth(2)
		h.RecordHeartbeat(Heartbeat{Instance: "i-1~b", Draining: true})
		assertLive(t, h, 1)
	})
	t.Run("most are reached only with more than half", func(t *testing.T) {
		h, _ := newHealth(4)
		h.RecordHeartbeat(Heartbeat{Instance: "i-1~b"})
		if h.MostReached() {
			t.Fatal("two of four are no majority")
		}
		h.RecordHeartbeat(Heartbeat{Instance: "i-2~b"})
		if !h.MostReached() {
			t.Fatal("three of four are")
		}
	})
	t.Run("of two instances one pings, and many ping few", func(t *testing.T) {
		for i := range 20 {
			a, b := "x", fmt.Sprintf("y-%d", i)
			if initiates(a, b) == initiates(b, a) {
				t.Fatalf("%s and %s", a, b)
			}
		}
		h, _ := newHealth(400)
		if n := len(h.chooseTargets()); n > randomPings+4 {
			t.Fatalf("%d targets", n)
		}
	})
}
