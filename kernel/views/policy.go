package views

import (
	"slices"
	"strconv"
	"strings"

	"croftmoor.dev/kernel/ident"
)

// Member is an instance that can be primary or backup of a shard.
type Member struct {
	Name ident.InstanceName
	Zone ident.Zone
}

// Rank returns the members in rendezvous-hashing order for a key, best first.
func Rank(key string, members []Member) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		hashA, hashB := ident.Hash(key, string(a.Name)), ident.Hash(key, string(b.Name))
		switch {
		case hashA > hashB:
			return -1
		case hashA < hashB:
			return 1
		default:
			return strings.Compare(string(a.Name), string(b.Name))
		}
	})
	return ranked
}

// First returns the member that Rank puts first, or false if there are none.
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

// Pair returns the preferred primary and backup of a shard: the two best members by Rank,
// in different availability zones if possible. Names are empty where members are missing.
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

// Situation is what an instance knows of the others when it decides on a proposal.
type Situation struct {
	Self ident.InstanceName
	// Live lists the participating instances without the leaving ones; self is included
	// unless it is leaving.
	Live []Member
	// Alive reports whether an instance, live or leaving, can be reached now.
	Alive func(ident.InstanceName) bool
	// Gone reports whether an instance has been unreachable for so long that its state
	// counts as lost.
	Gone func(ident.InstanceName) bool
	// Synced is the result of once.Shard.Synced for the shard: the other member could be
	// replaced without loss of state.
	Synced bool
	// Settled is true if the set of live instances has not changed recently. Moves that
	// only restore the preferred pair wait for this.
	Settled bool
	// MostReached is true if self reaches more than half of the instances.
	MostReached bool
}

// Next returns the proposal that moves the shard one step towards its preferred pair, or
// false if self has nothing to propose.
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

// nextAsOutsider is Next for an instance outside the view: when all members are gone, the
// preferred primary starts the shard without its state.
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

// nextAsBackup takes over from an unreachable primary. A backup without the state waits
// until the primary counts as gone, and then proposes a view marked Lost.
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

// nextAsPrimary replaces an unreachable backup at once. Once membership is settled, or if
// self is leaving, it moves towards the preferred pair: it makes the preferred primary its
// backup first, and swaps roles when that backup has the state.
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

// backupForSelf returns the backup that pickBackup finds for self as primary, other than
// excluded.
func backupForSelf(shard Shard, s Situation, excluded ident.InstanceName) ident.InstanceName {
	return pickBackup(shard, s, s.Self, excluded)
}

// backupFor returns the backup that pickBackup finds for another primary, other than self.
func backupFor(shard Shard, s Situation, primary ident.InstanceName) ident.InstanceName {
	return pickBackup(shard, s, primary, s.Self)
}

// pickBackup returns the first live and reachable member by Rank other than primary and
// excluded, in another availability zone than primary's if possible, or "".
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
