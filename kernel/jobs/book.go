package jobs

import (
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// Item is an item's state.
type Item struct {
	Plan
	// Owner, Engine and Claim are the claim that stands; Claim is 0 if none does.
	Owner  ident.InstanceName
	Engine ident.BackendName
	Claim  ident.Offset
	// Done tells that the item has a result.
	Done bool
	// Partial is the longest beginning of the text that was kept.
	Partial Partial
	// Brought tells that an earlier job had the item: the trainer waits for it.
	Brought bool
	// FailedAt are the engines that themselves failed the item, one for each time.
	FailedAt []ident.BackendName
	// Yields counts how often the item was given back.
	Yields int
	// Deferred is until when, in this reader's time, the item goes to no engine.
	Deferred clock.Millis
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
	// Longest is the expected length of each group, that of its longest item, and
	// Brought are the groups of which an earlier job had items.
	Longest map[ident.Group]ident.Tokens
	Brought map[ident.Group]bool
	Ended   bool
	Seen    clock.Millis
	// Backlog tells that the acceptance was read late, so that Seen says nothing of
	// its time.
	Backlog bool
	// EndSeen is when this reader read the end.
	EndSeen clock.Millis
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
	// Over tells that a later life of the same instance has begun.
	Over  bool
	Heard clock.Millis
}

// Holding is the hold on a role that stands.
type Holding struct {
	By    ident.InstanceName
	Fence ident.Fence
}

// Weights is what the ledger says of a model's weights on an engine.
type Weights struct {
	// Version is the newest that was seen loaded.
	Version ident.Version
	// Ordered is the newest ordered, at OrderSeen; an order that is read in arrears
	// counts as given long ago.
	Ordered   ident.Version
	OrderSeen clock.Millis
}

// LastOrder is the last order to an engine that the ledger knows of, of whatever
// model: By gave it, under Fence, and this reader read of it at Seen.
type LastOrder struct {
	By    ident.InstanceName
	Fence ident.Fence
	Seen  clock.Millis
}

// Has returns the version of a model that an engine has, as far as the ledger or
// the engine itself, whose word may be older, have told.
func (b *Book) Has(key EngineModel, told ident.Version) ident.Version {
	return max(b.Weights[key].Version, told)
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
	// PerEvent is the smoothed time of one event in milliseconds; 0 is unknown.
	PerEvent float64
}

// Book is the folded state. It has no lock of its own. Records must be applied
// in the order of their offsets.
type Book struct {
	Jobs    map[ident.Job]*Job
	Order   []ident.Job
	Members map[ident.InstanceName]*Member
	Holds   map[string]Holding
	Weights map[EngineModel]Weights
	// LastOrders holds the last order to each engine, by the name under which it is
	// listed: a lease ends with its term, not with a start of the engine.
	LastOrders map[string]LastOrder
	// Claims are the items whose claim stands, by their owner.
	Claims map[ident.InstanceName]map[ItemKey]struct{}
	Loads  map[ident.BackendName]Load
	Paces  map[ident.BackendName]Pace
	// Faults is the share of the lately ended runs that each engine itself failed.
	Faults map[ident.BackendName]float64
	// Avoided holds until when, in this reader's time, an engine gets no items.
	Avoided map[ident.BackendName]clock.Millis
	// Current tells that records are read as they come, not in arrears.
	Current bool
	// Kept finds the newest job that has an item, for items brought back.
	Kept map[ident.Item]ident.Job
	// Use is what is known of each window of use.
	Use  map[ident.Window]*WindowUse
	Next ident.Offset
}

// NewBook returns an empty state.
func NewBook() *Book {
	return &Book{
		Jobs: map[ident.Job]*Job{}, Members: map[ident.InstanceName]*Member{}, Holds: map[string]Holding{},
		Weights: map[EngineModel]Weights{}, LastOrders: map[string]LastOrder{}, Loads: map[ident.BackendName]Load{}, Paces: map[ident.BackendName]Pace{},
		Kept: map[ident.Item]ident.Job{}, Avoided: map[ident.BackendName]clock.Millis{},
		Claims: map[ident.InstanceName]map[ItemKey]struct{}{}, Faults: map[ident.BackendName]float64{},
		Use: map[ident.Window]*WindowUse{},
	}
}

// Apply folds the record at offset. Now is the reader's own steady time; it
// never decides what a record means.
func (b *Book) Apply(offset ident.Offset, record Record, now clock.Millis) {
	b.Next = offset + 1
	switch r := record.(type) {
	case Accept:
		b.accept(r, now)
	case Claim:
		b.claim(offset, r, now)
	case Yield:
		b.yield(r, now)
	case Keep:
		b.keep(r, now)
	case Finish:
		b.finish(r, now)
	case End:
		b.end(r, now)
	case Beat:
		b.beat(r, now)
	case Hold:
		b.hold(offset, r, now)
	case Order:
		b.order(r, now)
	case Loaded:
		b.loaded(r)
	case Used, Usage, Reported:
		b.applyUse(r)
	case Avoid:
		b.avoid(r, now)
	case Defer:
		b.defers(r, now)
	}
}

func (b *Book) accept(a Accept, now clock.Millis) {
	if b.Jobs[a.Job] != nil {
		return
	}
	job := &Job{
		Accept: a, Seen: now, Backlog: !b.Current, Items: make([]Item, len(a.Items)), Waiting: len(a.Items),
		Longest: map[ident.Group]ident.Tokens{}, Brought: map[ident.Group]bool{},
	}
	for i, plan := range a.Items {
		job.Items[i] = b.fresh(a, plan)
		job.Longest[plan.Group] = max(job.Longest[plan.Group], plan.Expect)
		if job.Items[i].Brought {
			job.Brought[plan.Group] = true
		}
		b.Kept[plan.ID] = a.Job
	}
	job.Accept.Items = nil
	b.Jobs[a.Job] = job
	b.Order = append(b.Order, a.Job)
}

// fresh returns an item as its job begins. If an earlier job had it, what was
// kept of its text is taken over where the versions allow.
func (b *Book) fresh(a Accept, plan Plan) Item {
	item := Item{Plan: plan}
	earlier := b.Jobs[b.Kept[plan.ID]]
	if earlier == nil {
		return item
	}
	item.Brought = true
	for _, old := range earlier.Items {
		if old.ID == plan.ID && old.Partial.Fits(a.Least, a.Single) {
			item.Partial = old.Partial
		}
	}
	return item
}

// item returns the item if it can still get a result.
func (b *Book) item(id ident.Job, index int) (*Job, *Item) {
	job := b.Jobs[id]
	if job == nil || index < 0 || index >= len(job.Items) || job.Items[index].Done {
		return nil, nil
	}
	return job, &job.Items[index]
}

func (b *Book) claim(offset ident.Offset, c Claim, now clock.Millis) {
	b.hear(c.Writer(), now)
	for _, t := range c.Targets {
		job, item := b.item(c.Job, t.Index)
		if item == nil || job.Ended || item.Claim != t.Replaces {
			continue
		}
		b.release(job, t.Index)
		b.own(job, t.Index, c, offset)
	}
}

// own puts a claim on an item that has none.
func (b *Book) own(job *Job, index int, c Claim, offset ident.Offset) {
	item := &job.Items[index]
	item.Owner, item.Engine, item.Claim = c.By, c.Engine, offset
	b.burden(item, 1)
	job.Waiting--
	if b.Claims[c.By] == nil {
		b.Claims[c.By] = map[ItemKey]struct{}{}
	}
	b.Claims[c.By][ItemKey{Job: job.Job, Index: index}] = struct{}{}
}

// release takes the claim that stands off an item.
func (b *Book) release(job *Job, index int) {
	item := &job.Items[index]
	if item.Claim == 0 {
		return
	}
	b.burden(item, -1)
	job.Waiting++
	delete(b.Claims[item.Owner], ItemKey{Job: job.Job, Index: index})
	if len(b.Claims[item.Owner]) == 0 {
		delete(b.Claims, item.Owner)
	}
	item.Owner, item.Engine, item.Claim = "", "", 0
}

// burden adds an item to the load of its engine, or takes it off.
func (b *Book) burden(item *Item, sign int) {
	load := b.Loads[item.Engine]
	load.Items += sign
	load.Expect += ident.Tokens(sign) * item.Expect
	if load.Items <= 0 {
		delete(b.Loads, item.Engine)
		return
	}
	b.Loads[item.Engine] = load
}

func (b *Book) yield(y Yield, now clock.Millis) {
	b.hear(y.By, now)
	b.learn(y.Speed)
	job, item := b.item(y.Job, y.Index)
	if item == nil {
		return
	}
	item.take(y.Partial)
	if item.Owner == y.By {
		if y.Failed {
			item.FailedAt = append(item.FailedAt, item.Engine)
			b.judge(item.Engine, 1)
		}
		b.release(job, y.Index)
		item.Yields++
	}
}

// defers keeps an item from all engines for a while, unless the record is read in
// arrears: then its time is over, or nearly.
func (b *Book) defers(d Defer, now clock.Millis) {
	b.hear(d.By, now)
	if _, item := b.item(d.Job, d.Index); item != nil && b.Current {
		item.Deferred = max(item.Deferred, now+clock.Millis(d.Millis))
	}
}

func (b *Book) keep(k Keep, now clock.Millis) {
	b.hear(k.By, now)
	if _, item := b.item(k.Job, k.Index); item != nil {
		item.take(k.Partial)
	}
}

// take keeps a beginning of the text if it is longer than the one that is kept.
func (i *Item) take(p Partial) {
	if p.Events > i.Partial.Events || (p.Whole && !i.Partial.Whole) {
		i.Partial = p
	}
}

func (b *Book) finish(f Finish, now clock.Millis) {
	b.hear(f.By, now)
	b.learn(f.Speed)
	job, item := b.item(f.Job, f.Index)
	if item == nil {
		return
	}
	if item.Claim != 0 && f.State == Completed {
		b.judge(item.Engine, 0)
	}
	b.release(job, f.Index)
	job.Waiting--
	item.Done = true
	item.Partial = Partial{}
	if f.State == Completed {
		item.Partial = Partial{Texts: f.Texts, Events: f.Events, Versions: f.Versions, Whole: true}
	}
	job.Results = append(job.Results, Result{Index: f.Index, Finish: f})
}

func (b *Book) end(e End, now clock.Millis) {
	job := b.Jobs[e.Job]
	if job == nil || job.Ended {
		return
	}
	job.Ended = true
	job.EndSeen = now
	for i := range job.Items {
		b.release(job, i)
	}
}

// Forget drops jobs that were accepted before the given time of this reader
// and are over or too old to matter to anybody.
func (b *Book) Forget(before clock.Millis) {
	kept := b.Order[:0]
	for _, id := range b.Order {
		job := b.Jobs[id]
		if job.Seen >= before {
			kept = append(kept, id)
			continue
		}
		for i := range job.Items {
			b.release(job, i)
			if b.Kept[job.Items[i].ID] == id {
				delete(b.Kept, job.Items[i].ID)
			}
		}
		delete(b.Jobs, id)
	}
	b.Order = kept
}
