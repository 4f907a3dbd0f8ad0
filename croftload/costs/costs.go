// Package costs measures what croftmoor itself spends: the latency that it adds
// to a call, processor time for each request and token, memory, and control
// traffic while nothing is asked.
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

// Costs is the measurement. Set the fields before Run.
type Costs struct {
	Bin   string
	Dir   string
	Out   io.Writer
	Clock *clock.Clock

	cluster *bench.Cluster
	client  httpc.Client
	// share is the processor share of all instances while nothing is asked; it
	// is taken off what requests cost.
	share float64
}

const (
	settleMost = 40 * clock.Second
	idleSpan   = 10 * clock.Second
	calls      = 3000
	workers    = 16
	streamSpan = 8 * clock.Second
	streamRate = 60
	listed     = 4000
)

// Run measures and prints a line for each figure.
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
	if _, err := c.cluster.InForce(ctx, v.Revision, settleMost); err != nil {
		return err
	}
	c.say("configuration in force on 9 instances, ms", float64(c.Clock.Mono()-began))
	if err := c.cluster.Led(ctx, views.Shards, settleMost); err != nil {
		return err
	}
	c.Clock.Sleep(ctx, idleSpan/2)
	c.idle(ctx, "idle")
	c.latencies(ctx)
	c.streams(ctx)
	if err := c.manyEngines(ctx); err != nil {
		return err
	}
	return c.failover(ctx)
}

// failover kills an instance and waits until its shards are led and backed up.
func (c *Costs) failover(ctx context.Context) error {
	appends := c.appends(ctx)
	began := c.Clock.Mono()
	c.cluster.Proc("a-1").Kill()
	if err := c.cluster.Unlist("a-1"); err != nil {
		return err
	}
	if err := c.cluster.Led(ctx, views.Shards, settleMost); err != nil {
		return err
	}
	c.say("instance killed: ms until all shards are led and backed up", float64(c.Clock.Mono()-began))
	c.say("instance killed: appends until then", c.appends(ctx)-appends)
	return nil
}

func (c *Costs) say(what string, value float64) {
	_, _ = fmt.Fprintf(c.Out, "%-72s %12.3f\n", what, value)
}

// idle measures control while no caller asks.
func (c *Costs) idle(ctx context.Context, when string) {
	before, appends := c.cpu(), c.appends(ctx)
	c.Clock.Sleep(ctx, idleSpan)
	span := idleSpan.Duration().Seconds()
	n := float64(len(c.cluster.Instances()))
	c.share = (c.cpu() - before) / span
	c.say(when+": processor share of an instance, of 9", c.share/n)
	c.say(when+": appends a second of all 9 instances", (c.appends(ctx)-appends)/span)
	c.say(when+": resident memory of an instance, MB", c.memory("b-1"))
}

func (c *Costs) cpu() float64 {
	sum := 0.0
	for _, name := range c.cluster.Instances() {
		sum += exper.CPUSeconds(c.cluster.Proc(name).PID())
	}
	return sum
}

func (c *Costs) appends(ctx context.Context) float64 {
	var stats struct{ Appends int64 }
	_ = c.cluster.Get(ctx, c.cluster.Proc("log").Listening, "/control/stats", &stats)
	return float64(stats.Appends)
}

// memory returns a process's resident memory in MB.
func (c *Costs) memory(name string) float64 {
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

// latencies compares calls with direct ones, one after another and many at once.
func (c *Costs) latencies(ctx context.Context) {
	direct := ident.Address(c.cluster.Proc("server-a-1").Listening)
	through := ident.Address(c.cluster.Proc("a-1").Callers)
	c.callMany(ctx, "direct call", direct, "/check", 1)
	c.callMany(ctx, "repeatable call through an instance", through, "/svc/holds/check", 1)
	c.callMany(ctx, "unrepeatable call through an instance", through, "/svc/holds/hold", 1)
	c.callMany(ctx, "repeatable calls, 16 at once", through, "/svc/holds/check", workers)
	c.callMany(ctx, "unrepeatable calls, 16 at once", through, "/svc/holds/hold", workers)
}

func (c *Costs) callMany(ctx context.Context, what string, to ident.Address, path string, at int) {
	times := make([][]float64, at)
	cpu, began, appends := c.cpu(), c.Clock.Mono(), c.appends(ctx)
	var group conc.WaitGroup
	for w := range at {
		group.Go(func() {
			for range calls / at {
				times[w] = append(times[w], c.callOnce(ctx, to, path))
			}
		})
	}
	group.Wait()
	span := (c.Clock.Mono() - began).Duration().Seconds()
	all := slices.Sorted(slices.Values(slices.Concat(times...)))
	n := float64(len(all))
	c.say(what+": p50, ms", all[len(all)/2])
	c.say(what+": p99, ms", all[len(all)*99/100])
	c.say(what+": calls a second", n/span)
	c.say(what+": processor ms of all instances for a call, idle share off", (c.cpu()-cpu-c.share*span)*1000/n)
	c.say(what+": appends for 1,000 calls", (c.appends(ctx)-appends)*1000/n)
}

func (c *Costs) callOnce(ctx context.Context, to ident.Address, path string) float64 {
	began := c.Clock.Precise()
	answer, err := c.client.Do(ctx, &httpc.Call{
		Address: to, Method: http.MethodPost, Path: path,
		Headers: []httpc.Header{{Name: "X-Request-ID", Value: ident.NewRandom()}},
	})
	if err != nil || answer.Status != http.StatusOK {
		c.say("a call failed", 1)
	}
	return c.Clock.Precise() - began
}

// streams measures the processor time of streamed tokens.
func (c *Costs) streams(ctx context.Context) {
	l := &drive.Live{
		Balancer: &drive.Balancer{Addresses: c.cluster.Callers}, Clock: c.Clock, Tally: drive.NewTally(),
		Service: bench.ModelService, Class: "Terminal", Rate: func(clock.Millis) float64 { return streamRate },
		Deadline: settleMost, MeanLength: 60, MaxTokens: 400, Stream: true,
	}
	loadCtx, stop := context.WithTimeout(ctx, streamSpan.Duration())
	defer stop()
	tokens, cpu, began := c.tokens(ctx), c.cpu(), c.Clock.Mono()
	l.Run(loadCtx)
	idle := c.share * (c.Clock.Mono() - began).Duration().Seconds()
	made := c.tokens(ctx) - tokens
	c.say("streamed answers: whole and on time, share", l.Tally.OnTime())
	c.say("streamed answers: tokens", made)
	c.say("streamed answers: answers", float64(l.Tally.Asked()))
	c.say("streamed answers: processor ms of all instances for 1,000 tokens, idle share off", (c.cpu()-cpu-idle)*1e6/max(made, 1))
}

func (c *Costs) tokens(ctx context.Context) float64 {
	sum := 0.0
	for _, zone := range c.cluster.Shape.Zones {
		var stats struct{ Tokens int64 }
		_ = c.cluster.Get(ctx, c.cluster.Proc("engine-"+zone+"-1").Listening, "/control/stats", &stats)
		sum += float64(stats.Tokens)
	}
	return sum
}

// manyEngines lists 4,000 engines, all at the addresses of the three that run.
func (c *Costs) manyEngines(ctx context.Context) error {
	var members []fleet.MemberWire
	for i := range listed {
		zone := c.cluster.Shape.Zones[i%len(c.cluster.Shape.Zones)]
		members = append(members, fleet.MemberWire{
			Name: fmt.Sprintf("listed-%d", i), Kind: string(fleet.Backend), Service: bench.ModelService, Zone: zone,
			Address: c.cluster.Proc("engine-" + zone + "-1").Listening, State: string(fleet.Live),
		})
	}
	if err := c.cluster.ListAll(ctx, members); err != nil {
		return err
	}
	c.Clock.Sleep(ctx, idleSpan/2)
	c.idle(ctx, "4,000 engines listed")
	return nil
}
