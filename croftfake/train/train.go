// Package train simulates a trainer: it pulls the samples of its steps, trains,
// publishes weights, and checks and counts the samples that it receives.
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

// Trainer runs steps: for each it pulls the samples, trains and publishes
// weights. The next step is opened before training on the current one. Set the
// exported fields before Run.
type Trainer struct {
	// Pick returns the address of an instance to send the next request to, or "".
	Pick    func() ident.Address
	Clock   *clock.Clock
	Name    string
	Weights string
	// Groups is the number of prompts of a step, GroupSize the number of samples
	// of each prompt.
	Groups    int
	GroupSize int
	// MaxTokens is the maximum length of a sample.
	MaxTokens int
	// Train is the training time of a step.
	Train clock.Millis
	// Bound is the maximum staleness of a sample in versions; older samples are
	// counted in Report.Stale.
	Bound int64
	// Seed makes the prompts differ between runs.
	Seed int64
	// MaxSteps is the number of steps to run; 0 runs until ctx is done.
	MaxSteps int64

	client httpc.Client
	// version is the newest published version.
	version int64

	mu     sync.Mutex
	report Report
	// spansBySample holds the version spans of each received sample, by its ID.
	spansBySample map[string][]steps.Span
}

// Report contains the counts of a run.
type Report struct {
	Steps   int64
	Samples int64
	// Duplicated counts samples of a slot that was already received, Stale those
	// whose oldest token exceeds the staleness bound, and Broken those whose text
	// is empty or not the expected one.
	Duplicated int64
	Stale      int64
	Broken     int64
	// IdleMillis is the time spent waiting for samples after the first step, and
	// WallMillis the duration of the run from the end of that wait in the first.
	IdleMillis int64
	WallMillis int64
	// Staleness is that of each sample, in versions.
	Staleness   []int64
	ReopenCount int64
	PullsFailed int64
}

// openRequest opens a step. Have is the text form of the slots already received.
type openRequest struct {
	Step      int64
	Prompts   []string
	GroupSize int
	MaxTokens int
	Version   int64
	Have      string
}

// pullRequest asks for samples of a step whose slots are not in Have.
type pullRequest struct {
	Step       int64
	PullID     string
	Have       string
	Version    int64
	Most       int
	WaitMillis int64
}

// pullResponse contains samples of a step.
type pullResponse struct {
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
	pullWait          = 1 * clock.Second
	pullTimeout       = 6 * clock.Second
	maxSamplesPerPull = 256
	retryDelay        = 100 * clock.Millis(1)
	firstStep         = 1
	promptFamilies    = 12
)

// Run runs steps until ctx is done or MaxSteps steps are complete.
func (t *Trainer) Run(ctx context.Context) {
	t.spansBySample = map[string][]steps.Span{}
	startedAt := t.Clock.Mono()
	t.publish(ctx)
	t.openStep(ctx, firstStep, steps.Set{})
	for step := int64(firstStep); ctx.Err() == nil; step++ {
		if t.MaxSteps > 0 && step > t.MaxSteps {
			break
		}
		idleSince := t.Clock.Mono()
		complete := t.collectStep(ctx, step)
		if step > firstStep {
			t.updateReport(func(r *Report) { r.IdleMillis += int64(t.Clock.Mono() - idleSince) })
		} else {
			// No samples can exist before the first step is opened, so the wait for
			// them is left out of the wall time.
			startedAt = t.Clock.Mono()
		}
		if !complete {
			break
		}
		if t.MaxSteps == 0 || step < t.MaxSteps {
			t.openStep(ctx, step+1, steps.Set{})
		}
		t.Clock.Sleep(ctx, t.Train)
		t.publish(ctx)
		t.updateReport(func(r *Report) { r.Steps++ })
	}
	t.updateReport(func(r *Report) { r.WallMillis = int64(t.Clock.Mono() - startedAt) })
}

// updateReport calls change with the report while it holds mu.
func (t *Trainer) updateReport(change func(*Report)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.report)
}

// Report returns a copy of the counts so far.
func (t *Trainer) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report
}

// SampleSpans returns the version spans of each received sample, by its ID.
func (t *Trainer) SampleSpans() map[string][]steps.Span {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.spansBySample)
}

// publish publishes the next version to the weight store, with retries until ctx
// is done, and announces it to an instance.
func (t *Trainer) publish(ctx context.Context) {
	t.version++
	for ctx.Err() == nil {
		_, err := stand.Post(ctx, &t.client, t.Weights, "/publish", weight.Weights{Adapter: t.Name, Version: t.version})
		if err == nil {
			break
		}
		t.Clock.Sleep(ctx, retryDelay)
	}
	body := struct{ Version int64 }{t.version}
	// A failure is harmless: the next pull contains the version as well.
	_, _ = t.post(ctx, "versions", body)
}

// post sends a request to the instance that Pick returns.
func (t *Trainer) post(ctx context.Context, route string, body any) (*httpc.Answer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fault.Wrap("train.post", stand.Failed, err, "cannot encode the request body")
	}
	call := &httpc.Call{Address: t.Pick(), Method: http.MethodPost, Path: "/v1/trainers/" + t.Name + "/" + route, Body: data, FreshConn: true}
	return t.client.Do(ctx, call)
}

// prompts returns the prompts of a step.
func (t *Trainer) prompts(step int64) []string {
	prompts := make([]string, t.Groups)
	for i := range prompts {
		prompts[i] = fmt.Sprintf("family-%d|%s task %d of step %d seed %d", i%promptFamilies, t.Name, i, step, t.Seed)
	}
	return prompts
}

// openStep opens a step, with retries until it succeeds or ctx is done.
func (t *Trainer) openStep(ctx context.Context, step int64, have steps.Set) {
	body := openRequest{
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
		t.Clock.Sleep(ctx, retryDelay)
	}
}

// collectStep pulls until all samples of the step are received. It returns false
// if ctx is done before that.
func (t *Trainer) collectStep(ctx context.Context, step int64) bool {
	var have steps.Set
	received := 0
	for received < t.Groups*t.GroupSize {
		if ctx.Err() != nil {
			return false
		}
		answer, reopen := t.pullOnce(ctx, step, have)
		if reopen {
			t.updateReport(func(r *Report) { r.ReopenCount++ })
			t.openStep(ctx, step, have)
			continue
		}
		if answer == nil {
			t.updateReport(func(r *Report) { r.PullsFailed++ })
			t.Clock.Sleep(ctx, retryDelay)
			continue
		}
		received += t.addSamples(answer, &have)
	}
	return true
}

// pullOnce sends one pull request. The answer is nil if the request failed, and
// reopen reports that the step is not open at the instance.
func (t *Trainer) pullOnce(ctx context.Context, step int64, have steps.Set) (answer *pullResponse, reopen bool) {
	body := pullRequest{
		Step: step, PullID: ident.NewRandom(), Have: have.Text(), Version: t.version, Most: maxSamplesPerPull, WaitMillis: int64(pullWait),
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
	answer = &pullResponse{}
	if json.Unmarshal(raw.Body, answer) != nil || answer.PullID != body.PullID || answer.Step != step {
		return nil, false
	}
	return answer, false
}

// addSamples checks and counts the samples of one pull, adds their slots to have
// and returns how many were new.
func (t *Trainer) addSamples(answer *pullResponse, have *steps.Set) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	added := 0
	for _, s := range answer.Samples {
		if have.Has(ident.Slot(s.Slot)) {
			t.report.Duplicated++
			continue
		}
		have.Add(ident.Slot(s.Slot))
		added++
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
		t.spansBySample[s.ID] = spans
	}
	return added
}
