package jobs

import (
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// Item is an item's state.
type Item struct {
	ItemSpec
	// Owner, Engine and Claim are the claim that stands; Claim is 0 if none does.
	Owner  ident.InstanceName
	Engine ident.BackendName
	Claim  ident.Offset
	// Done tells that the item has a result.
	Done bool
	// Partial is the longest beginning of the text that was kept.
	Partial Partial
	// Resubmitted tells that an earlier job had the item: the trainer waits for it.
	Resubmitted bool
	// FailedEngines are the engines that themselves failed the item, one for each time.
	FailedEngines []ident.BackendName
	// Yields counts how often the item was given back.
	Yields int
	// DeferredUntil is until when, in this reader's time, the item goes to no engine.
	DeferredUntil clock.Millis
}

// Result is a result at its position.
type Result struct {
	Index int
	Finish
}

// ItemKey names an item of a job.
type ItemKey struct {
	Job   ident.Job
	Index int
}

// Job is a job's state. Seen is when this reader read the acceptance.
type Job struct {
	Accept
	Items   []Item
	Results []Result
	// Waiting is how many items have neither a result nor a claim that stands.
	Waiting int
	// GroupLengths is the expected length of each group, that of its longest item, and
	// Brought are the groups of which an earlier job had items.
	GroupLengths      map[ident.Group]ident.Tokens
	ResubmittedGroups map[ident.Group]bool
	Ended             bool
	SeenAt            clock.Millis
	// FromBacklog tells that the acceptance was read late, so that Seen says nothing of
	// its time.
	FromBacklog bool
	// EndSeenAt is when this reader read the end.
	EndSeenAt clock.Millis
}

// Open tells whether items of the job may still be worth running.
func (j *Job) Open() bool {
	return !j.Ended && len(j.Results) < len(j.Items)
}

// Member is an instance that has written to the ledger.
type Member struct {
	Name    ident.InstanceName
	Zone    ident.Zone
	Address ident.Address
	Leaving bool
	// Superseded tells that a later life of the same instance has begun.
	Superseded bool
	LastHeard  clock.Millis
}

// RoleHolder is the hold on a role that stands.
type RoleHolder struct {
	By    ident.InstanceName
	Fence ident.Fence
}

// Weights is what the ledger says of a model's weights on an engine.
type Weights struct {
	// Version is the newest that was seen loaded.
	Version ident.Version
	// Ordered is the newest ordered, at OrderSeen; an order that is read in arrears
	// counts as given long ago.
	Ordered     ident.Version
	OrderSeenAt clock.Millis
}

// LastOrder is the last order to an engine that the ledger knows of, of whatever
// model: By gave it, under Fence, and this reader read of it at Seen.
type LastOrder struct {
	By     ident.InstanceName
	Fence  ident.Fence
	SeenAt clock.Millis
}

// LoadedVersion returns the version of a model that an engine has, as far as the ledger or
// the engine itself, whose word may be older, have told.
func (s *State) LoadedVersion(key EngineModel, reported ident.Version) ident.Version {
	return max(s.Weights[key].Version, reported)
}

// EngineModel names a model's weights on an engine.
type EngineModel struct {
	Engine ident.BackendName
	Model  ident.Model
}

// Load is what is claimed to run on an engine.
type Load struct {
	Items int
	// Expect is the sum of the items' expected tokens.
	Expect ident.Tokens
}

// Pace is the speed of an engine as results tell it.
type Pace struct {
	// MillisPerEvent is the smoothed time of one event in milliseconds; 0 is unknown.
	MillisPerEvent float64
}

// State is the folded state. It has no lock of its own. Records must be applied
// in the order of their offsets.
type State struct {
	Jobs        map[ident.Job]*Job
	JobOrder    []ident.Job
	Members     map[ident.InstanceName]*Member
	RoleHolders map[string]RoleHolder
	Weights     map[EngineModel]Weights
	// LastOrders holds the last order to each engine, by the name under which it is
	// listed: a lease ends with its term, not with a start of the engine.
	LastOrders map[string]LastOrder
	// Claims are the items whose claim stands, by their owner.
	Claims map[ident.InstanceName]map[ItemKey]struct{}
	Loads  map[ident.BackendName]Load
	Paces  map[ident.BackendName]Pace
	// FailureRates is the share of the lately ended runs that each engine itself failed.
	FailureRates map[ident.BackendName]float64
	// AvoidedUntil holds until when, in this reader's time, an engine gets no items.
	AvoidedUntil map[ident.BackendName]clock.Millis
	// CaughtUp tells that records are read as they come, not in arrears.
	CaughtUp bool
	// LatestJob finds the newest job that has an item, for items brought back.
	LatestJob map[ident.Item]ident.Job
	// Usage is what is known of each window of use.
	Usage map[ident.Window]*WindowUsage
	Next  ident.Offset
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		Jobs: map[ident.Job]*Job{}, Members: map[ident.InstanceName]*Member{}, RoleHolders: map[string]RoleHolder{},
		Weights: map[EngineModel]Weights{}, LastOrders: map[string]LastOrder{}, Loads: map[ident.BackendName]Load{}, Paces: map[ident.BackendName]Pace{},
		LatestJob: map[ident.Item]ident.Job{}, AvoidedUntil: map[ident.BackendName]clock.Millis{},
		Claims: map[ident.InstanceName]map[ItemKey]struct{}{}, FailureRates: map[ident.BackendName]float64{},
		Usage: map[ident.Window]*WindowUsage{},
	}
}

// Apply folds the record at offset. Now is the reader's own steady time; it
// never decides what a record means.
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
		s.loadOrder(r, now)
	case Loaded:
		s.loaded(r)
	case UsageDelta, UsageTotal, UsageReported:
		s.applyUsage(r)
	case Avoid:
		s.avoid(r, now)
	case Defer:
		s.defers(r, now)
	}
}

func (s *State) accept(a Accept, now clock.Millis) {
	if s.Jobs[a.Job] != nil {
		return
	}
	job := &Job{
		Accept: a, SeenAt: now, FromBacklog: !s.CaughtUp, Items: make([]Item, len(a.Items)), Waiting: len(a.Items),
		GroupLengths: map[ident.Group]ident.Tokens{}, ResubmittedGroups: map[ident.Group]bool{},
	}
	for i, plan := range a.Items {
		job.Items[i] = s.newItem(a, plan)
		job.GroupLengths[plan.Group] = max(job.GroupLengths[plan.Group], plan.Expect)
		if job.Items[i].Resubmitted {
			job.ResubmittedGroups[plan.Group] = true
		}
		s.LatestJob[plan.ID] = a.Job
	}
	job.Accept.Items = nil
	s.Jobs[a.Job] = job
	s.JobOrder = append(s.JobOrder, a.Job)
}

// newItem returns an item as its job begins. If an earlier job had it, what was
// kept of its text is taken over where the versions allow.
func (s *State) newItem(a Accept, plan ItemSpec) Item {
	item := Item{ItemSpec: plan}
	earlier := s.Jobs[s.LatestJob[plan.ID]]
	if earlier == nil {
		return item
	}
	item.Resubmitted = true
	for _, old := range earlier.Items {
		if old.ID == plan.ID && old.Partial.Fits(a.MinVersion, a.SingleVersion) {
			item.Partial = old.Partial
		}
	}
	return item
}

// unfinishedItem returns the unfinishedItem if it can still get a result.
func (s *State) unfinishedItem(id ident.Job, index int) (*Job, *Item) {
	job := s.Jobs[id]
	if job == nil || index < 0 || index >= len(job.Items) || job.Items[index].Done {
		return nil, nil
	}
	return job, &job.Items[index]
}

func (s *State) claim(offset ident.Offset, c Claim, now clock.Millis) {
	s.markHeard(c.Writer(), now)
	for _, t := range c.Targets {
		job, item := s.unfinishedItem(c.Job, t.Index)
		if item == nil || job.Ended || item.Claim != t.Replaces {
			continue
		}
		s.release(job, t.Index)
		s.assign(job, t.Index, c, offset)
	}
}

// assign puts a claim on an item that has none.
func (s *State) assign(job *Job, index int, c Claim, offset ident.Offset) {
	item := &job.Items[index]
	item.Owner, item.Engine, item.Claim = c.By, c.Engine, offset
	s.adjustLoad(item, 1)
	job.Waiting--
	if s.Claims[c.By] == nil {
		s.Claims[c.By] = map[ItemKey]struct{}{}
	}
	s.Claims[c.By][ItemKey{Job: job.Job, Index: index}] = struct{}{}
}

// release takes the claim that stands off an item.
func (s *State) release(job *Job, index int) {
	item := &job.Items[index]
	if item.Claim == 0 {
		return
	}
	s.adjustLoad(item, -1)
	job.Waiting++
	delete(s.Claims[item.Owner], ItemKey{Job: job.Job, Index: index})
	if len(s.Claims[item.Owner]) == 0 {
		delete(s.Claims, item.Owner)
	}
	item.Owner, item.Engine, item.Claim = "", "", 0
}

// adjustLoad adds an item to the load of its engine, or takes it off.
func (s *State) adjustLoad(item *Item, sign int) {
	load := s.Loads[item.Engine]
	load.Items += sign
	load.Expect += ident.Tokens(sign) * item.Expect
	if load.Items <= 0 {
		delete(s.Loads, item.Engine)
		return
	}
	s.Loads[item.Engine] = load
}

func (s *State) yield(y Yield, now clock.Millis) {
	s.markHeard(y.By, now)
	s.updatePace(y.Speed)
	job, item := s.unfinishedItem(y.Job, y.Index)
	if item == nil {
		return
	}
	item.updatePartial(y.Partial)
	if item.Owner == y.By {
		if y.Failed {
			item.FailedEngines = append(item.FailedEngines, item.Engine)
			s.updateFailureRate(item.Engine, 1)
		}
		s.release(job, y.Index)
		item.Yields++
	}
}

// defers keeps an item from all engines for a while, unless the record is read in
// arrears: then its time is over, or nearly.
func (s *State) defers(d Defer, now clock.Millis) {
	s.markHeard(d.By, now)
	if _, item := s.unfinishedItem(d.Job, d.Index); item != nil && s.CaughtUp {
		item.DeferredUntil = max(item.DeferredUntil, now+clock.Millis(d.Millis))
	}
}

func (s *State) savePartial(k SavePartial, now clock.Millis) {
	s.markHeard(k.By, now)
	if _, item := s.unfinishedItem(k.Job, k.Index); item != nil {
		item.updatePartial(k.Partial)
	}
}

// updatePartial keeps a beginning of the text if it is longer than the one that is kept.
func (i *Item) updatePartial(p Partial) {
	if p.Events > i.Partial.Events || (p.Complete && !i.Partial.Complete) {
		i.Partial = p
	}
}

func (s *State) finish(f Finish, now clock.Millis) {
	s.markHeard(f.By, now)
	s.updatePace(f.Speed)
	job, item := s.unfinishedItem(f.Job, f.Index)
	if item == nil {
		return
	}
	if item.Claim != 0 && f.State == Completed {
		s.updateFailureRate(item.Engine, 0)
	}
	s.release(job, f.Index)
	job.Waiting--
	item.Done = true
	item.Partial = Partial{}
	if f.State == Completed {
		item.Partial = Partial{Texts: f.Texts, Events: f.Events, Versions: f.Versions, Complete: true}
	}
	job.Results = append(job.Results, Result{Index: f.Index, Finish: f})
}

func (s *State) end(e End, now clock.Millis) {
	job := s.Jobs[e.Job]
	if job == nil || job.Ended {
		return
	}
	job.Ended = true
	job.EndSeenAt = now
	for i := range job.Items {
		s.release(job, i)
	}
}

// Forget drops jobs that were accepted before the given time of this reader
// and are over or too old to matter to anybody.
func (s *State) Forget(before clock.Millis) {
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
	}
	s.JobOrder = kept
}
