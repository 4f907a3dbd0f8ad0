package fleet

import (
	"cmp"
	"slices"

	"croftmoor.dev/kernel/ident"
)

// Nearest returns most live servers of a service for one instance, or all if there are no
// more. Servers of the instance's availability zone come first, but for far servers of other
// zones, which are left if the zone's own fail. Rendezvous hashing with the instance's name
// spreads the instances over the servers. Leaving servers are returned as well where a live
// one would be.
func Nearest(members []Member, zone ident.Zone, instance string, most, far int) []Member {
	if len(members) <= most {
		return members
	}
	var own, other []Member
	for _, m := range members {
		if m.Zone == zone {
			own = append(own, m)
		} else {
			other = append(other, m)
		}
	}
	chosen, rest := firstLive(rank(own, instance), most-far)
	others, _ := firstLive(rank(other, instance), most-countLive(chosen))
	chosen = append(chosen, others...)
	more, _ := firstLive(rest, most-countLive(chosen))
	return append(chosen, more...)
}

// PerZone returns the servers of a service that all instances use together: in each
// availability zone the first perZone live ones by rendezvous hashing with the service's
// name, so that instances agree without communication. Leaving servers are returned as well
// where a live one would be.
func PerZone(members []Member, service ident.Service, perZone int) []Member {
	zones := map[ident.Zone][]Member{}
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	var chosen []Member
	for _, inZone := range zones {
		if len(inZone) > perZone {
			inZone, _ = firstLive(rank(inZone, string(service)), perZone)
		}
		chosen = append(chosen, inZone...)
	}
	return chosen
}

// rank returns the members by rendezvous hash for a key, highest first. The hash is of the
// name that all starts of a server share, so that a restart does not move it.
func rank(members []Member, key string) []Member {
	type hashed struct {
		hash  uint64
		index int
	}
	order := make([]hashed, len(members))
	for i, m := range members {
		order[i] = hashed{hash: ident.Hash(key, ident.BackendName(m.Name).ListName()), index: i}
	}
	slices.SortFunc(order, func(a, b hashed) int { return cmp.Compare(b.hash, a.hash) })
	ranked := make([]Member, len(members))
	for i, o := range order {
		ranked[i] = members[o.index]
	}
	return ranked
}

// firstLive splits ranked members behind the first most live ones.
func firstLive(ranked []Member, most int) (chosen, rest []Member) {
	live := 0
	for i, m := range ranked {
		if live >= most {
			return slices.Clip(ranked[:i]), ranked[i:]
		}
		if m.State != Leaving {
			live++
		}
	}
	return slices.Clip(ranked), nil
}

func countLive(members []Member) int {
	live := 0
	for _, m := range members {
		if m.State != Leaving {
			live++
		}
	}
	return live
}
