package jobs

import (
	"maps"
	"testing"

	"pgregory.net/rapid"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// lateReaderModel plays instances that take roles from each other and tell of them in heartbeats.
type lateReaderModel struct {
	records []Record
	state   *State
}

func (m *lateReaderModel) write(r Record) {
	m.records = append(m.records, r)
	m.state.Apply(ident.Offset(len(m.records)), r, clock.Millis(len(m.records)))
}

func (m *lateReaderModel) beat(name ident.InstanceName) {
	m.write(Heartbeat{By: name, Zone: "z", Start: 1, Roles: m.state.RolesOf(name)})
}

// Guards against a reader that, since the log has dropped old records, does not know of a holder
// that lives: it would take the role beside that one.
func TestRolesAreKnownToLateReaders(t *testing.T) {
	names := []ident.InstanceName{"a~1", "b~1", "c~1"}
	rapid.Check(t, func(t *rapid.T) {
		m := &lateReaderModel{state: NewState()}
		draw := func(t *rapid.T) ident.InstanceName { return rapid.SampledFrom(names).Draw(t, "instance") }
		t.Repeat(map[string]func(*rapid.T){
			"beat": func(t *rapid.T) { m.beat(draw(t)) },
			"hold": func(t *rapid.T) {
				role := rapid.SampledFrom([]string{"r", "q"}).Draw(t, "role")
				m.write(Hold{Role: role, By: draw(t), Replaces: ident.Offset(m.state.RoleHolders[role].Fence)})
			},
		})
		from := len(m.records)
		for _, name := range names {
			m.beat(name)
		}
		// What the log has dropped ends somewhere before the last heartbeats.
		from = rapid.IntRange(0, from).Draw(t, "dropped")
		late := NewState()
		for i, r := range m.records[from:] {
			late.Apply(ident.Offset(from+i+1), r, clock.Millis(i))
		}
		if !maps.Equal(late.RoleHolders, m.state.RoleHolders) {
			t.Errorf("a reader without the first %d records knows the holders %v, all others %v", from, late.RoleHolders, m.state.RoleHolders)
		}
	})
}
