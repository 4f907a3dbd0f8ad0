package batch

import (
	"context"
	"fmt"
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/deal"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/trail"
	"croftmoor.dev/kernel/views"
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

// bodyReplicas is the number of instances that prefetch a body. One is not enough: the
// failure that makes the log unreachable often cuts off or restarts that instance too.
const bodyReplicas = 2

// replicasOf returns the instances that prefetch the body of an item, best first. They
// are chosen by rendezvous hashing among actors, since the instance that will run the
// item is not known yet.
func replicasOf(id ident.Item, actors []views.Member) []views.Member {
	ranked := views.Rank("replica "+string(id), actors)
	return ranked[:min(bodyReplicas, len(ranked))]
}

// actingInstances returns the actors of the engines that may get items.
func (s *snapshot) actingInstances() []views.Member {
	known := map[ident.InstanceName]bool{}
	var actors []views.Member
	for _, e := range s.engines {
		if actor := s.actor[e.Name]; !known[actor] {
			known[actor] = true
			actors = append(actors, views.Member{Name: actor})
		}
	}
	return actors
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

// prefetchWindow is the time after a job's arrival within which instances start to prefetch
// its bodies. Most items are claimed by then, and an instance that runs an item reads the
// body in any case.
const prefetchWindow = 500 * clock.Millis(1)

// schedulePrefetch prefetches the bodies of jobs that are new in open. Each job has a delay
// of at least half of prefetchWindow that differs between instances. The caller holds mu.
func (r *Runner) schedulePrefetch(ctx context.Context, open map[ident.Job]bool) {
	for id := range open {
		if r.prefetched[id] {
			continue
		}
		pause := prefetchWindow/2 + clock.Millis(ident.Hash(string(id), string(r.Self))%uint64(prefetchWindow/2))
		r.group.Go(func() {
			if r.Clock.Sleep(ctx, pause) {
				r.prefetchJob(ctx, id)
			}
		})
	}
	r.prefetched = open
}

// prefetchJob reads into the cache those bodies of a job's waiting items of which this
// instance keeps a replica. It stops at the first error.
func (r *Runner) prefetchJob(ctx context.Context, id ident.Job) {
	for _, span := range r.bodiesToPrefetch(id) {
		if _, err := r.Blobs.Get(ctx, span); err != nil {
			if ctx.Err() == nil {
				r.Trail.Add(trail.Decision{ID: string(id), Action: trail.Hold, Choice: "bodies not fetched", Reason: err.Error()})
			}
			return
		}
	}
}

// bodiesToPrefetch returns the bodies of a job's waiting items of which this instance
// keeps a replica.
func (r *Runner) bodiesToPrefetch(id ident.Job) []jobs.Span {
	table := r.Routes()
	if table == nil {
		return nil
	}
	var spans []jobs.Span
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ledger.View(func(state *jobs.State) {
		if job := state.Jobs[id]; job == nil || !job.Open() || job.Waiting == 0 {
			return
		}
		s := r.takeSnapshot(state, table, r.Ledger.QuietSince())
		if s == nil {
			return
		}
		s.addItems()
		actors := s.actingInstances()
		for _, p := range s.items {
			if p.Job != id {
				continue
			}
			item := s.item(p)
			if slices.ContainsFunc(replicasOf(item.ID, actors), func(m views.Member) bool { return m.Name == r.Self }) {
				spans = append(spans, item.Body)
			}
		}
	})
	return spans
}

// bodyReadTimeout is how long a read of a body from the log may take before the replicas
// are asked. It is long enough for a log that takes fifty times its usual 4 ms.
const bodyReadTimeout = 1 * clock.Second

// lastBodyReadTimeout bounds the read of a body that no replica has either. It exceeds all
// attempts of a read; an item whose body does not come is yielded to another instance.
const lastBodyReadTimeout = 6 * clock.Second

// readBody returns the encoded item. It asks the log first, unless the log is
// unreachable, then the instances that prefetched the body, then the log again.
func (r *Runner) readBody(ctx context.Context, item *jobs.Item) ([]byte, error) {
	if !r.Ledger.Away() {
		first, cancel := context.WithTimeout(ctx, bodyReadTimeout.Duration())
		data, err := r.Blobs.Get(first, item.Body)
		cancel()
		if err == nil {
			return data, nil
		}
	}
	for _, from := range r.replicaAddresses(item.ID) {
		if data, err := r.Blobs.FetchFrom(ctx, from, item.Body); err == nil {
			return data, nil
		}
	}
	last, cancel := context.WithTimeout(ctx, lastBodyReadTimeout.Duration())
	defer cancel()
	return r.Blobs.Get(last, item.Body)
}

// replicaAddresses returns the addresses of the other instances that may have prefetched
// an item's body.
func (r *Runner) replicaAddresses(id ident.Item) []ident.Address {
	table := r.Routes()
	if table == nil {
		return nil
	}
	var addresses []ident.Address
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ledger.View(func(state *jobs.State) {
		s := r.takeSnapshot(state, table, r.Ledger.QuietSince()-r.Ledger.Idle())
		if s == nil {
			return
		}
		for _, m := range replicasOf(id, s.actingInstances()) {
			if member := state.Members[m.Name]; member != nil && m.Name != r.Self && member.Address != "" {
				addresses = append(addresses, member.Address)
			}
		}
	})
	return addresses
}
