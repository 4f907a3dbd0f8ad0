// Package feed supplies trainers with samples: an instance owns the open steps of
// some trainers, generates their samples on the engines and hands them over.
//
// The owner of a trainer's steps is the live instance that ranks first for the
// trainer. Ownership only avoids duplicate work. Two owners at once, as during a
// network partition, waste tokens but are otherwise harmless: each pull names the
// slots that the trainer holds, and these are not handed over again (see kernel/steps).
package feed

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/calls"
	"croftmoor.dev/croftmoor/gener"
	"croftmoor.dev/croftmoor/peers"
	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/croftmoor/refuse"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/fold"
	"croftmoor.dev/kernel/guess"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/trail"
	"croftmoor.dev/kernel/views"
)

// Caller calls other instances.
type Caller interface {
	Open(ctx context.Context, to ident.InstanceName, open peers.Open) error
	Pull(ctx context.Context, to ident.InstanceName, pull peers.Pull) (peers.Pulled, error)
	Publish(ctx context.Context, to ident.InstanceName, p peers.Publication) error
}

// Health knows the live instances.
type Health interface {
	// Live returns the instances that are believed to be up.
	Live() []views.Member
	// Suspect records that an instance did not answer.
	Suspect(ident.InstanceName)
}

// Feed owns the open steps of trainers. Set the exported fields before Setup. mu
// guards byTrainer and draining; each trainerSteps has its own lock.
type Feed struct {
	Self   ident.InstanceName
	Reader *fold.Reader
	Health Health
	Caller Caller
	Pool   *pool.Pool
	Gen    *gener.Generator
	Calls  *calls.Caller
	Clock  *clock.Clock
	Trail  *trail.Trail

	lengths   guess.Estimator
	group     conc.WaitGroup
	mu        sync.Mutex
	byTrainer map[ident.Trainer]*trainerSteps
	draining  bool
	ctx       context.Context
	stop      context.CancelFunc
}

const (
	// maxSlots is the maximum number of samples of a step.
	maxSlots         = 1 << 16
	maxOpenSteps     = 3
	maxPullWait      = 20 * clock.Second
	retryAfter       = 200 * clock.Millis(1)
	defaultMaxTokens = 512
)

// Setup prepares the feed. Call it before the first request. Attempts end with ctx.
func (f *Feed) Setup(ctx context.Context) {
	f.byTrainer = map[ident.Trainer]*trainerSteps{}
	f.ctx, f.stop = context.WithCancel(ctx)
}

// Stop cancels all attempts and waits until they have ended.
func (f *Feed) Stop() {
	f.stop()
	f.group.Wait()
}

// Drain stops opening steps and transfers the open ones, with their ready samples,
// to their next owners. It cancels running attempts; the next owner generates
// their samples.
func (f *Feed) Drain(ctx context.Context) {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	for _, ts := range f.allTrainerSteps() {
		f.transferSteps(ctx, ts, f.owner(ts.trainer))
	}
}

// transferSteps closes a trainer's steps on this instance and opens them at owner. If the
// call fails, or owner is this instance, the ready samples are lost, and the trainer must
// open the step again.
func (f *Feed) transferSteps(ctx context.Context, ts *trainerSteps, owner ident.InstanceName) {
	for _, open := range ts.exportAll() {
		if owner != f.Self {
			_ = f.Caller.Open(ctx, owner, open)
		}
	}
}

func (f *Feed) allTrainerSteps() []*trainerSteps {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*trainerSteps, 0, len(f.byTrainer))
	for _, ts := range f.byTrainer {
		list = append(list, ts)
	}
	return list
}

func (f *Feed) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// owner returns the instance that owns the trainer's steps, or this one if none is live.
func (f *Feed) owner(trainer ident.Trainer) ident.InstanceName {
	owner, ok := views.First("trainer-"+string(trainer), f.Health.Live())
	if !ok {
		return f.Self
	}
	return owner.Name
}

// trainerConfig returns the configuration of a trainer, or a refusal if it has none.
func (f *Feed) trainerConfig(name ident.Trainer) (conf.Trainer, error) {
	state := f.Reader.Current()
	if state != nil {
		if t, ok := state.Conf.Trainer(name); ok {
			return t, nil
		}
	}
	return conf.Trainer{}, refuse.New("feed", refuse.Invalid, "no trainer named "+string(name)+" is configured",
		"apply a file that declares it: croftctl apply")
}

// Open opens a step at its owner.
func (f *Feed) Open(ctx context.Context, open peers.Open) error {
	if _, err := f.trainerConfig(open.Spec.Trainer); err != nil {
		return err
	}
	owner := f.owner(open.Spec.Trainer)
	if owner == f.Self {
		return f.OpenHere(ctx, open)
	}
	return f.ownerCallError(ctx, owner, f.Caller.Open(ctx, owner, open))
}

// Pull asks the step's owner for samples.
func (f *Feed) Pull(ctx context.Context, pull peers.Pull) (peers.Pulled, error) {
	if _, err := f.trainerConfig(pull.Trainer); err != nil {
		return peers.Pulled{}, err
	}
	owner := f.owner(pull.Trainer)
	if owner == f.Self {
		return f.PullHere(ctx, pull)
	}
	pulled, err := f.Caller.Pull(ctx, owner, pull)
	return pulled, f.ownerCallError(ctx, owner, err)
}

// ownerCallError turns an unknown outcome of a call to an owner into a NotRun refusal,
// which the trainer may retry: a slot that it holds is not handed over again.
// Other errors are returned unchanged.
func (f *Feed) ownerCallError(ctx context.Context, owner ident.InstanceName, err error) error {
	if err == nil || refuse.Of(err).Kind != refuse.OutcomeUnknown {
		return err
	}
	if ctx.Err() == nil {
		f.Health.Suspect(owner)
	}
	refusal := refuse.After("feed", refuse.NotRun, "the instance that owns the trainer's steps gave no answer", retryAfter)
	refusal.Err = err
	return refusal
}

// Publish records a published version on this instance and at the owner.
func (f *Feed) Publish(ctx context.Context, p peers.Publication) {
	f.PublishHere(p)
	if owner := f.owner(p.Trainer); owner != f.Self {
		// The owner also learns the version from the trainer's next pull.
		_ = f.Caller.Publish(ctx, owner, p)
	}
}

// PublishHere records a published version for the steps on this instance.
func (f *Feed) PublishHere(p peers.Publication) {
	f.mu.Lock()
	ts := f.byTrainer[p.Trainer]
	f.mu.Unlock()
	if ts != nil {
		ts.publish(p.Version)
	}
}

// Newest returns the newest published version of the trainer that this instance knows of,
// or 0 if it has opened no step of the trainer.
func (f *Feed) Newest(trainer ident.Trainer) ident.Version {
	f.mu.Lock()
	ts := f.byTrainer[trainer]
	f.mu.Unlock()
	if ts == nil {
		return 0
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.newestVersion
}

// OpenHere opens a step on this instance. If the step is open, OpenHere only updates
// the slots that the trainer holds and imports the ready samples of open.
func (f *Feed) OpenHere(_ context.Context, open peers.Open) error {
	trainer, err := f.trainerConfig(open.Spec.Trainer)
	if err != nil {
		return err
	}
	if f.isDraining() {
		return refuse.After("feed.Open", refuse.NotRun, "this instance is stopping", retryAfter)
	}
	if open.HandedOver && f.owner(trainer.Name) != f.Self {
		return refuse.After("feed.Open", refuse.NotRun, "this instance does not own the trainer's steps", retryAfter)
	}
	open.Spec.StalenessBound = trainer.StalenessBound
	if open.Spec.GroupSize == 0 {
		open.Spec.GroupSize = trainer.GroupSize
	}
	if open.Spec.MaxTokens == 0 {
		open.Spec.MaxTokens = defaultMaxTokens
	}
	if n := open.Spec.Slots(); n < 1 || n > maxSlots {
		return refuse.New("feed.Open", refuse.Invalid, "a step must have 1 to 65536 samples: prompts times group size", "change the number of Prompts")
	}
	f.stepsOf(trainer).open(open)
	return nil
}

// stepsOf returns the steps of a trainer, created if there are none.
func (f *Feed) stepsOf(trainer conf.Trainer) *trainerSteps {
	f.mu.Lock()
	defer f.mu.Unlock()
	ts, ok := f.byTrainer[trainer.Name]
	if !ok {
		ts = &trainerSteps{feed: f, trainer: trainer.Name, steps: map[ident.Step]*step{}}
		f.byTrainer[trainer.Name] = ts
	}
	return ts
}

// PullHere returns samples of a step that is open on this instance. If none are
// ready and the trainer does not hold all slots, it waits for pull.Wait, at most maxPullWait,
// or until ctx ends, and then returns the counts only. It returns a StepUnknown refusal if
// the step is not open.
func (f *Feed) PullHere(ctx context.Context, pull peers.Pull) (peers.Pulled, error) {
	f.mu.Lock()
	ts := f.byTrainer[pull.Trainer]
	f.mu.Unlock()
	if ts == nil {
		return peers.Pulled{}, unknownStep()
	}
	deadline := f.Clock.Mono() + min(pull.Wait, maxPullWait)
	for {
		pulled, changed, err := ts.handOver(pull)
		remaining := deadline - f.Clock.Mono()
		if err != nil || len(pulled.Samples) > 0 || pulled.Missing+pulled.Running+pulled.Ready == 0 || remaining <= 0 {
			return pulled, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return pulled, nil
		case <-f.Clock.After(remaining):
		}
	}
}

func unknownStep() error {
	return refuse.New("feed.Pull", refuse.StepUnknown, "the step is not open at the instance that owns it",
		"open the step again with the slots that you hold")
}

// Status is the state of one open step for operators. Missing, Running, Ready and Held
// count its slots, Stale the samples and attempts dropped for staleness.
type Status struct {
	Trainer ident.Trainer
	Step    ident.Step
	Newest  ident.Version
	Missing int
	Running int
	Ready   int
	Held    int
	Stale   int
}

// Statuses returns the steps that are open on this instance.
func (f *Feed) Statuses() []Status {
	var list []Status
	for _, ts := range f.allTrainerSteps() {
		list = append(list, ts.statuses()...)
	}
	return list
}
