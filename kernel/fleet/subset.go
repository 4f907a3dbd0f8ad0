package fleet

import (
	"cmp"
	"math"
	"slices"

	"croftmoor.dev/kernel/ident"
)

// Index holds the servers of a service, prepared for many choices among them. It is immutable.
type Index struct {
	zones map[ident.Zone]zoneIndex
}

// zoneIndex holds the servers of one availability zone and the hashes of their names.
type zoneIndex struct {
	members []Member
	hashes  []uint64
}

// NewIndex returns an index of servers.
func NewIndex(members []Member) *Index {
	x := &Index{zones: map[ident.Zone]zoneIndex{}}
	for _, m := range members {
		z := x.zones[m.Zone]
		z.members = append(z.members, m)
		// All starts of a server share the hash, so that a restart does not move it.
		z.hashes = append(z.hashes, ident.Hash(ident.BackendName(m.Name).ListName()))
		x.zones[m.Zone] = z
	}
	return x
}

// Nearest returns most live servers for one instance, or all if there are no more. Servers of
// the instance's availability zone come first, but for far servers of other zones, which are
// left if the zone's own fail. Rendezvous hashing with the instance's name spreads the
// instances over the servers. Leaving servers are returned as well where a live one would be.
func (x *Index) Nearest(zone ident.Zone, instance string, most, far int) []Member {
	seed := ident.Hash(instance)
	own := []zoneIndex{x.zones[zone]}
	var other []zoneIndex
	for name, z := range x.zones {
		if name != zone {
			other = append(other, z)
		}
	}
	near := choose(own, seed, most-far)
	others := choose(other, seed, most-countLive(near))
	if missing := most - countLive(near) - countLive(others); missing > 0 && far > 0 {
		near = choose(own, seed, most-far+missing)
	}
	return slices.Concat(near, others)
}

// PerZone returns the servers that all instances use together: in each availability zone
// perZone live ones by rendezvous hashing with a key, so that instances agree without
// communication. Leaving servers are returned as well where a live one would be.
func (x *Index) PerZone(key string, perZone int) []Member {
	var chosen []Member
	for _, z := range x.zones {
		chosen = append(chosen, choose([]zoneIndex{z}, ident.Hash(key), perZone)...)
	}
	return chosen
}

// choose returns the servers of the zones by descending rank until most of them are live.
func choose(zones []zoneIndex, seed uint64, most int) []Member {
	total := 0
	for _, z := range zones {
		total += len(z.members)
	}
	if total == 0 || most <= 0 {
		return nil
	}
	// Few of many are chosen: sorting only the ranks above a bound that should leave more
	// than enough takes a fraction of the time.
	const spare = 3
	if total > spare*spare*most {
		bound := math.MaxUint64 - math.MaxUint64/uint64(total)*uint64(spare*most)
		if chosen := chooseAbove(zones, seed, most, bound); countLive(chosen) == most {
			return chosen
		}
	}
	return chooseAbove(zones, seed, most, 0)
}

// chooseAbove is choose among the servers of at least a rank.
func chooseAbove(zones []zoneIndex, seed uint64, most int, bound uint64) []Member {
	type ranked struct {
		rank   uint64
		member *Member
	}
	var order []ranked
	for _, z := range zones {
		for i, hash := range z.hashes {
			if rank := ident.Mix(seed ^ hash); rank >= bound {
				order = append(order, ranked{rank: rank, member: &z.members[i]})
			}
		}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var chosen []Member
	live := 0
	for _, r := range order {
		if live == most {
			break
		}
		if r.member.State != Leaving {
			live++
		}
		chosen = append(chosen, *r.member)
	}
	return chosen
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
