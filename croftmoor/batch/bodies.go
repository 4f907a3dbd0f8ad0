package batch

import (
	"context"
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/trail"
	"croftmoor.dev/kernel/views"
)

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
