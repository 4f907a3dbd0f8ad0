// Package elect decides which instances follow the ledger and run its work. It has no
// I/O and no state: each instance decides only for itself, from the heartbeats of the
// others.
//
// The number of followers in each availability zone is bounded, because the traffic of
// reading the ledger grows with the square of the followers: 295 instances that all followed
// took 35 of the 80 MB/s that the platform's log serves. The instances need no
// agreement: one follower too many costs one more reader, and a missing one is replaced
// when its heartbeats stop.
package elect

import (
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

const (
	// FollowersPerZone is the number of instances of an availability zone that follow the
	// ledger. It is high enough to share the zone's engines and to survive the loss of
	// most followers, and low enough for the log to serve them all when they read the
	// whole ledger after a power loss; with eight a zone that took 2.3 s.
	FollowersPerZone = 5
	// FollowerHeartbeatPeriod is the pause between two heartbeats of a follower on the
	// roster.
	FollowerHeartbeatPeriod = 1500 * clock.Millis(1)
	// HoldersPerZone is the number of followers of an availability zone that hold a list of
	// servers which is too long for all of them to read.
	HoldersPerZone = 2
	// StandbyHeartbeatPeriod is the pause for members that would follow next.
	StandbyHeartbeatPeriod = 5 * clock.Second
	// StandbysPerZone is the number of members of an availability zone that would follow
	// next. Their loss must be noticed soon, as they replace followers.
	StandbysPerZone = 10
	// postsPerSecond bounds the heartbeats of the other members of an availability zone
	// together, since all of the zone read them.
	postsPerSecond = 6
	// missedHeartbeats is the number of overdue heartbeats after which a member counts as
	// gone.
	missedHeartbeats = 3
)

// Millicores is the processor time that an instance may use, in thousandths of a core.
type Millicores int

// Member is an instance on the roster.
type Member struct {
	Name    ident.InstanceName
	Zone    ident.Zone
	Address ident.Address
	CPU     Millicores
	// Follows means that the member follows the ledger.
	Follows bool
	// HoldsList means that the member has the whole list of servers.
	HoldsList bool
	Leaving   bool
	// Period is the pause between two of its heartbeats, as it announced; 0 stands for the
	// period of a follower or a standby.
	Period clock.Millis
	// ZoneMembers is the number of live members of its availability zone that it knows; 0
	// if it did not tell.
	ZoneMembers int
	// LastHeartbeat is when this instance received the member's last heartbeat.
	LastHeartbeat clock.Millis
}

// HeartbeatPeriod returns the pause between two heartbeats of the member.
func (m Member) HeartbeatPeriod() clock.Millis {
	switch {
	case m.Period > 0:
		return m.Period
	case m.Follows:
		return FollowerHeartbeatPeriod
	default:
		return StandbyHeartbeatPeriod
	}
}

// PeriodOf returns the heartbeat period of a member that does not follow and that preceding
// members of its availability zone precede, of members in all. It grows with the zone, but
// for the standbys.
func PeriodOf(preceding, members int) clock.Millis {
	if preceding < FollowersPerZone+StandbysPerZone {
		return StandbyHeartbeatPeriod
	}
	return max(StandbyHeartbeatPeriod, clock.Millis(members)*clock.Second/postsPerSecond)
}

// Alive reports whether the member is running and not leaving. rosterTime is the last time
// at which the roster was current, so that members do not expire during an outage of the
// log.
func (m Member) Alive(rosterTime clock.Millis) bool {
	return !m.Leaving && m.Heard(rosterTime)
}

// Heard reports whether the member is running, leaving or not. rosterTime is as in Alive.
func (m Member) Heard(rosterTime clock.Millis) bool {
	return rosterTime-m.LastHeartbeat <= missedHeartbeats*m.HeartbeatPeriod()
}

// precedes reports whether m is chosen before other: more processor time first, because
// followers run the work, then by hash, so that similar names are spread.
func (m Member) precedes(other Member) bool {
	if m.CPU != other.CPU {
		return m.CPU > other.CPU
	}
	mine, others := ident.Hash("follow", m.Name.ListName()), ident.Hash("follow", other.Name.ListName())
	return mine > others
}

// ShouldFollow reports whether an instance should follow the ledger: fewer than
// FollowersPerZone living members of its availability zone precede it. rosterTime is as in
// Alive.
func ShouldFollow(self Member, all []Member, rosterTime clock.Millis) bool {
	return Preceding(self, all, rosterTime) < FollowersPerZone
}

// Preceding returns how many living members of its availability zone precede a member.
func Preceding(self Member, all []Member, rosterTime clock.Millis) int {
	preceding := 0
	for _, m := range all {
		if m.Zone == self.Zone && m.Name.ListName() != self.Name.ListName() && m.Alive(rosterTime) && m.precedes(self) {
			preceding++
		}
	}
	return preceding
}
