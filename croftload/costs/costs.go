// Package costs measures the overhead of croftmoor: the latency that it adds to a
// call, processor time per request and token, resident memory, and log appends
// without requests.
package costs

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftload/bench"
	"croftmoor.dev/croftload/drive"
	"croftmoor.dev/croftload/exper"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/views"
)

// Costs runs the measurements. Set the exported fields before Run.
type Costs struct {
	Bin   string
	Dir   string
	Out   io.Writer
	Clock *clock.Clock

	cluster *bench.Cluster
	client  httpc.Client
	// idleShare is the processor time per second of all instances together without
	// requests. It is subtracted from the processor time of requests.
	idleShare float64
}

const (
	settleTimeout    = 40 * clock.Second
	idlePeriod       = 10 * clock.Second
	callsPerFigure   = 3000
	concurrentCalls  = 16
	streamPeriod     = 8 * clock.Second
	streamsPerSecond = 60
	listedEngines    = 4000
)

// Run starts a cluster, measures it and prints one line per figure.
func (c *Costs) Run(ctx context.Context) error {
	c.cluster = &bench.Cluster{
		Bin: c.Bin, Dir: c.Dir, Clock: c.Clock,
		Shape: bench.Shape{
			Zones: []string{"a", "b", "c"}, Instances: 3, Engines: 1, Servers: 1, ServerArgs: []string{"--delay", "0"},
			EngineArgs: []string{"--slots", "64", "--rate", "2000", "--half-batch", "64"},
			Settings:   bench.Settings{LogLevel: "warn", DecisionsPerSecond: 100},
		},
	}
	defer c.cluster.Stop()
	if err := c.cluster.Start(ctx); err != nil {
		return err
	}
	team := bench.Team{Name: "team", Rate: 100_000, Slots: 64}
	began := c.Clock.Mono()
	v, err := c.cluster.Apply(ctx, "a-1", "team", bench.Change{By: "costs", Text: team.File()})
	if err != nil {
		return err
	}
	if _, err := c.cluster.WaitInForce(ctx, v.Revision, settleTimeout); err != nil {
		return err
	}
	c.print("configuration in force on 9 instances, ms", float64(c.Clock.Mono()-began))
	if err := c.cluster.WaitLed(ctx, views.Shards, settleTimeout); err != nil {
		return err
	}
	c.Clock.Sleep(ctx, idlePeriod/2)
	c.measureIdle(ctx, "idle")
	c.measureCalls(ctx)
	c.measureStreams(ctx)
	if err := c.measureManyEngines(ctx); err != nil {
		return err
	}
	return c.measureFailover(ctx)
}

// measureFailover kills an instance and measures the time and the appends until
// every shard has a primary and a backup again.
func (c *Costs) measureFailover(ctx context.Context) error {
	appends := c.appends(ctx)
	began := c.Clock.Mono()
	c.cluster.Proc("a-1").Kill()
	if err := c.cluster.Unlist("a-1"); err != nil {
		return err
	}
	if err := c.cluster.WaitLed(ctx, views.Shards, settleTimeout); err != nil {
		return err
	}
	c.print("instance killed: ms until all shards are led and backed up", float64(c.Clock.Mono()-began))
	c.print("instance killed: appends until then", c.appends(ctx)-appends)
	return nil
}

func (c *Costs) print(figure string, value float64) {
	_, _ = fmt.Fprintf(c.Out, "%-72s %12.3f\n", figure, value)
}

// measureIdle measures processor time, appends and memory without requests, and
// sets idleShare.
func (c *Costs) measureIdle(ctx context.Context, label string) {
	before, appends := c.cpuSeconds(), c.appends(ctx)
	c.Clock.Sleep(ctx, idlePeriod)
	span := idlePeriod.Duration().Seconds()
	n := float64(len(c.cluster.Instances()))
	c.idleShare = (c.cpuSeconds() - before) / span
	c.print(label+": processor share of an instance, of 9", c.idleShare/n)
	c.print(label+": appends a second of all 9 instances", (c.appends(ctx)-appends)/span)
	c.print(label+": resident memory of an instance, MB", c.residentMegabytes("b-1"))
}

// cpuSeconds returns the processor time that all instances have used.
func (c *Costs) cpuSeconds() float64 {
	sum := 0.0
	for _, name := range c.cluster.Instances() {
		sum += exper.CPUSeconds(c.cluster.Proc(name).PID())
	}
	return sum
}

// appends returns the number of records appended to the log.
func (c *Costs) appends(ctx context.Context) float64 {
	var stats struct{ Appends int64 }
	_ = c.cluster.Get(ctx, c.cluster.Proc("log").Listening, "/control/stats", &stats)
	return float64(stats.Appends)
}

// residentMegabytes returns the resident memory of a process, or 0 if it can't be
// read.
func (c *Costs) residentMegabytes(name string) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cluster.Proc(name).PID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			const kilo = 1000
			return kilobytes / kilo
		}
	}
	return 0
}

// measureCalls measures calls to a backend server directly and through an
// instance, sequential and concurrent.
func (c *Costs) measureCalls(ctx context.Context) {
	direct := ident.Address(c.cluster.Proc("server-a-1").Listening)
	through := ident.Address(c.cluster.Proc("a-1").Callers)
	c.measurePath(ctx, "direct call", direct, "/check", 1)
	c.measurePath(ctx, "repeatable call through an instance", through, "/svc/holds/check", 1)
	c.measurePath(ctx, "unrepeatable call through an instance", through, "/svc/holds/hold", 1)
	c.measurePath(ctx, "repeatable calls, 16 at once", through, "/svc/holds/check", concurrentCalls)
	c.measurePath(ctx, "unrepeatable calls, 16 at once", through, "/svc/holds/hold", concurrentCalls)
}

// measurePath measures calls of one path by the given number of concurrent callers.
func (c *Costs) measurePath(ctx context.Context, label string, to ident.Address, path string, concurrency int) {
	times := make([][]float64, concurrency)
	cpu, startedAt, appends := c.cpuSeconds(), c.Clock.Mono(), c.appends(ctx)
	var group conc.WaitGroup
	for w := range concurrency {
		group.Go(func() {
			for range callsPerFigure / concurrency {
				times[w] = append(times[w], c.call(ctx, to, path))
			}
		})
	}
	group.Wait()
	span := (c.Clock.Mono() - startedAt).Duration().Seconds()
	all := slices.Sorted(slices.Values(slices.Concat(times...)))
	n := float64(len(all))
	c.print(label+": p50, ms", all[len(all)/2])
	c.print(label+": p99, ms", all[len(all)*99/100])
	c.print(label+": calls a second", n/span)
	c.print(label+": processor ms of all instances for a call, idle share off", (c.cpuSeconds()-cpu-c.idleShare*span)*1000/n)
	c.print(label+": appends for 1,000 calls", (c.appends(ctx)-appends)*1000/n)
}

// call makes one call and returns its latency in milliseconds.
func (c *Costs) call(ctx context.Context, to ident.Address, path string) float64 {
	began := c.Clock.Precise()
	answer, err := c.client.Do(ctx, &httpc.Call{
		Address: to, Method: http.MethodPost, Path: path,
		Headers: []httpc.Header{{Name: "X-Request-ID", Value: ident.NewRandom()}},
	})
	if err != nil || answer.Status != http.StatusOK {
		c.print("a call failed", 1)
	}
	return c.Clock.Precise() - began
}

// measureStreams measures the processor time per streamed token.
func (c *Costs) measureStreams(ctx context.Context) {
	l := &drive.ModelCallers{
		Balancer: &drive.Balancer{Addresses: c.cluster.Callers}, Clock: c.Clock, Tally: drive.NewTally(),
		Service: bench.ModelService, Class: "Terminal", Rate: func(clock.Millis) float64 { return streamsPerSecond },
		Deadline: settleTimeout, MeanLength: 60, MaxTokens: 400, Stream: true,
	}
	loadCtx, stop := context.WithTimeout(ctx, streamPeriod.Duration())
	defer stop()
	tokens, cpu, began := c.generatedTokens(ctx), c.cpuSeconds(), c.Clock.Mono()
	l.Run(loadCtx)
	idle := c.idleShare * (c.Clock.Mono() - began).Duration().Seconds()
	generated := c.generatedTokens(ctx) - tokens
	c.print("streamed answers: whole and on time, share", l.Tally.OnTimeShare())
	c.print("streamed answers: tokens", generated)
	c.print("streamed answers: answers", float64(l.Tally.Requests()))
	c.print("streamed answers: processor ms of all instances for 1,000 tokens, idle share off", (c.cpuSeconds()-cpu-idle)*1e6/max(generated, 1))
}

// generatedTokens returns the number of tokens that all engines have generated.
func (c *Costs) generatedTokens(ctx context.Context) float64 {
	sum := 0.0
	for _, zone := range c.cluster.Shape.Zones {
		var stats struct{ Tokens int64 }
		_ = c.cluster.Get(ctx, c.cluster.Proc("engine-"+zone+"-1").Listening, "/control/stats", &stats)
		sum += float64(stats.Tokens)
	}
	return sum
}

// measureManyEngines repeats measureIdle with listedEngines engines in the list of
// members, all with the addresses of the three running ones.
func (c *Costs) measureManyEngines(ctx context.Context) error {
	var members []fleet.MemberWire
	for i := range listedEngines {
		zone := c.cluster.Shape.Zones[i%len(c.cluster.Shape.Zones)]
		members = append(members, fleet.MemberWire{
			Name: fmt.Sprintf("listed-%d", i), Kind: string(fleet.Backend), Service: bench.ModelService, Zone: zone,
			Address: c.cluster.Proc("engine-" + zone + "-1").Listening, State: string(fleet.Live),
		})
	}
	if err := c.cluster.ListAll(ctx, members); err != nil {
		return err
	}
	c.Clock.Sleep(ctx, idlePeriod/2)
	c.measureIdle(ctx, "4,000 engines listed")
	return nil
}
