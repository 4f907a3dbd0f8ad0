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
	// settleTerm is how long after the roster was first read an instance waits
	// before it may follow, unless an earlier life of it is listed: when all start for
	// the first time, the others are not listed yet.
	settleTerm = 400 * clock.Millis(1)
	// judgePeriod is the pause between two judgements of whether to follow.
	judgePeriod = 500 * clock.Millis(1)
	// awayTerm is the silence of the log beyond which it ages nobody.
	awayTerm = 4 * clock.Second
	// firstTerm is how long an instance waits to have read the roster before it posts
	// itself: its earlier life's post says whether it followed, and stays until then.
	firstTerm = 500 * clock.Millis(1)
	// postTerm bounds the writing of a sign of life.
	postTerm = 2 * clock.Second
	// nearShare asks an instance of another availability zone now and then, for
	// the case that the whole zone is in the same trouble.
	nearShare = 4
	// postShare is the part of the log's writes that all signs of life may take.
	postShare = 0.05
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
	members map[ident.InstanceName]seen
	// began tells that the roster has been read; first and last are when it was first
	// and last known to be current.
	began bool
	first clock.Millis
	// again tells that an earlier life of this instance was listed.
	again   bool
	last    clock.Millis
	follows bool
	leaving bool
	elected chan struct{}
	// read is closed when the roster has been read.
	read chan struct{}
}

// seen is a member with the offset of its last post.
type seen struct {
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
	case <-r.Clock.After(firstTerm):
	}
	elected := r.elected
	for ctx.Err() == nil {
		if r.isElected() {
			elected = nil
		}
		r.post(ctx)
		r.rest(ctx, elected)
	}
}

// rest waits until the next post is due, or this instance is elected.
func (r *Roster) rest(ctx context.Context, elected <-chan struct{}) {
	for next := r.Clock.Mono() + r.period(); r.Clock.Mono() < next; {
		select {
		case <-ctx.Done():
			return
		case <-elected:
			return
		case <-r.Clock.After(judgePeriod):
			r.judge()
		}
	}
}

func (r *Roster) isElected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follows
}

// judge decides whether to follow, once, and tells whether that was now. An
// instance follows until it ends: going back and forth would cost more than one
// reader too many.
func (r *Roster) judge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Mono()
	if r.follows || r.leaving || !r.began || now-r.last > awayTerm {
		return false
	}
	if !r.again && now-r.first < settleTerm {
		return false
	}
	if !elect.ShouldFollow(r.Self, r.list(), r.last) {
		return false
	}
	r.follows = true
	close(r.elected)
	r.Log.Info().Int("Members", len(r.members)).Int64("AgeMillis", int64(now-r.last)).Bool("Again", r.again).Msg("follows the ledger")
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
	share := clock.Millis(float64(len(r.members)) * float64(clock.Second) / max(float64(r.WritesPerSecond)*postShare, 1))
	if self.Follows {
		return self.HeartbeatPeriod()
	}
	return max(self.HeartbeatPeriod(), share)
}

func (r *Roster) self() elect.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.Self
	self.Follows, self.Leaving = r.follows, r.leaving
	return self
}

func (r *Roster) post(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, postTerm.Duration())
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

// Heard notes that the roster is known to be current until a time. Time in which it
// could not be read ages nobody.
func (r *Roster) Heard(now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if gap := now - r.last; r.began && gap > awayTerm {
		for name, m := range r.members {
			m.LastHeartbeat += gap
			r.members[name] = m
		}
	}
	if !r.began {
		r.began, r.first = true, now
	}
	r.last = now
}

// Take replaces the members by those that were read, and judges anew.
func (r *Roster) Take(posted []Posted) {
	first := r.take(posted)
	r.judge()
	if first {
		close(r.read)
	}
}

// take returns true the first time.
func (r *Roster) take(posted []Posted) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Mono()
	fresh := make(map[ident.InstanceName]seen, len(posted))
	for _, p := range posted {
		m := seen{Member: p.Member, offset: p.Offset}
		m.LastHeartbeat = now
		if old, known := r.members[p.Name]; known && old.offset == p.Offset {
			m.LastHeartbeat = old.LastHeartbeat
		}
		fresh[p.Name] = m
		if p.Name != r.Self.Name && p.Name.ListName() == r.Self.Name.ListName() {
			r.again = true
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
	return r.Clock.Mono() - r.last, r.began
}

// Followers returns the other instances that follow the ledger: those of this
// availability zone first, each part in the order in which they look after a key.
func (r *Roster) Followers(key string) []elect.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near, far []views.Member
	for _, m := range r.members {
		switch {
		case !m.Follows || !m.Alive(r.last) || m.Name.ListName() == r.Self.Name.ListName():
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
	near, all := r.living()
	if len(near) > 0 && r.Clock.Mono()%nearShare != 0 {
		return near
	}
	return all
}

// All returns the addresses of the other living instances.
func (r *Roster) All() []ident.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, all := r.living()
	return all
}

// living returns the addresses of the other living instances, and of those of them in
// this instance's availability zone; mu is held.
func (r *Roster) living() (near, all []ident.Address) {
	for _, m := range r.members {
		if m.Name.ListName() == r.Self.Name.ListName() || !m.Alive(r.last) {
			continue
		}
		all = append(all, m.Address)
		if m.Zone == r.Self.Zone {
			near = append(near, m.Address)
		}
	}
	return near, all
}
