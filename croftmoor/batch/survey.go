package batch

import (
	"cmp"
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/deal"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/toggle"
)

// snapshot is what a deal is made from, taken from one state of the ledger. It is
// valid only while that state is viewed.
type snapshot struct {
	state    *jobs.State
	items  []deal.RankedItem
	itemsAdded   bool
	engines []deal.Engine
	// medianPace is the usual time of an event at these engines.
	medianPace float64
	// actor is the instance that acts for a server, of any service.
	actor map[ident.BackendName]ident.InstanceName
	// versions are the weights that an engine can be relied on to have; a model
	// that is being loaded is missing.
	versions map[jobs.EngineModel]ident.Version
	services map[ident.BackendName]ident.Service
	accepts  map[ident.Job]jobs.Accept
	// deadlines is the time after its acceptance by which a job should be done; 0 is none.
	deadlines map[ident.Job]clock.Millis
	now clock.Millis
	// toggles are the mechanisms that are switched off.
	toggles toggle.Set
	// silent are the owners of claims that count as gone.
	silent map[ident.InstanceName]bool
}

// item returns the item of a piece.
func (s *snapshot) item(p deal.RankedItem) *jobs.Item {
	return &s.state.Jobs[p.Job].Items[p.Target.Index]
}

// allowed tells whether an engine can run a job's items now.
func (s *snapshot) allowed(engine ident.BackendName, job ident.Job) bool {
	accept := s.accepts[job]
	if s.services[engine] != accept.Service {
		return false
	}
	if accept.Model == "" {
		return true
	}
	version, ready := s.versions[jobs.EngineModel{Engine: engine, Model: accept.Model}]
	return ready && version >= accept.MinVersion
}

// snapshot looks at the jobs that have items to share out and the engines that may
// get them; instances that were not heard since the given time count as gone. It
// returns nil if nothing waits; mu is held.
func (r *Runner) snapshot(b *jobs.State, table *paths.Table, since clock.Millis) *snapshot {
	s := &snapshot{
		state: b, versions: map[jobs.EngineModel]ident.Version{}, services: map[ident.BackendName]ident.Service{},
		accepts: map[ident.Job]jobs.Accept{}, silent: silentOwners(b, since), deadlines: map[ident.Job]clock.Millis{}, now: r.Clock.Mono(),
		toggles: r.Without,
	}
	open := s.jobsWithWaitingItems()
	if len(open) == 0 {
		return nil
	}
	for _, job := range open {
		accept := job.Accept
		if route, ok := table.FindExact(accept.Host, accept.Prefix); ok {
			accept.Service = route.Shares[0].Service
			s.deadlines[job.Job] = route.JobDeadline
		}
		s.accepts[job.Job] = accept
	}
	s.actor = r.actors.refresh(b, r.Fleet.View(), r.Clock.Mono(), since)
	r.addEngines(s, table)
	return s
}

// silentOwners returns the owners of claims that count as gone.
func silentOwners(b *jobs.State, since clock.Millis) map[ident.InstanceName]bool {
	silent := map[ident.InstanceName]bool{}
	for owner := range b.Claims {
		if !b.Alive(owner, since) {
			silent[owner] = true
		}
	}
	return silent
}

// jobsWithWaitingItems returns the open jobs that have items which nobody runs, in order.
func (s *snapshot) jobsWithWaitingItems() []*jobs.Job {
	abandoned := map[ident.Job]bool{}
	for owner := range s.silent {
		for key := range s.state.Claims[owner] {
			abandoned[key.Job] = true
		}
	}
	var open []*jobs.Job
	for _, id := range s.state.JobOrder {
		if job := s.state.Jobs[id]; job.Open() && (job.Waiting > 0 || abandoned[id]) {
			open = append(open, job)
		}
	}
	return open
}

// addItems adds the items that wait, in the order in which they should start,
// unless that has been done.
func (s *snapshot) addItems() {
	if s.itemsAdded {
		return
	}
	s.itemsAdded = true
	s.medianPace = deal.MedianPace(s.engines)
	for _, job := range s.jobsWithWaitingItems() {
		var waiting []deal.WaitingItem
		for n := range job.Items {
			item := &job.Items[n]
			if item.Done || (item.Claim != 0 && !s.silent[item.Owner]) || s.now < item.DeferredUntil {
				continue
			}
			waiting = append(waiting, deal.WaitingItem{
				Target: jobs.Target{Index: n, Replaces: item.Claim}, Group: item.Group, Expect: item.Expect,
				Deferrable: s.deferrable(job, item), FailedOn: s.excludedEngines(item),
			})
		}
		s.items = append(s.items, deal.Order(job.Job, waiting, job.WantedGroups, job.GroupLengths, job.CarriedOverGroups)...)
	}
}

// excludedEngines returns the engines that an item should excludedEngines go to.
func (s *snapshot) excludedEngines(item *jobs.Item) []ident.BackendName {
	if !s.toggles.Enabled(toggle.Avoidance) {
		return nil
	}
	return item.FailedOn
}

const (
	// maxOverrunFactor is how many times longer than expected a text may get. One in ten
	// got 1.76 times as long in a trial of 464 texts; the rest is a margin.
	maxOverrunFactor = 2.2
	// deferMargin is how long before it must an item starts: with 0.5 s the items that
	// had time ended the steps themselves; see docs/POLICY.md.
	deferMargin = 2500 * clock.Millis(1)
)

// deferrable tells whether an item of a job ends before the job is due also if it
// starts later, and if it takes longer than expected.
func (s *snapshot) deferrable(job *jobs.Job, item *jobs.Item) bool {
	due := s.deadlines[job.Job]
	if due == 0 || job.FromBacklog || !s.toggles.Enabled(toggle.Patience) {
		return false
	}
	events := float64(item.Expect) / tokensPerEvent
	term := clock.Millis(maxOverrunFactor * events * s.medianPace)
	return s.now+term+deferMargin < job.SeenAt+due
}

// hasRoom tells whether an engine of those that are meant can take an item, over its
// slots by so many at most. If none can, there is nothing to deal.
func (s *snapshot) hasRoom(match func(deal.Engine) bool, over int) bool {
	return slices.ContainsFunc(s.engines, func(e deal.Engine) bool {
		return e.Load.Items < e.Slots+over && match(e)
	})
}

// enginesWhere returns the engines that are meant.
func (s *snapshot) enginesWhere(match func(deal.Engine) bool) []deal.Engine {
	var engines []deal.Engine
	for _, e := range s.engines {
		if match(e) {
			engines = append(engines, e)
		}
	}
	return engines
}

// addEngines adds the engines that may get items.
func (r *Runner) addEngines(s *snapshot, table *paths.Table) {
	now := r.Clock.Mono()
	services := map[ident.Service]bool{}
	for _, accept := range s.accepts {
		services[accept.Service] = true
	}
	for service := range services {
		settings := table.Services[service]
		for _, m := range r.Fleet.View().Backends[service] {
			name := ident.BackendName(m.Name)
			if m.State == fleet.Leaving || s.actor[name] == "" || (now < s.state.AvoidedUntil[name] && r.Without.Enabled(toggle.Avoidance)) || r.Fleet.MarkedLeaving(m.Name) {
				continue
			}
			s.services[name] = service
			s.engines = append(s.engines, deal.Engine{
				Name: name, Slots: cmp.Or(m.Slots, settings.Slots, 1), Load: s.state.Loads[name], MillisPerEvent: s.state.Paces[name].MillisPerEvent,
				FailureRate: s.state.FailureRates[name],
			})
			for _, model := range settings.Models {
				if version, ready := Version(s.state, m, model, now); ready {
					s.versions[jobs.EngineModel{Engine: name, Model: model}] = version
				}
			}
		}
	}
	slices.SortFunc(s.engines, func(a, b deal.Engine) int { return cmp.Compare(a.Name, b.Name) })
}

// Version returns the version of a model that an engine has, and whether it is
// not just loading another one.
func Version(b *jobs.State, m fleet.Member, model ident.Model, now clock.Millis) (ident.Version, bool) {
	key := jobs.EngineModel{Engine: ident.BackendName(m.Name), Model: model}
	version := b.LoadedVersion(key, m.Versions[model])
	w := b.Weights[key]
	loading := w.Ordered > version && now-w.OrderSeenAt < loadTimeout
	return version, !loading
}
