// Package demo runs croftmoor's main job once, with faults, and reports what
// the far ends saw.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftfake/train"
	"croftmoor.dev/croftload/bench"
	"croftmoor.dev/croftload/drive"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Broken means that a promise was broken, or that the demo itself failed.
const Broken Kind = "Broken"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Report is the far ends' counts. Its field names are the JSON names.
type Report struct {
	SamplesDelivered     int64
	SamplesDuplicated    int64
	SamplesStale         int64
	SamplesMislabelled   int64
	SamplesBroken        int64
	LiveOk               int64
	LiveLate             int64
	LiveLost             int64
	LiveRefused          int64
	LiveDoubled          int64
	LiveToldNotRunButRan int64
	TrainerSteps         int64
	TrainerIdleMillis    int64
	TrainerIdleShare     float64
	ConfigSecondsToForce float64
	LiveP99Millis        int64
	WallSeconds          float64
}

// Demo is the run. Set the fields before Run.
type Demo struct {
	Bin   string
	Dir   string
	Out   io.Writer
	Clock *clock.Clock

	cluster *bench.Cluster
}

const (
	meanLength  = 60
	liveRate    = 25
	holdRate    = 20
	firstRate   = 2000
	changedRate = 3000
	liveTerm    = 4 * clock.Second
	holdTerm    = 3 * clock.Second
	phase       = 4 * clock.Second
	shards      = 64
	configMost  = 4 * clock.Second
	reportMode  = 0o644
	trainTime   = 700 * clock.Millis(1)
	settledMost = 20 * clock.Second
)

// Run runs the demo, writes demo-report.json and fails if a promise was broken.
func (d *Demo) Run(ctx context.Context) error {
	began := d.Clock.Mono()
	d.cluster = &bench.Cluster{
		Bin: d.Bin, Dir: d.Dir, Clock: d.Clock,
		Shape: bench.Shape{
			Zones: []string{"kakkanad-a", "kakkanad-b"}, Instances: 2, Engines: 2, Servers: 1, ListLag: 300,
			EngineArgs: []string{"--checks-fence"}, Settings: bench.Settings{LogLevel: "info", DecisionsPerSecond: 200},
		},
	}
	defer d.cluster.Stop()
	report, err := d.play(ctx)
	if err != nil {
		return err
	}
	report.WallSeconds = (d.Clock.Mono() - began).Duration().Seconds()
	if err := d.write(report); err != nil {
		return err
	}
	return broken(report)
}

func (d *Demo) say(text string) {
	_, _ = fmt.Fprintln(d.Out, text)
}

func (d *Demo) play(ctx context.Context) (*Report, error) {
	c := d.cluster
	d.say("starting the platform's stand-ins, 4 engines, 2 plain servers and 4 instances in 2 availability zones")
	if err := c.Start(ctx); err != nil {
		return nil, err
	}
	if _, err := d.apply(ctx, 0, firstRate); err != nil {
		return nil, err
	}
	if err := c.Led(ctx, shards, settledMost); err != nil {
		return nil, err
	}
	load := d.newLoad()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var group conc.WaitGroup
	load.start(loadCtx, &group)
	force, err := d.faults(ctx)
	stop()
	group.Wait()
	if err != nil {
		return nil, err
	}
	return load.report(ctx, c, force)
}

// faults changes the configuration and kills an instance, while the load runs
// and the trainers publish new weights after each step.
func (d *Demo) faults(ctx context.Context) (clock.Millis, error) {
	c := d.cluster
	d.Clock.Sleep(ctx, phase)
	d.say("applying a changed configuration")
	status, err := c.Status(ctx, c.Instances()[0])
	if err != nil {
		return 0, err
	}
	force, err := d.apply(ctx, status.Revision, changedRate)
	if err != nil {
		return 0, err
	}
	d.Clock.Sleep(ctx, phase)
	victim := c.Instances()[1]
	d.say("killing instance " + victim)
	c.Proc(victim).Kill()
	if err := c.Unlist(victim); err != nil {
		return 0, err
	}
	d.Clock.Sleep(ctx, 2*phase)
	return force, nil
}

func (d *Demo) apply(ctx context.Context, base int64, rate int) (clock.Millis, error) {
	began := d.Clock.Mono()
	v, err := d.cluster.Apply(ctx, d.cluster.Instances()[0], "paynest", bench.Change{Base: base, By: "demo", Text: bench.Team{Name: "paynest", Rate: rate}.File()})
	if err != nil {
		return 0, err
	}
	if v.Outcome != "Accepted" {
		return 0, fault.New("demo.apply", Broken, v.Outcome+v.Kind+": "+v.Reason+v.What)
	}
	if _, err := d.cluster.InForce(ctx, v.Revision, configMost); err != nil {
		return 0, err
	}
	return d.Clock.Mono() - began, nil
}

// load is the far ends of the demo.
type load struct {
	live     *drive.ModelCallers
	holds    *drive.PlainCallers
	trainers []*train.Trainer
}

func (d *Demo) newLoad() *load {
	balancer := &drive.Balancer{Addresses: d.cluster.Callers}
	l := &load{
		live: &drive.ModelCallers{
			Balancer: balancer, Clock: d.Clock, Tally: drive.NewTally(), Service: bench.ModelService, Class: "Terminal",
			Rate: func(clock.Millis) float64 { return liveRate }, Deadline: liveTerm, MeanLength: meanLength, MaxTokens: 200, Stream: true,
		},
		holds: &drive.PlainCallers{
			Balancer: balancer, Clock: d.Clock, Tally: drive.NewTally(), Service: bench.HoldService, Path: "/hold",
			Class: "Terminal", Rate: holdRate, Deadline: holdTerm, Repeats: 8,
		},
	}
	for i, name := range []string{"fraud", "coach"} {
		l.trainers = append(l.trainers, &train.Trainer{
			Pick: balancer.Pick, Clock: d.Clock, Name: name, Weights: d.cluster.Proc("weights").Listening,
			Groups: 8, GroupSize: 4, MaxTokens: 400, Train: trainTime, Bound: bench.DefaultBound, Seed: int64(i),
		})
	}
	return l
}

func (l *load) start(ctx context.Context, group *conc.WaitGroup) {
	group.Go(func() { l.live.Run(ctx) })
	group.Go(func() { l.holds.Run(ctx) })
	for _, t := range l.trainers {
		group.Go(func() { t.Run(ctx) })
	}
}

// report collects the counts after the load has ended.
func (l *load) report(ctx context.Context, c *bench.Cluster, force clock.Millis) (*Report, error) {
	made, err := c.Made(ctx)
	if err != nil {
		return nil, err
	}
	runs, err := c.Runs(ctx)
	if err != nil {
		return nil, err
	}
	r := &Report{ConfigSecondsToForce: force.Duration().Seconds(), LiveP99Millis: l.live.Tally.Quantile(99)}
	wall := int64(0)
	for _, t := range l.trainers {
		got := t.Report()
		r.SamplesDelivered += got.Samples
		r.SamplesDuplicated += got.Duplicated
		r.SamplesStale += got.Stale
		r.SamplesBroken += got.Broken
		r.TrainerSteps += got.Steps
		r.TrainerIdleMillis += got.IdleMillis
		r.SamplesMislabelled += drive.CountMislabelled(t.SampleSpans(), made)
		wall += got.WallMillis
	}
	r.TrainerIdleShare = float64(r.TrainerIdleMillis) / float64(max(wall, 1))
	for _, t := range []*drive.Tally{l.live.Tally, l.holds.Tally} {
		r.LiveOk += t.Count(drive.OK)
		r.LiveLate += t.Count(drive.Late)
		r.LiveLost += t.Count(drive.Lost) + t.Count(drive.WrongAnswer)
		r.LiveRefused += t.Count(drive.NotRun) + t.Count(drive.Unknown)
	}
	r.LiveDoubled, r.LiveToldNotRunButRan = drive.CountRepeatedRuns(runs, l.holds.Tally.ByID())
	return r, nil
}

func (d *Demo) write(r *Report) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fault.Wrap("demo.write", Broken, err, "the report can't be encoded")
	}
	path := "demo-report.json"
	if err := os.WriteFile(path, append(data, '\n'), reportMode); err != nil {
		return fault.Wrap("demo.write", Broken, err, path)
	}
	d.say(string(data))
	d.say("logs of all processes: " + filepath.Clean(d.Dir))
	return nil
}

// broken returns an error if a promise was broken. Requests whose connection
// broke with the killed instance are lost to callers that do not ask again;
// they are shown, and are no broken promise.
func broken(r *Report) error {
	wrong := r.SamplesDuplicated + r.SamplesStale + r.SamplesMislabelled + r.SamplesBroken + r.LiveDoubled + r.LiveToldNotRunButRan
	if wrong > 0 {
		return fault.New("demo", Broken, "a promise was broken; see demo-report.json")
	}
	if r.SamplesDelivered == 0 || r.LiveOk == 0 {
		return fault.New("demo", Broken, "nothing was served")
	}
	return nil
}
