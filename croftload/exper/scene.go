package exper

import (
	"context"

	"croftmoor.dev/croftfake/engine"
	"croftmoor.dev/croftfake/stand"
	"croftmoor.dev/kernel/clock"
)

// Scenario is what happens during a run: a fault in its middle third.
type Scenario struct {
	Name string
	// EngineArgs are further flags of the engines.
	EngineArgs []string
	// Burst multiplies the live rate in the middle third.
	Burst float64
	begin func(ctx context.Context, r *Run) error
	end   func(ctx context.Context, r *Run) error
}

// Scenarios are the scenarios by name.
var Scenarios = []Scenario{
	{Name: "Calm"},
	{Name: "Burst", Burst: 3},
	{Name: "EngineCrash", begin: crashEngine},
	{Name: "SlowEngine", begin: slowEngine(4), end: slowEngine(1)},
	{Name: "ZoneCut", begin: cutZone(true), end: cutZone(false)},
	{Name: "LogOutage", begin: logOut(true), end: logOut(false)},
	{Name: "PartialSwap", begin: partialSwaps},
	{Name: "StaleReports", EngineArgs: []string{"--load-lag", "3000"}},
	{Name: "HalfFailing", begin: failServers(2), end: failServers(0)},
}

const thirds = 3

// play lets the span pass, with the fault in its middle third.
func (s *Scenario) play(ctx context.Context, r *Run) error {
	third := r.Span / thirds
	r.Clock.Sleep(ctx, third)
	if s.begin != nil {
		if err := s.begin(ctx, r); err != nil {
			return err
		}
	}
	r.Clock.Sleep(ctx, third)
	if s.end != nil {
		if err := s.end(ctx, r); err != nil {
			return err
		}
	}
	r.Clock.Sleep(ctx, third)
	return nil
}

// rate returns the live rate as it changes with time.
func (s *Scenario) rate(base float64, span clock.Millis) func(clock.Millis) float64 {
	return func(since clock.Millis) float64 {
		since -= warmUp
		if s.Burst > 0 && since > span/thirds && since < 2*span/thirds {
			return base * s.Burst
		}
		return base
	}
}

func (r *Run) firstEngine() string {
	return "engine-" + r.Deployment.Zones[0] + "-1"
}

// crashEngine has an engine play dead for good. It is not killed, so that what
// it made can still be compared with the labels.
func crashEngine(ctx context.Context, r *Run) error {
	if err := r.cluster.SetEngineFaults(ctx, r.firstEngine(), engine.Faults{Down: true}); err != nil {
		return err
	}
	return r.cluster.Unlist(r.firstEngine())
}

func slowEngine(factor float64) func(context.Context, *Run) error {
	return func(ctx context.Context, r *Run) error {
		return r.cluster.SetEngineFaults(ctx, r.firstEngine(), engine.Faults{Slow: factor})
	}
}

func partialSwaps(ctx context.Context, r *Run) error {
	const each = 2
	for _, zone := range r.Deployment.Zones {
		if err := r.cluster.SetEngineFaults(ctx, "engine-"+zone+"-1", engine.Faults{PartialSwaps: each}); err != nil {
			return err
		}
	}
	return nil
}

func cutZone(on bool) func(context.Context, *Run) error {
	return func(_ context.Context, r *Run) error {
		zone := r.Deployment.Zones[0]
		r.cluster.Cut(zone, "platform", on)
		for _, other := range r.Deployment.Zones[1:] {
			r.cluster.Cut(zone, other, on)
		}
		return nil
	}
}

func logOut(on bool) func(context.Context, *Run) error {
	return func(ctx context.Context, r *Run) error {
		return r.cluster.SetFaults(ctx, "log", stand.Faults{Out: on})
	}
}

// failServers makes half of the plain servers lose one answer in every.
func failServers(every int) func(context.Context, *Run) error {
	return func(ctx context.Context, r *Run) error {
		for i, zone := range r.Deployment.Zones {
			if i%2 == 1 {
				continue
			}
			if err := r.cluster.SetFaults(ctx, "server-"+zone+"-1", stand.Faults{FailEvery: every}); err != nil {
				return err
			}
		}
		return nil
	}
}
