// Package lease has one instance at a time hold a role. A role is taken by a record
// of the ledger that names the hold which it replaces; the record's offset is the
// fencing number, so that no two holders ever have the same one and later holders
// have higher ones. A hold stands while the holder's signs of life are acknowledged, and its
// heartbeats tell of it to those that start after the log has dropped its record.
package lease

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/toggle"
	"croftmoor.dev/kernel/trail"
	"croftmoor.dev/kernel/views"
)

// Ledger is the shared state as this package uses it.
type Ledger interface {
	View(look func(*jobs.State))
	Append(ctx context.Context, records ...jobs.Record) (ident.Offset, error)
	Await(ctx context.Context, next ident.Offset) error
	// Heard is how long ago this instance's last acknowledged sign of life was sent.
	Heard() clock.Millis
	// Since is the time since which a member must have been heard to count as alive.
	Since() clock.Millis
	// Gap reports whether the log has dropped records before they were read here, and when that
	// was last found. It is called within View only.
	Gap() (at clock.Millis, found bool)
}

// Decisions takes a line for each decision.
type Decisions interface {
	Add(d trail.Decision)
}

const (
	// holdTerm is how long after its last acknowledged sign of life a holder may
	// still act; it is a second below the silence after which another takes the role.
	holdTerm   = 1500 * clock.Millis(1)
	appendTerm = 1500 * clock.Millis(1)
	// turnTerm is how long an instance leaves a vacant role to each of those that
	// come before it: one that has just died or is cut off still counts as alive.
	// Of several that take the role at once the ledger's order decides.
	turnTerm = 300 * clock.Millis(1)
	// unknownTerm is how long a role of which nothing was read is left alone after records were
	// found missing: a holder that lives has told of it by then.
	unknownTerm = 3 * clock.Second
)

// Lease is this instance's part in one role. Set the exported fields before use; Hold
// is called from one goroutine.
type Lease struct {
	Role   string
	Self   ident.InstanceName
	Ledger Ledger
	Clock  *clock.Clock
	Trail  Decisions
	// Term is the least time between the acts of two holders; 0 waits for nothing,
	// where what is acted on keeps such terms itself.
	Term clock.Millis
	// Without are the mechanisms that are switched off.
	Without toggle.Set

	// vacant tells that the role is seen to have no holder, since vacantAt.
	vacant   bool
	vacantAt clock.Millis
	// from is when this instance may first act under any of its holds. A hold whose append
	// was given up may take effect all the same, with an offset that was never told.
	from clock.Millis
	// refused is a fencing number that has been refused for a higher one.
	refused ident.Fence
}

// state is what one look at the ledger tells of the role.
type state struct {
	holding jobs.RoleHolder
	// vacant tells that nobody who lives holds it.
	vacant bool
	turn   int
	// heard is when the holder was last heard.
	heard clock.Millis
}

// Hold returns the fencing number if this instance holds the role and may act. It
// takes the role if its holder is gone and this instance is the one to follow.
func (l *Lease) Hold(ctx context.Context) (ident.Fence, bool) {
	now := l.Clock.Mono()
	s := l.look()
	switch {
	case !s.vacant && s.holding.By != l.Self:
		l.vacant = false
		return 0, false
	case s.holding.By == l.Self && s.holding.Fence != l.refused:
		l.vacant = false
		return s.holding.Fence, now >= l.from && l.Ledger.Heard() < holdTerm
	case s.holding.By == l.Self:
		l.take(ctx, s)
		return 0, false
	}
	if !l.vacant {
		l.vacant, l.vacantAt = true, now
	}
	if s.turn >= 0 && now-l.vacantAt >= clock.Millis(s.turn)*turnTerm {
		l.take(ctx, s)
	}
	return 0, false
}

func (l *Lease) look() state {
	var s state
	l.Ledger.View(func(b *jobs.State) {
		s.holding = b.RoleHolders[l.Role]
		since := l.Ledger.Since()
		holder := b.Members[s.holding.By]
		s.vacant = !l.unknown(s.holding) && (!b.Alive(s.holding.By, since) || holder.Leaving)
		if holder != nil {
			s.heard = holder.LastHeard
		}
		last := s.holding.By
		if !l.Without.Enabled(toggle.Succession) {
			last = ""
		}
		s.turn = turnOf(l.Role, l.Self, last, b.Live(since))
	})
	return s
}

// unknown tells that the role may have a holder whose record the log has dropped. It is called
// within View.
func (l *Lease) unknown(holding jobs.RoleHolder) bool {
	at, missing := l.Ledger.Gap()
	return holding.Fence == 0 && missing && l.Clock.Mono()-at < unknownTerm
}

// take writes a hold of this instance that replaces the one that was seen.
func (l *Lease) take(ctx context.Context, s state) {
	callCtx, cancel := context.WithTimeout(ctx, appendTerm.Duration())
	defer cancel()
	offset, err := l.Ledger.Append(callCtx, jobs.Hold{Role: l.Role, By: l.Self, Replaces: ident.Offset(s.holding.Fence)})
	if err == nil {
		err = l.Ledger.Await(callCtx, offset+1)
	}
	reason := fmt.Sprintf("after %s with fence %d, offset %d", s.holding.By, s.holding.Fence, offset)
	if err != nil {
		reason += ": " + err.Error()
	}
	l.from = max(l.from, l.actFrom(s))
	l.Trail.Add(trail.Decision{ID: l.Role, Action: trail.Grant, Choice: string(l.Self), Reason: reason})
}

// actFrom returns when this instance may act after the holder that was seen: not
// before that one can have acted for the last time a term ago. Earlier lives of this
// instance have ended, and count as itself.
func (l *Lease) actFrom(s state) clock.Millis {
	if s.holding.Fence == 0 || s.holding.By.ListName() == l.Self.ListName() || l.Term == 0 {
		return 0
	}
	return s.heard + holdTerm + l.Term
}

// Holds tells whether a fencing number that Hold returned still stands.
func (l *Lease) Holds(fence ident.Fence) bool { return l.left(fence) > 0 }

// left returns how long the hold with a fencing number stands without a further sign of life.
func (l *Lease) left(fence ident.Fence) clock.Millis {
	held := false
	l.Ledger.View(func(b *jobs.State) {
		h := b.RoleHolders[l.Role]
		held = h.By == l.Self && h.Fence == fence
	})
	if !held {
		return 0
	}
	return holdTerm - l.Ledger.Heard()
}

// Act returns a context for one act under a fencing number, which takes at most limit and
// ends with the hold: the next holder counts Term from then. It returns false if the number
// no longer stands.
func (l *Lease) Act(ctx context.Context, fence ident.Fence, limit clock.Millis) (context.Context, context.CancelFunc, bool) {
	left := l.left(fence)
	ctx, cancel := context.WithTimeout(ctx, min(limit, left).Duration())
	return ctx, cancel, left > 0
}

// Refused notes that a higher fencing number has been seen: nothing more is done
// under this one, and the role is taken anew.
func (l *Lease) Refused(fence ident.Fence) { l.refused = fence }

// turnOf returns how many members come before this instance in holding a role;
// -1 if it is none of them. A new life of the last holder comes first: it need not
// wait for the term of its own acts.
func turnOf(role string, self, last ident.InstanceName, live []jobs.Member) int {
	members := make([]views.Member, 0, len(live))
	for _, m := range live {
		members = append(members, views.Member{Name: m.Name, Zone: m.Zone})
	}
	ranked := views.Rank(role, members)
	slices.SortStableFunc(ranked, func(a, b views.Member) int {
		return cmp.Compare(follows(a.Name, last), follows(b.Name, last))
	})
	return slices.IndexFunc(ranked, func(m views.Member) bool { return m.Name == self })
}

// follows orders the members that may hold a role: 0 for a new life of the last
// holder, else 1.
func follows(name, last ident.InstanceName) int {
	if name.ListName() == last.ListName() {
		return 0
	}
	return 1
}
