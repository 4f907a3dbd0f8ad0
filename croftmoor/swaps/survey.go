package swaps

import (
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/deal"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/loads"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/toggle"
)

// survey is what loads are planned from: a service's engines and its models'
// steps in one state of the ledger. It is valid only while that state is viewed
// and the keeper's mu is held.
type survey struct {
	keeper  *Keeper
	book    *jobs.State
	service paths.Service
	engines []fleet.Member
	fence   ident.Fence
	now     clock.Millis
}

// has returns the version of a model that an engine has, or is loading.
func (s *survey) has(m fleet.Member, model ident.Model) ident.Version {
	key := jobs.EngineModel{Engine: ident.BackendName(m.Name), Model: model}
	return max(s.book.LoadedVersion(key, m.Versions[model]), s.keeper.loading[key].version)
}

// plan returns the loads to order now.
func (s *survey) plan(free int) []loads.Load {
	if !s.keeper.Without.Enabled(toggle.Planning) {
		return loads.FurthestBehind(s.states(), s.models(), free)
	}
	return loads.Plan(s.states(), s.models(), free)
}

// manner lets runs end first where a text must be of one version: by a route, or by the
// acceptance of an open job, whose route may have changed since.
func (s *survey) manner(table *paths.Table) Manner {
	if table.RequiresSingleVersion(s.service.Name) {
		return Drain
	}
	for _, job := range s.book.Jobs {
		if job.Open() && job.SingleVersion && slices.Contains(s.service.Models, job.Model) {
			return Drain
		}
	}
	return Keep
}

// states returns the engines as loads find them.
func (s *survey) states() []loads.Engine {
	known := make([]deal.Engine, 0, len(s.engines))
	for _, m := range s.engines {
		known = append(known, deal.Engine{MillisPerEvent: s.book.Paces[ident.BackendName(m.Name)].MillisPerEvent})
	}
	median := deal.MedianPace(known)
	states := make([]loads.Engine, 0, len(s.engines))
	for _, m := range s.engines {
		name := ident.BackendName(m.Name)
		e := loads.Engine{Name: name, Speed: 1, Versions: map[ident.Model]ident.Version{}}
		if pace := s.book.Paces[name].MillisPerEvent; pace > 0 {
			e.Speed = median / pace
		}
		for _, model := range s.service.Models {
			e.Versions[model] = s.has(m, model)
		}
		e.Unavailable = s.barred(name)
		states = append(states, e)
	}
	return states
}

// barred tells whether an engine can't be ordered now.
func (s *survey) barred(engine ident.BackendName) bool {
	if !s.keeper.leased(s.book, engine, s.fence, s.now) || s.keeper.busy(engine) {
		return true
	}
	for _, model := range s.service.Models {
		if s.now < s.keeper.notYet[jobs.EngineModel{Engine: engine, Model: model}] {
			return true
		}
	}
	return false
}

// models returns the models of which a version was named, with the steps that
// wait and those that come next.
func (s *survey) models() []loads.Model {
	var list []loads.Model
	for _, model := range s.service.Models {
		if newest := s.keeper.Named(model); newest > 0 {
			list = append(list, loads.Model{Name: model, Newest: newest, Steps: s.steps(model, newest)})
		}
	}
	return list
}

const (
	// comingShare is what the work of a step that is yet to come counts beside
	// that of one that waits.
	comingShare = 0.7
	// unknownWork stands in for the work of a step where none was seen yet, in
	// tokens.
	unknownWork = 1000
)

// steps returns the steps of a model that wait for engines, and those that come
// next: each takes the version after the one that its predecessor took.
func (s *survey) steps(model ident.Model, newest ident.Version) []loads.Step {
	var steps []loads.Step
	coming := loads.Step{MinVersion: newest, Work: comingShare * unknownWork}
	for _, id := range s.book.JobOrder {
		job := s.book.Jobs[id]
		if job.Model != model {
			continue
		}
		whole, waiting := work(job)
		coming = loads.Step{MinVersion: job.MinVersion + 1, Work: comingShare * whole}
		if job.Open() && waiting > 0 {
			steps = append(steps, loads.Step{MinVersion: job.MinVersion, Work: waiting, Waiting: true})
		}
	}
	for coming.MinVersion < newest {
		steps = append(steps, coming)
		coming.MinVersion++
	}
	coming.MinVersion = newest
	return append(steps, coming)
}

// work returns the tokens that the items of a job are expected to have, all of
// them and those that wait for an engine.
func work(job *jobs.Job) (whole, waiting float64) {
	for n := range job.Items {
		item := &job.Items[n]
		whole += float64(item.Expect)
		if !item.Done && item.Claim == 0 {
			waiting += float64(item.Expect)
		}
	}
	return whole, waiting
}

// want turns a planned load into one that can be ordered.
func (s *survey) want(load loads.Load, manner Manner) want {
	w := want{
		key: jobs.EngineModel{Engine: load.Engine, Model: load.Model}, has: load.PreviousVersion, version: load.Version, manner: manner,
	}
	for _, m := range s.engines {
		if m.Name == string(load.Engine) {
			w.engine = m
		}
	}
	return w
}
