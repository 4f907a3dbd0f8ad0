package proofs

import (
	"context"
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"croftmoor.dev/croftfake/engine"
	"croftmoor.dev/croftfake/train"
	"croftmoor.dev/croftload/drive"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/views"
)

type addressOf = ident.Address

// measure returns one figure that the far ends counted.
func (w *world) measure(ts *testscript.TestScript, name string) float64 {
	ctx := context.Background()
	switch {
	case strings.HasPrefix(name, "hold"):
		return w.measureHolds(ts, name)
	case strings.HasPrefix(name, "live"):
		return w.measureLive(ts, name)
	case strings.HasPrefix(name, "runs:"):
		runs, err := w.cluster.Runs(ctx)
		ts.Check(err)
		return float64(runs[strings.TrimPrefix(name, "runs:")])
	case strings.HasPrefix(name, "served:"):
		var stats engine.Stats
		ts.Check(w.cluster.Get(ctx, w.cluster.Proc(strings.TrimPrefix(name, "served:")).Listening, "/control/stats", &stats))
		return float64(stats.Tokens)
	case strings.HasPrefix(name, "ran:"):
		var runs struct{ All int64 }
		ts.Check(w.cluster.Get(ctx, w.cluster.Proc(strings.TrimPrefix(name, "ran:")).Listening, "/control/runs", &runs))
		return float64(runs.All)
	case strings.HasPrefix(name, "revision:"):
		s, err := w.cluster.Status(ctx, strings.TrimPrefix(name, "revision:"))
		ts.Check(err)
		return float64(s.Revision)
	default:
		return w.measureSamples(ts, name)
	}
}

func (w *world) measureHolds(ts *testscript.TestScript, name string) float64 {
	t := w.holds.Tally
	switch name {
	case "holdsOK":
		return float64(t.Count(drive.OK))
	case "holdsOnTime":
		return t.OnTimeShare()
	case "holdsLost":
		return float64(t.Count(drive.Lost))
	case "holdsUnknown":
		return float64(t.Count(drive.Unknown))
	case "holdsNotRun":
		return float64(t.Count(drive.NotRun))
	}
	runs, err := w.cluster.Runs(context.Background())
	ts.Check(err)
	doubled, lied := drive.CountRepeatedRuns(runs, t.ByID())
	switch name {
	case "holdsDoubled":
		return float64(doubled)
	case "holdsLied":
		return float64(lied)
	case "holdsAmplified":
		all := 0
		for _, n := range runs {
			all += n
		}
		return float64(all) / float64(max(t.Requests(), 1))
	}
	ts.Fatalf("no figure named %s", name)
	return 0
}

func (w *world) measureLive(ts *testscript.TestScript, name string) float64 {
	t := w.live.Tally
	switch name {
	case "liveOK":
		return float64(t.Count(drive.OK))
	case "liveOnTime":
		return t.OnTimeShare()
	case "liveLost":
		return float64(t.Count(drive.Lost))
	case "liveWrong":
		return float64(t.Count(drive.WrongAnswer))
	}
	ts.Fatalf("no figure named %s", name)
	return 0
}

func (w *world) measureSamples(ts *testscript.TestScript, name string) float64 {
	sum := 0.0
	made := map[string][]engine.TokenRun{}
	if name == "mislabelled" {
		var err error
		made, err = w.cluster.TokenRuns(context.Background())
		ts.Check(err)
	}
	for _, t := range w.trainer {
		r := t.Report()
		switch name {
		case "steps":
			sum += float64(r.Steps)
		case "samples":
			sum += float64(r.Samples)
		case "duplicated":
			sum += float64(r.Duplicated)
		case "stale":
			sum += float64(r.Stale)
		case "broken":
			sum += float64(r.Broken)
		case "reopened":
			sum += float64(r.ReopenCount)
		case "mislabelled":
			sum += float64(drive.CountMislabelled(t.SampleSpans(), made))
		case "mixed":
			sum += float64(mixed(t))
		default:
			ts.Fatalf("no figure named %s", name)
		}
	}
	return sum
}

// mixed counts the samples that name more than one version.
func mixed(t *train.Trainer) int {
	n := 0
	for _, spans := range t.SampleSpans() {
		if len(spans) > 1 {
			n++
		}
	}
	return n
}

// holds tells whether "figure op value" is true now.
func (w *world) holdsTrue(ts *testscript.TestScript, words []string) (bool, float64) {
	got := w.measure(ts, words[0])
	wantText := words[2]
	if words[1] == "as" {
		w.seen[wantText] = int64(got)
		return true, got
	}
	want, ok := w.remembered(wantText)
	if !ok {
		var err error
		want, err = strconv.ParseFloat(wantText, 64)
		ts.Check(err)
	}
	switch words[1] {
	case "=":
		return got == want, got
	case "<=":
		return got <= want, got
	case ">=":
		return got >= want, got
	}
	ts.Fatalf("no comparison named %s", words[1])
	return false, 0
}

func (w *world) remembered(name string) (float64, bool) {
	n, ok := w.seen[name]
	return float64(n), ok
}

// count FIGURE OP VALUE checks a figure; "as NAME" remembers it.
func cmdCount(ts *testscript.TestScript, _ bool, words []string) {
	ok, got := worldOf(ts).holdsTrue(ts, words)
	ts.Logf("%s is %v", words[0], got)
	if !ok {
		ts.Fatalf("%s is %v, want %s %s", words[0], got, words[1], words[2])
	}
}

// within MILLIS FIGURE OP VALUE waits for a figure; FIGURE may also be
// "ready" (all instances), "led" (all shards) or "versions VERSION ENGINE...".
func cmdWithin(ts *testscript.TestScript, _ bool, words []string) {
	w := worldOf(ts)
	ctx := context.Background()
	millis, err := strconv.ParseInt(words[0], 10, 64)
	ts.Check(err)
	most := clock.Millis(millis)
	began := w.clock.Mono()
	switch words[1] {
	case "led":
		ts.Check(w.cluster.WaitLed(ctx, views.Shards, most))
	case "ready":
		ts.Check(w.cluster.WaitReady(ctx, most))
	case "force":
		_, err := w.cluster.WaitInForce(ctx, w.seen["revision"], most)
		ts.Check(err)
	case "newest":
		ts.Check(w.cluster.WaitUntil(ctx, most, "the engines run the newest version", func() bool { return w.newest(ctx, words[2:]) }))
	default:
		ts.Check(w.cluster.WaitUntil(ctx, most, strings.Join(words[1:], " "), func() bool {
			ok, _ := w.holdsTrue(ts, words[1:])
			return ok
		}))
	}
	ts.Logf("after %d ms", w.clock.Mono()-began)
}

// newest tells whether the engines truly run the weight store's newest versions.
func (w *world) newest(ctx context.Context, engines []string) bool {
	var store struct{ Adapters []engine.AdapterVersion }
	if w.cluster.Get(ctx, w.cluster.Proc("weights").Listening, "/newest", &store) != nil || len(store.Adapters) == 0 {
		return false
	}
	for _, name := range engines {
		var stats engine.Stats
		if w.cluster.Get(ctx, w.cluster.Proc(name).Listening, "/control/stats", &stats) != nil {
			return false
		}
		for _, want := range store.Adapters {
			if !slices.Contains(stats.TrueVersions, want) {
				return false
			}
		}
	}
	return true
}
