package gener

import (
	"context"
	"testing"

	"github.com/rs/zerolog"

	"croftmoor.dev/croftmoor/engine"
	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/croftmoor/refuse"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/route"
	"croftmoor.dev/kernel/trail"
)

// scriptedEngine answers each completion with the next script and fails with
// NotRun when none is left.
type scriptedEngine struct {
	scripts     [][]engine.Event
	resumeFroms []ident.Tokens
	transfers   int
}

func (s *scriptedEngine) Complete(_ context.Context, _ ident.Address, c engine.Completion) (engine.Events, error) {
	s.resumeFroms = append(s.resumeFroms, c.ResumeFrom)
	if len(s.scripts) == 0 {
		return nil, fault.New("test", engine.NotRun, "engine refuses work")
	}
	script := s.scripts[0]
	s.scripts = s.scripts[1:]
	return &scriptedEvents{remaining: script}, nil
}

func (*scriptedEngine) Load(context.Context, ident.Address) (pool.Report, error) {
	return pool.Report{}, nil
}
func (*scriptedEngine) Execute(context.Context, ident.Address, engine.Order) error { return nil }
func (s *scriptedEngine) TransferState(context.Context, ident.Address, ident.Address, ident.RequestID) error {
	s.transfers++
	return nil
}

type scriptedEvents struct{ remaining []engine.Event }

func (e *scriptedEvents) Next() (engine.Event, error) {
	if len(e.remaining) == 0 {
		return engine.Event{}, fault.New("test", engine.Broken, "stream closed before the end event")
	}
	next := e.remaining[0]
	e.remaining = e.remaining[1:]
	return next, nil
}

func (*scriptedEvents) Close() {}

func part(index, tokens ident.Tokens, version ident.Version, text string) engine.Event {
	return engine.Event{ID: "x", Index: index, Tokens: tokens, Version: version, Text: text}
}

func end(total ident.Tokens) engine.Event { return engine.Event{ID: "x", Done: true, Total: total} }

func generate(t *testing.T, s *scriptedEngine) (Answer, error) {
	t.Helper()
	clk := clock.New()
	table := &fleet.Table{Clock: clk}
	table.Set([]fleet.Member{
		{Name: "a", Kind: fleet.Backend, Service: "m", State: fleet.Live}, {Name: "b", Kind: fleet.Backend, Service: "m", State: fleet.Live},
	})
	p := &pool.Pool{Fleet: table, Clock: clk}
	p.Refresh()
	g := &Generator{Pool: p, Engine: s, Clock: clk, Trail: &trail.Trail{Log: zerolog.Nop(), Clock: clk}}
	service := conf.Service{Name: "m", Kind: conf.Model, Slots: 4, Policy: route.RoundRobin}
	return g.Generate(context.Background(), Request{ID: "x", Service: service, Prompt: "p", MaxTokens: 100})
}

func assertAnswer(t *testing.T, s *scriptedEngine, text string, spans int) {
	t.Helper()
	answer, err := generate(t, s)
	if err != nil || answer.Text != text || len(answer.Spans) != spans {
		t.Fatalf("%q %v %v, want %q with %d spans", answer.Text, answer.Spans, err, text, spans)
	}
}

func TestGenerate(t *testing.T) {
	t.Run("complete answer from one engine", func(t *testing.T) {
		assertAnswer(t, &scriptedEngine{scripts: [][]engine.Event{{part(0, 2, 1, "ab"), part(2, 1, 1, "c"), end(3)}}}, "abc", 1)
	})
	t.Run("resumed on another engine with another version", func(t *testing.T) {
		s := &scriptedEngine{scripts: [][]engine.Event{{part(0, 2, 1, "ab")}, {part(2, 1, 2, "c"), end(3)}}}
		assertAnswer(t, s, "abc", 2)
		if s.resumeFroms[1] != 2 {
			t.Fatalf("resumed from %d", s.resumeFroms[1])
		}
	})
	t.Run("tokens already received are skipped", func(t *testing.T) {
		assertAnswer(t, &scriptedEngine{scripts: [][]engine.Event{{part(0, 2, 1, "ab")}, {part(0, 2, 1, "ab"), part(2, 1, 1, "c"), end(3)}}}, "abc", 1)
	})
	t.Run("a gap in the token indexes fails the stream", func(t *testing.T) {
		assertAnswer(t, &scriptedEngine{scripts: [][]engine.Event{{part(0, 1, 1, "a"), part(2, 1, 1, "c"), end(3)}, {part(1, 2, 1, "bc"), end(3)}}}, "abc", 1)
	})
	t.Run("an event of another request fails the stream", func(t *testing.T) {
		foreign := engine.Event{ID: "y", Tokens: 1, Text: "z"}
		assertAnswer(t, &scriptedEngine{scripts: [][]engine.Event{{foreign, end(1)}, {part(0, 1, 1, "a"), end(1)}}}, "a", 1)
	})
	t.Run("an end event with a wrong total fails the stream", func(t *testing.T) {
		assertAnswer(t, &scriptedEngine{scripts: [][]engine.Event{{part(0, 1, 1, "a"), end(5)}, {part(1, 1, 1, "b"), end(2)}}}, "ab", 1)
	})
	t.Run("no engine accepts the request: NotRun", func(t *testing.T) {
		if _, err := generate(t, &scriptedEngine{}); refuse.Of(err).Kind != refuse.NotRun {
			t.Fatal(err)
		}
	})
	t.Run("started but not completed: OutcomeUnknown", func(t *testing.T) {
		_, err := generate(t, &scriptedEngine{scripts: [][]engine.Event{{part(0, 1, 1, "a")}}})
		if refuse.Of(err).Kind != refuse.OutcomeUnknown {
			t.Fatal(err)
		}
	})
}
