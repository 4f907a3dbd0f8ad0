package jobs

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// modelStart is one start of an instance as startModel plays it: it writes its records one after
// the other, and knows of those that were acknowledged.
type modelStart struct {
	name  ident.InstanceName
	alive bool
	// joined is the offset of its first record that was acknowledged; 0 if there is none.
	joined ident.Offset
	// late holds the records that it has sent and that the log appends later, in their order.
	late []Record
}

// startModel plays instances that are killed and start again while the log appends records late.
type startModel struct {
	state  *State
	offset ident.Offset
	// starts are those of each instance, the oldest first.
	starts map[string][]*modelStart
	holder RoleHolder
}

var startModelInstances = []string{"a", "b"}

const modelRole = "r"

func newStartModel() *startModel {
	m := &startModel{state: NewState(), starts: map[string][]*modelStart{}}
	for _, instance := range startModelInstances {
		m.launch(instance)
	}
	return m
}

func (m *startModel) launch(instance string) {
	name := ident.InstanceName(fmt.Sprintf("%s~%d", instance, len(m.starts[instance])))
	m.starts[instance] = append(m.starts[instance], &modelStart{name: name, alive: true})
}

func (m *startModel) current(instance string) *modelStart {
	return m.starts[instance][len(m.starts[instance])-1]
}

func (m *startModel) draw(t *rapid.T) *modelStart {
	return m.current(rapid.SampledFrom(startModelInstances).Draw(t, "instance"))
}

// append appends a record of a start, and acknowledges it if the start is alive.
func (m *startModel) append(s *modelStart, r Record) {
	m.offset++
	m.state.Apply(m.offset, r, clock.Millis(m.offset))
	if s.alive && s.joined == 0 {
		s.joined = m.offset
	}
}

// appendLate appends what a start has sent and the log has not appended yet.
func (m *startModel) appendLate(s *modelStart) {
	for _, r := range s.late {
		m.append(s, r)
	}
	s.late = nil
}

func (s *modelStart) heartbeat() Record {
	return Heartbeat{By: s.name, Zone: "z", Leaving: s.joined == 0, Start: s.joined}
}

func (m *startModel) killAndLaunch(t *rapid.T) {
	instance := rapid.SampledFrom(startModelInstances).Draw(t, "instance")
	m.current(instance).alive = false
	m.launch(instance)
}

func (m *startModel) beat(t *rapid.T) {
	s := m.draw(t)
	m.appendLate(s)
	m.append(s, s.heartbeat())
}

func (m *startModel) beatLate(t *rapid.T) {
	s := m.draw(t)
	s.late = append(s.late, s.heartbeat())
}

// hold has a start that accepts work, as a lease asks, send a hold of the role that replaces the
// current one.
func (m *startModel) hold(t *rapid.T) {
	s := m.draw(t)
	if member := m.state.Members[s.name]; member == nil || !member.acceptsWork(0) {
		return
	}
	r := Hold{Role: modelRole, By: s.name, Replaces: ident.Offset(m.state.RoleHolders[modelRole].Fence)}
	if rapid.Bool().Draw(t, "late") {
		s.late = append(s.late, r)
		return
	}
	m.appendLate(s)
	m.append(s, r)
}

// land appends the late records of a start, which may have ended.
func (m *startModel) land(t *rapid.T) {
	m.appendLate(rapid.SampledFrom(m.starts[rapid.SampledFrom(startModelInstances).Draw(t, "instance")]).Draw(t, "start"))
}

// check wants every start that has told its place to be superseded only by one that began later,
// and a new holder never to be superseded when it takes the role.
func (m *startModel) check(t *rapid.T) {
	for _, starts := range m.starts {
		for i, s := range starts {
			if latest, superseded := m.state.SupersededBy(s.name); superseded && !began(starts[i+1:], latest) {
				t.Fatalf("%s is superseded by %q, which did not begin after it", s.name, latest)
			}
		}
	}
	if holder := m.state.RoleHolders[modelRole]; holder != m.holder {
		if _, superseded := m.state.SupersededBy(holder.By); superseded {
			t.Fatalf("%s took the role after it had been superseded", holder.By)
		}
		m.holder = holder
	}
}

func began(starts []*modelStart, name ident.InstanceName) bool {
	for _, s := range starts {
		if s.name == name {
			return true
		}
	}
	return false
}

// settle appends all late records, those of starts that have ended last, and has each living
// start send two heartbeats. Exactly the living ones must then accept work.
func (m *startModel) settle(t *rapid.T) {
	for _, starts := range m.starts {
		for i := range starts {
			m.appendLate(starts[len(starts)-1-i])
		}
	}
	m.check(t)
	for _, instance := range startModelInstances {
		s := m.current(instance)
		m.append(s, s.heartbeat())
		m.append(s, s.heartbeat())
	}
	live := m.state.Live(0)
	for _, member := range live {
		if s := m.current(member.Name.ListName()); s.name != member.Name {
			t.Errorf("%s accepts work, but %s is the start that lives", member.Name, s.name)
		}
	}
	if len(live) != len(startModelInstances) {
		t.Errorf("%d members accept work, want the %d that live: %+v", len(live), len(startModelInstances), live)
	}
}

// Guards against a record of an ended start that the log appends late, which marked the living
// start as superseded for good or gave a role to the ended one.
func TestLateRecordsOfEndedStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStartModel()
		t.Repeat(map[string]func(*rapid.T){
			"kill": m.killAndLaunch, "beat": m.beat, "beat late": m.beatLate, "hold": m.hold, "land": m.land, "": m.check,
		})
		m.settle(t)
	})
}
