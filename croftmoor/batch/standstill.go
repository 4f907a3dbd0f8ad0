package batch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/deal"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/terms"
	"croftmoor.dev/kernel/trail"
)

const (
	// standstillAfter is how long items of a service wait, while none of its items is claimed
	// or ends, before that counts as a standstill. It is logged anew each time this has passed.
	standstillAfter = 5 * clock.Second
	// queueCheckPeriod is the time between two looks at the queues.
	queueCheckPeriod = 1 * clock.Second
	// minVainYields is how often an item is yielded, while its text does not grow, before that
	// counts as a standstill of the item, if it takes standstillAfter or longer.
	minVainYields = 4
	// maxNamedOwners bounds how many owners of items a line names.
	maxNamedOwners = 6
)

// Queue is the waiting items of a service, or of all services together.
type Queue struct {
	service ident.Service
	// Waiting counts the items that could be claimed now. Abandoned counts those among them
	// that an owner has claimed that is gone.
	Waiting, Abandoned int
	// Still is how long no item of the service was claimed or ended; 0 if none waits.
	Still clock.Millis
	// Vain counts the items that are claimed and yielded again and again while their texts do
	// not grow. vain is the first of them.
	Vain int
	vain string
	// first is the demand of a waiting item of the oldest job.
	first deal.Demand
}

// queuesOf returns the queue of each service that runs open jobs by the routing table, which
// may be nil; serviceOf returns the service of an item.
func queuesOf(
	state *jobs.State, table *paths.Table, gone map[ident.InstanceName]bool, now clock.Millis, serviceOf func(*jobs.Job, *jobs.Item) ident.Service,
) map[ident.Service]*Queue {
	queues := map[ident.Service]*Queue{}
	for _, id := range state.JobOrder {
		job := state.Jobs[id]
		if !job.Open() {
			continue
		}
		of := terms.Of(job.Accept, table)
		for _, service := range of.Services() {
			q := queues[service]
			if q == nil {
				q = &Queue{service: service, Still: now}
				queues[service] = q
			}
			q.Still = min(q.Still, now-job.ProgressAt)
		}
		for i := range job.Items {
			item := &job.Items[i]
			if !item.Done {
				queues[serviceOf(job, item)].add(job, item, gone, now)
			}
		}
	}
	for _, q := range queues {
		if q.Waiting == 0 {
			q.Still = 0
		}
	}
	return queues
}

// add counts an item without a result.
func (q *Queue) add(job *jobs.Job, item *jobs.Item, gone map[ident.InstanceName]bool, now clock.Millis) {
	if item.VainYields >= minVainYields && now-item.VainSince >= standstillAfter {
		if q.Vain == 0 {
			q.vain = fmt.Sprintf("item %s of job %s %d times in %d ms", item.ID, job.Job, item.VainYields, now-item.VainSince)
		}
		q.Vain++
	}
	if item.Claim != 0 && !gone[item.Owner] {
		return
	}
	if q.Waiting == 0 {
		q.first = deal.Demand{Job: job.Job, Service: q.service, TextVersion: item.Partial.OnlyVersion(job.SingleVersion)}
	}
	q.Waiting++
	if item.Claim != 0 {
		q.Abandoned++
	}
}

// Queue returns the queue of all services; its Still is the longest of a service. Items count for
// the service that they prefer.
func (r *Runner) Queue() Queue {
	var all Queue
	table := r.Routes()
	preferred := func(job *jobs.Job, item *jobs.Item) ident.Service {
		of := terms.Of(job.Accept, table)
		return of.Preferred(item.ItemSpec)
	}
	r.Ledger.View(func(state *jobs.State) {
		for _, q := range queuesOf(state, table, state.GoneOwners(r.Ledger.QuietSince()), r.Clock.Mono(), preferred) {
			all.Waiting += q.Waiting
			all.Abandoned += q.Abandoned
			all.Vain += q.Vain
			all.Still = max(all.Still, q.Still)
		}
	})
	return all
}

// logStandstills logs each service whose items stand still, and what keeps them from being
// claimed. The caller holds mu.
func (r *Runner) logStandstills(s *snapshot) {
	if s.now < r.lastQueueCheck+queueCheckPeriod {
		return
	}
	r.lastQueueCheck = s.now
	for service, q := range queuesOf(s.state, s.table, s.gone, s.now, s.serviceOf) {
		if (q.Still < standstillAfter && q.Vain == 0) || s.now < r.standstillLogged[service]+standstillAfter {
			continue
		}
		r.standstillLogged[service] = s.now
		line := trail.Decision{ID: "items/" + string(service), Action: trail.Standstill}
		if q.Vain > 0 {
			line.Choice = "items are yielded again and again"
			line.Reason = fmt.Sprintf("%d items, whose texts do not grow; %s; ledger %d", q.Vain, q.vain, s.state.Next)
		} else {
			line.Choice = "no item is claimed"
			line.Reason = fmt.Sprintf("%d items wait, none was claimed or ended for %d ms; %s; dealt by %q, one of %d instances that act; ledger %d",
				q.Waiting, q.Still, s.describeEngines(q.first), r.dealer(service), len(r.actors.live), s.state.Next)
		}
		r.Trail.Add(line)
	}
}

// describeEngines tells how many engines of a service meet a demand, and who holds the places
// there.
func (s *snapshot) describeEngines(demand deal.Demand) string {
	engines, allowed, withRoom, claimed := 0, 0, 0, 0
	items := map[ident.InstanceName]int{}
	for _, e := range s.enginesWhere(func(e deal.Engine) bool { return s.services[e.Name] == demand.Service }) {
		engines++
		if s.fits(e.Name, demand) != deal.Unfit {
			allowed++
		}
		if e.HasRoom(e.Slots + overbook) {
			withRoom++
		}
	}
	for owner, keys := range s.state.Claims {
		for key := range keys {
			if s.services[s.state.Jobs[key.Job].Items[key.Index].Engine] == demand.Service {
				items[owner]++
				claimed++
			}
		}
	}
	return fmt.Sprintf("%d engines, %d that can run job %s, %d with room; %d items claimed there: %s",
		engines, allowed, demand.Job, withRoom, claimed, s.describeOwners(items))
}

// describeOwners names the owners of the most items, and whether they are gone.
func (s *snapshot) describeOwners(items map[ident.InstanceName]int) string {
	owners := slices.SortedFunc(maps.Keys(items), func(a, b ident.InstanceName) int {
		return cmp.Or(cmp.Compare(items[b], items[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, owner := range owners[:min(len(owners), maxNamedOwners)] {
		part := fmt.Sprintf("%d by %s", items[owner], owner)
		if s.gone[owner] {
			part += " (gone)"
		}
		parts = append(parts, part)
	}
	if more := len(owners) - maxNamedOwners; more > 0 {
		parts = append(parts, fmt.Sprintf("the rest by %d others", more))
	}
	return strings.Join(parts, ", ")
}
