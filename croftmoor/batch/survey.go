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

// survey is what a deal is made from, taken from one state of the ledger. It is
// valid only while that state is viewed.
type survey struct {
	book    *jobs.State
	pieces  []deal.RankedItem
	added   bool
	engines []deal.Engine
	// median is the usual time of an event at these engines.
	median float64
	// actor is the instance that acts for a server, of any service.
	actor map[ident.BackendName]ident.InstanceName
	// versions are the weights that an engine can be relied on to have; a model
	// that is being loaded is missing.
	versions map[jobs.EngineModel]ident.Version
	services map[ident.BackendName]ident.Service
	accepts  map[ident.Job]jobs.Accept
	// due is the time after its acceptance by which a job should be done; 0 is none.
	due map[ident.Job]clock.Millis
	now clock.Millis
	// without are the mechanisms that are switched off.
	without toggle.Set
	// silent are the owners of claims that count as gone.
	silent map[ident.InstanceName]bool
}

// item returns the item of a piece.
func (s *survey) item(p deal.RankedItem) *jobs.Item {
	return &s.book.Jobs[p.Job].Items[p.Target.Index]
}

// allowed tells whether an engine can run a job's items now.
func (s *survey) allowed(engine ident.BackendName, job ident.Job) bool {
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

// survey looks at the jobs that have items to share out and the engines that may
// get them; instances that were not heard since the given time count as gone. It
// returns nil if nothing waits; mu is held.
func (r *Runner) survey(b *jobs.State, table *paths.Table, since clock.Millis) *survey {
	s := &survey{
		book: b, versions: map[jobs.EngineModel]ident.Version{}, services: map[ident.BackendName]ident.Service{},
		accepts: map[ident.Job]jobs.Accept{}, silent: silentOwners(b, since), due: map[ident.Job]clock.Millis{}, now: r.Clock.Mono(),
		without: r.Without,
	}
	open := s.waiting()
	if len(open) == 0 {
		return nil
	}
	for _, job := range open {
		accept := job.Accept
		if route, ok := table.FindExact(accept.Host, accept.Prefix); ok {
			accept.Service = route.Shares[0].Service
			s.due[job.Job] = route.JobDeadline
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

// waiting returns the open jobs that have items which nobody runs, in order.
func (s *survey) waiting() []*jobs.Job {
	left := map[ident.Job]bool{}
	for owner := range s.silent {
		for key := range s.book.Claims[owner] {
			left[key.Job] = true
		}
	}
	var open []*jobs.Job
	for _, id := range s.book.JobOrder {
		if job := s.book.Jobs[id]; job.Open() && (job.Waiting > 0 || left[id]) {
			open = append(open, job)
		}
	}
	return open
}

// addPieces adds the items that wait, in the order in which they should start,
// unless that has been done.
func (s *survey) addPieces() {
	if s.added {
		return
	}
	s.added = true
	s.median = deal.MedianPace(s.engines)
	for _, job := range s.waiting() {
		var waits []deal.WaitingItem
		for n := range job.Items {
			item := &job.Items[n]
			if item.Done || (item.Claim != 0 && !s.silent[item.Owner]) || s.now < item.DeferredUntil {
				continue
			}
			waits = append(waits, deal.WaitingItem{
				Target: jobs.Target{Index: n, Replaces: item.Claim}, Group: item.Group, Expect: item.Expect,
				Deferrable: s.patient(job, item), FailedOn: s.not(item),
			})
		}
		s.pieces = append(s.pieces, deal.Order(job.Job, waits, job.WantedGroups, job.GroupLengths, job.CarriedOverGroups)...)
	}
}

// not returns the engines that an item should not go to.
func (s *survey) not(item *jobs.Item) []ident.BackendName {
	if !s.without.Enabled(toggle.Avoidance) {
		return nil
	}
	return item.FailedOn
}

const (
	// estimateError is how many times longer than expected a text may get. One in ten
	// got 1.76 times as long in a trial of 464 texts; the rest is a margin.
	estimateError = 2.2
	// spareTerm is how long before it must an item starts: with 0.5 s the items that
	// had time ended the steps themselves; see docs/POLICY.md.
	spareTerm = 2500 * clock.Millis(1)
)

// patient tells whether an item of a job ends before the job is due also if it
// starts later, and if it takes longer than expected.
func (s *survey) patient(job *jobs.Job, item *jobs.Item) bool {
	due := s.due[job.Job]
	if due == 0 || job.FromBacklog || !s.without.Enabled(toggle.Patience) {
		return false
	}
	events := float64(item.Expect) / tokensPerEvent
	term := clock.Millis(estimateError * events * s.median)
	return s.now+term+spareTerm < job.SeenAt+due
}

// room tells whether an engine of those that are meant can take an item, over its
// slots by so many at most. If none can, there is nothing to deal.
func (s *survey) room(meant func(deal.Engine) bool, over int) bool {
	return slices.ContainsFunc(s.engines, func(e deal.Engine) bool {
		return e.Load.Items < e.Slots+over && meant(e)
	})
}

// only returns the engines that are meant.
func (s *survey) only(meant func(deal.Engine) bool) []deal.Engine {
	var engines []deal.Engine
	for _, e := range s.engines {
		if meant(e) {
			engines = append(engines, e)
		}
	}
	return engines
}

// addEngines adds the engines that may get items.
func (r *Runner) addEngines(s *survey, table *paths.Table) {
	now := r.Clock.Mono()
	services := map[ident.Service]bool{}
	for _, accept := range s.accepts {
		services[accept.Service] = true
	}
	for service := range services {
		settings := table.Services[service]
		for _, m := range r.Fleet.View().Backends[service] {
			name := ident.BackendName(m.Name)
			if m.State == fleet.Leaving || s.actor[name] == "" || (now < s.book.AvoidedUntil[name] && r.Without.Enabled(toggle.Avoidance)) || r.Fleet.MarkedLeaving(m.Name) {
				continue
			}
			s.services[name] = service
			s.engines = append(s.engines, deal.Engine{
				Name: name, Slots: cmp.Or(m.Slots, settings.Slots, 1), Load: s.book.Loads[name], MillisPerEvent: s.book.Paces[name].MillisPerEvent,
				FailureRate: s.book.FailureRates[name],
			})
			for _, model := range settings.Models {
				if version, ready := Version(s.book, m, model, now); ready {
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
	loading := w.Ordered > version && now-w.OrderSeenAt < loadTerm
	return version, !loading
}
