package jobs

import (
	"maps"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// Member is an instance that has written to the ledger.
type Member struct {
	Name    ident.InstanceName
	Zone    ident.Zone
	Address ident.Address
	Leaving bool
	// Start is that of the member's heartbeats; 0 if none was read with one.
	Start ident.Offset
	// Superseded reports whether the same instance has started later under another name.
	Superseded bool
	// LastHeard is when this reader last read a record that is a sign of life.
	LastHeard clock.Millis
}

// RoleHolder is the current holder of a role.
type RoleHolder struct {
	By    ident.InstanceName
	Fence ident.Fence
}

// Load is the sum of the items that are currently claimed for an engine.
type Load struct {
	Items int
	// Expect is the sum of the items' expected tokens.
	Expect ident.Tokens
}

// Pace is the speed of an engine, estimated from the Timing of its runs.
type Pace struct {
	// MillisPerEvent is the moving average of milliseconds per event; 0 means unknown.
	MillisPerEvent float64
}

// State is the state folded from the ledger's records. It has no lock of its own.
// Records must be applied in the order of their offsets.
type State struct {
	Jobs map[ident.Job]*Job
	// JobOrder lists the jobs in the order of their acceptance.
	JobOrder []ident.Job
	Members  map[ident.InstanceName]*Member
	// RoleHolders maps a role to its current holder.
	RoleHolders map[string]RoleHolder
	Weights     map[EngineModel]Weights
	// LastOrders holds the last load order to each engine, by the engine's ListName: a
	// lease is not cut short by a restart of the engine.
	LastOrders map[string]LastOrder
	// Claims indexes the currently claimed items by their owner.
	Claims map[ident.InstanceName]map[ItemKey]struct{}
	Loads  map[ident.BackendName]Load
	Paces  map[ident.BackendName]Pace
	// FailureRates is the moving average of the share of runs that each engine failed.
	FailureRates map[ident.BackendName]float64
	// AvoidedUntil is the time on this reader's clock before which an engine gets no items.
	AvoidedUntil map[ident.BackendName]clock.Millis
	// UpToDate is set while records are read as they are written, not from the backlog.
	UpToDate bool
	// LatestJob maps an item to the newest job that contains it.
	LatestJob map[ident.Item]ident.Job
	// Closed holds the ids of jobs that are over and not in Jobs, with the time at which this
	// reader closed them. They are not accepted again.
	Closed map[ident.Job]clock.Millis
	// Usage holds the request counts of each accounting window.
	Usage map[ident.Window]*WindowUsage
	// Next is the offset after the last applied record.
	Next ident.Offset
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		Jobs: map[ident.Job]*Job{}, Members: map[ident.InstanceName]*Member{}, RoleHolders: map[string]RoleHolder{},
		Weights: map[EngineModel]Weights{}, LastOrders: map[string]LastOrder{}, Loads: map[ident.BackendName]Load{}, Paces: map[ident.BackendName]Pace{},
		LatestJob: map[ident.Item]ident.Job{}, AvoidedUntil: map[ident.BackendName]clock.Millis{},
		Claims: map[ident.InstanceName]map[ItemKey]struct{}{}, FailureRates: map[ident.BackendName]float64{},
		Closed: map[ident.Job]clock.Millis{}, Usage: map[ident.Window]*WindowUsage{},
	}
}

// Apply folds the record at offset into the state. The parameter now is the time on
// this reader's monotonic clock; readers with different clocks must still agree on
// claims, results and role holders.
func (s *State) Apply(offset ident.Offset, record Record, now clock.Millis) {
	s.Next = offset + 1
	switch r := record.(type) {
	case Accept:
		s.accept(r, now)
	case Claim:
		s.claim(offset, r, now)
	case Yield:
		s.yield(r, now)
	case SavePartial:
		s.savePartial(r, now)
	case Finish:
		s.finish(r, now)
	case End:
		s.end(r, now)
	case Heartbeat:
		s.heartbeat(r, now)
	case Hold:
		s.hold(offset, r, now)
	case LoadOrder:
		s.loadOrder(offset, r, now)
	case OrderSettled:
		s.orderSettled(r, now)
	case Loaded:
		s.loaded(r)
	case UsageDelta, UsageTotal, UsageReported:
		s.applyUsage(r)
	case Avoid:
		s.avoid(r, now)
	case Defer:
		s.markHeard(r.By, now)
	}
}

func (s *State) accept(a Accept, now clock.Millis) {
	if _, closed := s.Closed[a.Job]; closed || s.Jobs[a.Job] != nil {
		return
	}
	job := &Job{
		Accept: a, SeenAt: now, ProgressAt: now, FromBacklog: !s.UpToDate, Items: make([]Item, len(a.Items)), Waiting: len(a.Items),
		GroupLengths: map[ident.Group]ident.Tokens{}, CarriedOverGroups: map[ident.Group]bool{},
	}
	for i, spec := range a.Items {
		job.Items[i] = s.newItem(a, spec)
		job.GroupLengths[spec.Group] = max(job.GroupLengths[spec.Group], spec.Expect)
		if job.Items[i].CarriedOver {
			job.CarriedOverGroups[spec.Group] = true
		}
		s.LatestJob[spec.ID] = a.Job
	}
	job.Accept.Items = nil
	s.Jobs[a.Job] = job
	s.JobOrder = append(s.JobOrder, a.Job)
}

// newItem returns the initial state of an item. If an earlier job contained the item,
// its saved text is reused where the job's version limits allow.
func (s *State) newItem(a Accept, spec ItemSpec) Item {
	item := Item{ItemSpec: spec}
	earlier := s.Jobs[s.LatestJob[spec.ID]]
	if earlier == nil {
		return item
	}
	item.CarriedOver = true
	for _, old := range earlier.Items {
		if old.ID == spec.ID && old.Partial.Fits(a.MinVersion, a.SingleVersion) {
			item.Partial = old.Partial
		}
	}
	return item
}

// unfinishedItem returns nil if the item does not exist or already has a result.
func (s *State) unfinishedItem(id ident.Job, index int) (*Job, *Item) {
	job := s.Jobs[id]
	if job == nil || index < 0 || index >= len(job.Items) || job.Items[index].Done {
		return nil, nil
	}
	return job, &job.Items[index]
}

func (s *State) yield(y Yield, now clock.Millis) {
	s.markHeard(y.By, now)
	s.updatePace(y.Timing)
	job, item := s.unfinishedItem(y.Job, y.Index)
	if item == nil {
		return
	}
	grew := item.updatePartial(y.Partial, job.SingleVersion)
	if item.Owner == y.By {
		item.noteYield(grew, now)
		if y.Failed {
			item.FailedOn = append(item.FailedOn, item.Engine)
			s.updateFailureRate(item.Engine, 1)
		}
		s.release(job, y.Index)
		item.Yields++
		job.ProgressAt = now
	}
}

func (s *State) savePartial(k SavePartial, now clock.Millis) {
	s.markHeard(k.By, now)
	if job, item := s.unfinishedItem(k.Job, k.Index); item != nil && item.updatePartial(k.Partial, job.SingleVersion) {
		item.VainYields = 0
	}
}

func (s *State) finish(f Finish, now clock.Millis) {
	s.markHeard(f.By, now)
	s.updatePace(f.Timing)
	job, item := s.unfinishedItem(f.Job, f.Index)
	if item == nil {
		return
	}
	if item.Claim != 0 && f.Outcome == Completed {
		s.updateFailureRate(item.Engine, 0)
	}
	s.release(job, f.Index)
	job.Waiting--
	job.ProgressAt = now
	item.Done = true
	item.Partial = Partial{}
	if f.Outcome == Completed {
		item.Partial = Partial{Texts: f.Texts, Events: f.Events, Versions: f.Versions, Complete: true}
	}
	job.Results = append(job.Results, Result{Index: f.Index, Finish: f})
}

func (s *State) end(e End, now clock.Millis) {
	job := s.Jobs[e.Job]
	if job == nil {
		// Only readers of an acceptance write its end: the log has dropped that acceptance.
		s.Closed[e.Job] = now
		return
	}
	if job.Ended {
		return
	}
	job.Ended = true
	job.EndSeenAt = now
	for i := range job.Items {
		s.release(job, i)
	}
}

// Forget drops the jobs whose acceptance was read before the given time on this
// reader's clock, whether or not they have ended, and moves their ids to Closed. It drops
// the ids that were in Closed before that time.
func (s *State) Forget(now, before clock.Millis) {
	maps.DeleteFunc(s.Closed, func(_ ident.Job, closedAt clock.Millis) bool { return closedAt < before })
	kept := s.JobOrder[:0]
	for _, id := range s.JobOrder {
		job := s.Jobs[id]
		if job.SeenAt >= before {
			kept = append(kept, id)
			continue
		}
		for i := range job.Items {
			s.release(job, i)
			if s.LatestJob[job.Items[i].ID] == id {
				delete(s.LatestJob, job.Items[i].ID)
			}
		}
		delete(s.Jobs, id)
		s.Closed[id] = now
	}
	s.JobOrder = kept
}
