package jobs

import (
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// Weights is what the ledger records about the weights of a model on an engine.
type Weights struct {
	// Version is the newest version that was observed as loaded.
	Version ident.Version
	// Ordered is the version of the last load order, read at OrderSeenAt. Orders from the
	// backlog are backdated by staleOrderAge.
	Ordered     ident.Version
	OrderSeenAt clock.Millis
}

// LastOrder is the last load order to an engine, for any model: By issued it under
// Fence, and this reader read it at SeenAt.
type LastOrder struct {
	By     ident.InstanceName
	Fence  ident.Fence
	Offset ident.Offset
	SeenAt clock.Millis
	// TakenBy is when the engine has taken the order at the latest.
	TakenBy clock.Millis
}

// LoadedVersion returns the newest version known to be loaded: the ledger's or the one
// that the engine itself reported, which may be older.
func (s *State) LoadedVersion(key EngineModel, reported ident.Version) ident.Version {
	return max(s.Weights[key].Version, reported)
}

// EngineModel identifies the weights of a model on an engine.
type EngineModel struct {
	Engine ident.BackendName
	Model  ident.Model
}

// staleOrderAge backdates orders from the backlog. It exceeds the time that any load
// takes.
const staleOrderAge = 60 * clock.Second

func (s *State) loadOrder(offset ident.Offset, o LoadOrder, now clock.Millis) {
	holder := s.RoleHolders[o.Role]
	if holder.Fence != o.Fence {
		return
	}
	s.LastOrders[o.Engine.ListName()] = LastOrder{
		By: holder.By, Fence: o.Fence, Offset: offset, SeenAt: now, TakenBy: now + clock.Millis(o.Within),
	}
	key := EngineModel{Engine: o.Engine, Model: o.Model}
	w := s.Weights[key]
	w.Ordered, w.OrderSeenAt = o.Version, now
	if !s.UpToDate {
		w.OrderSeenAt = now - staleOrderAge
	}
	s.Weights[key] = w
}

// orderSettled ends the wait for an order, unless a later one is on its way.
func (s *State) orderSettled(o OrderSettled, now clock.Millis) {
	last := s.LastOrders[o.Engine.ListName()]
	if last.Offset != o.Order {
		return
	}
	last.TakenBy = min(last.TakenBy, now)
	s.LastOrders[o.Engine.ListName()] = last
}

func (s *State) loaded(l Loaded) {
	key := EngineModel{Engine: l.Engine, Model: l.Model}
	w := s.Weights[key]
	w.Version = max(w.Version, l.Version)
	s.Weights[key] = w
}
