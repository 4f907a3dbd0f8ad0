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
	"croftmoor.dev/kernel/views"
)

// survey is what a deal is made from, taken from one state of the ledger.
type survey struct {
	pieces  []deal.Piece
	engines []deal.Engine
	// actor is the instance that acts for an engine.
	actor map[ident.BackendName]ident.InstanceName
	// versions are the weights that an engine can be relied on to have; a model
	// that is being loaded is missing.
	versions map[jobs.EngineModel]ident.Version
	services map[ident.BackendName]ident.Service
	accepts  map[ident.Job]jobs.Accept
	loads    map[ident.BackendName]jobs.Load
	ids      map[ident.Job]map[int]ident.Item
	next     ident.Offset
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
	return ready && version >= accept.Least
}

// survey looks at jobs and engines; instances that were not heard since the
// given time count as gone; mu is held.
func (r *Runner) survey(b *jobs.Book, table *paths.Table, since clock.Millis) *survey {
	s := &survey{
		actor: map[ident.BackendName]ident.InstanceName{}, versions: map[jobs.EngineModel]ident.Version{},
		services: map[ident.BackendName]ident.Service{}, accepts: map[ident.Job]jobs.Accept{},
		loads: b.Loads, ids: map[ident.Job]map[int]ident.Item{}, next: b.Next,
	}
	for _, id := range b.Order {
		if job := b.Jobs[id]; job.Open() {
			r.addJob(s, b, job, table, since)
		}
	}
	if len(s.pieces) > 0 {
		r.addEngines(s, b, table, since)
	}
	return s
}

// addJob adds the items of a job that wait for an engine, in the order in which
// they should start.
func (r *Runner) addJob(s *survey, b *jobs.Book, job *jobs.Job, table *paths.Table, since clock.Millis) {
	accept := job.Accept
	if route, ok := table.Exact(accept.Host, accept.Prefix); ok {
		accept.Service = route.Shares[0].Service
	}
	s.accepts[job.Job] = accept
	var waits []deal.Wait
	longest := map[ident.Group]ident.Tokens{}
	brought := map[ident.Group]bool{}
	ids := map[int]ident.Item{}
	for n := range job.Items {
		item := &job.Items[n]
		longest[item.Group] = max(longest[item.Group], item.Expect)
		brought[item.Group] = brought[item.Group] || item.Brought
		if item.Done || (item.Claim != 0 && b.Alive(item.Owner, since)) {
			continue
		}
		ids[n] = item.ID
		waits = append(waits, deal.Wait{
			Target: jobs.Target{Index: n, Replaces: item.Claim}, Group: item.Group, Expect: item.Expect,
		})
	}
	if len(waits) == 0 {
		return
	}
	s.ids[job.Job] = ids
	s.pieces = append(s.pieces, deal.Order(job.Job, waits, job.Wanted, longest, brought)...)
}

// addEngines adds the engines that may get items, and who acts for each.
func (r *Runner) addEngines(s *survey, b *jobs.Book, table *paths.Table, since clock.Millis) {
	now := r.Clock.Mono()
	live := b.Live(since)
	zones := silentZones(b, now-silentTerm, since)
	services := map[ident.Service]bool{}
	for _, accept := range s.accepts {
		services[accept.Service] = true
	}
	for service := range services {
		models := table.Services[service].Models
		for _, m := range r.Fleet.View().Backends[service] {
			name := ident.BackendName(m.Name)
			if m.State == fleet.Leaving || r.Fleet.MarkedLeaving(m.Name) || now < b.Avoided[name] {
				continue
			}
			actor := actorFor(m, live, zones)
			if actor == "" {
				continue
			}
			s.services[name] = service
			s.actor[name] = actor
			s.engines = append(s.engines, deal.Engine{
				Name: name, Slots: cmp.Or(m.Slots, table.Services[service].Slots, 1), Load: b.Loads[name], PerEvent: b.Paces[name].PerEvent,
			})
			for _, model := range models {
				if version, ready := Version(b, m, model, now); ready {
					s.versions[jobs.EngineModel{Engine: name, Model: model}] = version
				}
			}
		}
	}
	slices.SortFunc(s.engines, func(a, b deal.Engine) int { return cmp.Compare(a.Name, b.Name) })
}

// Version returns the version of a model that an engine has, and whether it is
// not just loading another one.
func Version(b *jobs.Book, m fleet.Member, model ident.Model, now clock.Millis) (ident.Version, bool) {
	key := jobs.EngineModel{Engine: ident.BackendName(m.Name), Model: model}
	version := b.Has(key, m.Versions[model])
	w := b.Weights[key]
	loading := w.Ordered > version && now-w.OrderSeen < loadTerm
	return version, !loading
}

// silentTerm is how long the engines of an availability zone are left alone in
// which no instance is heard any more: most likely the zone is cut off, and an
// item sent there only fails after a while.
const silentTerm = 10 * clock.Second

// silentZones returns the zones that have fallen silent as a whole lately.
func silentZones(b *jobs.Book, from, since clock.Millis) map[ident.Zone]bool {
	zones := map[ident.Zone]bool{}
	for _, m := range b.Members {
		if !m.Over && !m.Leaving && m.Heard >= from && m.Heard < since {
			zones[m.Zone] = true
		}
	}
	for _, m := range b.Live(since) {
		delete(zones, m.Zone)
	}
	return zones
}

// actorFor returns the instance that acts for an engine: by rendezvous hashing
// among those of its availability zone, so that texts stay there, or among all
// if it has none; "" while its zone is silent.
func actorFor(engine fleet.Member, live []jobs.Member, silent map[ident.Zone]bool) ident.InstanceName {
	if silent[engine.Zone] {
		return ""
	}
	var near, all []views.Member
	for _, m := range live {
		member := views.Member{Name: m.Name, Zone: m.Zone}
		all = append(all, member)
		if m.Zone == engine.Zone {
			near = append(near, member)
		}
	}
	if len(near) > 0 {
		all = near
	}
	ranked := views.Rank(engine.Name, all)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0].Name
}
