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

// maxStateAge is the age of the state beyond which nothing is begun from it; an
// instance that has not read the ledger yet counts as older.
const maxStateAge = 30 * clock.Second

// beginWithoutClaims runs items without claims while the ledger can't be reached: each that
// nobody had claimed in the state that was read last falls to one engine which can
// run it, and so to the instance that acted for it then. What is made is listed when
// the ledger is back; an item that ran twice is listed once.
//
// The load it answers: the log is away for all for 7 s while four steps wait. When
// items fell to instances, whether these had an engine with the version or not, 30
// began in 2 s, of several hundred that engines with room could have run.
func (r *Runner) beginWithoutClaims(ctx context.Context) {
	table := r.Routes()
	if table == nil || !r.Ledger.Away() || r.Ledger.Age() > maxStateAge {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var toBegin []claimed
	r.Ledger.View(func(b *jobs.State) {
		s := r.snapshot(b, table, r.Ledger.QuietSince()-r.Ledger.Idle())
		if s == nil {
			return
		}
		s.addItems()
		for _, d := range deal.Assign(r.ownItems(s), r.ownEngines(s), 0, s.allowed) {
			job := b.Jobs[d.Item.Job]
			item := *s.item(d.Item)
			item.Claim, item.Owner, item.Engine = 0, r.Self, d.Engine
			toBegin = append(toBegin, claimed{key: jobs.ItemKey{Job: job.Job, Index: d.Item.Target.Index}, item: item, accept: job.Accept})
		}
	})
	for _, c := range toBegin {
		r.Trail.Add(trail.Decision{
			ID: string(c.item.ID), Action: trail.Place, Choice: string(c.item.Engine),
			Reason: fmt.Sprintf("job %s, expects %d tokens, without a claim: the ledger was last read %d ms ago", c.key.Job, c.item.Expect, r.Ledger.Age()),
		})
		r.begin(ctx, c)
	}
}

// ownItems returns the waiting items that fall to engines of this instance and that it
// does not run already; mu is held.
func (r *Runner) ownItems(s *snapshot) []deal.RankedItem {
	var own []deal.RankedItem
	rendezvous := deal.NewRendezvous(s.engines, s.allowed)
	for _, p := range s.items {
		if r.runs[jobs.ItemKey{Job: p.Job, Index: p.Target.Index}] != nil {
			continue
		}
		if engine, ok := rendezvous.Engine(s.item(p).ID, p.Job); ok && s.actor[engine] == r.Self {
			own = append(own, p)
		}
	}
	return own
}

// bodyReplicas is how many instances read a body ahead. The first is often the one that is
// cut off or restarted in the same trouble.
const bodyReplicas = 2

// replicasOf returns which of the instances that act for engines read the body of an
// item ahead, best first, by rendezvous hashing: who runs it is not known yet.
func replicasOf(id ident.Item, actors []views.Member) []views.Member {
	ranked := views.Rank("replica "+string(id), actors)
	return ranked[:min(bodyReplicas, len(ranked))]
}

// actingInstances returns the instances that act for engines which may get items.
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

// ownEngines returns the engines that this instance acts for, with the load of
// its own runs: the ledger's does not fall while it can't be read; mu is held.
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
			e.Load.Items = loads[e.Name]
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

// prefetchWindow is the span over which the instances read the bodies of a new job
// ahead: most items are claimed within it, and whoever runs an item reads its body
// in any case.
const prefetchWindow = 500 * clock.Millis(1)

// schedulePrefetch has the bodies of jobs read that have just come; mu is held.
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

// prefetchJob reads the bodies of those waiting items of a job into the cache of which this
// instance holds a replica. So each body is read ahead twice, however many instances there
// are.
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

// bodiesToPrefetch returns the bodies of a job that this instance should read bodiesToPrefetch.
func (r *Runner) bodiesToPrefetch(id ident.Job) []jobs.Span {
	table := r.Routes()
	if table == nil {
		return nil
	}
	var spans []jobs.Span
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ledger.View(func(b *jobs.State) {
		if job := b.Jobs[id]; job == nil || !job.Open() || job.Waiting == 0 {
			return
		}
		s := r.snapshot(b, table, r.Ledger.QuietSince())
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

// bodyReadTimeout is how long the log is asked for a body before replicas are: one that takes
// fifty times its usual 4 ms comes within it, one that is silent keeps no item longer.
const bodyReadTimeout = 1 * clock.Second

// readBody returns what is kept of an item: from the log, or while that does not answer
// from an instance that has read it ahead.
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
	return r.Blobs.Get(ctx, item.Body)
}

// replicaAddresses returns where an item's body may have been read ahead.
func (r *Runner) replicaAddresses(id ident.Item) []ident.Address {
	table := r.Routes()
	if table == nil {
		return nil
	}
	var addresses []ident.Address
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ledger.View(func(b *jobs.State) {
		s := r.snapshot(b, table, r.Ledger.QuietSince()-r.Ledger.Idle())
		if s == nil {
			return
		}
		for _, m := range replicasOf(id, s.actingInstances()) {
			if member := b.Members[m.Name]; member != nil && m.Name != r.Self && member.Address != "" {
				addresses = append(addresses, member.Address)
			}
		}
	})
	return addresses
}
