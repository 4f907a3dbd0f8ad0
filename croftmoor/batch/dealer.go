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

// One instance, the dealer, claims the items of a service on behalf of the instances that
// act for its engines. All instances could compute the same assignment, but each has read
// the ledger to a different offset: if each claimed its own part, items would be claimed
// several times and would not run at the best engine.
//
// The dealer is chosen among the live instances by rendezvous hashing and needs no lease:
// of two claims for an item the first in the ledger counts, so a second dealer only wastes
// records. If the dealer is silent, each instance claims items for its own idle engines,
// and once QuietSince is past the dealer's last heartbeat, another instance deals.

// idleBeforeOwnItems is how long an engine with room may get no item from the dealer before
// its actor claims an item for it. The actor then chooses among the items that ownItems
// returns. The dealer's claim usually arrives within some 50 ms, and an idle slot costs less than an
// item that several instances claim.
const idleBeforeOwnItems = 400 * clock.Millis(1)

// idleCheckPeriod is the least time between two checks for own idle engines. A check
// costs an assignment, which is too much after every batch of records: there are up to 60
// a second, and with 300 engines and 1,000 waiting items it takes 1 to 4 ms.
const idleCheckPeriod = 100 * clock.Millis(1)

// idleBeforeAnyItem is how long an engine with room may get no item before its actor
// chooses among all waiting items. It does not do so earlier because, without a dealer, all
// instances would claim the same longest item.
const idleBeforeAnyItem = 1200 * clock.Millis(1)

// dealer returns the instance that deals for a service. The caller holds mu and has
// refreshed r.actors.
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

// planClaims returns the claims that this instance should make now: as the dealer, and
// for its own engines that the dealer left idle.
func (r *Runner) planClaims() []jobs.Claim {
	table := r.Routes()
	if table == nil {
		return nil
	}
	var claims []jobs.Claim
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ledger.View(func(state *jobs.State) {
		s := r.takeSnapshot(state, table, r.Ledger.QuietSince())
		if s == nil {
			clear(r.idleSince)
			return
		}
		r.logStandstills(s)
		dealtHere := func(e deal.Engine) bool { return r.dealer(s.services[e.Name]) == r.Self }
		if s.hasRoom(dealtHere, overbook) {
			s.addItems()
			claims = r.newClaims(s, deal.Assign(s.items, s.enginesWhere(dealtHere), overbook, s.fits))
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

// claimsForIdleEngines returns claims for the engines in own that have had room for
// longer than idleBeforeOwnItems, and updates idleSince.
func (r *Runner) claimsForIdleEngines(s *snapshot, own func(deal.Engine) bool) []jobs.Claim {
	idle := map[ident.BackendName]clock.Millis{}
	longest := clock.Millis(0)
	for _, d := range deal.Assign(s.items, s.enginesWhere(own), 0, s.fits) {
		since, known := r.idleSince[d.Engine]
		if !known {
			since = s.now
		}
		idle[d.Engine] = since
		longest = max(longest, s.now-since)
	}
	r.idleSince = idle
	if longest <= idleBeforeOwnItems {
		return nil
	}
	idleLong := func(e deal.Engine) bool {
		since, known := idle[e.Name]
		return known && s.now-since > idleBeforeOwnItems
	}
	items := s.items
	if longest <= idleBeforeAnyItem {
		items = r.ownItems(s)
	}
	return r.newClaims(s, deal.Assign(items, s.enginesWhere(idleLong), 0, s.fits))
}

// newClaims turns assignments into claims, one for each job and engine, and skips items
// with a pending claim of this instance.
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
			Reason: fmt.Sprintf("job %s, expects %d tokens, %s, load %d, run by %s, service %s, configuration %d, ledger %d",
				d.Item.Job, d.Item.Expect, d.Item.Rank, s.state.Loads[d.Engine].Items, s.actor[d.Engine], s.describeService(d.Item), s.table.Version, s.state.Next),
		})
	}
	return claims
}
