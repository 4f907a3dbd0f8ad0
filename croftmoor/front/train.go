package front

import (
	"github.com/gofiber/fiber/v3"

	"croftmoor.dev/croftmoor/peers"
	"croftmoor.dev/croftmoor/refuse"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/steps"
)

// openWire opens a step. Have names the held slots as a base64 bitmap.
type openWire struct {
	Step      int64
	Prompts   []string
	GroupSize int
	MaxTokens int32
	Version   int64
	Have      string
}

// pullWire asks for samples.
type pullWire struct {
	Step       int64
	PullID     string
	Have       string
	Version    int64
	Most       int
	WaitMillis int64
}

// pulledWire hands over samples.
type pulledWire struct {
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

type versionWire struct {
	Version int64
}

const (
	defaultPull = 256
	maxPull     = 4096
)

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
			Trainer: ident.Trainer(copied(c.Params("trainer"))), Step: ident.Step(w.Step), Prompts: w.Prompts,
			GroupSize: w.GroupSize, MaxTokens: ident.Tokens(w.MaxTokens),
		},
		Have: have, Version: ident.Version(w.Version),
	}
	if err := f.Feed.Open(c.Context(), open); err != nil {
		return err
	}
	return c.SendStatus(fiber.StatusOK)
}

func (f *Front) pull(c fiber.Ctx) error {
	var w pullWire
	if err := decode(c, &w); err != nil {
		return err
	}
	have, err := steps.ParseSet(w.Have)
	if err != nil || w.Most < 0 || w.Most > maxPull {
		return refuse.New("front.pull", refuse.Invalid, "Have is not a base64 bitmap, or Most is not from 1 to 4096", "correct the request")
	}
	if w.Most == 0 {
		w.Most = defaultPull
	}
	ctx, stop := f.Watcher.Watch(c.Context(), c.RequestCtx().Conn())
	defer stop()
	pulled, err := f.Feed.Pull(ctx, peers.Pull{
		Trainer: ident.Trainer(copied(c.Params("trainer"))), Step: ident.Step(w.Step), PullID: w.PullID, Have: have,
		Version: ident.Version(w.Version), MaxSamples: w.Most, Wait: clock.Millis(w.WaitMillis),
	})
	if err != nil {
		return err
	}
	f.Metrics.Handed(copied(c.Params("trainer")), len(pulled.Samples))
	return c.JSON(pulledToWire(pulled))
}

func (f *Front) publish(c fiber.Ctx) error {
	var w versionWire
	if err := decode(c, &w); err != nil {
		return err
	}
	f.Feed.Publish(c.Context(), peers.Publication{
		Trainer: ident.Trainer(copied(c.Params("trainer"))), Version: ident.Version(w.Version),
	})
	return c.SendStatus(fiber.StatusOK)
}

func pulledToWire(p peers.Pulled) pulledWire {
	w := pulledWire{
		PullID: p.PullID, Step: int64(p.Step), Owner: string(p.Owner), Samples: []peers.SampleWire{},
		Missing: p.Missing, Running: p.Running, Ready: p.Ready, Held: p.Held,
		Complete: p.Missing+p.Running+p.Ready == 0,
	}
	for _, s := range p.Samples {
		w.Samples = append(w.Samples, peers.SampleToWire(s))
	}
	return w
}
