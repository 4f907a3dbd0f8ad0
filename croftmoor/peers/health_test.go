package peers

import (
	"fmt"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
)

// newHealth returns the Health of i-0 with a manual clock and a list of the given number of
// instances.
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
	t.Run("a silent peer is not alive after aliveTimeout, and gone after LostAfter", func(t *testing.T) {
		h, c := newHealth(3)
		h.RecordHeartbeat(Heartbeat{Instance: "i-1~b"})
		assertLive(t, h, 2)
		c.Advance(aliveTimeout + 1)
		assertLive(t, h, 1)
		if h.Alive("i-1~b") || h.Gone("i-1~b") {
			t.Fatal("the peer is alive after aliveTimeout, or gone before LostAfter")
		}
		c.Advance(LostAfter)
		if !h.Gone("i-1~b") {
			t.Fatal("the peer is not gone after LostAfter")
		}
	})
	t.Run("a restarted instance does not keep the old incarnation alive", func(t *testing.T) {
		h, c := newHealth(2)
		h.RecordHeartbeat(Heartbeat{Instance: "i-1~old"})
		c.Advance(aliveTimeout + 1)
		h.RecordHeartbeat(Heartbeat{Instance: "i-1~new"})
		if h.Alive("i-1~old") || !h.Alive("i-1~new") {
			t.Fatal("the old incarnation is alive, or the new one is not")
		}
	})
	t.Run("a suspected peer is not live, but alive and not gone", func(t *testing.T) {
		h, _ := newHealth(2)
		h.RecordHeartbeat(Heartbeat{Instance: "i-1~b"})
		h.Suspect("i-1~b")
		assertLive(t, h, 1)
		if h.Gone("i-1~b") || !h.Alive("i-1~b") {
			t.Fatal("a suspected peer is gone or not alive")
		}
		h.RecordHeartbeat(Heartbeat{Instance: "i-1~b"})
		assertLive(t, h, 2)
	})
	t.Run("draining instances are not live", func(t *testing.T) {
		h, _ := newHealth(2)
		h.RecordHeartbeat(Heartbeat{Instance: "i-1~b", Draining: true})
		assertLive(t, h, 1)
	})
	t.Run("MostReached needs more than half of the instances", func(t *testing.T) {
		h, _ := newHealth(4)
		h.RecordHeartbeat(Heartbeat{Instance: "i-1~b"})
		if h.MostReached() {
			t.Fatal("MostReached is true with two of four")
		}
		h.RecordHeartbeat(Heartbeat{Instance: "i-2~b"})
		if !h.MostReached() {
			t.Fatal("MostReached is false with three of four")
		}
	})
	t.Run("one instance of a pair initiates pings, and the targets are few among many instances", func(t *testing.T) {
		for i := range 20 {
			a, b := "x", fmt.Sprintf("y-%d", i)
			if initiates(a, b) == initiates(b, a) {
				t.Fatalf("both or neither of %s and %s initiate", a, b)
			}
		}
		h, _ := newHealth(400)
		if n := len(h.chooseTargets()); n > randomPings+4 {
			t.Fatalf("%d targets", n)
		}
	})
}
