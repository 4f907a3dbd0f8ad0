package roster

import (
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/elect"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/views"
)

// ShouldHoldList reports whether this instance is one of the first members of its availability
// zone, which hold a long list of servers. One that holds it gives it up only to members that
// hold it already.
func (r *Roster) ShouldHoldList() bool {
	holds := r.HoldsList != nil && r.HoldsList()
	r.mu.Lock()
	defer r.mu.Unlock()
	others := r.list()
	if holds {
		others = slices.DeleteFunc(others, func(m elect.Member) bool { return !m.HoldsList })
	}
	return r.follows && elect.Preceding(r.Self, others, r.lastCurrent()) < elect.HoldersPerZone
}

// ListHolders returns the other live instances that hold the list of servers, in the order of
// Followers, and behind them the other followers.
func (r *Roster) ListHolders(key string) []elect.Member {
	followers := r.Followers(key)
	slices.SortStableFunc(followers, func(a, b elect.Member) int {
		switch {
		case a.HoldsList == b.HoldsList:
			return 0
		case a.HoldsList:
			return -1
		default:
			return 1
		}
	})
	return followers
}

// Age returns the time since the roster was last known to be current; ok is false if it has
// not been read yet.
func (r *Roster) Age() (age clock.Millis, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Clock.Mono() - r.lastCurrent(), r.everCurrent()
}

// Instances returns the number of live instances of all availability zones, this one
// included: of its own zone as it knows them, of the others as their followers told.
func (r *Roster) Instances() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	zones := map[ident.Zone]int{}
	for _, m := range r.members {
		if m.Zone != r.Self.Zone && m.Alive(r.lastCurrent()) {
			zones[m.Zone] = max(zones[m.Zone], m.ZoneMembers, 1)
		}
	}
	all := r.zoneMembers()
	for _, n := range zones {
		all += n
	}
	return all
}

// Followers returns the other live instances that follow the ledger: those of this
// availability zone first, each zone group in the rank order of the key (views.Rank).
func (r *Roster) Followers(key string) []elect.Member {
	followers := r.AllFollowers(key)
	return slices.DeleteFunc(followers, func(m elect.Member) bool { return m.Leaving })
}

// AllFollowers returns those of Followers, and after them the ones that are leaving, which still
// answer for a while.
func (r *Roster) AllFollowers(key string) []elect.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near, far, leaving []views.Member
	for name, m := range r.members {
		switch {
		case !m.Follows || !m.Heard(r.lastCurrent()) || name == r.Self.Name.ListName():
		case m.Leaving:
			leaving = append(leaving, views.Member{Name: m.Name, Zone: m.Zone})
		case m.Zone == r.Self.Zone:
			near = append(near, views.Member{Name: m.Name, Zone: m.Zone})
		default:
			far = append(far, views.Member{Name: m.Name, Zone: m.Zone})
		}
	}
	ranked := slices.Concat(views.Rank(key, near), views.Rank(key, far), views.Rank(key, leaving))
	followers := make([]elect.Member, 0, len(ranked))
	for _, m := range ranked {
		followers = append(followers, r.members[m.Name.ListName()].Member)
	}
	return followers
}

// Peers returns the addresses of other live instances. Most calls return only those in this
// availability zone, if there are any; see allZonesInterval. While the roster cannot be
// read, the last known members count.
func (r *Roster) Peers() []ident.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	near, all := r.livingAddresses()
	if len(near) > 0 && r.Clock.Mono()%allZonesInterval != 0 {
		return near
	}
	return all
}

// AllPeers returns the addresses of the other live instances that are known: those of this
// availability zone and the followers of the others.
func (r *Roster) AllPeers() []ident.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, all := r.livingAddresses()
	return all
}

// livingAddresses returns the addresses of the other live instances: near holds those in
// this availability zone, all those in every zone. The caller must hold mu.
func (r *Roster) livingAddresses() (near, all []ident.Address) {
	for name, m := range r.members {
		if name == r.Self.Name.ListName() || !m.Alive(r.lastCurrent()) {
			continue
		}
		all = append(all, m.Address)
		if m.Zone == r.Self.Zone {
			near = append(near, m.Address)
		}
	}
	return near, all
}

// FirstFollower returns the live instance of a zone that follows the ledger and comes first in
// the rank order of the key; it may be this one. ok is false if none is known.
func (r *Roster) FirstFollower(key string, zone ident.Zone) (first elect.Member, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := map[ident.InstanceName]elect.Member{}
	var ranked []views.Member
	add := func(m elect.Member) {
		known[m.Name] = m
		ranked = append(ranked, views.Member{Name: m.Name, Zone: m.Zone})
	}
	for name, m := range r.members {
		if name != r.Self.Name.ListName() && m.Zone == zone && m.Follows && m.Alive(r.lastCurrent()) {
			add(m.Member)
		}
	}
	if zone == r.Self.Zone && r.follows && !r.leaving {
		add(r.Self)
	}
	best, ok := views.First(key, ranked)
	return known[best.Name], ok
}
