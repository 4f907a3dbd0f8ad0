package drive

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftfake/words"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
)

// ModelCallers simulates callers that request completions from a model service at
// a given rate. Set the exported fields before Run.
type ModelCallers struct {
	Balancer *Balancer
	Clock    *clock.Clock
	Tally    *Tally
	Service  string
	Class    string
	// Rate returns the requests per second at a time since the start of Run.
	Rate     func(since clock.Millis) float64
	Deadline clock.Millis
	// MeanLength and MaxTokens determine the expected length of an answer. MeanLength
	// must be that of the engines.
	MeanLength int
	MaxTokens  int
	// Stream requests streamed answers.
	Stream bool
	// Prefix is the prefix of the request IDs.
	Prefix string

	client httpc.Client
}

// completionRequest has the JSON field names that are usual for model servers.
type completionRequest struct {
	Model     string `json:"model"`      // completion request
	Prompt    string `json:"prompt"`     // completion request
	Seed      string `json:"seed"`       // completion request
	MaxTokens int    `json:"max_tokens"` // completion request
	Stream    bool   `json:"stream"`     // completion request
}

// completionResponse is an answer, or an event of a streamed answer.
type completionResponse struct {
	ID      string `json:"id"` // completion answer
	Choices []struct {
		Text string `json:"text"` // completion answer
	} `json:"choices"` // completion answer
}

const (
	promptFamilies = 12
	// clientGrace is the time that a caller waits for an answer after the deadline.
	clientGrace = 5 * clock.Second
	// schedulePoll is the interval of checks whether the next request is due.
	schedulePoll = 2 * clock.Millis(1)
)

// Run sends requests until ctx is done, then waits for outstanding answers.
func (l *ModelCallers) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	startedAt := l.Clock.Mono()
	due := float64(startedAt)
	for n := 0; ctx.Err() == nil; {
		now := l.Clock.Mono()
		rate := max(l.Rate(now-startedAt), 0.1)
		if float64(now) < due {
			l.Clock.Sleep(ctx, schedulePoll)
			continue
		}
		due += float64(clock.Second) / rate
		number := n
		group.Go(func() { l.request(number) })
		n++
	}
}

// request sends the n-th request and counts its outcome.
func (l *ModelCallers) request(n int) {
	id := fmt.Sprintf("%slive-%s-%d", l.Prefix, ident.NewRandom()[:8], n)
	prompt := fmt.Sprintf("family-%d|question %s", n%promptFamilies, id)
	ctx, cancel := context.WithTimeout(context.Background(), (l.Deadline + clientGrace).Duration())
	defer cancel()
	began := l.Clock.Mono()
	l.Tally.Try()
	body := completionRequest{Model: l.Service, Prompt: prompt, Seed: id, MaxTokens: l.MaxTokens, Stream: l.Stream}
	answer, err := post(ctx, &l.client, l.Balancer.Pick(), "/v1/completions", requestHeaders(id, l.Class, l.Deadline), body)
	took := l.Clock.Mono() - began
	l.Tally.Add("", l.outcome(answer, err, id, prompt, took), took)
}

// outcome returns the outcome of an answer or a failed request.
func (l *ModelCallers) outcome(answer *httpc.Answer, err error, id, prompt string, took clock.Millis) Outcome {
	if err != nil {
		return Lost
	}
	if answer.Status != http.StatusOK {
		return outcomeOf(readRefusal(answer))
	}
	text, ended := l.answerText(answer, id)
	want := words.Length(prompt, id, l.MeanLength, l.MaxTokens)
	switch {
	case !ended:
		return Lost
	case !words.IsComplete(prompt, text, want):
		return WrongAnswer
	case took > l.Deadline:
		return Late
	default:
		return OK
	}
}

// answerText returns the text of an answer, and whether the answer is complete and
// has the given ID.
func (l *ModelCallers) answerText(answer *httpc.Answer, id string) (string, bool) {
	if !l.Stream {
		var c completionResponse
		err := json.Unmarshal(answer.Body, &c)
		if err != nil || c.ID != id || len(c.Choices) != 1 {
			return "", false
		}
		return c.Choices[0].Text, true
	}
	var text strings.Builder
	for line := range strings.Lines(string(answer.Body)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true
		}
		var c completionResponse
		if json.Unmarshal([]byte(data), &c) != nil || c.ID != id || len(c.Choices) != 1 {
			return "", false
		}
		text.WriteString(c.Choices[0].Text)
	}
	return text.String(), false
}

// PlainCallers simulates callers of a plain service. A call that was lost or not
// run is repeated with the same ID, usually through another instance.
type PlainCallers struct {
	Balancer *Balancer
	Clock    *clock.Clock
	Tally    *Tally
	Service  string
	Path     string
	Class    string
	Rate     float64
	Deadline clock.Millis
	// Repeats is the maximum number of repeats of a call.
	Repeats int
	// Prefix is the prefix of the request IDs.
	Prefix string

	client httpc.Client
}

// callResult is the part of an answer that is checked.
type callResult struct {
	ID   string
	Path string
}

// Run sends requests until ctx is done, then waits for outstanding answers.
func (h *PlainCallers) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	due := float64(h.Clock.Mono())
	for n := 0; ctx.Err() == nil; {
		if float64(h.Clock.Mono()) < due {
			h.Clock.Sleep(ctx, schedulePoll)
			continue
		}
		due += float64(clock.Second) / h.Rate
		number := n
		group.Go(func() { h.Call(fmt.Sprintf("%shold-%s-%d", h.Prefix, ident.NewRandom()[:8], number)) })
		n++
	}
}

const retryDelay = 150 * clock.Millis(1)

// Call makes a call and its repeats, counts its last outcome and returns it.
func (h *PlainCallers) Call(id string) Outcome {
	began := h.Clock.Mono()
	outcome := Lost
	for range h.Repeats + 1 {
		outcome = h.callOnce(id)
		if outcome != Lost && outcome != NotRun {
			break
		}
		h.Clock.Sleep(context.Background(), retryDelay)
	}
	took := h.Clock.Mono() - began
	if outcome == OK && took > h.Deadline {
		outcome = Late
	}
	h.Tally.Add(id, outcome, took)
	return outcome
}

// callOnce makes one try of a call.
func (h *PlainCallers) callOnce(id string) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), (h.Deadline + clientGrace).Duration())
	defer cancel()
	h.Tally.Try()
	path := "/svc/" + h.Service + h.Path
	answer, err := post(ctx, &h.client, h.Balancer.Pick(), path, requestHeaders(id, h.Class, h.Deadline), struct{}{})
	if err != nil {
		return Lost
	}
	if answer.Status != http.StatusOK {
		return outcomeOf(readRefusal(answer))
	}
	var r callResult
	if json.Unmarshal(answer.Body, &r) != nil || r.ID != id || r.Path != h.Path {
		return WrongAnswer
	}
	return OK
}
