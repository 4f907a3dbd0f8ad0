// Package gener generates answers with model engines. If a stream fails, the
// answer is resumed on another engine after the last token received. Each event
// must carry the request's ID and continue the answer without a gap.
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
	// Unwanted means that OnPart canceled the request.
	Unwanted Kind = "Unwanted"
	// Moved means that the rest of the answer is generated on another engine.
	Moved Kind = "Moved"
)

// LivePriority is the engine priority of live requests. It is higher than every
// rollout priority.
const LivePriority = 10

// Request is a generation request.
type Request struct {
	ID        ident.RequestID
	Service   conf.Service
	Adapter   ident.Trainer
	Prompt    string
	Seed      string
	MaxTokens ident.Tokens
	Priority  int
	// MinVersion is the lowest adapter version that an engine must have, by its
	// last known state, to be picked.
	MinVersion ident.Version
	// FirstServer is the server of the first try, already acquired from the pool.
	// If it is nil, the pool picks one.
	FirstServer *pool.Server
	// OnPart is called with each part of the answer, in order. If it returns
	// false, the request is canceled. It may be nil.
	OnPart func(Part) bool
	// MoveTarget is called after each rate measurement. It returns the server that
	// should generate the rest of the answer, or nil to stay. It may be nil.
	MoveTarget func(Progress) *pool.Server
}

// Progress describes an answer that is being generated.
type Progress struct {
	Server *pool.Server
	Tokens ident.Tokens
	// Rate is the last measured rate of Server, in tokens per second.
	Rate float64
	// Moves counts how often the answer has moved to another server.
	Moves int
}

// Part is a sequence of tokens generated with one adapter version.
type Part struct {
	Text    string
	Tokens  ident.Tokens
	Version ident.Version
	Backend ident.BackendName
}

// Answer is a complete answer. Spans lists the adapter versions that generated
// it, in token order.
type Answer struct {
	Text   string
	Tokens ident.Tokens
	Spans  []steps.Span
}

// Generator generates answers. Set the fields before use.
type Generator struct {
	Pool   *pool.Pool
	Engine engine.Protocol
	Clock  *clock.Clock
	Trail  *trail.Trail
	// OnVersionMismatch is called when a stream reports an older version than the
	// server's load report. It must not block, and may be nil.
	OnVersionMismatch func(pool.ObservedVersion)
}

const (
	maxTries = 6
	// stallTimeout is the longest time between two events of a stream.
	stallTimeout = 8 * clock.Second
	retryDelay   = 20 * clock.Millis(1)
	// transferTimeout limits the transfer of a request's engine state.
	transferTimeout = 300 * clock.Millis(1)
	// minRateWindow is the shortest time over which a token rate is measured.
	minRateWindow = 150 * clock.Millis(1)
	retryAfter    = 500 * clock.Millis(1)
)

// generation is the state of one Generate call.
type generation struct {
	*Generator
	request Request
	text    strings.Builder
	answer  Answer
	// tried lists the servers that failed or were moved away from.
	tried []ident.BackendName
	// accepted is true once an engine has opened a stream for the request.
	accepted bool
	moves    int
	// moveTarget is the server of the next try after a move, else nil.
	moveTarget *pool.Server
	// rateSince and rateBase are the time and the token count at the start of the
	// current rate window; rateSince is 0 before a stream's first part.
	rateSince clock.Millis
	rateBase  ident.Tokens
}

// Generate returns the complete answer, or a *refuse.Error.
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

// pick acquires the server of the next try: a move's target, the request's first
// server, or the pool's choice. Servers already tried are used only if no other
// is available.
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

// attempt streams the rest of the answer from one server, then releases the
// server and records a failure unless the request was canceled or moved.
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

// isLive reports whether the request is live rather than a rollout.
func (r *generation) isLive() bool {
	return r.request.Priority == LivePriority
}

// liveMoveTarget moves a live answer, at most once, if its rate is below half of
// the fastest other server's: a live request has a deadline, and its engine has
// become slow.
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

// extraTries returns the number of tries allowed for moves, in addition to
// maxTries for failures.
func (r *generation) extraTries() int {
	if r.request.MoveTarget == nil {
		return 0
	}
	return maxTries
}

// readStream reads one stream until the answer is complete, the stream fails or
// the answer moves. cancel cancels ctx and is called when the stream stalls.
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

// transferState copies the request's engine state to the move's target. The
// stream must still be open, since the engine drops the state when it closes. A
// failure is ignored: the target then runs a prefill.
func (r *generation) transferState(ctx context.Context, from *pool.Server) {
	if r.moveTarget == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout.Duration())
	defer cancel()
	_ = r.Engine.TransferState(ctx, from.Address(), r.moveTarget.Address(), r.request.ID)
}

// applyEvent validates an event and appends its tokens to the answer. Events that
// were already received are skipped. It returns true after a valid end event.
func (r *generation) applyEvent(event engine.Event, server *pool.Server) (bool, error) {
	if event.ID != r.request.ID {
		return false, fault.New("gener.applyEvent", engine.Broken, "received an event of request "+string(event.ID)+" on the stream of request "+string(r.request.ID))
	}
	received := r.answer.Tokens
	if event.Done {
		if event.Total != received {
			return false, fault.New("gener.applyEvent", engine.Broken, "the end event's total differs from the number of tokens received")
		}
		return true, nil
	}
	if event.Index+event.Tokens <= received {
		return false, nil
	}
	if event.Index != received {
		return false, fault.New("gener.applyEvent", engine.Broken, "the event's index differs from the number of tokens received")
	}
	r.text.WriteString(event.Text)
	r.answer.Tokens += event.Tokens
	r.answer.Spans = addSpan(r.answer.Spans, event)
	if server.RecordVersion(r.request.Adapter, event.Version, r.Clock.Mono()) && r.OnVersionMismatch != nil {
		r.OnVersionMismatch(pool.ObservedVersion{Service: server.Service, Server: server.Name, Trainer: r.request.Adapter, Version: event.Version})
	}
	part := Part{Text: event.Text, Tokens: event.Tokens, Version: event.Version, Backend: server.Name}
	if r.request.OnPart != nil && !r.request.OnPart(part) {
		return false, fault.New("gener.applyEvent", Unwanted, "canceled by the receiver")
	}
	return false, r.considerMove(server)
}

// considerMove measures the server's token rate once per rate window and calls
// the request's MoveTarget. It returns a Moved error if the answer moves.
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
	return fault.New("gener.considerMove", Moved, "the answer moves to a faster server")
}

// addSpan adds an event's tokens to the last span, or to a new one if the version
// has changed.
func addSpan(spans []steps.Span, event engine.Event) []steps.Span {
	if n := len(spans); n > 0 && spans[n-1].Version == event.Version {
		spans[n-1].Tokens += event.Tokens
		return spans
	}
	return append(spans, steps.Span{Version: event.Version, Tokens: event.Tokens})
}

// refusal returns the error of a failed Generate call: NotRun if no engine opened
// a stream and the last try, if any, failed with engine.NotRun.
func (r *generation) refusal(ctx context.Context, last error) error {
	if !r.accepted && (last == nil || fault.KindOf[engine.Kind](last) == engine.NotRun) {
		return refuse.After("gener.Generate", refuse.NotRun, "no engine of service "+string(r.request.Service.Name)+" accepted the request", retryAfter)
	}
	if ctx.Err() != nil {
		return refuse.New("gener.Generate", refuse.Late, "the answer was incomplete at the deadline", "retry with a later deadline")
	}
	refusal := refuse.After("gener.Generate", refuse.OutcomeUnknown, "the engines' streams failed before the answer was complete", retryAfter)
	refusal.Err = last
	return refusal
}

// AddPart adds a part's tokens to spans, for OnPart callbacks that track the
// versions of an answer.
func AddPart(spans []steps.Span, part Part) []steps.Span {
	return addSpan(spans, engine.Event{Version: part.Version, Tokens: part.Tokens})
}
