package views

import (
	"slices"
	"strconv"
	"strings"

	"croftmoor.dev/kernel/ident"
)

// Member is an entry instance as the policy sees it.
type Member struct {
	Name ident.InstanceName
	Zone ident.Zone
}

// Rank orders the members for a key by rendezvous hashing, best first.
func Rank(key string, members []Member) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		ha, hb := ident.Hash(key, string(a.Name)), ident.Hash(key, string(b.Name))
		switch {
		case ha > hb:
			return -1
		case ha < hb:
			return 1
		default:
			return strings.Compare(string(a.Name), string(b.Name))
		}
	})
	return ranked
}

// First returns the best member for a key, as Rank orders them, or false if
// there are none.
func First(key string, members []Member) (Member, bool) {
	var first Member
	var best uint64
	for i, m := range members {
		hash := ident.Hash(key, string(m.Name))
		if i == 0 || hash > best || (hash == best && m.Name < first.Name) {
			first, best = m, hash
		}
	}
	return first, len(members) > 0
}

// Pair returns the wanted primary and backup of a shard: the best two members
// by rendezvous hashing, in two availability zones where there are two.
func Pair(shard Shard, members []Member) (primary, backup ident.InstanceName) {
	ranked := Rank(shardKey(shard), members)
	if len(ranked) == 0 {
		return "", ""
	}
	first := ranked[0]
	for _, m := range ranked[1:] {
		if m.Zone != first.Zone {
			return first.Name, m.Name
		}
	}
	if len(ranked) > 1 {
		return first.Name, ranked[1].Name
	}
	return first.Name, ""
}

// Situation is what an instance knows when it considers a shard.
type Situation struct {
	Self ident.InstanceName
	// Live are the instances that take part, leaving ones excluded, self
	// included unless it is leaving.
	Live []Member
	// Alive tells whether an instance, live or leaving, can be reached now.
	Alive func(ident.InstanceName) bool
	// Gone tells whether an instance has been silent for so long that its
	// state counts as lost.
	Gone func(ident.InstanceName) bool
	// Synced tells whether self holds the whole state of the view.
	Synced bool
	// Settled tells whether the set of live instances has not changed lately.
	// Moves that no failure calls for wait for it.
	Settled bool
	// MostReached tells whether self reaches more than half of the instances.
	MostReached bool
}

// Next returns the proposal that moves the shard one step towards its wanted
// pair, if it is for self to make.
func Next(shard Shard, view View, s Situation) (Proposal, bool) {
	primary, backup := Pair(shard, s.Live)
	p := Proposal{Shard: shard, Base: view.Epoch}
	if view.Epoch == 0 || view.Primary == "" {
		p.Primary, p.Backup, p.Lost = primary, backup, view.Lost
		return p, primary == s.Self
	}
	if !view.Has(s.Self) {
		return nextAsOutsider(p, view, s, primary, backup)
	}
	other := view.Partner(s.Self)
	if view.Primary != s.Self {
		return nextAsBackup(p, s, other)
	}
	return nextAsPrimary(p, view, s, primary, backup)
}

// nextAsOutsider starts a shard anew when both members are gone.
func nextAsOutsider(p Proposal, view View, s Situation, primary, backup ident.InstanceName) (Proposal, bool) {
	if primary != s.Self || !s.MostReached || !s.Gone(view.Primary) {
		return p, false
	}
	if view.Backup != "" && !s.Gone(view.Backup) {
		return p, false
	}
	p.Primary, p.Backup, p.Lost = primary, backup, true
	return p, true
}

// nextAsBackup takes over from a primary that can't be reached. A backup that
// has not got the state can only do so when the primary is gone for good.
func nextAsBackup(p Proposal, s Situation, primary ident.InstanceName) (Proposal, bool) {
	if s.Alive(primary) {
		return p, false
	}
	if s.Synced {
		p.Primary, p.Backup = s.Self, backupForSelf(p.Shard, s, primary)
		return p, true
	}
	p.Primary, p.Backup, p.Lost = s.Self, backupForSelf(p.Shard, s, primary), true
	return p, s.MostReached && s.Gone(primary)
}

func nextAsPrimary(p Proposal, view View, s Situation, primary, backup ident.InstanceName) (Proposal, bool) {
	p.Primary = s.Self
	if view.Backup == "" || !s.Alive(view.Backup) {
		p.Backup = backupForSelf(p.Shard, s, view.Backup)
		return p, p.Backup != view.Backup
	}
	if !s.Settled && containsMember(s.Live, s.Self) {
		return p, false
	}
	if primary == s.Self {
		p.Backup = backup
		return p, backup != "" && backup != view.Backup
	}
	if view.Backup == primary {
		p.Primary, p.Backup = primary, s.Self
		if !containsMember(s.Live, s.Self) {
			p.Backup = backupFor(p.Shard, s, primary)
		}
		return p, s.Synced
	}
	p.Backup = primary
	return p, primary != "" && containsMember(s.Live, primary)
}

// backupForSelf picks a reachable backup for self, in another zone where possible.
func backupForSelf(shard Shard, s Situation, excluded ident.InstanceName) ident.InstanceName {
	return pickBackup(shard, s, s.Self, excluded)
}

func backupFor(shard Shard, s Situation, primary ident.InstanceName) ident.InstanceName {
	return pickBackup(shard, s, primary, s.Self)
}

func pickBackup(shard Shard, s Situation, primary, excluded ident.InstanceName) ident.InstanceName {
	zone := zoneOf(s.Live, primary)
	var sameZone ident.InstanceName
	for _, m := range Rank(shardKey(shard), s.Live) {
		if m.Name == primary || m.Name == excluded || !s.Alive(m.Name) {
			continue
		}
		if m.Zone != zone {
			return m.Name
		}
		if sameZone == "" {
			sameZone = m.Name
		}
	}
	return sameZone
}

func zoneOf(members []Member, name ident.InstanceName) ident.Zone {
	for _, m := range members {
		if m.Name == name {
			return m.Zone
		}
	}
	return ""
}

func containsMember(members []Member, name ident.InstanceName) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Name == name })
}

func shardKey(shard Shard) string {
	return "shard-" + strconv.Itoa(int(shard))
}
