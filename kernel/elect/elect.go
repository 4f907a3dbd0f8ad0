// Package elect decides which instances follow the ledger and run its work. It is
// pure: each instance judges only itself, from what it has heard of the others.
//
// The load it answers: with 295 instances each following the ledger, its reads
// alone took 35 of the 80 MB/s that the platform's log serves, before any work, and
// grew with the square of the instances. A bounded number of followers in each
// availability zone makes both the signs of life and their readers a constant.
// Nothing is agreed on here: one follower too many costs a reader, one too few is
// replaced when its silence is noticed.
package elect

import (
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

const (
	// FollowersPerZone is how many instances of a zone follow the ledger. The zones of the
	// users' large deployment have 17 engines of 6 slots: 20 texts at once for each of
	// five followers, and the loss of most of them leaves some. After the loss of all
	// power each reads the whole ledger, and the log serves their reads together:
	// with eight a zone that took 2.3 s.
	FollowersPerZone = 5
	// FollowerHeartbeatPeriod is the pause between two signs of life of a follower on the roster.
	// With 30 followers and 265 others the roster gets 73 records a second.
	FollowerHeartbeatPeriod = 1500 * clock.Millis(1)
	// NonFollowerHeartbeatPeriod is that of members that do not follow the ledger.
	NonFollowerHeartbeatPeriod = 5 * clock.Second
	// missedHeartbeats is how many signs of life must be late before a member counts as gone.
	missedHeartbeats = 3
)

// Millicores is the processor time that an instance may use, in thousandths of a core.
type Millicores int

// Member is an instance as the roster shows it.
type Member struct {
	Name    ident.InstanceName
	Zone    ident.Zone
	Address ident.Address
	Power   Millicores
	// Follows tells that the member follows the ledger.
	Follows bool
	Leaving bool
	// LastHeartbeat is when this reader heard its last sign of life.
	LastHeartbeat clock.Millis
}

// HeartbeatPeriod returns the pause between two of the member's signs of life.
func (m Member) HeartbeatPeriod() clock.Millis {
	if m.Follows {
		return FollowerHeartbeatPeriod
	}
	return NonFollowerHeartbeatPeriod
}

// Alive tells whether a member is to be reckoned with; now is when the roster was
// last known to be current, so that an outage of the log ages nobody.
func (m Member) Alive(now clock.Millis) bool {
	return !m.Leaving && now-m.LastHeartbeat <= missedHeartbeats*m.HeartbeatPeriod()
}

// precedes tells whether a member is chosen precedes another one: the more powerful
// first, since whoever follows does the work; then by hash, so that names that
// resemble each other are spread.
func (m Member) precedes(other Member) bool {
	if m.Power != other.Power {
		return m.Power > other.Power
	}
	mine, others := ident.Hash("follow", m.Name.ListName()), ident.Hash("follow", other.Name.ListName())
	return mine > others
}

// ShouldFollow tells whether an instance should follow the ledger: fewer than PerZone
// living members of its zone come before it.
func ShouldFollow(self Member, all []Member, now clock.Millis) bool {
	preceding := 0
	for _, m := range all {
		if m.Zone == self.Zone && m.Name.ListName() != self.Name.ListName() && m.Alive(now) && m.precedes(self) {
			preceding++
		}
	}
	return preceding < FollowersPerZone
}
