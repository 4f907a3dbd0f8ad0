// Package exper measures policies: the same load, the same faults and the same
// seeds for each, counted at the far ends.
package exper

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftfake/engine"
	"croftmoor.dev/croftfake/relay"
	"croftmoor.dev/croftfake/train"
	"croftmoor.dev/croftload/bench"
	"croftmoor.dev/croftload/drive"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/views"
)

// Kind classifies the errors of this package.
type Kind string

// Invalid means that the experiment was asked for something unknown.
const Invalid Kind = "Invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Deployment is a user's deployment at today's size.
type Deployment struct {
	Name string
	// Zones and what stands in each.
	Zones     []string
	Instances int
	Engines   int
	Servers   int
	// Latency is the one-way latency between availability zones.
	Latency clock.Millis
	// IdleWeight weighs idle time against staleness.
	IdleWeight float64
	Bound      int
	LiveRate   float64
	CheckRate  float64
	Groups     int
	Train      clock.Millis
}

// Deployments are the two users' sizes of today, except that the number of
// engines is the nearest multiple of the zones. Time is scaled: weights come
// about every two seconds where the users' come every few minutes.
var Deployments = []Deployment{
	{
		Name: "Paynest", Zones: []string{"kakkanad-a", "kakkanad-b", "edappally", "aluva"}, Instances: 3, Engines: 3, Servers: 1,
		Latency: 1, IdleWeight: 0.9, Bound: 3, LiveRate: 60, CheckRate: 80, Groups: 8, Train: 2000,
	},
	{
		Name: "Tablewright", Zones: []string{"hall-a", "hall-b", "hall-c"}, Instances: 3, Engines: 3, Servers: 1,
		Latency: 2, IdleWeight: 0.1, Bound: 3, LiveRate: 40, CheckRate: 60, Groups: 8, Train: 2000,
	},
}

// Policy is a routing and a placement policy under one name.
type Policy struct {
	Name      string
	Route     string
	Placement string
}

// Policies are croftmoor's own and the baselines.
var Policies = []Policy{
	{Name: "Croftmoor", Route: "Balanced", Placement: "Longest"},
	{Name: "Random", Route: "Random", Placement: "Arrival"},
	{Name: "RoundRobin", Route: "RoundRobin", Placement: "Arrival"},
	{Name: "LeastReported", Route: "LeastReported", Placement: "Arrival"},
}

// Row is the result of one run. Its field names are the JSON names.
type Row struct {
	Deployment         string
	Scenario           string
	Policy             string
	Seed               int64
	TrainerIdleShare   float64
	TrainerSteps       int64
	StalenessP50       int64
	StalenessP99       int64
	StalenessMax       int64
	WastedTokenShare   float64
	LiveOnTimeShare    float64
	LiveP50Millis      int64
	LiveP99Millis      int64
	RetryAmplification float64
	AppendsPerSecond   float64
	CPUShare           float64
	BrokenPromises     int64
}

// Run is one run. Set the fields before Measure.
type Run struct {
	Deployment Deployment
	Scenario   Scenario
	Policy     Policy
	Seed       int64
	Span       clock.Millis
	Bin        string
	Dir        string
	Clock      *clock.Clock

	cluster *bench.Cluster
}

const (
	meanLength = 60
	settleMost = 40 * clock.Second
	liveTerm   = 1500 * clock.Millis(1)
	checkTerm  = 1000 * clock.Millis(1)
	warmUp     = 2 * clock.Second
	// settleTerm lets shards and leases settle before the load begins.
	settleTerm = 8 * clock.Second
)

// Measure runs the deployment under load and returns what the far ends saw.
func (r *Run) Measure(ctx context.Context) (*Row, error) {
	d := r.Deployment
	r.cluster = &bench.Cluster{
		Bin: r.Bin, Dir: filepath.Join(r.Dir, fmt.Sprintf("%s-%s-%s-%d", d.Name, r.Scenario.Name, r.Policy.Name, r.Seed)), Clock: r.Clock,
		Shape: bench.Shape{
			Zones: d.Zones, Instances: d.Instances, Engines: d.Engines, Servers: d.Servers, ListLag: 500, Cuttable: true,
			EngineArgs: append([]string{"--slots", "8", "--rate", "160", "--half-batch", "8", "--checks-fence"}, r.Scenario.EngineArgs...),
			Settings:   bench.Settings{LogLevel: "warn", DecisionsPerSecond: 100},
		},
	}
	defer r.cluster.Stop()
	if err := r.prepare(ctx); err != nil {
		return nil, err
	}
	l := r.newLoad()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var group conc.WaitGroup
	l.start(loadCtx, &group)
	r.Clock.Sleep(ctx, warmUp)
	before, began := r.cost(ctx), r.Clock.Mono()
	err := r.Scenario.play(ctx, r)
	after, span := r.cost(ctx), r.Clock.Mono()-began
	stop()
	group.Wait()
	if err != nil {
		return nil, err
	}
	row, err := l.row(ctx, r)
	if err != nil {
		return nil, err
	}
	row.AppendsPerSecond = (after.appends - before.appends) / span.Duration().Seconds()
	row.CPUShare = (after.cpu - before.cpu) / span.Duration().Seconds()
	return row, nil
}

func (r *Run) prepare(ctx context.Context) error {
	c := r.cluster
	if err := c.Start(ctx); err != nil {
		return err
	}
	for _, from := range r.Deployment.Zones {
		for _, to := range r.Deployment.Zones {
			c.SetRules(from, to+"/", relay.Rules{DelayMillis: int64(r.Deployment.Latency)})
		}
	}
	team := bench.Team{
		Name: "team", Bound: r.Deployment.Bound, Rate: 5000, Policy: r.Policy.Route, Placement: r.Policy.Placement,
		IdleWeight: r.Deployment.IdleWeight, Trainers: trainerNames, Slots: 8,
	}
	v, err := c.Apply(ctx, c.Instances()[0], "team", bench.Change{By: "experiment", Text: team.File()})
	if err != nil {
		return err
	}
	if v.Outcome != "Accepted" {
		return fault.New("exper.prepare", Invalid, v.Outcome+" "+v.Reason+v.What)
	}
	if _, err := c.WaitInForce(ctx, v.Revision, settleMost); err != nil {
		return err
	}
	if err := c.WaitLed(ctx, views.Shards, settleMost); err != nil {
		return err
	}
	r.Clock.Sleep(ctx, settleTerm)
	return nil
}

var trainerNames = []string{"fraud", "coach", "hints"}

// load is the far ends of one run.
type load struct {
	live     *drive.ModelCallers
	checks   *drive.PlainCallers
	holds    *drive.PlainCallers
	trainers []*train.Trainer
}

const holdRate = 20

func (r *Run) newLoad() *load {
	d := r.Deployment
	balancer := &drive.Balancer{Addresses: r.cluster.Callers}
	prefix := fmt.Sprintf("seed%d-", r.Seed)
	plainCall := func(path string, rate float64, repeats int) *drive.PlainCallers {
		return &drive.PlainCallers{
			Balancer: balancer, Clock: r.Clock, Tally: drive.NewTally(), Service: bench.HoldService, Path: path,
			Class: "Terminal", Rate: rate, Deadline: checkTerm, Repeats: repeats, Prefix: prefix,
		}
	}
	l := &load{
		live: &drive.ModelCallers{
			Balancer: balancer, Clock: r.Clock, Tally: drive.NewTally(), Service: bench.ModelService, Class: "Terminal",
			Rate: r.Scenario.rate(d.LiveRate, r.Span), Deadline: liveTerm, MeanLength: meanLength, MaxTokens: 40, Stream: true, Prefix: prefix,
		},
		checks: plainCall("/check", d.CheckRate, 0),
		holds:  plainCall("/hold", holdRate, 3),
	}
	for i, name := range trainerNames {
		l.trainers = append(l.trainers, &train.Trainer{
			Pick: balancer.Pick, Clock: r.Clock, Name: name, Weights: r.cluster.Proc("weights").Listening,
			Groups: d.Groups, GroupSize: 4, MaxTokens: 250, Train: d.Train, Bound: int64(d.Bound), Seed: r.Seed*10 + int64(i),
		})
	}
	return l
}

func (l *load) start(ctx context.Context, group *conc.WaitGroup) {
	group.Go(func() { l.live.Run(ctx) })
	group.Go(func() { l.checks.Run(ctx) })
	group.Go(func() { l.holds.Run(ctx) })
	for _, t := range l.trainers {
		group.Go(func() { t.Run(ctx) })
	}
}

// row counts after the load has ended.
func (l *load) row(ctx context.Context, r *Run) (*Row, error) {
	row := &Row{Deployment: r.Deployment.Name, Scenario: r.Scenario.Name, Policy: r.Policy.Name, Seed: r.Seed}
	made, err := r.cluster.TokenRuns(ctx)
	if err != nil {
		return nil, err
	}
	runs, err := r.cluster.Runs(ctx)
	if err != nil {
		return nil, err
	}
	l.countSamples(row, made)
	live := l.live.Tally
	row.LiveOnTimeShare = live.OnTimeShare()
	row.LiveP50Millis, row.LiveP99Millis = live.Quantile(50), live.Quantile(99)
	row.RetryAmplification = amplification(l.checks.Tally, runs)
	doubled, lied := drive.CountRepeatedRuns(unrepeatable(runs, l.holds.Tally), l.holds.Tally.ByID())
	row.BrokenPromises += doubled + lied + live.Count(drive.WrongAnswer)
	return row, nil
}

func (l *load) countSamples(row *Row, made map[string][]engine.TokenRun) {
	var idle, wall, used, all int64
	var staleness []int64
	for _, t := range l.trainers {
		got := t.Report()
		idle += got.IdleMillis
		wall += got.WallMillis
		row.TrainerSteps += got.Steps
		staleness = append(staleness, got.Staleness...)
		row.BrokenPromises += got.Duplicated + got.Stale + got.Broken + drive.CountMislabelled(t.SampleSpans(), made)
		for _, spans := range t.SampleSpans() {
			for _, span := range spans {
				used += int64(span.Tokens)
			}
		}
	}
	for id, runs := range made {
		if strings.Contains(id, "/") {
			for _, m := range runs {
				all += int64(m.Tokens)
			}
		}
	}
	row.TrainerIdleShare = float64(idle) / float64(max(wall, 1))
	row.WastedTokenShare = 1 - float64(used)/float64(max(all, 1))
	slices.Sort(staleness)
	if n := len(staleness); n > 0 {
		row.StalenessP50, row.StalenessP99, row.StalenessMax = staleness[n/2], staleness[n*99/100], staleness[n-1]
	}
}

// unrepeatable keeps the runs of the ids that the tally asked for.
func unrepeatable(runs map[string]int, tally *drive.Tally) map[string]int {
	kept := map[string]int{}
	for id := range tally.ByID() {
		kept[id] = runs[id]
	}
	return kept
}

// amplification is the runs at the servers for each call that was asked.
func amplification(tally *drive.Tally, runs map[string]int) float64 {
	ran := 0
	ids := tally.ByID()
	for id := range ids {
		ran += runs[id]
	}
	return float64(ran) / float64(max(len(ids), 1))
}

// cost is what the system has spent so far.
type cost struct {
	appends float64
	cpu     float64
}

func (r *Run) cost(ctx context.Context) cost {
	var stats struct{ Appends int64 }
	_ = r.cluster.Get(ctx, r.cluster.Proc("log").Listening, "/control/stats", &stats)
	c := cost{appends: float64(stats.Appends)}
	for _, name := range r.cluster.Instances() {
		c.cpu += CPUSeconds(r.cluster.Proc(name).PID())
	}
	return c
}

// Positions in /proc/PID/stat after the command's name, and its unit.
const (
	userTicks      = 11
	systemTicks    = 12
	ticksPerSecond = 100
)

// CPUSeconds returns the processor time that a process has used; 0 if it ended.
func CPUSeconds(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemTicks {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[userTicks], 64)
	system, _ := strconv.ParseFloat(fields[systemTicks], 64)
	return (user + system) / ticksPerSecond
}

// WriteJSON writes rows to a file.
func WriteJSON(path string, rows []*Row) error {
	const mode = 0o644
	data, err := json.MarshalIndent(rows, "", "  ")
	if err == nil {
		err = os.WriteFile(path, append(data, '\n'), mode)
	}
	if err != nil {
		return fault.Wrap("exper.WriteJSON", Invalid, err, path)
	}
	return nil
}
