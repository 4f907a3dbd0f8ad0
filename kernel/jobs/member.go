package jobs

import (
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

func (b *Book) beat(r Beat, now clock.Millis) {
	if b.Members[r.By] == nil {
		b.supersede(r.By)
	}
	b.hear(r.By, now)
	m := b.Members[r.By]
	m.Zone, m.Address, m.Leaving = r.Zone, r.Address, r.Leaving
}

// Signs tells whether a record is a sign of life of the instance that wrote it.
func Signs(r Record) bool {
	switch r.(type) {
	case Beat, Claim, Yield, Keep, Finish, Avoid, Hold, Defer:
		return true
	default:
		return false
	}
}

// supersede ends the earlier lives of an instance that has started again.
func (b *Book) supersede(by ident.InstanceName) {
	for _, m := range b.Members {
		if m.Name.ListName() == by.ListName() {
			m.Over = true
		}
	}
}

func (b *Book) hear(by ident.InstanceName, now clock.Millis) {
	m := b.Members[by]
	if m == nil {
		m = &Member{Name: by}
		b.Members[by] = m
	}
	m.Heard = now
}

// Live returns the members that were heard since the given time of this reader,
// take work and have not been started anew.
func (b *Book) Live(since clock.Millis) []Member {
	var live []Member
	for _, m := range b.Members {
		if m.takesWork(since) {
			live = append(live, *m)
		}
	}
	return live
}

// LiveCount returns how many members Live would return.
func (b *Book) LiveCount(since clock.Millis) int {
	n := 0
	for _, m := range b.Members {
		if m.takesWork(since) {
			n++
		}
	}
	return n
}

func (m *Member) takesWork(since clock.Millis) bool {
	return !m.Leaving && !m.Over && m.Heard >= since
}

// Alive tells whether a member may still be doing what it claimed.
func (b *Book) Alive(name ident.InstanceName, since clock.Millis) bool {
	m := b.Members[name]
	return m != nil && !m.Over && m.Heard >= since
}

// Shift moves the times at which members were heard and engines are to be used
// again by a span in which this reader could not read: silence that nobody
// could hear does not count.
func (b *Book) Shift(span clock.Millis) {
	for _, m := range b.Members {
		m.Heard += span
	}
}

func (b *Book) hold(offset ident.Offset, h Hold, now clock.Millis) {
	b.hear(h.By, now)
	if ident.Offset(b.Holds[h.Role].Fence) != h.Replaces {
		return
	}
	b.Holds[h.Role] = Holding{By: h.By, Fence: ident.Fence(offset)}
}

// longAgo is longer than any load takes.
const longAgo = 60 * clock.Second

func (b *Book) order(o Order, now clock.Millis) {
	holding := b.Holds[o.Role]
	if holding.Fence != o.Fence {
		return
	}
	b.LastOrders[o.Engine.ListName()] = LastOrder{By: holding.By, Fence: o.Fence, Seen: now}
	key := EngineModel{Engine: o.Engine, Model: o.Model}
	w := b.Weights[key]
	w.Ordered, w.OrderSeen = o.Version, now
	if !b.Current {
		w.OrderSeen = now - longAgo
	}
	b.Weights[key] = w
}

func (b *Book) loaded(l Loaded) {
	key := EngineModel{Engine: l.Engine, Model: l.Model}
	w := b.Weights[key]
	w.Version = max(w.Version, l.Version)
	b.Weights[key] = w
}
