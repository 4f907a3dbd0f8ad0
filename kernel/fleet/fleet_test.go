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
		t.Fatalf("%+v", v)
	}
	table.MarkLeaving("b")
	if !table.MarkedLeaving("b") || table.MarkedLeaving("a") {
		t.Fatal("only the marked member is leaving")
	}
	// A server that has taken its word back is used again, though the list
	// does not change.
	c.Advance(markTerm + 1)
	if table.MarkedLeaving("b") {
		t.Fatal("the mark outlived its term")
	}
}
