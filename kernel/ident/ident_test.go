package ident

import "testing"

func TestBackendNames(t *testing.T) {
	first, second := NewBackend("i-1", 1_772_000_000_000), NewBackend("i-1", 1_772_000_000_001)
	if first == second || first.ListName() != "i-1" || second.ListName() != "i-1" {
		t.Errorf("starts %s and %s, want two of i-1", first, second)
	}
	if unreported := NewBackend("i-1", 0); unreported.ListName() != string(unreported) {
		t.Errorf("%s has the list name %s", unreported, unreported.ListName())
	}
	cases := []struct {
		name     BackendName
		reported int64
		other    bool
	}{
		{first, 1_772_000_000_000, false}, {first, 1_772_000_000_001, true}, {first, 0, false}, {NewBackend("i-1", 0), 7, false},
	}
	for _, c := range cases {
		if other, differs := c.name.OtherStart(c.reported); differs != c.other {
			t.Errorf("%s, reported start %d: differs %v (%s), want %v", c.name, c.reported, differs, other, c.other)
		}
	}
}
