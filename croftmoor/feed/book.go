package feed

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"croftmoor.dev/croftmoor/peers"
	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/ident"
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
}

// step is one open step; guarded by the book's lock.
type step struct {
	ledger  *steps.Ledger
	changed chan struct{}
	cancel  context.CancelFunc
}

const dispatchPause = 10 * clock.Millis(1)

func (b *book) open(open peers.Open) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.newest = max(b.newest, open.Version)
	number := open.Spec.Step
	if s, ok := b.steps[number]; ok {
		s.ledger.Hand(open.Have, b.newest, 0)
		s.put(open.Ready)
		return
	}
	b.closeOld(number)
	f := b.feed
	ctx, cancel := context.WithCancel(f.base)
	s := &step{
		ledger:  steps.Open(open.Spec, open.Have, f.lengths.Expect, f.Clock.Mono()),
		changed: make(chan struct{}), cancel: cancel,
	}
	s.ledger.Publish(b.newest)
	s.put(open.Ready)
	b.steps[number] = s
	f.Trail.Add(trail.Decision{
		ID: stepID(b.trainer, number), Action: trail.Place, Choice: string(f.Self),
		Reason: fmt.Sprintf("opened with %d slots", open.Spec.Slots()),
	})
	f.group.Go(func() { b.dispatch(ctx, s) })
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
		s.ledger.Put(sample)
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
		s.ledger.Publish(version)
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
		s.ledger.SetBound(trainer.StalenessBound)
	}
	b.publishLocked(pull.Version)
	samples := s.ledger.Hand(pull.Have, b.newest, pull.Most)
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

// dispatch starts attempts while there are free engine slots, until the step
// is complete or closed.
func (b *book) dispatch(ctx context.Context, s *step) {
	f := b.feed
	for ctx.Err() == nil {
		if f.isDraining() || b.complete(s) || !b.startOne(ctx, s) {
			f.Clock.Sleep(ctx, dispatchPause)
		}
	}
}

func (b *book) complete(s *step) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.ledger.Complete()
}

// startOne starts one attempt; it reports false when none can start now.
func (b *book) startOne(ctx context.Context, s *step) bool {
	f := b.feed
	trainer, service, ok := b.declared()
	if !ok || !b.mayStart(s, trainer, service) {
		return false
	}
	server, runnerUp, reason := f.Pool.Pick(b.query(trainer, service))
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
		server.Release(f.Clock.Mono(), 0, false)
		return false
	}
	t := &try{book: b, step: s, attempt: attempt, trainer: trainer, service: service, first: server}
	f.Trail.Add(trail.Decision{
		ID: t.id(), Action: trail.Place, Choice: string(server.Name), RunnerUp: string(runnerUp), Reason: reason,
	})
	f.group.Go(func() { t.run(ctx) })
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

// mayStart keeps the trainer within its window, or its share of the slots
// that are left to rollouts.
func (b *book) mayStart(s *step, trainer conf.Trainer, service conf.Service) bool {
	b.mu.Lock()
	running := b.running
	missing := s.ledger.Missing()
	b.mu.Unlock()
	window := trainer.Window
	if window == 0 {
		window = max(1, len(b.feed.Pool.Servers(service.Name))*rolloutSlots(service))
	}
	return missing > 0 && running < window
}

// rolloutSlots is how many of a server's slots rollouts may take.
func rolloutSlots(service conf.Service) int {
	return max(1, int(float64(service.Slots)*(1-service.LiveReserve)))
}

// query asks for a server that is fresh enough for the trainer's weighing of
// idle time against staleness: at weight 1 any version within the bound will
// do, at weight 0 only the newest.
func (b *book) query(trainer conf.Trainer, service conf.Service) pool.Query {
	b.mu.Lock()
	newest := b.newest
	b.mu.Unlock()
	behind := ident.Version(float64(trainer.StalenessBound)*trainer.IdleWeight + 0.5)
	return pool.Query{
		Service: service, Trainer: b.trainer,
		Least: max(0, newest-behind), Most: rolloutSlots(service),
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
		have, samples := s.ledger.Leave()
		opens = append(opens, peers.Open{Spec: s.ledger.Spec, Have: have, Version: b.newest, Ready: samples})
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
