package batch

import (
	"context"
	"fmt"
	"testing"

	"croftmoor.dev/croftmoor/work"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

// outdatedLedger is a ledger whose state is not current.
type outdatedLedger struct{ *stateLedger }

func (outdatedLedger) Fresh() bool { return false }

// slowRun returns an item of runner r with a long text, nine events of which took five times as
// long as events take at all four engines of r.
func slowRun(r *Runner, state *jobs.State) (claimed, *meter) {
	for i := range 4 {
		state.Paces[ident.BackendName(fmt.Sprintf("engine-%d", i))] = jobs.Pace{MillisPerEvent: 20}
	}
	job := state.Jobs["job-0"]
	item := job.Items[0]
	item.Expect = 5000
	m := recordEvents(&meter{}, 9, 100)
	m.clock = r.Clock
	return claimed{key: jobs.ItemKey{Job: "job-0"}, item: item, accept: job.Accept}, m
}

// nineEvents is what slowRun's item has made.
var nineEvents = jobs.Partial{Events: 9, Versions: []ident.Version{1}}

// A text that takes one version must not move to a faster engine that would begin it anew.
func TestNoMoveToAnEngineOfAnotherVersion(t *testing.T) {
	r := newTestRunner(4, 4, 1)
	ledger, _ := r.Ledger.(*stateLedger)
	c, m := slowRun(r, ledger.state)
	clear(ledger.state.Loads)
	for i := range 4 {
		ledger.state.Weights[jobs.EngineModel{Engine: ident.BackendName(fmt.Sprintf("engine-%d", i)), Model: "m"}] = jobs.Weights{Version: 2}
	}
	if !r.shouldMove(c, nineEvents, m) {
		t.Fatal("a text that takes several versions does not move")
	}
	c.accept.SingleVersion = true
	if r.shouldMove(c, nineEvents, m) {
		t.Error("a text of version 1 moves to an engine of version 2")
	}
}

// An item must not move while the ledger is unreachable: no other instance would learn
// that it waits, and it would rest until the ledger answers.
func TestNoMovesWhileTheLedgerIsAway(t *testing.T) {
	r := newTestRunner(4, 4, 1)
	ledger, _ := r.Ledger.(*stateLedger)
	c, m := slowRun(r, ledger.state)
	clear(ledger.state.Loads)
	if !r.shouldMove(c, nineEvents, m) {
		t.Fatal("the item does not move though another engine is five times as fast")
	}
	r.Ledger = outdatedLedger{ledger}
	if r.shouldMove(c, nineEvents, m) {
		t.Error("the item moves while the ledger is unreachable")
	}
}

// recordEvents records events that take each milliseconds.
func recordEvents(m *meter, events int, each clock.Millis) *meter {
	if m.clock == nil {
		m.clock = clock.NewManual(0)
	}
	for range events {
		m.clock.Advance(each)
		m.recordEvent()
	}
	return m
}

func assertSustainedPace(t *testing.T, m *meter, want float64) {
	t.Helper()
	if got := m.sustainedPace(); got != want {
		t.Errorf("sustained pace %.0f ms per event, want %.0f", got, want)
	}
}

// A short slowdown of an engine that shares its machine must not move texts to other
// engines, where their prompts would be read again.
func TestSlowSpell(t *testing.T) {
	t.Run("a spell does not count where engines share machines", func(t *testing.T) {
		assertSustainedPace(t, recordEvents(recordEvents(&meter{sharesMachine: true}, 9, 36), 7, 90), 36)
	})
	t.Run("what lasts does", func(t *testing.T) {
		assertSustainedPace(t, recordEvents(recordEvents(&meter{sharesMachine: true}, 9, 36), 16, 90), 90)
	})
	t.Run("nothing is known after one span", func(t *testing.T) {
		assertSustainedPace(t, recordEvents(&meter{sharesMachine: true}, 9, 90), 0)
	})
	t.Run("elsewhere the last span counts", func(t *testing.T) {
		assertSustainedPace(t, recordEvents(recordEvents(&meter{}, 9, 36), 8, 90), 90)
	})
}

// unusedEngines fails the test when an item is sent to an engine.
type unusedEngines struct{ t *testing.T }

func (unusedEngines) Ended(context.Context, fleet.Member) bool     { return false }
func (unusedEngines) Reachable(context.Context, fleet.Member) bool { return false }

func (n unusedEngines) Run(_ context.Context, engine fleet.Member, _ work.Item, _ int) (Events, error) {
	n.t.Errorf("an item was sent to %s", engine.Name)
	return nil, fault.New("noEngines", NotRun, "")
}

// An instance that was suspended may read a claim long after it was written. If the engine
// is leaving by then, it must not get the item.
func TestNoRunAtAnEngineThatLeaves(t *testing.T) {
	r := newTestRunner(4, 4, 1)
	r.Engines = unusedEngines{t}
	list := r.Fleet.View().Backends["models"]
	for i := range list {
		list[i].State = fleet.Leaving
	}
	r.Fleet.Set(list)
	ledger, _ := r.Ledger.(*stateLedger)
	job := ledger.state.Jobs["job-0"]
	c := claimed{key: jobs.ItemKey{Job: "job-0"}, item: job.Items[0], accept: job.Accept}
	err := r.generate(t.Context(), work.Item{}, &progress{runner: r, claim: c}, &meter{clock: r.Clock})
	if kind := fault.KindOf[EngineKind](err); kind != NotRun {
		t.Errorf("error %v, want NotRun", err)
	}
}
