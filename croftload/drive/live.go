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

// ModelCallers is callers that ask a model service for completions at a steady rate.
// Set the exported fields before Run.
type ModelCallers struct {
	Balancer *Balancer
	Clock    *clock.Clock
	Tally    *Tally
	Service  string
	Class    string
	// Rate returns the requests a second wanted now.
	Rate     func(since clock.Millis) float64
	Deadline clock.Millis
	// MeanLength and MaxTokens tell how long a whole answer must be.
	MeanLength int
	MaxTokens  int
	Stream     bool
	Prefix     string

	client httpc.Client
}

// completion is a request and an answer in the usual form of model servers.
type completion struct {
	Model     string `json:"model"`      // completion request
	Prompt    string `json:"prompt"`     // completion request
	Seed      string `json:"seed"`       // completion request
	MaxTokens int    `json:"max_tokens"` // completion request
	Stream    bool   `json:"stream"`     // completion request
}

type completed struct {
	ID      string `json:"id"` // completion answer
	Choices []struct {
		Text string `json:"text"` // completion answer
	} `json:"choices"` // completion answer
}

const (
	families  = 12
	graceTerm = 5 * clock.Second
	pause     = 2 * clock.Millis(1)
)

// Run asks until ctx ends, then waits for the answers that are on their way.
func (l *ModelCallers) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	began := l.Clock.Mono()
	due := float64(began)
	for n := 0; ctx.Err() == nil; {
		now := l.Clock.Mono()
		rate := max(l.Rate(now-began), 0.1)
		if float64(now) < due {
			l.Clock.Sleep(ctx, pause)
			continue
		}
		due += float64(clock.Second) / rate
		number := n
		group.Go(func() { l.ask(number) })
		n++
	}
}

func (l *ModelCallers) ask(n int) {
	id := fmt.Sprintf("%slive-%s-%d", l.Prefix, ident.NewRandom()[:8], n)
	prompt := fmt.Sprintf("family-%d|question %s", n%families, id)
	ctx, cancel := context.WithTimeout(context.Background(), (l.Deadline + graceTerm).Duration())
	defer cancel()
	began := l.Clock.Mono()
	l.Tally.Try()
	body := completion{Model: l.Service, Prompt: prompt, Seed: id, MaxTokens: l.MaxTokens, Stream: l.Stream}
	answer, err := post(ctx, &l.client, l.Balancer.Pick(), "/v1/completions", headers(id, l.Class, l.Deadline), body)
	took := l.Clock.Mono() - began
	l.Tally.Add("", l.judge(answer, err, id, prompt, took), took)
}

func (l *ModelCallers) judge(answer *httpc.Answer, err error, id, prompt string, took clock.Millis) Outcome {
	if err != nil {
		return Lost
	}
	if answer.Status != http.StatusOK {
		return outcomeOf(readRefusal(answer))
	}
	text, ended := l.textOf(answer, id)
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

// textOf returns the answer's text, and whether it came to its end and is the
// answer to id.
func (l *ModelCallers) textOf(answer *httpc.Answer, id string) (string, bool) {
	if !l.Stream {
		var c completed
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
		var c completed
		if json.Unmarshal([]byte(data), &c) != nil || c.ID != id || len(c.Choices) != 1 {
			return "", false
		}
		text.WriteString(c.Choices[0].Text)
	}
	return text.String(), false
}

// PlainCallers is callers of an unrepeatable call of a plain service. When an answer
// is lost they ask again with the same id through another instance, as
// terminals do.
type PlainCallers struct {
	Balancer *Balancer
	Clock    *clock.Clock
	Tally    *Tally
	Service  string
	Path     string
	Class    string
	Rate     float64
	Deadline clock.Millis
	// Repeats is how often a caller asks again.
	Repeats int
	Prefix  string

	client httpc.Client
}

type holdResult struct {
	ID   string
	Path string
}

// Run asks until ctx ends, then waits for the answers that are on their way.
func (h *PlainCallers) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	due := float64(h.Clock.Mono())
	for n := 0; ctx.Err() == nil; {
		if float64(h.Clock.Mono()) < due {
			h.Clock.Sleep(ctx, pause)
			continue
		}
		due += float64(clock.Second) / h.Rate
		number := n
		group.Go(func() { h.Ask(fmt.Sprintf("%shold-%s-%d", h.Prefix, ident.NewRandom()[:8], number)) })
		n++
	}
}

const repeatPause = 150 * clock.Millis(1)

// Ask makes one call and its repeats, and counts how it ended.
func (h *PlainCallers) Ask(id string) Outcome {
	began := h.Clock.Mono()
	outcome := Lost
	for range h.Repeats + 1 {
		outcome = h.askOnce(id)
		if outcome != Lost && outcome != NotRun {
			break
		}
		h.Clock.Sleep(context.Background(), repeatPause)
	}
	took := h.Clock.Mono() - began
	if outcome == OK && took > h.Deadline {
		outcome = Late
	}
	h.Tally.Add(id, outcome, took)
	return outcome
}

func (h *PlainCallers) askOnce(id string) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), (h.Deadline + graceTerm).Duration())
	defer cancel()
	h.Tally.Try()
	path := "/svc/" + h.Service + h.Path
	answer, err := post(ctx, &h.client, h.Balancer.Pick(), path, headers(id, h.Class, h.Deadline), struct{}{})
	if err != nil {
		return Lost
	}
	if answer.Status != http.StatusOK {
		return outcomeOf(readRefusal(answer))
	}
	var r holdResult
	if json.Unmarshal(answer.Body, &r) != nil || r.ID != id || r.Path != h.Path {
		return WrongAnswer
	}
	return OK
}
