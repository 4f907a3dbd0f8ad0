// Package roster maintains the membership list of the instances: which ones exist, their
// addresses, and which ones follow the ledger. All instances read it, including those that
// do not follow the ledger. Package elect selects the followers.
package roster

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/elect"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/views"
)

const (
	// settleTime is how long an instance waits after its first read before it may
	// follow, because instances that start at the same time may not be listed yet. An
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
	// maxPostShare is the share of the log's write rate that heartbeats of all instances
	// may use together.
	maxPostShare = 0.05
)

// Board stores the members; the newest post of each counts.
type Board interface {
	// Post stores the state of a member.
	Post(ctx context.Context, member elect.Member) error
}

// Roster is this instance's copy of the membership list. Set the exported fields, then call
// Setup before Run. mu guards the unexported fields except the channels.
type Roster struct {
	// Self is this instance as posted; the roster sets Follows and Leaving.
	Self  elect.Member
	Board Board
	Clock *clock.Clock
	Log   zerolog.Logger
	// WritesPerSecond is the log's write limit for all instances together.
	WritesPerSecond int

	mu      sync.Mutex
	members map[ident.InstanceName]listedMember
	// everCurrent is set by the first MarkCurrent. firstCurrent and lastCurrent are the
	// times of the first and the last one.
	everCurrent  bool
	firstCurrent clock.Millis
	// restarted is true if a previous process of this instance was listed.
	restarted   bool
	lastCurrent clock.Millis
	follows     bool
	leaving     bool
	// elected is closed when this instance starts to follow the ledger.
	elected chan struct{}
	// membersSet is closed by the first SetMembers.
	membersSet chan struct{}
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
// meanwhile.
func (r *Roster) waitForNextPost(ctx context.Context, elected <-chan struct{}) {
	for next := r.Clock.Mono() + r.period(); r.Clock.Mono() < next; {
		select {
		case <-ctx.Done():
			return
		case <-elected:
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
	if r.follows || r.leaving || !r.everCurrent || now-r.lastCurrent > maxReadGap {
		return false
	}
	if !r.restarted && now-r.firstCurrent < settleTime {
		return false
	}
	if !elect.ShouldFollow(r.Self, r.list(), r.lastCurrent) {
		return false
	}
	r.follows = true
	close(r.elected)
	r.Log.Info().Int("Members", len(r.members)).Int64("AgeMillis", int64(now-r.lastCurrent)).Bool("Again", r.restarted).Msg("elected to follow the ledger")
	return true
}

// list returns the members. The caller must hold mu.
func (r *Roster) list() []elect.Member {
	all := make([]elect.Member, 0, len(r.members))
	for _, m := range r.members {
		all = append(all, m.Member)
	}
	return all
}

// period returns the interval between two posts. For instances that do not follow, it
// grows with the number of members to respect maxPostShare.
func (r *Roster) period() clock.Millis {
	self := r.self()
	r.mu.Lock()
	defer r.mu.Unlock()
	minPeriod := clock.Millis(float64(len(r.members)) * float64(clock.Second) / max(float64(r.WritesPerSecond)*maxPostShare, 1))
	if self.Follows {
		return self.HeartbeatPeriod()
	}
	return max(self.HeartbeatPeriod(), minPeriod)
}

// self returns this instance with its current state.
func (r *Roster) self() elect.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.Self
	self.Follows, self.Leaving = r.follows, r.leaving
	return self
}

func (r *Roster) post(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, postTimeout.Duration())
	defer cancel()
	if err := r.Board.Post(ctx, r.self()); err != nil {
		r.Log.Warn().Err(err).Msg("could not post this instance on the roster")
	}
}

// Leave announces that this instance is about to stop.
func (r *Roster) Leave(ctx context.Context) error {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	return r.Board.Post(ctx, r.self())
}

// MarkCurrent records that the roster was current at the given time. If it could not be read
// for longer than maxReadGap, that time does not count towards the age of the members.
func (r *Roster) MarkCurrent(now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if gap := now - r.lastCurrent; r.everCurrent && gap > maxReadGap {
		for name, m := range r.members {
			m.LastHeartbeat += gap
			r.members[name] = m
		}
	}
	if !r.everCurrent {
		r.everCurrent, r.firstCurrent = true, now
	}
	r.lastCurrent = now
}

// SetMembers replaces the members with those that were read, and evaluates whether to
// follow.
func (r *Roster) SetMembers(posted []Posted) {
	first := r.replaceMembers(posted)
	r.tryElect()
	if first {
		close(r.membersSet)
	}
}

// replaceMembers sets the members and reports whether this is the first time. A member with
// an unchanged post keeps its Heard time.
func (r *Roster) replaceMembers(posted []Posted) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Mono()
	fresh := make(map[ident.InstanceName]listedMember, len(posted))
	for _, p := range posted {
		m := listedMember{Member: p.Member, offset: p.Offset}
		m.LastHeartbeat = now
		if old, known := r.members[p.Name]; known && old.offset == p.Offset {
			m.LastHeartbeat = old.LastHeartbeat
		}
		fresh[p.Name] = m
		if p.Name != r.Self.Name && p.Name.ListName() == r.Self.Name.ListName() {
			r.restarted = true
		}
	}
	first := r.members == nil
	r.members = fresh
	return first
}

// Elected returns a channel that is closed when this instance starts to follow the ledger.
func (r *Roster) Elected() <-chan struct{} { return r.elected }

// Age returns the time since the roster was last known to be current; ok is false if it has
// not been read yet.
func (r *Roster) Age() (age clock.Millis, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Clock.Mono() - r.lastCurrent, r.everCurrent
}

// Followers returns the other live instances that follow the ledger: those of this
// availability zone first, each zone group in the rank order of the key (views.Rank).
func (r *Roster) Followers(key string) []elect.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near, far []views.Member
	for _, m := range r.members {
		switch {
		case !m.Follows || !m.Alive(r.lastCurrent) || m.Name.ListName() == r.Self.Name.ListName():
		case m.Zone == r.Self.Zone:
			near = append(near, views.Member{Name: m.Name, Zone: m.Zone})
		default:
			far = append(far, views.Member{Name: m.Name, Zone: m.Zone})
		}
	}
	ranked := append(views.Rank(key, near), views.Rank(key, far)...)
	followers := make([]elect.Member, 0, len(ranked))
	for _, m := range ranked {
		followers = append(followers, r.members[m.Name].Member)
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

// AllPeers returns the addresses of the other live instances in all availability zones.
func (r *Roster) AllPeers() []ident.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, all := r.livingAddresses()
	return all
}

// livingAddresses returns the addresses of the other live instances: near holds those in
// this availability zone, all those in every zone. The caller must hold mu.
func (r *Roster) livingAddresses() (near, all []ident.Address) {
	for _, m := range r.members {
		if m.Name.ListName() == r.Self.Name.ListName() || !m.Alive(r.lastCurrent) {
			continue
		}
		all = append(all, m.Address)
		if m.Zone == r.Self.Zone {
			near = append(near, m.Address)
		}
	}
	return near, all
}
