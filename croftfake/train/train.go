// Package train stands in for a trainer: it pulls the samples of its steps,
// trains, publishes weights, and checks and counts all that it gets.
package train

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync"

	"croftmoor.dev/croftfake/stand"
	"croftmoor.dev/croftfake/weight"
	"croftmoor.dev/croftfake/words"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/steps"
)

// Trainer runs steps: it pulls a step's samples, trains, publishes weights and
// goes on. While it trains, the next step is already open. Set the exported
// fields before Run.
type Trainer struct {
	// Pick returns the address of an entry instance, as the platform's balancer
	// does; "" if there is none.
	Pick    func() ident.Address
	Clock   *clock.Clock
	Name    string
	Weights string
	// Groups times GroupSize is the samples of a step.
	Groups    int
	GroupSize int
	MaxTokens int
	// Train is how long training on a step takes.
	Train clock.Millis
	// Bound is the staleness bound that the trainer declared.
	Bound int64
	Seed  int64
	// MaxSteps ends the run after so many steps; 0 runs until ctx ends.
	MaxSteps int64

	client  httpc.Client
	version int64
	mu      sync.Mutex
	report  Report
	got     map[string][]steps.Span
}

// Report is what the trainer counted.
type Report struct {
	Steps       int64
	Samples     int64
	Duplicated  int64
	Stale       int64
	Broken      int64
	IdleMillis  int64
	WallMillis  int64
	Staleness   []int64
	ReopenCount int64
	PullsFailed int64
}

type openBody struct {
	Step      int64
	Prompts   []string
	GroupSize int
	MaxTokens int
	Version   int64
	Have      string
}

type pullBody struct {
	Step       int64
	PullID     string
	Have       string
	Version    int64
	Most       int
	WaitMillis int64
}

type pulled struct {
	PullID  string
	Step    int64
	Samples []struct {
		ID     string
		Slot   int32
		Prompt string
		Text   string
		Spans  []struct {
			Version int64
			Tokens  int32
		}
		Reward float64
	}
}

const (
	pullWait    = 1 * clock.Second
	pullTimeout = 6 * clock.Second
	pullMost    = 256
	failPause   = 100 * clock.Millis(1)
	firstStep   = 1
	families    = 12
)

// Run runs steps until ctx ends or StepsMost are done.
func (t *Trainer) Run(ctx context.Context) {
	t.got = map[string][]steps.Span{}
	began := t.Clock.Mono()
	t.publish(ctx)
	t.open(ctx, firstStep, steps.Set{})
	for step := int64(firstStep); ctx.Err() == nil; step++ {
		if t.MaxSteps > 0 && step > t.MaxSteps {
			break
		}
		idle := t.Clock.Mono()
		whole := t.collect(ctx, step)
		if step > firstStep {
			t.add(func(r *Report) { r.IdleMillis += int64(t.Clock.Mono() - idle) })
		} else {
			// Nothing could be made before the first step was opened.
			began = t.Clock.Mono()
		}
		if !whole {
			break
		}
		if t.MaxSteps == 0 || step < t.MaxSteps {
			t.open(ctx, step+1, steps.Set{})
		}
		t.Clock.Sleep(ctx, t.Train)
		t.publish(ctx)
		t.add(func(r *Report) { r.Steps++ })
	}
	t.add(func(r *Report) { r.WallMillis = int64(t.Clock.Mono() - began) })
}

func (t *Trainer) add(change func(*Report)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.report)
}

// Report returns the counts so far.
func (t *Trainer) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report
}

// SampleSpans returns the spans of every sample that was received, by its id.
func (t *Trainer) SampleSpans() map[string][]steps.Span {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.got)
}

// publish puts the next version into the weight store and tells croftmoor.
func (t *Trainer) publish(ctx context.Context) {
	t.version++
	for ctx.Err() == nil {
		_, err := stand.Post(ctx, &t.client, t.Weights, "/publish", weight.Weights{Adapter: t.Name, Version: t.version})
		if err == nil {
			break
		}
		t.Clock.Sleep(ctx, failPause)
	}
	body := struct{ Version int64 }{t.version}
	// The next pull tells the version as well.
	_, _ = t.post(ctx, "versions", body)
}

// post sends one request through some instance.
func (t *Trainer) post(ctx context.Context, what string, body any) (*httpc.Answer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fault.Wrap("train.post", stand.Failed, err, "unencodable body")
	}
	call := &httpc.Call{Address: t.Pick(), Method: http.MethodPost, Path: "/v1/trainers/" + t.Name + "/" + what, Body: data, FreshConn: true}
	return t.client.Do(ctx, call)
}

func (t *Trainer) prompts(step int64) []string {
	prompts := make([]string, t.Groups)
	for i := range prompts {
		prompts[i] = fmt.Sprintf("family-%d|%s task %d of step %d seed %d", i%families, t.Name, i, step, t.Seed)
	}
	return prompts
}

// open opens a step, as often as it takes.
func (t *Trainer) open(ctx context.Context, step int64, have steps.Set) {
	body := openBody{
		Step: step, Prompts: t.prompts(step), GroupSize: t.GroupSize, MaxTokens: t.MaxTokens,
		Version: t.version, Have: have.Text(),
	}
	for ctx.Err() == nil {
		tryCtx, cancel := context.WithTimeout(ctx, pullTimeout.Duration())
		answer, err := t.post(tryCtx, "steps", body)
		cancel()
		if err == nil && answer.Status == http.StatusOK {
			return
		}
		t.Clock.Sleep(ctx, failPause)
	}
}

// collect pulls until the step is whole.
func (t *Trainer) collect(ctx context.Context, step int64) bool {
	var have steps.Set
	held := 0
	for held < t.Groups*t.GroupSize {
		if ctx.Err() != nil {
			return false
		}
		answer, reopen := t.pullOnce(ctx, step, have)
		if reopen {
			t.add(func(r *Report) { r.ReopenCount++ })
			t.open(ctx, step, have)
			continue
		}
		if answer == nil {
			t.add(func(r *Report) { r.PullsFailed++ })
			t.Clock.Sleep(ctx, failPause)
			continue
		}
		held += t.take(answer, &have)
	}
	return true
}

func (t *Trainer) pullOnce(ctx context.Context, step int64, have steps.Set) (answer *pulled, reopen bool) {
	body := pullBody{
		Step: step, PullID: ident.NewRandom(), Have: have.Text(), Version: t.version, Most: pullMost, WaitMillis: int64(pullWait),
	}
	tryCtx, cancel := context.WithTimeout(ctx, pullTimeout.Duration())
	defer cancel()
	raw, err := t.post(tryCtx, "pull", body)
	if err != nil {
		return nil, false
	}
	if raw.Status != http.StatusOK {
		return nil, raw.Status == http.StatusConflict
	}
	answer = &pulled{}
	if json.Unmarshal(raw.Body, answer) != nil || answer.PullID != body.PullID || answer.Step != step {
		return nil, false
	}
	return answer, false
}

// take checks and counts the samples of one pull and returns how many are new.
func (t *Trainer) take(answer *pulled, have *steps.Set) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := 0
	for _, s := range answer.Samples {
		if have.Has(ident.Slot(s.Slot)) {
			t.report.Duplicated++
			continue
		}
		have.Add(ident.Slot(s.Slot))
		taken++
		t.report.Samples++
		tokens, oldest := 0, t.version
		var spans []steps.Span
		for _, span := range s.Spans {
			tokens += int(span.Tokens)
			oldest = min(oldest, span.Version)
			spans = append(spans, steps.Span{Version: ident.Version(span.Version), Tokens: ident.Tokens(span.Tokens)})
		}
		if !words.IsComplete(s.Prompt, s.Text, tokens) || tokens == 0 {
			t.report.Broken++
		}
		staleness := t.version - oldest
		t.report.Staleness = append(t.report.Staleness, staleness)
		if staleness > t.Bound {
			t.report.Stale++
		}
		t.got[s.ID] = spans
	}
	return taken
}
