// Package roster maintains the membership list of the instances: which ones exist, their
// addresses, and which ones follow the ledger. Package elect selects the followers.
//
// An instance knows the members of its own availability zone and the followers of all zones.
// Members that do not follow are announced to their zone only, so that what an instance reads
// does not grow with the other zones.
package roster

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/rs/zerolog"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/elect"
	"croftmoor.dev/kernel/ident"
)

const (
	// settleTime is how long after its first read an instance must have read again before it
	// may follow, because instances that start at the same time may not be listed yet. An
	// instance whose previous process is listed does not wait.
	settleTime = 400 * clock.Millis(1)
	// electionPeriod is the interval between two evaluations of whether to follow.
	electionPeriod = 500 * clock.Millis(1)
	// maxReadGap is the longest gap between reads that counts towards the age of members.
	// During longer gaps, members are not aged and no follower is elected.
	maxReadGap = 4 * clock.Second
	// firstReadTimeout is how long an instance waits for the first read before it posts
	// itself. It reads first because its own post replaces that of its previous process.
	firstReadTimeout = 500 * clock.Millis(1)
	// postTimeout is the timeout of a heartbeat post.
	postTimeout = 2 * clock.Second
	// Peers includes other availability zones if the monotonic time in milliseconds is a
	// multiple of allZonesInterval, in case all peers in this zone share a failure.
	allZonesInterval = 4
	postJitter       = 0.25
)

// Scope tells which instances read a post.
type Scope int

// Scopes.
const (
	// ZoneScope holds the members of this instance's availability zone.
	ZoneScope Scope = iota
	// FleetScope holds the followers of all zones, and members that followed before.
	FleetScope
	scopes
)

// Board stores the members; the newest post of each in a scope counts.
type Board interface {
	// Post stores the state of a member.
	Post(ctx context.Context, scope Scope, member elect.Member) error
}

// Roster is this instance's copy of the membership list. Set the exported fields, then call
// Setup before Run. mu guards the unexported fields except the channels.
type Roster struct {
	// Self is this instance as posted; the roster sets the fields that change.
	Self  elect.Member
	Board Board
	// HoldsList reports whether this instance has the whole list of servers; it may be nil.
	HoldsList func() bool
	Clock     *clock.Clock
	Log       zerolog.Logger

	mu     sync.Mutex
	scopes [scopes]scope
	// members are those of all scopes, by the name that all processes of an instance share.
	members map[string]listedMember
	// restarted is true if a previous process of this instance was listed.
	restarted bool
	follows   bool
	leaving   bool
	// elected is closed when this instance starts to follow the ledger.
	elected chan struct{}
	// postNow ends the wait for the next post.
	postNow chan struct{}
	// membersSet is closed when members of all scopes were set.
	membersSet chan struct{}
}

// scope is what was read of one scope.
type scope struct {
	// members is nil until they were set.
	members map[string]listedMember
	// everCurrent is set by the first MarkCurrent. firstCurrent and lastCurrent are the
	// times of the first and the last one.
	everCurrent  bool
	firstCurrent clock.Millis
	lastCurrent  clock.Millis
}

// listedMember is a member with the offset of its last post.
type listedMember struct {
	elect.Member
	offset ident.Offset
}

// Posted is a member as read from the board, with the offset of its post in the log.
type Posted struct {
	elect.Member
	Offset ident.Offset
}

// Setup initialises the roster. It must be called before any other method.
func (r *Roster) Setup() {
	r.elected = make(chan struct{})
	r.postNow = make(chan struct{}, 1)
	r.membersSet = make(chan struct{})
}

// Run posts this instance periodically and evaluates whether it should follow the ledger,
// until ctx is done.
func (r *Roster) Run(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-r.membersSet:
	case <-r.Clock.After(firstReadTimeout):
	}
	elected := r.elected
	for ctx.Err() == nil {
		if r.isElected() {
			elected = nil
		}
		r.post(ctx)
		r.waitForNextPost(ctx, elected)
	}
}

// waitForNextPost waits until the next post is due or elected is closed, and calls tryElect
// meanwhile. The period may change during the wait. Up to postJitter of it is left out at
// random, so that instances that started together do not go on posting together.
func (r *Roster) waitForNextPost(ctx context.Context, elected <-chan struct{}) {
	postedAt := r.Clock.Mono()
	share := 1 - postJitter*rand.Float64()
	for r.Clock.Mono() < postedAt+clock.Millis(share*float64(r.self().HeartbeatPeriod())) {
		select {
		case <-ctx.Done():
			return
		case <-elected:
			return
		case <-r.postNow:
			return
		case <-r.Clock.After(electionPeriod):
			r.tryElect()
		}
	}
}

func (r *Roster) isElected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follows
}

// tryElect makes this instance a follower if it is chosen, and reports whether it became
// one in this call. An instance follows until it ends, because changing back and forth
// costs more than an extra reader.
func (r *Roster) tryElect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Mono()
	if r.follows || r.leaving || !r.everCurrent() || now-r.lastCurrent() > maxReadGap {
		return false
	}
	if !r.restarted && r.lastCurrent()-r.firstCurrent() < settleTime {
		return false
	}
	if !elect.ShouldFollow(r.Self, r.list(), r.lastCurrent()) {
		return false
	}
	r.follows = true
	close(r.elected)
	r.Log.Info().Int("Members", len(r.members)).Int64("AgeMillis", int64(now-r.lastCurrent())).Bool("Again", r.restarted).Msg("elected to follow the ledger")
	return true
}

// everCurrent reports whether all scopes have been current. The caller must hold mu, as for
// firstCurrent and lastCurrent.
func (r *Roster) everCurrent() bool {
	for _, s := range r.scopes {
		if !s.everCurrent {
			return false
		}
	}
	return true
}

// firstCurrent returns when all scopes had been current once.
func (r *Roster) firstCurrent() clock.Millis {
	first := r.scopes[ZoneScope].firstCurrent
	for _, s := range r.scopes {
		first = max(first, s.firstCurrent)
	}
	return first
}

// lastCurrent returns the last time at which no scope was behind.
func (r *Roster) lastCurrent() clock.Millis {
	last := r.scopes[ZoneScope].lastCurrent
	for _, s := range r.scopes {
		last = min(last, s.lastCurrent)
	}
	return last
}

// list returns the members. The caller must hold mu.
func (r *Roster) list() []elect.Member {
	all := make([]elect.Member, 0, len(r.members))
	for _, m := range r.members {
		all = append(all, m.Member)
	}
	return all
}

// zoneMembers returns the number of live members of this instance's availability zone, itself
// included. The caller must hold mu.
func (r *Roster) zoneMembers() int {
	n := 1
	for name, m := range r.members {
		if name != r.Self.Name.ListName() && m.Zone == r.Self.Zone && m.Alive(r.lastCurrent()) {
			n++
		}
	}
	return n
}

// self returns this instance with its current state.
func (r *Roster) self() elect.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.Self
	self.Follows, self.Leaving, self.ZoneMembers = r.follows, r.leaving, r.zoneMembers()
	self.HoldsList = r.follows && r.HoldsList != nil && r.HoldsList()
	if !r.follows {
		self.Period = elect.PeriodOf(elect.Preceding(self, r.list(), r.lastCurrent()), self.ZoneMembers)
	}
	return self
}

func (r *Roster) post(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, postTimeout.Duration())
	defer cancel()
	if err := r.postSelf(ctx); err != nil {
		r.Log.Warn().Err(err).Msg("could not post this instance on the roster")
	}
}

// postSelf posts this instance to the whole fleet if it follows, or if a previous process of
// it did and is listed there, else to its availability zone.
func (r *Roster) postSelf(ctx context.Context) error {
	self := r.self()
	r.mu.Lock()
	_, listed := r.scopes[FleetScope].members[self.Name.ListName()]
	r.mu.Unlock()
	if self.Follows || listed {
		return r.Board.Post(ctx, FleetScope, self)
	}
	return r.Board.Post(ctx, ZoneScope, self)
}

// Leave announces that this instance is about to stop.
func (r *Roster) Leave(ctx context.Context) error {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	return r.postSelf(ctx)
}

// MarkCurrent records that a scope was current at the given time. If it could not be read
// for longer than maxReadGap, that time does not count towards the age of its members.
func (r *Roster) MarkCurrent(of Scope, now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.scopes[of]
	if gap := now - s.lastCurrent; s.everCurrent && gap > maxReadGap {
		for name, m := range s.members {
			m.LastHeartbeat += gap
			s.members[name] = m
		}
		r.merge()
	}
	if !s.everCurrent {
		s.everCurrent, s.firstCurrent = true, now
	}
	s.lastCurrent = now
}

// SetMembers replaces the members of a scope with those that were read, and evaluates whether
// to follow.
func (r *Roster) SetMembers(of Scope, posted []Posted) {
	whole := r.replaceMembers(of, posted)
	r.tryElect()
	if whole {
		close(r.membersSet)
	}
}

// replaceMembers sets the members of a scope and reports whether this made the roster whole
// for the first time. A member with an unchanged post keeps its LastHeartbeat.
func (r *Roster) replaceMembers(of Scope, posted []Posted) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Mono()
	wasWhole := r.whole()
	old := r.scopes[of].members
	fresh := make(map[string]listedMember, len(posted))
	for _, p := range posted {
		name := p.Name.ListName()
		m := listedMember{Member: p.Member, offset: p.Offset}
		m.LastHeartbeat = now
		if before, known := old[name]; known && before.offset == p.Offset {
			m.LastHeartbeat = before.LastHeartbeat
		}
		fresh[name] = m
		if p.Name != r.Self.Name && name == r.Self.Name.ListName() {
			r.restarted = true
			if before := old[name]; before.Name == r.Self.Name {
				// The post of a start that has ended was written late and replaces this one's.
				r.Announce()
			}
		}
	}
	r.scopes[of].members = fresh
	r.merge()
	return r.whole() && !wasWhole
}

// whole reports whether the members of all scopes were set. The caller must hold mu.
func (r *Roster) whole() bool {
	for _, s := range r.scopes {
		if s.members == nil {
			return false
		}
	}
	return true
}

// merge joins the scopes. A member that is listed in both posts itself to the fleet only. The
// caller must hold mu.
func (r *Roster) merge() {
	r.members = make(map[string]listedMember, len(r.scopes[ZoneScope].members)+len(r.scopes[FleetScope].members))
	for _, of := range []Scope{ZoneScope, FleetScope} {
		for name, m := range r.scopes[of].members {
			r.members[name] = m
		}
	}
}

// Announce posts this instance soon, because its state has changed. It does not block.
func (r *Roster) Announce() {
	select {
	case r.postNow <- struct{}{}:
	default:
	}
}

// Elected returns a channel that is closed when this instance starts to follow the ledger.
func (r *Roster) Elected() <-chan struct{} { return r.elected }
