package front

import (
	"github.com/gofiber/fiber/v3"

	"croftmoor.dev/croftmoor/peers"
	"croftmoor.dev/croftmoor/refuse"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/steps"
)

// openWire is the JSON request that opens a step. Have is a base64 bitmap of the
// slots whose samples the trainer already holds.
type openWire struct {
	Step      int64
	Prompts   []string
	GroupSize int
	MaxTokens int32
	Version   int64
	Have      string
}

// pullWire is the JSON request for samples of a step. Have is as in openWire, Most
// is the maximum number of samples.
type pullWire struct {
	Step       int64
	PullID     string
	Have       string
	Version    int64
	Most       int
	WaitMillis int64
}

// pullResponseWire is the JSON response to pullWire. Complete means that no slot is
// missing, running or ready.
type pullResponseWire struct {
	PullID   string
	Step     int64
	Owner    string
	Samples  []peers.SampleWire
	Missing  int
	Running  int
	Ready    int
	Held     int
	Complete bool
}

// versionWire is the JSON request that publishes an adapter version.
type versionWire struct {
	Version int64
}

const (
	defaultPullSamples = 256
	maxPullSamples     = 4096
)

// openStep opens a step of a trainer.
func (f *Front) openStep(c fiber.Ctx) error {
	var w openWire
	if err := decode(c, &w); err != nil {
		return err
	}
	have, err := steps.ParseSet(w.Have)
	if err != nil {
		return refuse.New("front.openStep", refuse.Invalid, "Have is not a base64 bitmap", "send the held slots, slot 0 in the lowest bit of the first byte")
	}
	open := peers.Open{
		Spec: steps.Spec{
			Trainer: ident.Trainer(cloneString(c.Params("trainer"))), Step: ident.Step(w.Step), Prompts: w.Prompts,
			GroupSize: w.GroupSize, MaxTokens: ident.Tokens(w.MaxTokens),
		},
		Have: have, Version: ident.Version(w.Version),
	}
	if err := f.Feed.Open(c.Context(), open); err != nil {
		return err
	}
	return c.SendStatus(fiber.StatusOK)
}

// pull returns finished samples of a step. It ends early if the trainer
// disconnects.
func (f *Front) pull(c fiber.Ctx) error {
	var w pullWire
	if err := decode(c, &w); err != nil {
		return err
	}
	have, err := steps.ParseSet(w.Have)
	if err != nil || w.Most < 0 || w.Most > maxPullSamples {
		return refuse.New("front.pull", refuse.Invalid, "Have is not a base64 bitmap, or Most is not from 1 to 4096", "correct the request")
	}
	if w.Most == 0 {
		w.Most = defaultPullSamples
	}
	ctx, stop := f.Watcher.Watch(c.Context(), c.RequestCtx().Conn())
	defer stop()
	pulled, err := f.Feed.Pull(ctx, peers.Pull{
		Trainer: ident.Trainer(cloneString(c.Params("trainer"))), Step: ident.Step(w.Step), PullID: w.PullID, Have: have,
		Version: ident.Version(w.Version), MaxSamples: w.Most, Wait: clock.Millis(w.WaitMillis),
	})
	if err != nil {
		return err
	}
	f.Metrics.Handed(cloneString(c.Params("trainer")), len(pulled.Samples))
	return c.JSON(pullResponseToWire(pulled))
}

// publish announces a new adapter version of a trainer.
func (f *Front) publish(c fiber.Ctx) error {
	var w versionWire
	if err := decode(c, &w); err != nil {
		return err
	}
	f.Feed.Publish(c.Context(), peers.Publication{
		Trainer: ident.Trainer(cloneString(c.Params("trainer"))), Version: ident.Version(w.Version),
	})
	return c.SendStatus(fiber.StatusOK)
}

func pullResponseToWire(p peers.Pulled) pullResponseWire {
	w := pullResponseWire{
		PullID: p.PullID, Step: int64(p.Step), Owner: string(p.Owner), Samples: []peers.SampleWire{},
		Missing: p.Missing, Running: p.Running, Ready: p.Ready, Held: p.Held,
		Complete: p.Missing+p.Running+p.Ready == 0,
	}
	for _, s := range p.Samples {
		w.Samples = append(w.Samples, peers.SampleToWire(s))
	}
	return w
}
