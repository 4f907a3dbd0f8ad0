package jobs

import (
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

func (s *State) heartbeat(r Heartbeat, now clock.Millis) {
	s.markHeard(r.By, now)
	m := s.Members[r.By]
	m.Zone, m.Address, m.Leaving = r.Zone, r.Address, r.Leaving
	if r.Start > m.Start {
		m.Start = r.Start
		s.supersede(m)
	}
	if !m.Superseded {
		s.adoptRoles(r)
	}
}

// IsSignOfLife reports whether a record proves that the instance that wrote it is alive.
func IsSignOfLife(r Record) bool {
	switch r.(type) {
	case Heartbeat, Claim, Yield, SavePartial, Finish, Avoid, Hold, Defer:
		return true
	default:
		return false
	}
}

// supersede marks all starts of a member's instance but the latest as superseded. Their
// order is that of their Start, not that in which they are heard.
func (s *State) supersede(member *Member) {
	var starts []*Member
	latest := member
	for _, m := range s.Members {
		if m.Start == 0 || m.Name.ListName() != member.Name.ListName() {
			continue
		}
		starts = append(starts, m)
		if m.Start > latest.Start {
			latest = m
		}
	}
	for _, m := range starts {
		m.Superseded = m != latest
	}
}

// SupersededBy returns the latest start of an instance if it has superseded the given one.
func (s *State) SupersededBy(name ident.InstanceName) (latest ident.InstanceName, superseded bool) {
	if m := s.Members[name]; m == nil || !m.Superseded {
		return "", false
	}
	for _, m := range s.Members {
		if m.Start > 0 && !m.Superseded && m.Name.ListName() == name.ListName() {
			return m.Name, true
		}
	}
	return "", true
}

func (s *State) markHeard(by ident.InstanceName, now clock.Millis) {
	m := s.Members[by]
	if m == nil {
		m = &Member{Name: by}
		s.Members[by] = m
	}
	m.LastHeard = now
}

// Live returns the members heard since the given time on this reader's clock that
// accept work and are not superseded. The order is random.
func (s *State) Live(since clock.Millis) []Member {
	var live []Member
	for _, m := range s.Members {
		if m.acceptsWork(since) {
			live = append(live, *m)
		}
	}
	return live
}

// LiveCount returns the number of members that Live would return.
func (s *State) LiveCount(since clock.Millis) int {
	n := 0
	for _, m := range s.Members {
		if m.acceptsWork(since) {
			n++
		}
	}
	return n
}

func (m *Member) acceptsWork(since clock.Millis) bool {
	return !m.Leaving && !m.Superseded && m.LastHeard >= since
}

// Alive reports whether a member may still be running what it claimed: it was heard
// since the given time and is not superseded.
func (s *State) Alive(name ident.InstanceName, since clock.Millis) bool {
	m := s.Members[name]
	return m != nil && !m.Superseded && m.LastHeard >= since
}

// ShiftLastHeard adds span to the time at which each member was last heard. It
// compensates for a period in which this reader could not read the ledger: members
// must not look silent because of it.
func (s *State) ShiftLastHeard(span clock.Millis) {
	for _, m := range s.Members {
		m.LastHeard += span
	}
}
