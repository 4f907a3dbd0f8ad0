package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
)

func init() {
	Protocols.Register("Sse", func() Protocol { return &sse{} })
}

// sse is the protocol over HTTP: JSON requests, and completions streamed as
// server-sent events.
type sse struct {
	client httpc.Client
}

type completionWire struct {
	ID         string `json:"id"`          // completion request
	Adapter    string `json:"adapter"`     // completion request
	Prompt     string `json:"prompt"`      // completion request
	Seed       string `json:"seed"`        // completion request
	MaxTokens  int32  `json:"max_tokens"`  // completion request
	Priority   int    `json:"priority"`    // completion request
	ResumeFrom int32  `json:"resume_from"` // completion request
}

type eventWire struct {
	ID      string `json:"id"`      // completion event
	Index   int32  `json:"index"`   // completion event
	Tokens  int32  `json:"tokens"`  // completion event
	Version int64  `json:"version"` // completion event
	Text    string `json:"text"`    // completion event
	Done    bool   `json:"done"`    // completion event
	Total   int32  `json:"total"`   // completion event
}

type loadWire struct {
	Running  int
	Waiting  int
	Slots    int
	Draining bool
	Versions []adapterWire
	Cached   []string
	At       int64
}

type adapterWire struct {
	Adapter string
	Version int64
}

type orderWire struct {
	Fence   int64
	Adapter string
	Version int64
}

const (
	// NotRunHeader is set by a backend server on a 503 response if it has not
	// started the request.
	NotRunHeader = "Croft-Not-Run"

	dataPrefix = "data: "
	endMarker  = "[DONE]"
)

// Complete implements Protocol.
func (p *sse) Complete(ctx context.Context, address ident.Address, c Completion) (Events, error) {
	body, err := json.Marshal(completionToWire(c))
	if err != nil {
		return nil, fault.Wrap("engine.Complete", NotRun, err, "encoding the completion request failed")
	}
	call := &httpc.Call{
		Address: address, Method: http.MethodPost, Path: "/v1/completions", Body: body,
		Headers: []httpc.Header{{Name: "Content-Type", Value: "application/json"}},
	}
	stream, err := p.client.Open(ctx, call)
	if fault.KindOf[httpc.Kind](err) == httpc.NotSent {
		return nil, fault.Wrap("engine.Complete", NotRun, err, "engine unreachable")
	}
	if err != nil {
		return nil, fault.Wrap("engine.Complete", Broken, err, "engine did not answer the completion request")
	}
	if stream.Status == http.StatusServiceUnavailable {
		stream.Close()
		return nil, fault.New("engine.Complete", NotRun, "engine refused the completion request with status 503")
	}
	if stream.Status != http.StatusOK {
		stream.Close()
		return nil, fault.New("engine.Complete", Broken, "engine answered the completion request with "+http.StatusText(stream.Status))
	}
	return &sseEvents{stream: stream}, nil
}

// maxLineBytes is the most that a line of a completion stream may have.
const maxLineBytes = 1 << 20

// sseEvents reads a completion stream.
type sseEvents struct {
	stream *httpc.Stream
}

// Next implements Events. Lines that carry no event are skipped, including the
// end marker: only a Done event completes an answer.
func (e *sseEvents) Next() (Event, error) {
	for {
		read, err := e.stream.ReadLine(maxLineBytes)
		line := string(read)
		if err != nil {
			return Event{}, fault.Wrap("engine.Next", Broken, err, "stream ended before the Done event")
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), strings.TrimSpace(dataPrefix))
		data = strings.TrimSpace(data)
		if !ok || data == "" || data == endMarker {
			continue
		}
		var w eventWire
		if err := json.Unmarshal([]byte(data), &w); err != nil {
			return Event{}, fault.Wrap("engine.Next", Broken, err, "decoding a completion event failed")
		}
		return eventFromWire(w), nil
	}
}

// Close implements Events.
func (e *sseEvents) Close() {
	e.stream.Close()
}

// Load fetches the engine's load report.
func (p *sse) Load(ctx context.Context, address ident.Address) (pool.Report, error) {
	call := &httpc.Call{Address: address, Method: http.MethodGet, Path: "/load"}
	answer, err := p.client.Do(ctx, call)
	if err != nil {
		return pool.Report{}, err
	}
	var w loadWire
	if answer.Status != http.StatusOK {
		return pool.Report{}, httpc.StatusError(call, answer)
	}
	if err := json.Unmarshal(answer.Body, &w); err != nil {
		return pool.Report{}, fault.Wrap("engine.Load", Broken, err, "decoding the load report failed")
	}
	return reportFromWire(w), nil
}

// Execute implements Protocol. It uses a new connection, so that the HTTP client
// cannot send the order twice.
func (p *sse) Execute(ctx context.Context, address ident.Address, order Order) error {
	body, err := json.Marshal(orderWire{Fence: int64(order.Fence), Adapter: string(order.Adapter), Version: int64(order.Version)})
	if err != nil {
		return fault.Wrap("engine.Execute", NotRun, err, "encoding the order failed")
	}
	call := &httpc.Call{Address: address, Method: http.MethodPost, Path: "/orders", Body: body, FreshConn: true}
	answer, err := p.client.Do(ctx, call)
	if err != nil {
		return fault.Wrap("engine.Execute", Broken, err, "no answer to the order")
	}
	switch answer.Status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return fault.New("engine.Execute", OldFence, string(answer.Body))
	default:
		return fault.Wrap("engine.Execute", Broken, httpc.StatusError(call, answer), "order failed")
	}
}

// TransferState implements Protocol. It does not decode the state, whose format
// is the engine's.
func (p *sse) TransferState(ctx context.Context, from, to ident.Address, id ident.RequestID) error {
	exportCall := &httpc.Call{Address: from, Method: http.MethodGet, Path: "/kv?ID=" + url.QueryEscape(string(id))}
	state, err := p.client.Do(ctx, exportCall)
	if err == nil && state.Status != http.StatusOK {
		err = httpc.StatusError(exportCall, state)
	}
	if err != nil {
		return fault.Wrap("engine.TransferState", Broken, err, "exporting the KV cache failed")
	}
	importCall := &httpc.Call{Address: to, Method: http.MethodPost, Path: "/kv", Body: state.Body}
	imported, err := p.client.Do(ctx, importCall)
	if err == nil && imported.Status != http.StatusOK {
		err = httpc.StatusError(importCall, imported)
	}
	if err != nil {
		return fault.Wrap("engine.TransferState", Broken, err, "importing the KV cache failed")
	}
	return nil
}

func completionToWire(c Completion) completionWire {
	return completionWire{
		ID: string(c.ID), Adapter: string(c.Adapter), Prompt: c.Prompt, Seed: c.Seed,
		MaxTokens: int32(c.MaxTokens), Priority: c.Priority, ResumeFrom: int32(c.ResumeFrom),
	}
}

func eventFromWire(w eventWire) Event {
	return Event{
		ID: ident.RequestID(w.ID), Index: ident.Tokens(w.Index), Tokens: ident.Tokens(w.Tokens),
		Version: ident.Version(w.Version), Text: w.Text, Done: w.Done, Total: ident.Tokens(w.Total),
	}
}

func reportFromWire(w loadWire) pool.Report {
	report := pool.Report{
		Running: w.Running, Waiting: w.Waiting, Slots: w.Slots, Draining: w.Draining, Cached: w.Cached,
		At: clock.Millis(w.At), Versions: map[ident.Trainer]ident.Version{},
	}
	for _, v := range w.Versions {
		report.Versions[ident.Trainer(v.Adapter)] = ident.Version(v.Version)
	}
	return report
}
