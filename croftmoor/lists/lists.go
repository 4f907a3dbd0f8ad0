// Package lists gives each instance the backend servers that it may use. Holders, which are
// some or all of the followers, have the whole list, a Catalog; every other instance gets its
// own few servers from a holder of its availability zone, by a Client. So the platform's log
// serves the whole list to a bounded number of readers, and what the others hold does not grow
// with the fleet.
package lists

import (
	"cmp"
	"strconv"

	"github.com/rs/zerolog"

	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// NotLoaded means that an instance does not hold the whole list.
	NotLoaded Kind = "NotLoaded"
	// Behind means that a holder has read less of the list than another told before.
	Behind Kind = "Behind"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// maxServers is the number of live servers of a plain service that an instance uses, and
	// maxFar the number of them that lie in other availability zones.
	maxServers = 64
	maxFar     = 16
	// maxEnginesPerZone is the number of live engines of a service in each availability zone
	// that get weights and items. All instances use the same ones, so that weights are not
	// loaded where no items go.
	maxEnginesPerZone = 64
)

// Pool is told when the servers in use have changed.
type Pool interface {
	Refresh()
}

// Published is the part of the list that this instance uses. It must not be set concurrently.
type Published struct {
	Table *fleet.Table
	Pool  Pool
	Log   zerolog.Logger

	used map[string]fleet.Member
}

// Set replaces the servers in use.
func (p *Published) Set(members []fleet.Member) {
	used := make(map[string]fleet.Member, len(members))
	for _, m := range members {
		id := listName(m)
		old, known := p.used[id]
		if !known || old.Name != m.Name || old.State != m.State || old.Address != m.Address {
			p.Log.Info().Str("Server", m.Name).Str("Service", string(m.Service)).Str("ServerZone", string(m.Zone)).
				Str("State", string(m.State)).Str("Address", string(m.Address)).Msg("server listed")
		}
		used[id] = m
	}
	for id, m := range p.used {
		if _, still := used[id]; !still {
			p.Log.Info().Str("Server", m.Name).Msg("server no longer used")
		}
	}
	p.used = used
	p.Table.Set(members)
	p.Pool.Refresh()
}

// listName returns the name that all starts of a server share.
func listName(m fleet.Member) string { return ident.BackendName(m.Name).ListName() }

// digest returns a hash that tells two lists of servers apart; it is never 0.
func digest(members []fleet.Member) uint64 {
	sum := uint64(len(members))
	for _, m := range members {
		// The sum of the hashes does not depend on the order.
		sum += ident.Hash(m.Name, string(m.Service), string(m.Zone), string(m.Address), string(m.State), strconv.Itoa(m.Slots), versionsText(m))
	}
	return cmp.Or(sum, 1)
}
