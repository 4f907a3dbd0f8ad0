package batch

import (
	"fmt"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/deal"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/trail"
	"croftmoor.dev/kernel/views"
)

// One instance, the dealer, claims the items of a service on behalf of those that act
// for its engines. All instances compute the same deal, but each from the ledger as
// far as it has read it: when each claimed its own part, items were claimed 1.3 to 2.1
// times with 13 instances and 7.4 times with 84, and ran at the engine of whoever
// came first, not at the best one.
//
// The dealer is the first of the living followers by rendezvous hashing. It holds no
// lease: of two claims of an item the first in the ledger counts, so two dealers
// waste records and break nothing. While it is silent each instance places items at
// its own engines, and after QuietSince another one deals.

// idleBeforeOwnShare is how long an engine may have room for an item that waits before the
// instance that acts for it no longer leaves it to the dealer: the dealer's record
// takes some 50 ms to come, and a slot that rests costs a step less than items that
// race.
const idleBeforeOwnShare = 400 * clock.Millis(1)

// idleCheckPeriod is the pause between two looks at own engines that may have rested: a deal
// of its own after each batch of records, up to 60 a second, took an instance 1 to 4 ms
// with 300 engines and 1,000 items that wait (measured on this function).
const idleCheckPeriod = 100 * clock.Millis(1)

// idleBeforeAnyItem is how long an engine may have rested before its instance takes any item
// rather than those that fall to it by rendezvous hashing: without a dealer all
// instances would claim the same longest item, one of them with success, and again
// for the next one.
const idleBeforeAnyItem = 1200 * clock.Millis(1)

// dealer returns the instance that deals for a service; mu is held, and the actors
// have been worked out.
func (r *Runner) dealer(service ident.Service) ident.InstanceName {
	if r.actors.dealers == nil {
		r.actors.dealers = map[ident.Service]ident.InstanceName{}
	}
	if dealer, known := r.actors.dealers[service]; known {
		return dealer
	}
	members := make([]views.Member, 0, len(r.actors.live))
	for name, zone := range r.actors.live {
		members = append(members, views.Member{Name: name, Zone: zone})
	}
	dealer, _ := views.First("deal "+string(service), members)
	r.actors.dealers[service] = dealer.Name
	return dealer.Name
}

// planClaims returns the claims that this instance should make now.
func (r *Runner) planClaims() []jobs.Claim {
	table := r.Routes()
	if table == nil {
		return nil
	}
	var claims []jobs.Claim
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ledger.View(func(b *jobs.State) {
		s := r.snapshot(b, table, r.Ledger.QuietSince())
		if s == nil {
			clear(r.idleSince)
			return
		}
		dealtHere := func(e deal.Engine) bool { return r.dealer(s.services[e.Name]) == r.Self }
		if s.hasRoom(dealtHere, overbook) {
			s.addItems()
			claims = r.newClaims(s, deal.Assign(s.items, s.enginesWhere(dealtHere), overbook, s.allowed))
		}
		own := func(e deal.Engine) bool { return s.actor[e.Name] == r.Self && !dealtHere(e) }
		if s.now < r.lastIdleCheck+idleCheckPeriod {
			return
		}
		r.lastIdleCheck = s.now
		if s.hasRoom(own, 0) {
			s.addItems()
			claims = append(claims, r.claimsForIdleEngines(s, own)...)
		} else {
			clear(r.idleSince)
		}
	})
	return claims
}

// claimsForIdleEngines returns claims for engines that this instance acts for and that have had
// room for long without the dealer giving them an item.
func (r *Runner) claimsForIdleEngines(s *snapshot, own func(deal.Engine) bool) []jobs.Claim {
	idle := map[ident.BackendName]clock.Millis{}
	longest := clock.Millis(0)
	for _, d := range deal.Assign(s.items, s.enginesWhere(own), 0, s.allowed) {
		since, known := r.idleSince[d.Engine]
		if !known {
			since = s.now
		}
		idle[d.Engine] = since
		longest = max(longest, s.now-since)
	}
	r.idleSince = idle
	if longest <= idleBeforeOwnShare {
		return nil
	}
	idleLong := func(e deal.Engine) bool {
		since, known := idle[e.Name]
		return known && s.now-since > idleBeforeOwnShare
	}
	items := s.items
	if longest <= idleBeforeAnyItem {
		items = r.ownItems(s)
	}
	return r.newClaims(s, deal.Assign(items, s.enginesWhere(idleLong), 0, s.allowed))
}

// newClaims turns a deal into newClaims, one for each job and engine, and leaves out what
// this instance has claimed already.
func (r *Runner) newClaims(s *snapshot, deals []deal.Assignment) []jobs.Claim {
	type target struct {
		job    ident.Job
		engine ident.BackendName
	}
	indexes := map[target]int{}
	var claims []jobs.Claim
	for _, d := range deals {
		if r.pending[jobs.ItemKey{Job: d.Item.Job, Index: d.Item.Target.Index}] {
			continue
		}
		key := target{job: d.Item.Job, engine: d.Engine}
		n, ok := indexes[key]
		if !ok {
			n = len(claims)
			indexes[key] = n
			claims = append(claims, jobs.Claim{Job: d.Item.Job, By: s.actor[d.Engine], Engine: d.Engine, Dealer: r.Self})
		}
		claims[n].Targets = append(claims[n].Targets, d.Item.Target)
		r.Trail.Add(trail.Decision{
			ID: string(s.item(d.Item).ID), Action: trail.Place, Choice: string(d.Engine),
			Reason: fmt.Sprintf("job %s, expects %d tokens, %s, load %d, run by %s, ledger %d",
				d.Item.Job, d.Item.Expect, d.Item.Rank, s.state.Loads[d.Engine].Items, s.actor[d.Engine], s.state.Next),
		})
	}
	return claims
}
