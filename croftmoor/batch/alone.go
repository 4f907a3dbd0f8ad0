package batch

import (
	"context"
	"fmt"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/deal"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/trail"
)

// maxStateAge is the greatest age of the state from which items are begun. The age of a
// state that was never read is greater.
const maxStateAge = 30 * clock.Second

// beginWithoutClaims starts items while the ledger is unreachable. Rendezvous hashing
// over the last state read assigns each unclaimed item to one engine that can run it,
// and only that engine's actor starts it. The results are listed once the ledger
// answers again; if two instances ran an item, only the first result counts.
func (r *Runner) beginWithoutClaims(ctx context.Context) {
	table := r.Routes()
	if table == nil || !r.Ledger.Away() || r.Ledger.Age() > maxStateAge {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return
	}
	var toBegin []claimed
	r.Ledger.View(func(state *jobs.State) {
		s := r.takeSnapshot(state, table, r.Ledger.QuietSince()-r.Ledger.Idle())
		if s == nil {
			return
		}
		s.addItems()
		for _, d := range deal.Assign(r.ownItems(s), r.ownEngines(s), 0, s.fits) {
			job := state.Jobs[d.Item.Job]
			item := *s.item(d.Item)
			item.Claim, item.Owner, item.Engine = 0, r.Self, d.Engine
			toBegin = append(toBegin, claimed{key: jobs.ItemKey{Job: job.Job, Index: d.Item.Target.Index}, item: item, accept: job.Accept})
		}
	})
	for _, c := range toBegin {
		r.Trail.Add(trail.Decision{
			ID: string(c.item.ID), Action: trail.Place, Choice: string(c.item.Engine),
			Reason: fmt.Sprintf("job %s, expects %d tokens, configuration %d, without a claim: the ledger was last read %d ms ago",
				c.key.Job, c.item.Expect, table.Version, r.Ledger.Age()),
		})
		r.begin(ctx, c)
	}
}

// ownItems returns the waiting items that rendezvous hashing assigns to engines of this
// instance, without those that it already runs. The caller holds mu.
func (r *Runner) ownItems(s *snapshot) []deal.RankedItem {
	var own []deal.RankedItem
	rendezvous := deal.NewRendezvous(s.engines, s.fits)
	for _, p := range s.items {
		if r.runs[jobs.ItemKey{Job: p.Job, Index: p.Target.Index}] != nil {
			continue
		}
		if engine, ok := rendezvous.Engine(s.item(p).ID, p.Demand); ok && s.actor[engine] == r.Self {
			own = append(own, p)
		}
	}
	return own
}

// ownEngines returns the engines that this instance acts for. Their load counts this
// instance's own runs, because the ledger's load does not fall while the ledger is
// unreachable. The caller holds mu.
func (r *Runner) ownEngines(s *snapshot) []deal.Engine {
	loads := map[ident.BackendName]int{}
	for _, run := range r.runs {
		if !run.generated.Load() {
			loads[run.engine]++
		}
	}
	var own []deal.Engine
	for _, e := range s.engines {
		if s.actor[e.Name] == r.Self {
			e.Load.Items, e.Abandoned = loads[e.Name], 0
			own = append(own, e)
		}
	}
	return own
}

// lateClaims returns claims for the items that this instance began without one.
func (r *Runner) lateClaims() []jobs.Claim {
	r.mu.Lock()
	defer r.mu.Unlock()
	var claims []jobs.Claim
	for key, run := range r.runs {
		if run.claim == 0 && !run.generated.Load() && !r.pending[key] {
			claims = append(claims, jobs.Claim{Job: key.Job, By: r.Self, Engine: run.engine, Targets: []jobs.Target{{Index: key.Index}}})
		}
	}
	return claims
}
