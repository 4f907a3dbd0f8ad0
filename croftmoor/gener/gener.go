// Package gener gets whole generated answers from model engines. An answer
// that breaks off is resumed on another engine from the tokens that are there;
// every part is checked to belong to the request and to join without a gap.
package gener

import (
	"context"
	"strings"

	"croftmoor.dev/croftmoor/engine"
	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/croftmoor/refuse"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/guess"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/steps"
	"croftmoor.dev/kernel/trail"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Unwanted means that the receiver gave the request up.
	Unwanted Kind = "Unwanted"
	// Moved means that the rest is to be made on another engine.
	Moved Kind = "Moved"
)

// LivePriority is the priority of live requests at the engines, above all
// priorities of rollouts.
const LivePriority = 10

// Request asks for an answer.
type Request struct {
	ID        ident.RequestID
	Service   conf.Service
	Adapter   ident.Trainer
	Prompt    string
	Seed      string
	MaxTokens ident.Tokens
	Priority  int
	// MinVersion is the least version of the adapter's weights that engines should
	// be believed to run.
	MinVersion ident.Version
	// FirstServer is a server that was picked already; it may be nil.
	FirstServer *pool.Server
	// OnPart is called with each run of tokens; false gives the request up.
	OnPart func(Part) bool
	// MoveTarget is asked after each part whether the rest is better made elsewhere,
	// and if so, where; it may be nil.
	MoveTarget func(Progress) *pool.Server
}

// Progress is how far an answer is.
type Progress struct {
	Server *pool.Server
	Tokens ident.Tokens
	// Rate is the tokens a second that this server gave lately; 0 if not known.
	Rate  float64
	Moves int
}

// Part is a run of tokens of one version.
type Part struct {
	Text    string
	Tokens  ident.Tokens
	Version ident.Version
	Backend ident.BackendName
}

// Answer is a whole answer.
type Answer struct {
	Text   string
	Tokens ident.Tokens
	Spans  []steps.Span
}

// Generator gets answers. Set the fields before use.
type Generator struct {
	Pool   *pool.Pool
	Engine engine.Protocol
	Clock  *clock.Clock
	Trail  *trail.Trail
	// OnVersionMismatch is told when a stream names an older version than the server's
	// load report; it must not block, and may be nil.
	OnVersionMismatch func(pool.ObservedVersion)
}

const (
	maxTries = 6
	// stallTimeout is how long a started answer may be silent.
	stallTimeout = 8 * clock.Second
	retryDelay   = 20 * clock.Millis(1)
	// transferTimeout bounds the carrying of an engine's state.
	transferTimeout = 300 * clock.Millis(1)
	// minRateWindow is the least span over which a rate is taken.
	minRateWindow = 150 * clock.Millis(1)
	retryAfter    = 500 * clock.Millis(1)
)

// generation is one request on its way.
type generation struct {
	*Generator
	request  Request
	text     strings.Builder
	answer   Answer
	tried    []ident.BackendName
	accepted bool
	moves    int
	// moveTarget is where a move leads.
	moveTarget *pool.Server
	// rateSince and base are when the server's first part came and how many tokens
	// there were then.
	rateSince clock.Millis
	rateBase  ident.Tokens
}

// Generate returns the whole answer, or a refusal.
func (g *Generator) Generate(ctx context.Context, request Request) (Answer, error) {
	r := &generation{Generator: g, request: request}
	if r.isLive() && request.MoveTarget == nil {
		r.request.MoveTarget = r.liveMoveTarget
	}
	var last error
	for try := range maxTries + r.extraTries() {
		server, ok := r.pick(try)
		if !ok {
			break
		}
		done, err := r.attempt(ctx, server)
		if done {
			r.answer.Text = r.text.String()
			return r.answer, nil
		}
		last = err
		if ctx.Err() != nil || fault.KindOf[Kind](err) == Unwanted {
			break
		}
		r.Clock.Sleep(ctx, retryDelay)
	}
	return Answer{}, r.refusal(ctx, last)
}

func (r *generation) pick(try int) (*pool.Server, bool) {
	if next := r.moveTarget; next != nil {
		r.moveTarget = nil
		r.Pool.Acquire(next, r.isLive())
		return next, true
	}
	if try == 0 && r.request.FirstServer != nil {
		return r.request.FirstServer, true
	}
	query := pool.Query{
		ID: r.request.ID, Service: r.request.Service, Family: guess.Family(r.request.Prompt),
		Exclude: r.tried, Trainer: r.request.Adapter, MinVersion: r.request.MinVersion, Live: r.isLive(),
	}
	server, runnerUp, reason := r.Pool.Pick(query)
	if server == nil && len(r.tried) > 0 {
		query.Exclude = nil
		server, runnerUp, reason = r.Pool.Pick(query)
	}
	if server == nil {
		return nil, false
	}
	action := trail.Route
	if try > 0 {
		action = trail.Retry
	}
	r.Trail.Add(trail.Decision{
		ID: string(r.request.ID), Action: action, Choice: string(server.Name), RunnerUp: string(runnerUp), Reason: reason,
	})
	return server, true
}

// attempt reads the answer, or the rest of it, from one server.
func (r *generation) attempt(ctx context.Context, server *pool.Server) (done bool, err error) {
	start := r.Clock.Mono()
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done, err = r.readStream(readCtx, cancel, server)
	now := r.Clock.Mono()
	server.Release(r.Clock, r.isLive(), now-start, done)
	abandoned := ctx.Err() != nil || fault.KindOf[Kind](err) != ""
	if !done && !abandoned {
		r.tried = append(r.tried, server.Name)
		if server.Breaker.RecordFailure(now) {
			r.Trail.Add(trail.Decision{ID: string(r.request.ID), Action: trail.Hold, Choice: string(server.Name), Reason: "ejected after failures"})
		}
	}
	return done, err
}

// isLive tells a isLive request from a rollout.
func (r *generation) isLive() bool {
	return r.request.Priority == LivePriority
}

// liveMoveTarget moves a live answer, once, that gets less than half of the rate that
// it would get elsewhere: its engine has become slow, and it has a deadline.
func (r *generation) liveMoveTarget(progress Progress) *pool.Server {
	server, rate := r.Pool.Fastest(pool.Query{Service: r.request.Service, Live: true}, progress.Server)
	if progress.Moves > 0 || server == nil || 2*progress.Rate >= rate {
		return nil
	}
	r.Trail.Add(trail.Decision{
		ID: string(r.request.ID), Action: trail.Retry, Choice: string(server.Name), RunnerUp: string(progress.Server.Name),
		Reason: "less than half of the rate elsewhere",
	})
	return server
}

// extraTries is how many tries may be moves; they are on top of the failures.
func (r *generation) extraTries() int {
	if r.request.MoveTarget == nil {
		return 0
	}
	return maxTries
}

func (r *generation) readStream(ctx context.Context, cancel context.CancelFunc, server *pool.Server) (bool, error) {
	events, err := r.Engine.Complete(ctx, server.Address(), engine.Completion{
		ID: r.request.ID, Adapter: r.request.Adapter, Prompt: r.request.Prompt, Seed: r.request.Seed,
		MaxTokens: r.request.MaxTokens, Priority: r.request.Priority, ResumeFrom: r.answer.Tokens,
	})
	if err != nil {
		return false, err
	}
	defer events.Close()
	r.accepted = true
	r.rateSince = 0
	stall := r.Clock.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	for {
		event, err := events.Next()
		if err != nil {
			return false, err
		}
		stall.Reset(stallTimeout.Duration())
		if done, err := r.applyEvent(event, server); done || err != nil {
			r.transferState(ctx, server)
			return done, err
		}
	}
}

// transferState takes the engine's state over to where a move leads, while the stream
// that it belongs to is still open. If that fails, the next engine needs a
// prefill, which is all.
func (r *generation) transferState(ctx context.Context, from *pool.Server) {
	if r.moveTarget == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout.Duration())
	defer cancel()
	_ = r.Engine.TransferState(ctx, from.Address(), r.moveTarget.Address(), r.request.ID)
}

// applyEvent checks one event against what is there and adds what is new of it.
func (r *generation) applyEvent(event engine.Event, server *pool.Server) (bool, error) {
	if event.ID != r.request.ID {
		return false, fault.New("gener.take", engine.Broken, "an answer to "+string(event.ID)+" came in place of "+string(r.request.ID))
	}
	received := r.answer.Tokens
	if event.Done {
		if event.Total != received {
			return false, fault.New("gener.take", engine.Broken, "the end mark does not fit the tokens that came")
		}
		return true, nil
	}
	if event.Index+event.Tokens <= received {
		return false, nil
	}
	if event.Index != received {
		return false, fault.New("gener.take", engine.Broken, "tokens are missing or doubled at the seam")
	}
	r.text.WriteString(event.Text)
	r.answer.Tokens += event.Tokens
	r.answer.Spans = addSpan(r.answer.Spans, event)
	if server.RecordVersion(r.request.Adapter, event.Version, r.Clock.Mono()) && r.OnVersionMismatch != nil {
		r.OnVersionMismatch(pool.ObservedVersion{Service: server.Service, Server: server.Name, Trainer: r.request.Adapter, Version: event.Version})
	}
	part := Part{Text: event.Text, Tokens: event.Tokens, Version: event.Version, Backend: server.Name}
	if r.request.OnPart != nil && !r.request.OnPart(part) {
		return false, fault.New("gener.take", Unwanted, "given up by the receiver")
	}
	return false, r.considerMove(server)
}

// considerMove notes the server's speed and asks the receiver whether the rest
// is better made elsewhere.
func (r *generation) considerMove(server *pool.Server) error {
	now := r.Clock.Mono()
	if r.rateSince == 0 {
		r.rateSince, r.rateBase = now, r.answer.Tokens
		return nil
	}
	elapsed := now - r.rateSince
	if elapsed < minRateWindow {
		return nil
	}
	tokens := r.answer.Tokens - r.rateBase
	server.RecordSpeed(tokens, elapsed, r.request.Service.Slots)
	r.rateSince, r.rateBase = now, r.answer.Tokens
	progress := Progress{Server: server, Tokens: r.answer.Tokens, Rate: float64(tokens) / elapsed.Duration().Seconds(), Moves: r.moves}
	if r.request.MoveTarget == nil {
		return nil
	}
	target := r.request.MoveTarget(progress)
	if target == nil {
		return nil
	}
	r.moves++
	r.moveTarget = target
	r.tried = append(r.tried, server.Name)
	return fault.New("gener.considerMove", Moved, "the rest is expected sooner elsewhere")
}

// addSpan joins an event's tokens to the spans so far.
func addSpan(spans []steps.Span, event engine.Event) []steps.Span {
	if n := len(spans); n > 0 && spans[n-1].Version == event.Version {
		spans[n-1].Tokens += event.Tokens
		return spans
	}
	return append(spans, steps.Span{Version: event.Version, Tokens: event.Tokens})
}

// refusal says how the request ended. Generation may always be repeated; but
// "not run" is only said if no engine was handed the request.
func (r *generation) refusal(ctx context.Context, last error) error {
	if !r.accepted && (last == nil || fault.KindOf[engine.Kind](last) == engine.NotRun) {
		return refuse.After("gener.Generate", refuse.NotRun, "no engine of service "+string(r.request.Service.Name)+" took the request", retryAfter)
	}
	if ctx.Err() != nil {
		return refuse.New("gener.Generate", refuse.Late, "the answer was not whole at the deadline", "ask again with a later deadline")
	}
	refusal := refuse.After("gener.Generate", refuse.OutcomeUnknown, "the engines broke off the answer", retryAfter)
	refusal.Err = last
	return refusal
}

// AddPart joins a part to the spans so far, for receivers that watch an
// answer grow.
func AddPart(spans []steps.Span, part Part) []steps.Span {
	return addSpan(spans, engine.Event{Version: part.Version, Tokens: part.Tokens})
}
