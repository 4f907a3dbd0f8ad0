// Package calls carries calls to plain services: the choice of a backend
// server, retries of what may be repeated, and at most one run of what may not.
package calls

import (
	"context"
	"net/http"
	"sync"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/croftmoor/refuse"
	"croftmoor.dev/kernel/budget"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/once"
	"croftmoor.dev/kernel/trail"
)

// Request is one call.
type Request struct {
	ID         ident.RequestID
	Service    conf.Service
	Class      ident.Class
	Method     string
	Path       string
	Headers    []httpc.Header
	Body       []byte
	Repeatable bool
	// Issued is when the caller made the id, if known; else 0.
	Issued clock.Millis
}

// Answer is the backend server's answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Backend     ident.BackendName
}

// Claimer grants the right to run what may not be repeated.
type Claimer interface {
	NewAttempt() int64
	Claim(ctx context.Context, request once.Request) (once.Entry, error)
	Settle(ctx context.Context, settlement once.Settlement)
	RunnerAlive(runner ident.InstanceName) bool
}

// Caller carries calls. Set the fields before use.
type Caller struct {
	Self    ident.InstanceName
	Pool    *pool.Pool
	Claimer Claimer
	Clock   *clock.Clock
	Trail   *trail.Trail
	// Guard may be nil.
	Guard Guard

	client  httpc.Client
	group   conc.WaitGroup
	budgets sync.Map
}

const (
	maxTries          = 4
	retryAfter        = 300 * clock.Millis(1)
	idHeader          = "X-Request-ID"
	contentTypeHeader = "Content-Type"
	// notRunHeader marks a backend server's own word that it did not run a call.
	notRunHeader = "Croft-Not-Run"
)

// Do carries a call to its end. ctx holds the deadline.
func (c *Caller) Do(ctx context.Context, r Request) (Answer, error) {
	if err := c.checkGuard(&r); err != nil {
		return Answer{}, err
	}
	if r.Repeatable {
		return c.doRepeatable(ctx, r)
	}
	return c.doOnce(ctx, r)
}

// tryResult is how far a try got.
type tryResult int

const (
	notSent tryResult = iota
	refused
	lost
	answered
)

func (c *Caller) doRepeatable(ctx context.Context, r Request) (Answer, error) {
	retries := c.budget(r)
	retries.Earn()
	var tried []ident.BackendName
	mayHaveRun := false
	var lastErr error
	for try := range maxTries {
		if try > 0 && !retries.Spend() {
			c.logDecision(r, trail.Refuse, "", "", "no retry left in the class's budget")
			break
		}
		if try > 0 && c.checkGuard(&r) != nil {
			break
		}
		server := c.pick(r, tried, try)
		if server == nil {
			break
		}
		answer, result, err := c.try(ctx, r, server, try+1 < maxTries)
		if result == answered {
			return answer, nil
		}
		mayHaveRun = mayHaveRun || result == lost
		tried = append(tried, server.Name)
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return Answer{}, c.refusal(ctx, r, mayHaveRun, lastErr)
}

func (c *Caller) refusal(ctx context.Context, r Request, mayHaveRun bool, err error) error {
	var refusal *refuse.Error
	switch {
	case !mayHaveRun:
		refusal = refuse.After("calls.Do", refuse.NotRun, "no backend server of service "+string(r.Service.Name)+" took the call", retryAfter)
	case ctx.Err() != nil && r.Repeatable:
		refusal = refuse.New("calls.Do", refuse.Late, "no answer before the deadline", "ask again; the call may be repeated")
	case r.Repeatable:
		refusal = refuse.After("calls.Do", refuse.OutcomeUnknown, "the answer was lost; the call may be repeated", retryAfter)
	default:
		refusal = refuse.New("calls.Do", refuse.OutcomeUnknown, "the answer was lost after the call was sent",
			"find out from service "+string(r.Service.Name)+" whether it ran; asking again with the same id never runs it twice")
	}
	refusal.Err = err
	return refusal
}

// try sends the call to one server.
func (c *Caller) try(ctx context.Context, r Request, server *pool.Server, moreTries bool) (Answer, tryResult, error) {
	tryCtx, cancel := c.tryContext(ctx, moreTries && r.Repeatable)
	defer cancel()
	call := &httpc.Call{Address: server.Address(), Method: r.Method, Path: r.Path, Body: r.Body, FreshConn: !r.Repeatable}
	call.Headers = append(call.Headers, r.Headers...)
	call.Headers = append(call.Headers, httpc.Header{Name: idHeader, Value: string(r.ID)})
	start := c.Clock.Mono()
	answer, err := c.client.Do(tryCtx, call)
	now := c.Clock.Mono()
	result := classify(answer, err)
	c.reportToGuard(tryCtx, &r, server, result)
	server.Release(c.Clock, false, now-start, result == answered)
	if result == answered {
		return Answer{Status: answer.Status, ContentType: answer.Header(contentTypeHeader), Body: answer.Body, Backend: server.Name}, result, nil
	}
	if ctx.Err() == nil && server.Breaker.RecordFailure(now) {
		c.logDecision(r, trail.Hold, server.Name, "", "ejected after failures")
	}
	return Answer{}, result, err
}

// tryContext gives a try half of the time that is left when others may follow.
func (c *Caller) tryContext(ctx context.Context, divide bool) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok || !divide {
		return context.WithCancel(ctx)
	}
	remaining := clock.Millis(deadline.UnixMilli()) - c.Clock.Now()
	return context.WithTimeout(ctx, (remaining / 2).Duration())
}

func classify(answer *httpc.Answer, err error) tryResult {
	switch {
	case fault.KindOf[httpc.Kind](err) == httpc.NotSent:
		return notSent
	case err != nil:
		return lost
	case answer.Status == http.StatusServiceUnavailable && answer.Header(notRunHeader) != "":
		return refused
	default:
		return answered
	}
}

func (c *Caller) pick(r Request, tried []ident.BackendName, try int) *pool.Server {
	server, runnerUp, reason := c.Pool.Pick(pool.Query{ID: r.ID, Service: r.Service, Exclude: tried})
	if server == nil {
		c.logDecision(r, trail.Refuse, "", "", reason)
		return nil
	}
	action := trail.Route
	if try > 0 {
		action = trail.Retry
	}
	c.logDecision(r, action, server.Name, runnerUp, reason)
	return server
}

func (c *Caller) logDecision(r Request, action trail.Action, choice, runnerUp ident.BackendName, reason string) {
	c.Trail.Add(trail.Decision{ID: string(r.ID), Action: action, Choice: string(choice), RunnerUp: string(runnerUp), Reason: reason})
}

// budgetKey names one budget.
type budgetKey struct {
	class   ident.Class
	service ident.Service
}

func (c *Caller) budget(r Request) *budget.Budget {
	loaded, _ := c.budgets.LoadOrStore(budgetKey{class: r.Class, service: r.Service.Name}, &budget.Budget{})
	b, _ := loaded.(*budget.Budget)
	return b
}
