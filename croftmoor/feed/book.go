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

// trainerSteps holds the open steps of one trainer. mu guards the fields below it.
type trainerSteps struct {
	feed    *Feed
	trainer ident.Trainer

	mu              sync.Mutex
	steps           map[ident.Step]*step
	newestVersion   ident.Version
	runningAttempts int
	// lastOpened is the step that was opened last on this instance. A step that another
	// instance transfers is opened only if it is later.
	lastOpened ident.Step
	// dispatching is true once dispatch has been started.
	dispatching bool
}

// step is one open step; guarded by the lock of its trainerSteps.
type step struct {
	tracker *steps.Tracker
	changed chan struct{}
	// ctx ends when the step is closed.
	ctx    context.Context
	cancel context.CancelFunc
}

const (
	dispatchInterval   = 10 * clock.Millis(1)
	ownerCheckInterval = 250 * clock.Millis(1)
	// transferDelay is the time for which another instance must have been the owner before
	// steps are transferred to it.
	transferDelay = 3 * clock.Second
)

// open opens a step, or updates it if it is open.
func (ts *trainerSteps) open(open peers.Open) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.newestVersion = max(ts.newestVersion, open.Version)
	number := open.Spec.Step
	if s, ok := ts.steps[number]; ok {
		s.tracker.HandOver(open.Have, ts.newestVersion, 0)
		s.importSamples(open.Ready)
		return
	}
	if open.HandedOver && number <= ts.lastOpened {
		// The trainer has opened a later step on this instance; the previous owner is behind.
		return
	}
	ts.lastOpened = number
	ts.closeOld(number)
	f := ts.feed
	ctx, cancel := context.WithCancel(f.ctx)
	s := &step{
		tracker: steps.New(open.Spec, open.Have, f.lengths.Estimate, ts.policy()),
		changed: make(chan struct{}), ctx: ctx, cancel: cancel,
	}
	s.tracker.ObserveVersion(ts.newestVersion)
	s.importSamples(open.Ready)
	ts.steps[number] = s
	f.Trail.Add(trail.Decision{
		ID: stepID(ts.trainer, number), Action: trail.Place, Choice: string(f.Self),
		Reason: fmt.Sprintf("opened with %d slots", open.Spec.Slots()),
	})
	if !ts.dispatching {
		ts.dispatching = true
		f.group.Go(ts.dispatch)
	}
}

// policy returns the placement policy of the trainer's configuration, or the default
// one if there is none.
func (ts *trainerSteps) policy() place.Policy {
	name := place.Longest
	if trainer, _, ok := ts.config(); ok {
		name = trainer.Placement
	}
	policy, err := place.Policies.New(name)
	if err != nil {
		policy, _ = place.Policies.New(place.Longest)
	}
	return policy
}

// closeOld closes complete steps and those that exceed maxOpenSteps now that newest is
// open. The caller holds the lock.
func (ts *trainerSteps) closeOld(newest ident.Step) {
	for number, s := range ts.steps {
		if number <= newest-maxOpenSteps || s.tracker.Complete() {
			s.cancel()
			delete(ts.steps, number)
		}
	}
}

func stepID(trainer ident.Trainer, number ident.Step) string {
	return fmt.Sprintf("%s/%d", trainer, number)
}

// importSamples fills missing slots with ready samples of the previous owner.
func (s *step) importSamples(samples []*steps.Sample) {
	for _, sample := range samples {
		s.tracker.ImportSample(sample)
	}
	if len(samples) > 0 {
		s.notify()
	}
}

// notify wakes the pulls that wait for samples.
func (s *step) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// publish records a published version, if it is newer than those known.
func (ts *trainerSteps) publish(version ident.Version) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.publishLocked(version)
}

// publishLocked is publish for callers that hold the lock.
func (ts *trainerSteps) publishLocked(version ident.Version) {
	if version <= ts.newestVersion {
		return
	}
	ts.newestVersion = version
	for _, s := range ts.steps {
		s.tracker.ObserveVersion(version)
	}
}

// handOver answers a pull without waiting. It also returns the channel that is closed when
// more samples are ready.
func (ts *trainerSteps) handOver(pull peers.Pull) (peers.Pulled, chan struct{}, error) {
	trainer, _, declared := ts.config()
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s, ok := ts.steps[pull.Step]
	if !ok {
		return peers.Pulled{}, nil, unknownStep()
	}
	if declared {
		s.tracker.SetStalenessBound(trainer.StalenessBound)
	}
	ts.publishLocked(pull.Version)
	samples := s.tracker.HandOver(pull.Have, ts.newestVersion, pull.MaxSamples)
	missing, running, ready, held := s.tracker.Counts()
	for _, sample := range samples {
		ts.feed.Trail.Add(trail.Decision{
			ID: sample.ID, Action: trail.Hand, Choice: string(ts.trainer),
			Reason: fmt.Sprintf("oldest version %d, newest published %d", sample.Oldest(), ts.newestVersion),
		})
	}
	return peers.Pulled{
		PullID: pull.PullID, Step: pull.Step, Owner: ts.feed.Self, Samples: samples,
		Missing: missing, Running: running, Ready: ready, Held: held,
	}, s.changed, nil
}

// dispatch starts attempts while engines have free slots, until the feed stops. Earlier
// steps come first. It transfers the steps once another instance has owned them for
// transferDelay.
func (ts *trainerSteps) dispatch() {
	f := ts.feed
	lastOwned := f.Clock.Mono()
	lastChecked := lastOwned
	for f.ctx.Err() == nil {
		if !f.isDraining() && ts.startAttempt() {
			continue
		}
		if now := f.Clock.Mono(); now-lastChecked > ownerCheckInterval {
			lastChecked = now
			lastOwned = ts.transferUnlessOwner(lastOwned, now)
		}
		f.Clock.Sleep(f.ctx, dispatchInterval)
	}
}

// transferUnlessOwner transfers the steps if another instance has been their owner for
// longer than transferDelay. It returns the new lastOwned, the time since which another
// instance has been the owner; draining and a transfer reset it to now.
func (ts *trainerSteps) transferUnlessOwner(lastOwned, now clock.Millis) clock.Millis {
	f := ts.feed
	owner := f.owner(ts.trainer)
	if owner == f.Self || f.isDraining() {
		return now
	}
	if now-lastOwned <= transferDelay {
		return lastOwned
	}
	f.transferSteps(f.ctx, ts, owner)
	return now
}

// nextStep returns the earliest step with a missing slot, or nil, and the number of earlier
// steps that have running attempts.
func (ts *trainerSteps) nextStep() (s *step, stepsBefore int) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	numbers := slices.Sorted(maps.Keys(ts.steps))
	for _, number := range numbers {
		if ts.steps[number].tracker.Missing() > 0 {
			return ts.steps[number], stepsBefore
		}
		if ts.steps[number].tracker.Running() > 0 {
			stepsBefore++
		}
	}
	return nil, 0
}

// startAttempt starts one attempt. It returns false if none can start now. Pick counts the
// attempt at the server, so an attempt that does not start must be released there.
func (ts *trainerSteps) startAttempt() bool {
	f := ts.feed
	s, stepsBefore := ts.nextStep()
	trainer, service, ok := ts.config()
	if s == nil || !ok || !ts.belowWindow(trainer, service) {
		return false
	}
	policy := ts.policy()
	query := ts.poolQuery(policy, trainer, service, stepsBefore)
	server, runnerUp, reason := f.Pool.Pick(query)
	if server == nil {
		return false
	}
	ts.mu.Lock()
	attempt, ok := s.tracker.Next()
	if ok {
		ts.runningAttempts++
	}
	ts.mu.Unlock()
	if !ok {
		server.Release(f.Clock, false, 0, false)
		return false
	}
	a := &sampleAttempt{
		parent: ts, step: s, attempt: attempt, trainer: trainer, service: service, server: server,
		priority: policy.Priority(stepsBefore), minVersion: query.MinVersion,
	}
	f.Trail.Add(trail.Decision{
		ID: a.id(), Action: trail.Place, Choice: string(server.Name), RunnerUp: string(runnerUp), Reason: reason,
	})
	f.group.Go(func() { a.run(s.ctx) })
	return true
}

// config returns the configuration of the trainer and its service, or false if either is missing.
func (ts *trainerSteps) config() (conf.Trainer, conf.Service, bool) {
	state := ts.feed.Reader.Current()
	trainer, ok := state.Conf.Trainer(ts.trainer)
	if !ok {
		return trainer, conf.Service{}, false
	}
	service, ok := state.Conf.Service(trainer.Service)
	return trainer, service, ok
}

// belowWindow reports whether the trainer has fewer running attempts than its window, by
// default the slots of all servers of the service.
func (ts *trainerSteps) belowWindow(trainer conf.Trainer, service conf.Service) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	window := trainer.Window
	if window == 0 {
		window = max(1, len(ts.feed.Pool.Servers(service.Name))*service.Slots)
	}
	return ts.runningAttempts < window
}

// poolQuery returns a query for the servers that the policy allows: those below its load
// limit, with weights that are recent enough.
func (ts *trainerSteps) poolQuery(policy place.Policy, trainer conf.Trainer, service conf.Service, stepsBefore int) pool.Query {
	limits := place.Limits{
		Slots: service.Slots, StalenessBound: trainer.StalenessBound, IdleWeight: trainer.IdleWeight,
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return pool.Query{
		Service: service, Trainer: ts.trainer, MinVersion: max(0, ts.newestVersion-policy.MaxVersionsBehind(limits, stepsBefore)), MaxLoad: policy.MaxLoad(limits),
	}
}

// exportAll closes the open steps and returns requests that open the incomplete ones at
// their next owner.
func (ts *trainerSteps) exportAll() []peers.Open {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	var opens []peers.Open
	for number, s := range ts.steps {
		s.cancel()
		delete(ts.steps, number)
		if s.tracker.Complete() {
			continue
		}
		have, samples := s.tracker.Export()
		opens = append(opens, peers.Open{Spec: s.tracker.Spec, Have: have, Version: ts.newestVersion, HandedOver: true, Ready: samples})
	}
	return opens
}

func (ts *trainerSteps) statuses() []Status {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	var list []Status
	for number, s := range ts.steps {
		missing, running, ready, held := s.tracker.Counts()
		list = append(list, Status{
			Trainer: ts.trainer, Step: number, Newest: ts.newestVersion,
			Missing: missing, Running: running, Ready: ready, Held: held, Stale: s.tracker.StaleDropped,
		})
	}
	slices.SortFunc(list, func(x, y Status) int { return int(x.Step - y.Step) })
	return list
}
