// Package roster keeps what the instances know of each other apart from the
// ledger: who exists, where, and who follows the ledger. Every instance reads it,
// and it holds little; see kernel/elect for who follows.
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
	// settleTime is how long after the roster was first read an instance waits
	// before it may follow, unless an earlier life of it is listed: when all start for
	// the first time, the others are not listed yet.
	settleTime = 400 * clock.Millis(1)
	// electionPeriod is the pause between two judgements of whether to follow.
	electionPeriod = 500 * clock.Millis(1)
	// maxReadGap is the silence of the log beyond which it ages nobody.
	maxReadGap = 4 * clock.Second
	// firstReadTimeout is how long an instance waits to have read the roster before it posts
	// itself: its earlier life's post says whether it followed, and stays until then.
	firstReadTimeout = 500 * clock.Millis(1)
	// postTimeout bounds the writing of a sign of life.
	postTimeout = 2 * clock.Second
	// allZonesInterval asks an instance of another availability zone now and then, for
	// the case that the whole zone is in the same trouble.
	allZonesInterval = 4
	// maxPostShare is the part of the log's writes that all signs of life may take.
	maxPostShare = 0.05
)

// Board is where members are posted; the newest post of each counts.
type Board interface {
	Post(ctx context.Context, member elect.Member) error
}

// Roster is this instance's copy. Set the exported fields before Run. The rest is
// guarded by mu.
type Roster struct {
	// Self is this instance as it is posted.
	Self  elect.Member
	Board Board
	Clock *clock.Clock
	Log   zerolog.Logger
	// WritesPerSecond is what the log serves to all instances together.
	WritesPerSecond int

	mu      sync.Mutex
	members map[ident.InstanceName]listedMember
	// hasRead tells that the roster has been read; first and last are when it was first
	// and last known to be current.
	hasRead bool
	firstRead clock.Millis
	// restarted tells that an earlier life of this instance was listed.
	restarted   bool
	lastRead    clock.Millis
	follows bool
	leaving bool
	elected chan struct{}
	// read is closed when the roster has been read.
	read chan struct{}
}

// listedMember is a member with the offset of its last post.
type listedMember struct {
	elect.Member
	offset ident.Offset
}

// Posted is a member as it was read, with the offset of its post.
type Posted struct {
	elect.Member
	Offset ident.Offset
}

// Setup makes the roster usable; it is called before Run.
func (r *Roster) Setup() {
	r.elected = make(chan struct{})
	r.read = make(chan struct{})
}

// Run posts this instance and judges whether it should follow, until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-r.read:
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

// waitForNextPost waits until the next post is due, or this instance is elected.
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

// tryElect decides whether to follow, once, and tells whether that was now. An
// instance follows until it ends: going back and forth would cost more than one
// reader too many.
func (r *Roster) tryElect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Mono()
	if r.follows || r.leaving || !r.hasRead || now-r.lastRead > maxReadGap {
		return false
	}
	if !r.restarted && now-r.firstRead < settleTime {
		return false
	}
	if !elect.Chosen(r.Self, r.list(), r.lastRead) {
		return false
	}
	r.follows = true
	close(r.elected)
	r.Log.Info().Int("Members", len(r.members)).Int64("AgeMillis", int64(now-r.lastRead)).Bool("Again", r.restarted).Msg("follows the ledger")
	return true
}

// list returns the members; mu is held.
func (r *Roster) list() []elect.Member {
	all := make([]elect.Member, 0, len(r.members))
	for _, m := range r.members {
		all = append(all, m.Member)
	}
	return all
}

// period returns the pause between two posts.
func (r *Roster) period() clock.Millis {
	self := r.self()
	r.mu.Lock()
	defer r.mu.Unlock()
	minPeriod := clock.Millis(float64(len(r.members)) * float64(clock.Second) / max(float64(r.WritesPerSecond)*maxPostShare, 1))
	if self.Follows {
		return self.Period()
	}
	return max(self.Period(), minPeriod)
}

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
		r.Log.Warn().Err(err).Msg("not posted on the roster")
	}
}

// Leave tells the others that this instance is about to end.
func (r *Roster) Leave(ctx context.Context) error {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	return r.Board.Post(ctx, r.self())
}

// MarkCurrent notes that the roster is known to be current until a time. Time in which it
// could not be read ages nobody.
func (r *Roster) MarkCurrent(now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if gap := now - r.lastRead; r.hasRead && gap > maxReadGap {
		for name, m := range r.members {
			m.Heard += gap
			r.members[name] = m
		}
	}
	if !r.hasRead {
		r.hasRead, r.firstRead = true, now
	}
	r.lastRead = now
}

// SetMembers replaces the members by those that were read, and judges anew.
func (r *Roster) SetMembers(posted []Posted) {
	first := r.replaceMembers(posted)
	r.tryElect()
	if first {
		close(r.read)
	}
}

// replaceMembers returns true the first time.
func (r *Roster) replaceMembers(posted []Posted) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Mono()
	fresh := make(map[ident.InstanceName]listedMember, len(posted))
	for _, p := range posted {
		m := listedMember{Member: p.Member, offset: p.Offset}
		m.Heard = now
		if old, known := r.members[p.Name]; known && old.offset == p.Offset {
			m.Heard = old.Heard
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

// Elected is closed when this instance is to follow the ledger.
func (r *Roster) Elected() <-chan struct{} { return r.elected }

// Age returns how long ago the roster was last known to be current; ok is false
// if it has never been.
func (r *Roster) Age() (age clock.Millis, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Clock.Mono() - r.lastRead, r.hasRead
}

// Followers returns the other instances that follow the ledger: those of this
// availability zone first, each part in the order in which they look after a key.
func (r *Roster) Followers(key string) []elect.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near, far []views.Member
	for _, m := range r.members {
		switch {
		case !m.Follows || !m.Alive(r.lastRead) || m.Name.ListName() == r.Self.Name.ListName():
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

// Peers returns the addresses of the other living instances, mostly those of this
// instance's availability zone only, if it has some. While nothing can be read, the
// last known ones stay.
func (r *Roster) Peers() []ident.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	near, all := r.livingAddresses()
	if len(near) > 0 && r.Clock.Mono()%allZonesInterval != 0 {
		return near
	}
	return all
}

// AllPeers returns the addresses of the other living instances.
func (r *Roster) AllPeers() []ident.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, all := r.livingAddresses()
	return all
}

// livingAddresses returns the addresses of the other livingAddresses instances, and of those of them in
// this instance's availability zone; mu is held.
func (r *Roster) livingAddresses() (near, all []ident.Address) {
	for _, m := range r.members {
		if m.Name.ListName() == r.Self.Name.ListName() || !m.Alive(r.lastRead) {
			continue
		}
		all = append(all, m.Address)
		if m.Zone == r.Self.Zone {
			near = append(near, m.Address)
		}
	}
	return near, all
}
