package feed

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"

	"croftmoor.dev/croftmoor/peers"
	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/place"
	"croftmoor.dev/kernel/steps"
	"croftmoor.dev/kernel/trail"
)

// book is the open steps of one trainer; guarded by mu.
type book struct {
	feed    *Feed
	trainer ident.Trainer

	mu      sync.Mutex
	steps   map[ident.Step]*step
	newest  ident.Version
	running int
	// latest is the latest step that was opened here.
	latest ident.Step
	// dispatching tells that the dispatcher runs.
	dispatching bool
}

// step is one open step; guarded by the book's lock.
type step struct {
	ledger  *steps.Tracker
	changed chan struct{}
	// base ends when the step is closed.
	base   context.Context
	cancel context.CancelFunc
}

const (
	dispatchPause = 10 * clock.Millis(1)
	ownerPause    = 250 * clock.Millis(1)
	// ownedTerm is how long another instance must have been the owner.
	ownedTerm = 3 * clock.Second
)

func (b *book) open(open peers.Open) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.newest = max(b.newest, open.Version)
	number := open.Spec.Step
	if s, ok := b.steps[number]; ok {
		s.ledger.HandOver(open.Have, b.newest, 0)
		s.put(open.Ready)
		return
	}
	if open.HandedOn && number <= b.latest {
		// The trainer has gone on since, here; the owner before did not know.
		return
	}
	b.latest = number
	b.closeOld(number)
	f := b.feed
	ctx, cancel := context.WithCancel(f.base)
	s := &step{
		ledger:  steps.New(open.Spec, open.Have, f.lengths.Estimate, b.policy()),
		changed: make(chan struct{}), base: ctx, cancel: cancel,
	}
	s.ledger.ObserveVersion(b.newest)
	s.put(open.Ready)
	b.steps[number] = s
	f.Trail.Add(trail.Decision{
		ID: stepID(b.trainer, number), Action: trail.Place, Choice: string(f.Self),
		Reason: fmt.Sprintf("opened with %d slots", open.Spec.Slots()),
	})
	if !b.dispatching {
		b.dispatching = true
		f.group.Go(b.dispatch)
	}
}

// policy returns the placement policy that the trainer's file names.
func (b *book) policy() place.Policy {
	name := place.Longest
	if trainer, _, ok := b.declared(); ok {
		name = trainer.Placement
	}
	policy, err := place.Policies.New(name)
	if err != nil {
		policy, _ = place.Policies.New(place.Longest)
	}
	return policy
}

// closeOld closes steps that the trainer has left behind; the lock is held.
func (b *book) closeOld(newest ident.Step) {
	for number, s := range b.steps {
		if number <= newest-maxOpenSteps || s.ledger.Complete() {
			s.cancel()
			delete(b.steps, number)
		}
	}
}

func stepID(trainer ident.Trainer, number ident.Step) string {
	return fmt.Sprintf("%s/%d", trainer, number)
}

func (s *step) put(samples []*steps.Sample) {
	for _, sample := range samples {
		s.ledger.ImportSample(sample)
	}
	if len(samples) > 0 {
		s.notify()
	}
}

func (s *step) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (b *book) publish(version ident.Version) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.publishLocked(version)
}

func (b *book) publishLocked(version ident.Version) {
	if version <= b.newest {
		return
	}
	b.newest = version
	for _, s := range b.steps {
		s.ledger.ObserveVersion(version)
	}
}

// hand is one try at a pull.
func (b *book) hand(pull peers.Pull) (peers.Pulled, chan struct{}, error) {
	trainer, _, declared := b.declared()
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.steps[pull.Step]
	if !ok {
		return peers.Pulled{}, nil, unknownStep()
	}
	if declared {
		s.ledger.SetStalenessBound(trainer.StalenessBound)
	}
	b.publishLocked(pull.Version)
	samples := s.ledger.HandOver(pull.Have, b.newest, pull.Most)
	missing, running, ready, held := s.ledger.Counts()
	for _, sample := range samples {
		b.feed.Trail.Add(trail.Decision{
			ID: sample.ID, Action: trail.Hand, Choice: string(b.trainer),
			Reason: fmt.Sprintf("oldest version %d, newest published %d", sample.Oldest(), b.newest),
		})
	}
	return peers.Pulled{
		PullID: pull.PullID, Step: pull.Step, Owner: b.feed.Self, Samples: samples,
		Missing: missing, Running: running, Ready: ready, Held: held,
	}, s.changed, nil
}

// dispatch starts attempts while there are free engine slots, until the feed
// stops. The step that the trainer needs first comes first. An instance that is
// no longer the owner, for long enough to be sure, hands the steps on.
func (b *book) dispatch() {
	f := b.feed
	owned := f.Clock.Mono()
	checked := owned
	for f.base.Err() == nil {
		if !f.isDraining() && b.startOne() {
			continue
		}
		if now := f.Clock.Mono(); now-checked > ownerPause {
			checked = now
			owned = b.keepOwned(owned, now)
		}
		f.Clock.Sleep(f.base, dispatchPause)
	}
}

// keepOwned hands the steps on if another instance has been their owner since
// owned, for ownedTerm. It returns when this instance last was the owner.
func (b *book) keepOwned(owned, now clock.Millis) clock.Millis {
	f := b.feed
	owner := f.owner(b.trainer)
	if owner == f.Self || f.isDraining() {
		return now
	}
	if now-owned <= ownedTerm {
		return owned
	}
	f.handOn(f.base, b, owner)
	return now
}

// needed returns the earliest step with a missing slot, and how many steps
// before it are still being made.
func (b *book) needed() (s *step, before int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	numbers := slices.Sorted(maps.Keys(b.steps))
	for _, number := range numbers {
		if b.steps[number].ledger.Missing() > 0 {
			return b.steps[number], before
		}
		if b.steps[number].ledger.Running() > 0 {
			before++
		}
	}
	return nil, 0
}

// startOne starts one attempt; it reports false when none can start now.
func (b *book) startOne() bool {
	f := b.feed
	s, before := b.needed()
	trainer, service, ok := b.declared()
	if s == nil || !ok || !b.mayStart(trainer, service) {
		return false
	}
	policy := b.policy()
	query := b.query(policy, trainer, service, before)
	server, runnerUp, reason := f.Pool.Pick(query)
	if server == nil {
		return false
	}
	b.mu.Lock()
	attempt, ok := s.ledger.Next()
	if ok {
		b.running++
	}
	b.mu.Unlock()
	if !ok {
		server.Release(f.Clock, false, 0, false)
		return false
	}
	t := &try{
		book: b, step: s, attempt: attempt, trainer: trainer, service: service, first: server,
		priority: policy.Priority(before), least: query.MinVersion,
	}
	f.Trail.Add(trail.Decision{
		ID: t.id(), Action: trail.Place, Choice: string(server.Name), RunnerUp: string(runnerUp), Reason: reason,
	})
	f.group.Go(func() { t.run(s.base) })
	return true
}

func (b *book) declared() (conf.Trainer, conf.Service, bool) {
	state := b.feed.Reader.Current()
	trainer, ok := state.Conf.Trainer(b.trainer)
	if !ok {
		return trainer, conf.Service{}, false
	}
	service, ok := state.Conf.Service(trainer.Service)
	return trainer, service, ok
}

// mayStart keeps the trainer within its window.
func (b *book) mayStart(trainer conf.Trainer, service conf.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	window := trainer.Window
	if window == 0 {
		window = max(1, len(b.feed.Pool.Servers(service.Name))*service.Slots)
	}
	return b.running < window
}

// query asks for a server that the policy allows: not too loaded, and fresh
// enough for the trainer's weighing of idle time against staleness.
func (b *book) query(policy place.Policy, trainer conf.Trainer, service conf.Service, before int) pool.Query {
	limits := place.Limits{
		Slots: service.Slots, StalenessBound: trainer.StalenessBound, IdleWeight: trainer.IdleWeight,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return pool.Query{
		Service: service, Trainer: b.trainer, MinVersion: max(0, b.newest-policy.MaxVersionsBehind(limits, before)), MaxLoad: policy.MaxLoad(limits),
	}
}

// leave closes the open steps and returns what their next owner needs.
func (b *book) leave() []peers.Open {
	b.mu.Lock()
	defer b.mu.Unlock()
	var opens []peers.Open
	for number, s := range b.steps {
		s.cancel()
		delete(b.steps, number)
		if s.ledger.Complete() {
			continue
		}
		have, samples := s.ledger.Export()
		opens = append(opens, peers.Open{Spec: s.ledger.Spec, Have: have, Version: b.newest, HandedOn: true, Ready: samples})
	}
	return opens
}

func (b *book) statuses() []Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Status
	for number, s := range b.steps {
		missing, running, ready, held := s.ledger.Counts()
		list = append(list, Status{
			Trainer: b.trainer, Step: number, Newest: b.newest,
			Missing: missing, Running: running, Ready: ready, Held: held, Stale: s.ledger.StaleDropped,
		})
	}
	slices.SortFunc(list, func(x, y Status) int { return int(x.Step - y.Step) })
	return list
}
