package proofs

import (
	"context"
	"encoding/json"
	"path/filepath"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"croftmoor.dev/croftfake/engine"
	"croftmoor.dev/croftfake/relay"
	"croftmoor.dev/croftfake/stand"
	"croftmoor.dev/croftfake/train"
	"croftmoor.dev/croftload/bench"
	"croftmoor.dev/croftload/drive"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/views"
)

const (
	settleMost = 30 * clock.Second
	forceMost  = 4 * clock.Second
	meanLength = 60
)

// cluster Zones=a,b Instances=1 Engines=1 Servers=1 Cuttable=true ...
// starts a deployment and applies a configuration to it.
func cmdCluster(ts *testscript.TestScript, _ bool, words []string) {
	a := parse(ts, words)
	w := worldOf(ts)
	w.cluster = &bench.Cluster{
		Bin: binDir, Dir: filepath.Join(ts.MkAbs("."), "logs"), Clock: w.clock,
		Shape: bench.Shape{
			Zones:     strings.Split(a.text("Zones", "a,b"), ","),
			Instances: int(a.number(ts, "Instances", 1)),
			Engines:   int(a.number(ts, "Engines", 0)), Servers: int(a.number(ts, "Servers", 1)),
			EngineArgs: a.words("EngineArgs"), ServerArgs: a.words("ServerArgs"), LogArgs: a.words("LogArgs"),
			WeightsArgs: a.words("WeightsArgs"), ListLag: a.number(ts, "ListLag", 200), Cuttable: a["Cuttable"] == "true",
			Settings: bench.Settings{
				LogLevel: "info", CheckpointMillis: a.number(ts, "Checkpoint", 0), DrainMillis: a.number(ts, "Drain", 0),
				RepeatWindowMillis: a.number(ts, "RepeatWindow", 0),
			},
		},
	}
	ctx := context.Background()
	ts.Check(w.cluster.Start(ctx))
	first := w.cluster.Instances()[0]
	team := bench.Team{Name: "paynest", Bound: int(a.number(ts, "Bound", bench.DefaultBound)), Policy: a["Policy"], IdleWeight: 0.5}
	v, err := w.cluster.Apply(ctx, first, "paynest", bench.Change{By: "script", Text: team.File()})
	ts.Check(err)
	if v.Outcome != "Accepted" {
		ts.Fatalf("not accepted: %+v", v)
	}
	_, err = w.cluster.WaitInForce(ctx, v.Revision, forceMost)
	ts.Check(err)
	w.seen["revision"] = v.Revision
	ts.Check(w.cluster.WaitLed(ctx, views.Shards, settleMost))
}

// apply Through=a-1 Rate=3000 Base=current [Force=a-1,b-1] applies a changed
// configuration; with "!" it must not be accepted.
func cmdApply(ts *testscript.TestScript, neg bool, words []string) {
	a := parse(ts, words)
	w := worldOf(ts)
	ctx := context.Background()
	through := a.text("Through", w.cluster.Instances()[0])
	team := bench.Team{Name: "paynest", Rate: int(a.number(ts, "Rate", 3000))}
	base := a.number(ts, "Base", w.seen["revision"])
	v, err := w.cluster.Apply(ctx, through, "paynest", bench.Change{ID: a["ID"], Base: base, By: "script", Text: team.File()})
	ts.Check(err)
	ts.Logf("verdict: %+v", v)
	if want := a["Kind"]; want != "" && v.Kind != want && v.Outcome != want {
		ts.Fatalf("want %s, got %+v", want, v)
	}
	if neg {
		if v.Outcome == "Accepted" {
			ts.Fatalf("accepted: %+v", v)
		}
		return
	}
	if v.Outcome != "Accepted" {
		ts.Fatalf("not accepted: %+v", v)
	}
	w.seen["revision"] = v.Revision
	took, err := w.cluster.WaitInForce(ctx, v.Revision, forceMost)
	ts.Check(err)
	ts.Logf("in force after %d ms", took)
}

// race Between=a-1,b-1 has two operators edit the same revision at once:
// exactly one must be accepted.
func cmdRace(ts *testscript.TestScript, _ bool, words []string) {
	a := parse(ts, words)
	w := worldOf(ts)
	results := make(chan bench.Verdict, 2)
	for i, through := range strings.Split(a["Between"], ",") {
		team := bench.Team{Name: "paynest", Rate: 4000 + i}
		change := bench.Change{Base: w.seen["revision"], By: through, Text: team.File()}
		w.group.Go(func() {
			v, err := w.cluster.Apply(context.Background(), through, "paynest", change)
			if err != nil {
				v.Outcome = err.Error()
			}
			results <- v
		})
	}
	first, second := <-results, <-results
	ts.Logf("verdicts: %+v %+v", first, second)
	if (first.Outcome == "Accepted") == (second.Outcome == "Accepted") {
		ts.Fatalf("want one accepted and one in conflict: %+v %+v", first, second)
	}
	w.seen["revision"] = max(revisionOf(first), revisionOf(second))
}

func revisionOf(v bench.Verdict) int64 {
	if v.Outcome == "Accepted" {
		return v.Revision
	}
	return 0
}

// ctl a-1 ARGS runs croftctl against an instance.
func cmdCtl(ts *testscript.TestScript, neg bool, words []string) {
	p := worldOf(ts).cluster.Proc(words[0])
	err := ts.Exec("croftctl", append([]string{"--admin", p.Admin}, words[1:]...)...)
	if (err == nil) == neg {
		ts.Fatalf("croftctl %v: %v", words[1:], err)
	}
}

func cmdCrash(ts *testscript.TestScript, _ bool, words []string) {
	w := worldOf(ts)
	for _, name := range words {
		w.cluster.Proc(name).Kill()
		ts.Check(w.cluster.Unlist(name))
	}
}

func cmdFreeze(ts *testscript.TestScript, _ bool, words []string) {
	for _, name := range words {
		worldOf(ts).cluster.Proc(name).Freeze()
	}
}

func cmdThaw(ts *testscript.TestScript, _ bool, words []string) {
	for _, name := range words {
		worldOf(ts).cluster.Proc(name).Thaw()
	}
}

// term a-1 asks for a planned stop, which must end with exit code 0.
func cmdTerm(ts *testscript.TestScript, _ bool, words []string) {
	w := worldOf(ts)
	for _, name := range words {
		p := w.cluster.Proc(name)
		ts.Check(w.cluster.ListLeaving(name))
		p.Terminate()
		code, err := p.Wait(w.clock, settleMost)
		ts.Check(err)
		if code != 0 {
			ts.Fatalf("%s ended with exit code %d", name, code)
		}
		ts.Check(w.cluster.Unlist(name))
	}
}

// start ZONE NAME starts an instance, again after a kill.
func cmdStart(ts *testscript.TestScript, _ bool, words []string) {
	_, err := worldOf(ts).cluster.StartInstance(words[0], words[1])
	ts.Check(err)
}

func cmdCut(ts *testscript.TestScript, _ bool, words []string) {
	worldOf(ts).cluster.Cut(words[0], words[1], true)
}

// rule ZONE PLACE JSON sets the rules of the relays that lead from a zone to a
// place: freezes in one direction, delays, dropped answers.
func cmdRule(ts *testscript.TestScript, _ bool, words []string) {
	var rules relay.Rules
	ts.Check(json.Unmarshal([]byte(words[2]), &rules))
	worldOf(ts).cluster.SetRules(words[0], words[1], rules)
}

func cmdHeal(ts *testscript.TestScript, _ bool, words []string) {
	worldOf(ts).cluster.Cut(words[0], words[1], false)
}

func cmdLeave(ts *testscript.TestScript, _ bool, words []string) {
	ts.Check(worldOf(ts).cluster.ListLeaving(words[0]))
}

// fault NAME JSON sets a stand-in's faults; for engines, Slow and
// PartialSwaps go to the engine's own.
func cmdFault(ts *testscript.TestScript, _ bool, words []string) {
	w := worldOf(ts)
	ctx := context.Background()
	if strings.Contains(words[1], "Slow") || strings.Contains(words[1], "PartialSwaps") {
		var f engine.Faults
		ts.Check(json.Unmarshal([]byte(words[1]), &f))
		ts.Check(w.cluster.SetEngineFaults(ctx, words[0], f))
		return
	}
	var f stand.Faults
	ts.Check(json.Unmarshal([]byte(words[1]), &f))
	ts.Check(w.cluster.SetFaults(ctx, words[0], f))
}

// pass MILLIS lets time pass under load.
func cmdPass(ts *testscript.TestScript, _ bool, words []string) {
	a := parse(ts, []string{"Millis=" + words[0]})
	worldOf(ts).clock.Sleep(context.Background(), clock.Millis(a.number(ts, "Millis", 0)))
}

// load Holds=40 Live=20 Trainers=fraud,coach ... starts callers and trainers.
func cmdLoad(ts *testscript.TestScript, _ bool, words []string) {
	a := parse(ts, words)
	w := worldOf(ts)
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	balancer := &drive.Balancer{Addresses: w.cluster.Callers}
	deadline := clock.Millis(a.number(ts, "Deadline", 4000))
	w.holds = &drive.PlainCallers{
		Balancer: balancer, Clock: w.clock, Tally: drive.NewTally(), Service: bench.HoldService, Path: a.text("Path", "/hold"),
		Class: "Terminal", Rate: float64(a.number(ts, "Holds", 0)), Deadline: deadline, Repeats: int(a.number(ts, "Repeats", 10)),
	}
	if w.holds.Rate > 0 {
		w.group.Go(func() { w.holds.Run(ctx) })
	}
	rate := float64(a.number(ts, "Live", 0))
	w.live = &drive.ModelCallers{
		Balancer: balancer, Clock: w.clock, Tally: drive.NewTally(), Service: bench.ModelService, Class: "Terminal",
		Rate: func(clock.Millis) float64 { return rate }, Deadline: deadline,
		MeanLength: meanLength, MaxTokens: 200, Stream: a["Stream"] != "false",
	}
	if rate > 0 {
		w.group.Go(func() { w.live.Run(ctx) })
	}
	for i, name := range a.words("Trainers") {
		t := &train.Trainer{
			Pick: balancer.Pick, Clock: w.clock, Name: name, Weights: w.cluster.Proc("weights").Listening,
			Groups: int(a.number(ts, "Groups", 6)), GroupSize: 4, MaxTokens: 300,
			Train: clock.Millis(a.number(ts, "Train", 400)), Bound: a.number(ts, "Bound", bench.DefaultBound), Seed: int64(i),
		}
		w.trainer = append(w.trainer, t)
		w.group.Go(func() { t.Run(ctx) })
	}
}

// finish ends the load and waits for what is on its way.
func cmdFinish(ts *testscript.TestScript, _ bool, _ []string) {
	w := worldOf(ts)
	if w.cancel == nil {
		ts.Fatalf("no load runs")
	}
	w.cancel()
	w.group.Wait()
}

// ask ID makes one unrepeatable call in the background, without repeats.
func cmdAsk(ts *testscript.TestScript, _ bool, words []string) {
	w := worldOf(ts)
	a := parse(ts, words[1:])
	to := w.cluster.Callers
	if name := a["Through"]; name != "" {
		address := w.cluster.Proc(name).Callers
		to = func() []addressOf { return []addressOf{addressOf(address)} }
	}
	h := &drive.PlainCallers{
		Balancer: &drive.Balancer{Addresses: to}, Clock: w.clock, Tally: drive.NewTally(), Service: bench.HoldService,
		Path: "/hold", Class: "Terminal", Deadline: clock.Millis(a.number(ts, "Deadline", 3000)),
	}
	run := func() {
		outcome := h.Call(words[0])
		w.mu.Lock()
		defer w.mu.Unlock()
		w.asking[words[0]] = outcome
	}
	if a["Background"] == "true" {
		w.group.Go(run)
		return
	}
	run()
}

// asked ID OUTCOME[,OUTCOME] checks how the last ask of an id ended.
func cmdAsked(ts *testscript.TestScript, _ bool, words []string) {
	w := worldOf(ts)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, want := range strings.Split(words[1], ",") {
		if string(w.asking[words[0]]) == want {
			return
		}
	}
	ts.Fatalf("%s ended %s, want %s", words[0], w.asking[words[0]], words[1])
}
