package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/gofiber/fiber/v3"

	"croftmoor.dev/croftfake/stand"
	"croftmoor.dev/kernel/clock"
)

// Request is a completion request.
type Request struct {
	ID         string
	Adapter    string
	Prompt     string
	Seed       string
	MaxTokens  int
	Priority   int
	ResumeFrom int
}

// completionWire is the JSON form of a completion request, with the field names
// that are usual for model servers.
type completionWire struct {
	ID         string `json:"id"`          // completion request
	Adapter    string `json:"adapter"`     // completion request
	Prompt     string `json:"prompt"`      // completion request
	Seed       string `json:"seed"`        // completion request
	MaxTokens  int    `json:"max_tokens"`  // completion request
	Priority   int    `json:"priority"`    // completion request
	ResumeFrom int    `json:"resume_from"` // completion request
}

// chunkWire is the JSON form of one event of a completion stream.
type chunkWire struct {
	ID      string `json:"id"`      // completion event
	Index   int    `json:"index"`   // completion event
	Tokens  int    `json:"tokens"`  // completion event
	Version int64  `json:"version"` // completion event
	Text    string `json:"text"`    // completion event
	Done    bool   `json:"done"`    // completion event
	Total   int    `json:"total"`   // completion event
}

// Faults are the faults that only an engine has, in addition to stand.Faults.
type Faults struct {
	// Slow divides the token rate.
	Slow float64
	// Down simulates a crash: requests are refused or their connections closed.
	// The control routes still work.
	Down bool
	// PartialSwaps is the number of next swaps that keep the old weights but
	// report the new version.
	PartialSwaps int
}

// Stats are the engine's counters and state. TrueVersions are the versions that
// generate tokens, whatever the load reports say.
type Stats struct {
	Tokens       int64
	LostTokens   int64
	Running      int
	Waiting      int
	Orders       []Order
	TrueVersions []AdapterVersion
}

func (e *Engine) app() *fiber.App {
	app := stand.NewApp()
	e.faults.Register(app)
	app.Post("/v1/completions", e.complete)
	app.Get("/load", func(c fiber.Ctx) error {
		if e.isDown() {
			return stand.CloseConn(c)
		}
		if !e.faults.Admit(c.Context()) {
			return stand.RefuseNotRun(c, "out")
		}
		return c.JSON(e.delayedLoad())
	})
	app.Post("/orders", e.postOrder)
	app.Get("/kv", e.getKV)
	app.Post("/kv", e.postKV)
	app.Post("/control/engine", e.postFaults)
	app.Get("/control/stats", e.getStats)
	app.Get("/control/made", e.getTokenRuns)
	return app
}

// kvMillisPerToken is the transfer time of the KV state of a token.
const kvMillisPerToken = 0.1

func (e *Engine) getKV(c fiber.Ctx) error {
	kv, ok := e.export(strings.Clone(c.Query("ID")))
	if e.isDown() || !ok {
		return c.SendStatus(fiber.StatusNotFound)
	}
	e.Clock.Sleep(c.Context(), clock.Millis(kvMillisPerToken*float64(kv.Tokens)))
	return c.JSON(kv)
}

func (e *Engine) postKV(c fiber.Ctx) error {
	var kv KV
	if err := json.Unmarshal(c.Body(), &kv); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	if e.isDown() || !e.importKV(kv) {
		return c.Status(fiber.StatusInsufficientStorage).SendString("no room for the state")
	}
	return c.SendStatus(fiber.StatusOK)
}

func (e *Engine) postFaults(c fiber.Ctx) error {
	var f Faults
	if err := json.Unmarshal(c.Body(), &f); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rateFactor = 1
	if f.Slow > 0 {
		e.rateFactor = 1 / f.Slow
	}
	e.partialSwaps = f.PartialSwaps
	e.down = f.Down
	return c.SendStatus(fiber.StatusOK)
}

func (e *Engine) getStats(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := Stats{Tokens: e.generatedTokens, LostTokens: e.lostTokens, Running: len(e.running), Waiting: len(e.waiting), Orders: e.orders}
	for adapter, version := range e.loadedVersions {
		stats.TrueVersions = append(stats.TrueVersions, AdapterVersion{Adapter: adapter, Version: version})
	}
	return c.JSON(stats)
}

// RequestRuns are the token runs that were generated for a request.
type RequestRuns struct {
	ID   string
	Runs []TokenRun
}

func (e *Engine) getTokenRuns(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]RequestRuns, 0, len(e.runsByRequest))
	for id, runs := range e.runsByRequest {
		list = append(list, RequestRuns{ID: id, Runs: runs})
	}
	return c.JSON(list)
}

func (e *Engine) postOrder(c fiber.Ctx) error {
	if e.isDown() {
		return stand.CloseConn(c)
	}
	if !e.faults.Admit(c.Context()) {
		return stand.RefuseNotRun(c, "out")
	}
	var order Order
	if err := json.Unmarshal(c.Body(), &order); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	if !e.applyOrder(c.Context(), order) {
		return c.Status(fiber.StatusConflict).SendString("an order with a newer fencing number came before")
	}
	if e.faults.LoseAnswer() {
		return stand.CloseConn(c)
	}
	return c.SendStatus(fiber.StatusOK)
}

// isDown reports whether a crash is simulated.
func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

func (e *Engine) complete(c fiber.Ctx) error {
	if e.isDown() {
		return stand.CloseConn(c)
	}
	if e.faults.Active().Draining {
		return stand.RefuseNotRun(c, "leaving")
	}
	if !e.faults.Admit(c.Context()) {
		return stand.RefuseNotRun(c, "out")
	}
	var w completionWire
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	if !e.roleAccepts(requestFromWire(w)) {
		return stand.RefuseNotRun(c, "not in this engine's role")
	}
	s := e.submit(requestFromWire(w))
	ctx, stop := e.watcher.Watch(context.Background(), c.RequestCtx().Conn())
	c.Set(fiber.HeaderContentType, "text/event-stream")
	return c.SendStreamWriter(func(out *bufio.Writer) {
		defer stop()
		defer e.cancel(s)
		e.stream(ctx, s, out)
	})
}

// stream writes the events of a sequence until its end, until ctx is done or
// until the engine is down.
func (e *Engine) stream(ctx context.Context, s *sequence, out *bufio.Writer) {
	for {
		select {
		case <-ctx.Done():
			return
		case part := <-s.out:
			if e.isDown() || !writeEvent(out, chunkToWire(s, part)) || part.end {
				return
			}
		}
	}
}

func writeEvent(out *bufio.Writer, event chunkWire) bool {
	data, err := json.Marshal(event)
	if err != nil {
		return false
	}
	_, _ = fmt.Fprintf(out, "data: %s\n\n", data)
	if event.Done {
		_, _ = out.WriteString("data: [DONE]\n\n")
	}
	return out.Flush() == nil
}

func requestFromWire(w completionWire) Request {
	return Request(w)
}

func chunkToWire(s *sequence, c chunk) chunkWire {
	if c.end {
		return chunkWire{ID: s.request.ID, Done: true, Total: s.length}
	}
	return chunkWire{ID: s.request.ID, Index: c.index, Tokens: c.tokens, Version: c.version, Text: c.text}
}
