// Package drive simulates the callers of a deployment and checks the answers that
// they and the trainers received, without using croftmoor's own metrics.
package drive

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Wrong means that a request could not be encoded.
const Wrong Kind = "Wrong"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Balancer picks an instance at random, like the platform's load balancer.
type Balancer struct {
	Addresses func() []ident.Address
}

// Pick returns the address of an instance, or "" if there is none.
func (b *Balancer) Pick() ident.Address {
	list := b.Addresses()
	if len(list) == 0 {
		return ""
	}
	return list[rand.IntN(len(list))]
}

// Outcome is the result of a request as its caller sees it.
type Outcome string

// Outcomes.
const (
	// OK is a complete answer before the deadline, and Late one after it or a
	// refusal because of the deadline.
	OK   Outcome = "OK"
	Late Outcome = "Late"
	// NotRun is a refusal of a request that had no effect, and Unknown one of a
	// request that may have had an effect.
	NotRun  Outcome = "NotRun"
	Unknown Outcome = "Unknown"
	// Lost is a failed connection or an incomplete answer, and WrongAnswer an answer
	// with the wrong content or an unexpected refusal.
	Lost        Outcome = "Lost"
	WrongAnswer Outcome = "Wrong"
)

// Tally counts outcomes and latencies. Its fields are guarded by mu.
type Tally struct {
	mu        sync.Mutex
	outcomes  map[Outcome]int64
	latencies *hdrhistogram.Histogram
	requests  int64
	// tries counts the requests sent, including repeats.
	tries int64
	// lastByID is the last outcome of each request ID that was added.
	lastByID map[string]Outcome
}

const (
	maxLatencyMillis  = 10 * 60 * 1000
	significantDigits = 3
)

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{outcomes: map[Outcome]int64{}, latencies: hdrhistogram.New(1, maxLatencyMillis, significantDigits), lastByID: map[string]Outcome{}}
}

// Add counts a request. Its outcome is also kept by id, unless that is empty.
func (t *Tally) Add(id string, outcome Outcome, took clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	t.outcomes[outcome]++
	if id != "" {
		t.lastByID[id] = outcome
	}
	if outcome == OK || outcome == Late {
		_ = t.latencies.RecordValue(max(int64(took), 1))
	}
}

// Try counts a sent request, including repeats.
func (t *Tally) Try() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tries++
}

// Count returns the number of requests with the outcome.
func (t *Tally) Count(outcome Outcome) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outcomes[outcome]
}

// Requests returns the number of requests, not counting repeats.
func (t *Tally) Requests() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests
}

// OnTimeShare returns the fraction of requests with outcome OK, or 1 if there were
// none.
func (t *Tally) OnTimeShare() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests == 0 {
		return 1
	}
	return float64(t.outcomes[OK]) / float64(t.requests)
}

// Quantile returns a percentile of the latencies of complete answers in
// milliseconds.
func (t *Tally) Quantile(percent float64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latencies.ValueAtQuantile(percent)
}

// ByID returns the last outcome of each request ID that was added.
func (t *Tally) ByID() map[string]Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	outcomes := make(map[string]Outcome, len(t.lastByID))
	for id, outcome := range t.lastByID {
		outcomes[id] = outcome
	}
	return outcomes
}

// refusal is the JSON body of a refused request.
type refusal struct {
	ID               string
	Kind             string
	What             string
	RetryAfterMillis int64
}

func readRefusal(answer *httpc.Answer) refusal {
	var r refusal
	_ = json.Unmarshal(answer.Body, &r)
	return r
}

// outcomeOf maps the kind of a refusal to an outcome.
func outcomeOf(r refusal) Outcome {
	switch r.Kind {
	case "NotRun":
		return NotRun
	case "Late":
		return Late
	case "OutcomeUnknown":
		return Unknown
	default:
		return WrongAnswer
	}
}

// requestHeaders returns the headers with the request ID, class and deadline.
func requestHeaders(id string, class string, deadline clock.Millis) []httpc.Header {
	return []httpc.Header{
		{Name: "X-Request-ID", Value: id},
		{Name: "Croft-Class", Value: class},
		{Name: "Croft-Deadline-Millis", Value: strconv.FormatInt(int64(deadline), 10)},
	}
}

// post sends a request with a JSON body on a new connection.
func post(ctx context.Context, client *httpc.Client, to ident.Address, path string, headers []httpc.Header, body any) (*httpc.Answer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fault.Wrap("drive.post", Wrong, err, "cannot encode the request body")
	}
	return client.Do(ctx, &httpc.Call{Address: to, Method: http.MethodPost, Path: path, Headers: headers, Body: data, FreshConn: true})
}
