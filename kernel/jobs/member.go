package jobs

import (
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

func (s *State) heartbeat(r Heartbeat, now clock.Millis) {
	if s.Members[r.By] == nil {
		s.supersede(r.By)
	}
	s.markHeard(r.By, now)
	m := s.Members[r.By]
	m.Zone, m.Address, m.Leaving = r.Zone, r.Address, r.Leaving
}

// IsSignOfLife tells whether a record is a sign of life of the instance that wrote it.
func IsSignOfLife(r Record) bool {
	switch r.(type) {
	case Heartbeat, Claim, Yield, SavePartial, Finish, Avoid, Hold, Defer:
		return true
	default:
		return false
	}
}

// supersede ends the earlier lives of an instance that has started again.
func (s *State) supersede(by ident.InstanceName) {
	for _, m := range s.Members {
		if m.Name.ListName() == by.ListName() {
			m.Superseded = true
		}
	}
}

func (s *State) markHeard(by ident.InstanceName, now clock.Millis) {
	m := s.Members[by]
	if m == nil {
		m = &Member{Name: by}
		s.Members[by] = m
	}
	m.LastHeard = now
}

// Live returns the members that were heard since the given time of this reader,
// take work and have not been started anew.
func (s *State) Live(since clock.Millis) []Member {
	var live []Member
	for _, m := range s.Members {
		if m.acceptsWork(since) {
			live = append(live, *m)
		}
	}
	return live
}

// LiveCount returns how many members Live would return.
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

// Alive tells whether a member may still be doing what it claimed.
func (s *State) Alive(name ident.InstanceName, since clock.Millis) bool {
	m := s.Members[name]
	return m != nil && !m.Superseded && m.LastHeard >= since
}

// ShiftLastHeard moves the times at which members were heard and engines are to be used
// again by a span in which this reader could not read: silence that nobody
// could hear does not count.
func (s *State) ShiftLastHeard(span clock.Millis) {
	for _, m := range s.Members {
		m.LastHeard += span
	}
}

func (s *State) hold(offset ident.Offset, h Hold, now clock.Millis) {
	s.markHeard(h.By, now)
	if ident.Offset(s.RoleHolders[h.Role].Fence) != h.Replaces {
		return
	}
	s.RoleHolders[h.Role] = RoleHolder{By: h.By, Fence: ident.Fence(offset)}
}

// staleOrderAge is longer than any load takes.
const staleOrderAge = 60 * clock.Second

func (s *State) loadOrder(o LoadOrder, now clock.Millis) {
	holding := s.RoleHolders[o.Role]
	if holding.Fence != o.Fence {
		return
	}
	s.LastOrders[o.Engine.ListName()] = LastOrder{By: holding.By, Fence: o.Fence, SeenAt: now}
	key := EngineModel{Engine: o.Engine, Model: o.Model}
	w := s.Weights[key]
	w.Ordered, w.OrderSeenAt = o.Version, now
	if !s.CaughtUp {
		w.OrderSeenAt = now - staleOrderAge
	}
	s.Weights[key] = w
}

func (s *State) loaded(l Loaded) {
	key := EngineModel{Engine: l.Engine, Model: l.Model}
	w := s.Weights[key]
	w.Version = max(w.Version, l.Version)
	s.Weights[key] = w
}
