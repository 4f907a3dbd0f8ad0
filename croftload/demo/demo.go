// Package demo runs a cluster under load with a configuration change and a killed
// instance, and reports the counts of its callers and trainers.
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

// Broken means that a guarantee was violated, or that the demo itself failed.
const Broken Kind = "Broken"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Report contains the counts of callers and trainers. Its field names are the JSON
// names.
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

// Demo is a run of the demo. Set the exported fields before Run.
type Demo struct {
	Bin   string
	Dir   string
	Out   io.Writer
	Clock *clock.Clock

	cluster *bench.Cluster
}

const (
	meanLength = 60
	// modelRate and holdRate are in requests per second.
	modelRate = 25
	holdRate  = 20
	// initialRateLimit and changedRateLimit are the limits before and after the
	// configuration change, in requests per second.
	initialRateLimit = 2000
	changedRateLimit = 3000
	modelDeadline    = 4 * clock.Second
	holdDeadline     = 3 * clock.Second
	phasePause       = 4 * clock.Second
	shards           = 64
	configTimeout    = 4 * clock.Second
	reportFileMode   = 0o644
	trainTime        = 700 * clock.Millis(1)
	settleTimeout    = 20 * clock.Second
)

// Run runs the demo, writes demo-report.json and returns an error if a guarantee
// was violated.
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
	report, err := d.runLoad(ctx)
	if err != nil {
		return err
	}
	report.WallSeconds = (d.Clock.Mono() - began).Duration().Seconds()
	if err := d.writeReport(report); err != nil {
		return err
	}
	return checkReport(report)
}

func (d *Demo) print(text string) {
	_, _ = fmt.Fprintln(d.Out, text)
}

// runLoad starts the cluster, runs the load with the faults and returns the counts.
func (d *Demo) runLoad(ctx context.Context) (*Report, error) {
	c := d.cluster
	d.print("starting the simulated platform, 4 engines, 2 plain servers and 4 instances in 2 availability zones")
	if err := c.Start(ctx); err != nil {
		return nil, err
	}
	if _, err := d.apply(ctx, 0, initialRateLimit); err != nil {
		return nil, err
	}
	if err := c.WaitLed(ctx, shards, settleTimeout); err != nil {
		return nil, err
	}
	load := d.newLoad()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var group conc.WaitGroup
	load.start(loadCtx, &group)
	force, err := d.injectFaults(ctx)
	stop()
	group.Wait()
	if err != nil {
		return nil, err
	}
	return load.report(ctx, c, force)
}

// injectFaults changes the configuration and kills an instance while the load
// runs. It returns the time until the changed configuration was in force.
func (d *Demo) injectFaults(ctx context.Context) (clock.Millis, error) {
	c := d.cluster
	d.Clock.Sleep(ctx, phasePause)
	d.print("applying a changed configuration")
	status, err := c.Status(ctx, c.Instances()[0])
	if err != nil {
		return 0, err
	}
	force, err := d.apply(ctx, status.Revision, changedRateLimit)
	if err != nil {
		return 0, err
	}
	d.Clock.Sleep(ctx, phasePause)
	victim := c.Instances()[1]
	d.print("killing instance " + victim)
	c.Proc(victim).Kill()
	if err := c.Unlist(victim); err != nil {
		return 0, err
	}
	d.Clock.Sleep(ctx, 2*phasePause)
	return force, nil
}

// apply applies a configuration with the rate limit, and returns the time until it
// was in force on all instances.
func (d *Demo) apply(ctx context.Context, base int64, rate int) (clock.Millis, error) {
	began := d.Clock.Mono()
	v, err := d.cluster.Apply(ctx, d.cluster.Instances()[0], "paynest", bench.Change{Base: base, By: "demo", Text: bench.Team{Name: "paynest", Rate: rate}.File()})
	if err != nil {
		return 0, err
	}
	if v.Outcome != "Accepted" {
		return 0, fault.New("demo.apply", Broken, v.Outcome+v.Kind+": "+v.Reason+v.What)
	}
	if _, err := d.cluster.WaitInForce(ctx, v.Revision, configTimeout); err != nil {
		return 0, err
	}
	return d.Clock.Mono() - began, nil
}

// load is the simulated callers and trainers.
type load struct {
	modelCallers *drive.ModelCallers
	holdCallers  *drive.PlainCallers
	trainers     []*train.Trainer
}

func (d *Demo) newLoad() *load {
	balancer := &drive.Balancer{Addresses: d.cluster.Callers}
	l := &load{
		modelCallers: &drive.ModelCallers{
			Balancer: balancer, Clock: d.Clock, Tally: drive.NewTally(), Service: bench.ModelService, Class: "Terminal",
			Rate: func(clock.Millis) float64 { return modelRate }, Deadline: modelDeadline, MeanLength: meanLength, MaxTokens: 200, Stream: true,
		},
		holdCallers: &drive.PlainCallers{
			Balancer: balancer, Clock: d.Clock, Tally: drive.NewTally(), Service: bench.HoldService, Path: "/hold",
			Class: "Terminal", Rate: holdRate, Deadline: holdDeadline, Repeats: 8,
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

// start starts all callers and trainers in group. They stop when ctx is done.
func (l *load) start(ctx context.Context, group *conc.WaitGroup) {
	group.Go(func() { l.modelCallers.Run(ctx) })
	group.Go(func() { l.holdCallers.Run(ctx) })
	for _, t := range l.trainers {
		group.Go(func() { t.Run(ctx) })
	}
}

// report collects the counts after the load has ended.
func (l *load) report(ctx context.Context, c *bench.Cluster, timeToForce clock.Millis) (*Report, error) {
	made, err := c.TokenRuns(ctx)
	if err != nil {
		return nil, err
	}
	runs, err := c.Runs(ctx)
	if err != nil {
		return nil, err
	}
	r := &Report{ConfigSecondsToForce: timeToForce.Duration().Seconds(), LiveP99Millis: l.modelCallers.Tally.Quantile(99)}
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
	for _, t := range []*drive.Tally{l.modelCallers.Tally, l.holdCallers.Tally} {
		r.LiveOk += t.Count(drive.OK)
		r.LiveLate += t.Count(drive.Late)
		r.LiveLost += t.Count(drive.Lost) + t.Count(drive.WrongAnswer)
		r.LiveRefused += t.Count(drive.NotRun) + t.Count(drive.Unknown)
	}
	r.LiveDoubled, r.LiveToldNotRunButRan = drive.CountRepeatedRuns(runs, l.holdCallers.Tally.ByID())
	return r, nil
}

// writeReport writes the report to a file and to Out.
func (d *Demo) writeReport(r *Report) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fault.Wrap("demo.write", Broken, err, "cannot encode the report")
	}
	path := "demo-report.json"
	if err := os.WriteFile(path, append(data, '\n'), reportFileMode); err != nil {
		return fault.Wrap("demo.write", Broken, err, path)
	}
	d.print(string(data))
	d.print("logs of all processes: " + filepath.Clean(d.Dir))
	return nil
}

// checkReport returns an error if a guarantee was violated. Lost requests are not an
// error: connections to the killed instance fail, and callers of the model service
// do not repeat their requests.
func checkReport(r *Report) error {
	wrong := r.SamplesDuplicated + r.SamplesStale + r.SamplesMislabelled + r.SamplesBroken + r.LiveDoubled + r.LiveToldNotRunButRan
	if wrong > 0 {
		return fault.New("demo", Broken, "a guarantee was violated; see demo-report.json")
	}
	if r.SamplesDelivered == 0 || r.LiveOk == 0 {
		return fault.New("demo", Broken, "no samples were delivered or no call was answered in time")
	}
	return nil
}
