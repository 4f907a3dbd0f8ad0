// Package feed keeps trainers supplied: it owns the steps of some trainers,
// makes their samples on the engines and hands them over.
//
// A trainer's steps belong to the live instance that ranks first for the
// trainer. Ownership is only there to avoid double work: two owners at once,
// as after a cut, waste tokens and break no promise, because the trainer's
// pull says what it holds (see kernel/steps).
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

// Caller is the calls to other instances that this package needs.
type Caller interface {
	Open(ctx context.Context, to ident.InstanceName, open peers.Open) error
	Pull(ctx context.Context, to ident.InstanceName, pull peers.Pull) (peers.Pulled, error)
	Publish(ctx context.Context, to ident.InstanceName, p peers.Publication) error
}

// Health tells which instances take part.
type Health interface {
	Live() []views.Member
	// Suspect notes that an instance gave no answer.
	Suspect(ident.InstanceName)
}

// Feed owns steps. Set the exported fields before Run. The books are guarded
// by mu, each book by its own lock.
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
	maxSlots         = 1 << 16
	maxOpenSteps     = 3
	maxPullWait      = 20 * clock.Second
	retryAfter       = 200 * clock.Millis(1)
	defaultMaxTokens = 512
)

// Setup prepares the feed; call it before the first request.
func (f *Feed) Setup(ctx context.Context) {
	f.byTrainer = map[ident.Trainer]*trainerSteps{}
	f.ctx, f.stop = context.WithCancel(ctx)
}

// Stop gives up all attempts and waits for them.
func (f *Feed) Stop() {
	f.stop()
	f.group.Wait()
}

// Drain opens no more steps and hands the open ones, with the samples that are
// ready, on to their next owners. Attempts under way are given up; the next
// owner makes their samples.
func (f *Feed) Drain(ctx context.Context) {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	for _, ts := range f.allTrainerSteps() {
		f.transferSteps(ctx, ts, f.owner(ts.trainer))
	}
}

// transferSteps closes a trainer's steps here and opens them at their owner. If that
// fails, the trainer opens them again, and samples that were ready are made again.
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

// owner returns the instance that owns the trainer's steps.
func (f *Feed) owner(trainer ident.Trainer) ident.InstanceName {
	owner, ok := views.First("trainer-"+string(trainer), f.Health.Live())
	if !ok {
		return f.Self
	}
	return owner.Name
}

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

// ownerCallError turns the failure of a call to an owner into a refusal. A trainer may
// always ask again: nothing is handed over twice.
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

// Publish notes published weights here and at the owner.
func (f *Feed) Publish(ctx context.Context, p peers.Publication) {
	f.PublishHere(p)
	if owner := f.owner(p.Trainer); owner != f.Self {
		// The owner also learns the version from the trainer's next pull.
		_ = f.Caller.Publish(ctx, owner, p)
	}
}

// PublishHere notes published weights at this instance's own steps.
func (f *Feed) PublishHere(p peers.Publication) {
	f.mu.Lock()
	ts := f.byTrainer[p.Trainer]
	f.mu.Unlock()
	if ts != nil {
		ts.publish(p.Version)
	}
}

// Newest returns the newest version that the trainer is known here to have published.
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

// OpenHere opens a step here. Opening an open step again only notes what the
// trainer holds.
func (f *Feed) OpenHere(_ context.Context, open peers.Open) error {
	trainer, err := f.trainerConfig(open.Spec.Trainer)
	if err != nil {
		return err
	}
	if f.isDraining() {
		return refuse.After("feed.Open", refuse.NotRun, "this instance is stopping", retryAfter)
	}
	if open.HandedOn && f.owner(trainer.Name) != f.Self {
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
		return refuse.New("feed.Open", refuse.Invalid, "a step needs 1 to 65536 samples: prompts times group size", "open it with other Prompts")
	}
	f.stepsOf(trainer).open(open)
	return nil
}

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

// PullHere hands over samples of a step that is owned here, waiting for some
// if there are none.
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
	return refuse.New("feed.Pull", refuse.StepUnknown, "the step is not open at the instance that owns it now",
		"open the step again, naming the slots that you hold")
}

// Status is the standing of one open step for operators.
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

// Statuses lists the steps that are open here.
func (f *Feed) Statuses() []Status {
	var list []Status
	for _, ts := range f.allTrainerSteps() {
		list = append(list, ts.statuses()...)
	}
	return list
}
