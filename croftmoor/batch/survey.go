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
	"croftmoor.dev/kernel/terms"
	"croftmoor.dev/kernel/toggle"
)

// snapshot is the input of an assignment, taken from one state of the ledger. It is valid
// only within the View call that took it.
type snapshot struct {
	state      *jobs.State
	items      []deal.RankedItem
	itemsAdded bool
	engines    []deal.Engine
	// medianPace is the median time of an event at engines, in milliseconds. It is set by
	// addItems.
	medianPace float64
	// actor is the instance that acts for an engine, of any service.
	actor map[ident.BackendName]ident.InstanceName
	// versions are the versions that engines have loaded. A model is missing while the
	// engine loads another version of it.
	versions map[jobs.EngineModel]ident.Version
	services map[ident.BackendName]ident.Service
	terms    map[ident.Job]terms.Terms
	// serving are the services that have had an engine that may get items, of whichever model,
	// within absenceTerm. abilities caches what services can do for jobs.
	serving   map[ident.Service]bool
	abilities map[serviceJob]terms.Ability
	// table is the routing table from which terms were made.
	table *paths.Table
	now   clock.Millis
	// toggles reports which mechanisms are enabled: all but those in its set.
	toggles toggle.Set
	// gone are the owners of claims that count as gone.
	gone map[ident.InstanceName]bool
}

// item returns the job item behind a ranked item.
func (s *snapshot) item(p deal.RankedItem) *jobs.Item {
	return &s.state.Jobs[p.Job].Items[p.Target.Index]
}

// fits returns how an engine meets a demand now.
func (s *snapshot) fits(engine ident.BackendName, demand deal.Demand) deal.Fit {
	if s.services[engine] != demand.Service {
		return deal.Unfit
	}
	accept := s.terms[demand.Job].Accept
	if accept.Model == "" {
		return deal.Fitting
	}
	version, ready := s.versions[jobs.EngineModel{Engine: engine, Model: accept.Model}]
	switch {
	case !ready || version < accept.MinVersion:
		return deal.Unfit
	case demand.TextVersion != 0 && demand.TextVersion != version:
		return deal.Anew
	default:
		return deal.Fitting
	}
}

// demand returns what an item demands of its engine.
func (s *snapshot) demand(job *jobs.Job, item *jobs.Item) deal.Demand {
	return deal.Demand{Job: job.Job, Service: s.serviceOf(job, item), TextVersion: item.Partial.OnlyVersion(job.SingleVersion)}
}

// takeSnapshot returns the jobs that have waiting items and the engines that may get them, or
// nil if no item waits; addItems adds the items. Instances whose last heartbeat is before
// since count as gone. The caller holds mu.
func (r *Runner) takeSnapshot(state *jobs.State, table *paths.Table, since clock.Millis) *snapshot {
	s := &snapshot{
		state: state, versions: map[jobs.EngineModel]ident.Version{}, services: map[ident.BackendName]ident.Service{},
		terms: map[ident.Job]terms.Terms{}, table: table, gone: state.GoneOwners(since), now: r.Clock.Mono(), toggles: r.Without,
		abilities: map[serviceJob]terms.Ability{},
	}
	open := s.jobsWithWaitingItems()
	if len(open) == 0 {
		return nil
	}
	for _, job := range open {
		s.terms[job.Job] = terms.Of(job.Accept, table)
	}
	live := liveZones(state, since)
	cut := r.cutZones(silentZones(state, live, s.now-silentZonePause, since), r.Fleet.View())
	s.actor = r.actors.refresh(r.Fleet.View(), live, cut)
	r.addEngines(s, table)
	s.serving = r.noteServing(s)
	return s
}

// jobsWithWaitingItems returns, in order, the open jobs with items that are unclaimed or
// whose owner is gone.
func (s *snapshot) jobsWithWaitingItems() []*jobs.Job {
	abandoned := map[ident.Job]bool{}
	for owner := range s.gone {
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

// addItems adds the waiting items in the order in which they should start. Further calls
// do nothing.
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
			if item.Done || (item.Claim != 0 && !s.gone[item.Owner]) {
				continue
			}
			waiting = append(waiting, deal.WaitingItem{
				Demand: s.demand(job, item), Target: jobs.Target{Index: n, Replaces: item.Claim}, Group: item.Group, Expect: item.Expect,
				Deferrable: s.deferrable(job, item), FailedOn: s.excludedEngines(item),
			})
		}
		s.items = append(s.items, deal.Order(waiting, job.WantedGroups, job.GroupLengths, job.CarriedOverGroups)...)
	}
}

// excludedEngines returns the engines that an item should not go to.
func (s *snapshot) excludedEngines(item *jobs.Item) []ident.BackendName {
	if !s.toggles.Enabled(toggle.Avoidance) {
		return nil
	}
	return item.FailedOn
}

const (
	// maxOverrunFactor bounds how many times longer than expected a text is assumed to
	// get. One text in ten gets 1.76 times as long; the rest is a margin.
	maxOverrunFactor = 2.2
	// deferMargin is added to an item's assumed time: an item with too small a margin
	// becomes the last one of its step. See docs/POLICY.md.
	deferMargin = 2500 * clock.Millis(1)
)

// deferrable reports whether an item can start later and still end before its job's
// deadline, even if it takes longer than expected.
func (s *snapshot) deferrable(job *jobs.Job, item *jobs.Item) bool {
	of := s.terms[job.Job]
	deadline := of.Deadline()
	if deadline == 0 || job.FromBacklog || !s.toggles.Enabled(toggle.Patience) {
		return false
	}
	events := float64(item.Expect) / tokensPerEvent
	assumedTime := clock.Millis(maxOverrunFactor * events * s.medianPace)
	return s.now+assumedTime+deferMargin < job.SeenAt+deadline
}

// hasRoom reports whether an engine that match accepts holds fewer items than its slots
// plus over.
func (s *snapshot) hasRoom(match func(deal.Engine) bool, over int) bool {
	return slices.ContainsFunc(s.engines, func(e deal.Engine) bool {
		return e.HasRoom(e.Slots+over) && match(e)
	})
}

// enginesWhere returns the engines that match accepts.
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
	abandoned := s.state.ClaimedBy(s.gone)
	services := map[ident.Service]bool{}
	for _, of := range s.terms {
		for _, service := range of.Services() {
			services[service] = true
		}
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
				Name: name, Slots: cmp.Or(m.Slots, settings.Slots, 1), Load: s.state.Loads[name], Abandoned: abandoned[name],
				MillisPerEvent: s.state.Paces[name].MillisPerEvent, FailureRate: s.state.FailureRates[name],
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

// Version returns the version of a model that an engine has, and whether the engine is
// ready: it is not while it loads a later version.
func Version(state *jobs.State, m fleet.Member, model ident.Model, now clock.Millis) (ident.Version, bool) {
	key := jobs.EngineModel{Engine: ident.BackendName(m.Name), Model: model}
	version := state.LoadedVersion(key, m.Versions[model])
	w := state.Weights[key]
	loading := w.Ordered > version && now-w.OrderSeenAt < loadTimeout
	return version, !loading
}
