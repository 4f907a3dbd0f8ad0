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

// scripted answers each completion with the next of its scripts.
type scripted struct {
	scripts [][]engine.Event
	froms   []ident.Tokens
	carried int
}

func (s *scripted) Complete(_ context.Context, _ ident.Address, c engine.Completion) (engine.Events, error) {
	s.froms = append(s.froms, c.ResumeFrom)
	if len(s.scripts) == 0 {
		return nil, fault.New("test", engine.NotRun, "takes no work")
	}
	script := s.scripts[0]
	s.scripts = s.scripts[1:]
	return &events{left: script}, nil
}

func (*scripted) Load(context.Context, ident.Address) (pool.Report, error)   { return pool.Report{}, nil }
func (*scripted) Execute(context.Context, ident.Address, engine.Order) error { return nil }
func (s *scripted) TransferState(context.Context, ident.Address, ident.Address, ident.RequestID) error {
	s.carried++
	return nil
}

type events struct{ left []engine.Event }

func (e *events) Next() (engine.Event, error) {
	if len(e.left) == 0 {
		return engine.Event{}, fault.New("test", engine.Broken, "cut")
	}
	next := e.left[0]
	e.left = e.left[1:]
	return next, nil
}

func (*events) Close() {}

func part(index, tokens ident.Tokens, version ident.Version, text string) engine.Event {
	return engine.Event{ID: "x", Index: index, Tokens: tokens, Version: version, Text: text}
}

func end(total ident.Tokens) engine.Event { return engine.Event{ID: "x", Done: true, Total: total} }

func generate(t *testing.T, s *scripted) (Answer, error) {
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

func assertWhole(t *testing.T, s *scripted, text string, spans int) {
	t.Helper()
	answer, err := generate(t, s)
	if err != nil || answer.Text != text || len(answer.Spans) != spans {
		t.Fatalf("%q %v %v, want %q with %d spans", answer.Text, answer.Spans, err, text, spans)
	}
}

func TestGenerate(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		assertWhole(t, &scripted{scripts: [][]engine.Event{{part(0, 2, 1, "ab"), part(2, 1, 1, "c"), end(3)}}}, "abc", 1)
	})
	t.Run("cut off and resumed, with another version", func(t *testing.T) {
		s := &scripted{scripts: [][]engine.Event{{part(0, 2, 1, "ab")}, {part(2, 1, 2, "c"), end(3)}}}
		assertWhole(t, s, "abc", 2)
		if s.froms[1] != 2 {
			t.Fatalf("resumed from %d", s.froms[1])
		}
	})
	t.Run("tokens that are there already are passed over", func(t *testing.T) {
		assertWhole(t, &scripted{scripts: [][]engine.Event{{part(0, 2, 1, "ab")}, {part(0, 2, 1, "ab"), part(2, 1, 1, "c"), end(3)}}}, "abc", 1)
	})
	t.Run("a gap is never bridged", func(t *testing.T) {
		assertWhole(t, &scripted{scripts: [][]engine.Event{{part(0, 1, 1, "a"), part(2, 1, 1, "c"), end(3)}, {part(1, 2, 1, "bc"), end(3)}}}, "abc", 1)
	})
	t.Run("another request's answer is not taken", func(t *testing.T) {
		crossed := engine.Event{ID: "y", Tokens: 1, Text: "z"}
		assertWhole(t, &scripted{scripts: [][]engine.Event{{crossed, end(1)}, {part(0, 1, 1, "a"), end(1)}}}, "a", 1)
	})
	t.Run("an end mark that does not fit is no end", func(t *testing.T) {
		assertWhole(t, &scripted{scripts: [][]engine.Event{{part(0, 1, 1, "a"), end(5)}, {part(1, 1, 1, "b"), end(2)}}}, "ab", 1)
	})
	t.Run("no engine takes it: not run", func(t *testing.T) {
		if _, err := generate(t, &scripted{}); refuse.Of(err).Kind != refuse.NotRun {
			t.Fatal(err)
		}
	})
	t.Run("begun and never ended: not said to be not run", func(t *testing.T) {
		_, err := generate(t, &scripted{scripts: [][]engine.Event{{part(0, 1, 1, "a")}}})
		if refuse.Of(err).Kind != refuse.OutcomeUnknown {
			t.Fatal(err)
		}
	})
}
