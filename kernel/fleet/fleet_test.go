package fleet

import (
	"testing"

	"croftmoor.dev/kernel/clock"
)

func TestMarkLeaving(t *testing.T) {
	c := clock.NewManual(clock.Minute)
	table := &Table{Clock: c}
	table.Set([]Member{{Name: "b", Kind: Backend, Service: "s", State: Live}, {Name: "a", Kind: Entry, State: Live}})
	if v := table.View(); len(v.Entries) != 1 || len(v.Backends["s"]) != 1 {
		t.Fatalf("view is %+v, want one entry instance and one backend server", v)
	}
	table.MarkLeaving("b")
	if !table.MarkedLeaving("b") || table.MarkedLeaving("a") {
		t.Fatal("want b marked as leaving, and a not")
	}
	// The mark expires, so that a server which stays after all is used again.
	c.Advance(leavingMarkTTL + 1)
	if table.MarkedLeaving("b") {
		t.Fatal("the mark did not expire after leavingMarkTTL")
	}
}
