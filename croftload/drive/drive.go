// Package drive is the far ends of a deployment: callers, trainers and the
// counting of what they got. Nothing here asks croftmoor how it did.
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

// Wrong means that an answer is not what was asked for.
const Wrong Kind = "Wrong"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Balancer picks an entry instance, as the platform's balancer does.
type Balancer struct {
	Addresses func() []ident.Address
}

// Pick returns an instance's address; "" if there is none.
func (b *Balancer) Pick() ident.Address {
	list := b.Addresses()
	if len(list) == 0 {
		return ""
	}
	return list[rand.IntN(len(list))]
}

// Outcome is how a live request ended for its caller.
type Outcome string

// Outcomes.
const (
	OK          Outcome = "OK"
	Late        Outcome = "Late"
	NotRun      Outcome = "NotRun"
	Unknown     Outcome = "Unknown"
	Lost        Outcome = "Lost"
	WrongAnswer Outcome = "Wrong"
)

// Tally counts outcomes and times; guarded by mu.
type Tally struct {
	mu       sync.Mutex
	outcomes map[Outcome]int64
	times    *hdrhistogram.Histogram
	asked    int64
	tries    int64
	// byID is the last outcome of each unrepeatable id.
	byID map[string]Outcome
}

const (
	mostMillis = 10 * 60 * 1000
	digits     = 3
)

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{outcomes: map[Outcome]int64{}, times: hdrhistogram.New(1, mostMillis, digits), byID: map[string]Outcome{}}
}

// Add counts one request.
func (t *Tally) Add(id string, outcome Outcome, took clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	t.outcomes[outcome]++
	if id != "" {
		t.byID[id] = outcome
	}
	if outcome == OK || outcome == Late {
		_ = t.times.RecordValue(max(int64(took), 1))
	}
}

// Try counts one request sent, repeats included.
func (t *Tally) Try() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tries++
}

// Count returns how many requests ended so.
func (t *Tally) Count(outcome Outcome) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outcomes[outcome]
}

// Requests returns how many requests were made.
func (t *Tally) Requests() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asked
}

// OnTimeShare returns the share of requests that got their whole answer in time.
func (t *Tally) OnTimeShare() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.asked == 0 {
		return 1
	}
	return float64(t.outcomes[OK]) / float64(t.asked)
}

// Quantile returns a quantile of the answer times in milliseconds.
func (t *Tally) Quantile(percent float64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.times.ValueAtQuantile(percent)
}

// ByID returns the last outcome of each unrepeatable id.
func (t *Tally) ByID() map[string]Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	copied := make(map[string]Outcome, len(t.byID))
	for id, outcome := range t.byID {
		copied[id] = outcome
	}
	return copied
}

// refusal is croftmoor's refusal as a caller reads it.
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

func headers(id string, class string, deadline clock.Millis) []httpc.Header {
	return []httpc.Header{
		{Name: "X-Request-ID", Value: id},
		{Name: "Croft-Class", Value: class},
		{Name: "Croft-Deadline-Millis", Value: strconv.FormatInt(int64(deadline), 10)},
	}
}

// post sends one request through a random instance.
func post(ctx context.Context, client *httpc.Client, to ident.Address, path string, heads []httpc.Header, body any) (*httpc.Answer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fault.Wrap("drive.post", Wrong, err, "unencodable body")
	}
	return client.Do(ctx, &httpc.Call{Address: to, Method: http.MethodPost, Path: path, Headers: heads, Body: data, FreshConn: true})
}
