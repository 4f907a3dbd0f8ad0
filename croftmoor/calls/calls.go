// Package calls routes calls to the backend servers of plain services. It retries
// repeatable calls and runs calls that are not repeatable at most once.
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

// Request is a call to a plain service.
type Request struct {
	ID      ident.RequestID
	Service conf.Service
	// Class selects the retry budget, together with Service.
	Class  ident.Class
	Method string
	// Path includes the query string.
	Path    string
	Headers []httpc.Header
	Body    []byte
	// Repeatable means that running the call more than once is safe.
	Repeatable bool
	// Internal is true for calls of the system itself, which are never held for servers that
	// terminated while running them.
	Internal bool
	// Issued is the time at which the caller created the ID, or 0 if unknown.
	Issued clock.Millis
}

// Answer is a backend server's response.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Backend     ident.BackendName
}

// Claimer grants the right to run calls that are not repeatable, at most once for
// each ID.
type Claimer interface {
	// NewAttempt returns an attempt number that is unique at this instance.
	NewAttempt() int64
	// Claim requests the right to run a call and returns the entry of its ID, which
	// may belong to another attempt.
	Claim(ctx context.Context, request once.Request) (once.Entry, error)
	// Settle records the outcome of a claimed call.
	Settle(ctx context.Context, settlement once.Settlement)
	// RunnerAlive reports whether the runner of an entry can still settle it.
	RunnerAlive(runner ident.InstanceName) bool
}

// Caller sends calls to backend servers. Set the exported fields before use.
type Caller struct {
	Self    ident.InstanceName
	Pool    *pool.Pool
	Claimer Claimer
	Clock   *clock.Clock
	Trail   *trail.Trail
	// Guard may be nil.
	Guard Guard

	client httpc.Client
	// group runs the settlements.
	group conc.WaitGroup
	// budgets maps budgetKey to *budget.Budget.
	budgets sync.Map
}

const (
	maxTries          = 4
	retryAfter        = 300 * clock.Millis(1)
	idHeader          = "X-Request-ID"
	contentTypeHeader = "Content-Type"
	// notRunHeader is set by a backend server on a 503 response if it has not run
	// the call.
	notRunHeader = "Croft-Not-Run"
)

// Do sends a call and returns the response, or a *refuse.Error. The deadline is
// ctx's.
func (c *Caller) Do(ctx context.Context, r Request) (Answer, error) {
	if err := c.checkGuard(&r); err != nil {
		return Answer{}, err
	}
	if r.Repeatable {
		return c.doRepeatable(ctx, r)
	}
	return c.doOnce(ctx, r)
}

// tryResult is the result of sending a call to one server.
type tryResult int

const (
	// notSent means that the server has not received the call.
	notSent tryResult = iota
	// refused means that the server answered that it has not run the call.
	refused
	// lost means that the server may have run the call, but its response is missing
	// or incomplete.
	lost
	answered
)

// doRepeatable runs a repeatable call, with retries on other servers as far as the
// retry budget allows.
func (c *Caller) doRepeatable(ctx context.Context, r Request) (Answer, error) {
	retries := c.budget(r)
	retries.Earn()
	var tried []ident.BackendName
	mayHaveRun := false
	var lastErr error
	for try := range maxTries {
		if try > 0 && !retries.Spend() {
			c.logDecision(r, trail.Refuse, "", "", "the retry budget of the class is exhausted")
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

// refusal returns the error of a call that was not answered. err is the error of
// the last try.
func (c *Caller) refusal(ctx context.Context, r Request, mayHaveRun bool, err error) error {
	var refusal *refuse.Error
	switch {
	case !mayHaveRun:
		refusal = refuse.After("calls.Do", refuse.NotRun, "no backend server of service "+string(r.Service.Name)+" accepted the call", retryAfter)
	case ctx.Err() != nil && r.Repeatable:
		refusal = refuse.New("calls.Do", refuse.Late, "no response before the deadline", "retry; the call is repeatable")
	case r.Repeatable:
		refusal = refuse.After("calls.Do", refuse.OutcomeUnknown, "no complete response; the call is repeatable", retryAfter)
	default:
		refusal = refuse.New("calls.Do", refuse.OutcomeUnknown, "no complete response after the call was sent",
			"find out from service "+string(r.Service.Name)+" whether it ran; asking again with the same id never runs it twice")
	}
	refusal.Err = err
	return refusal
}

// try sends the call to one server and releases the server. moreTries tells
// whether another try may follow.
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

// tryContext returns the context of a try. If divide is true, it ends after half
// of the remaining time, which leaves time for a retry.
func (c *Caller) tryContext(ctx context.Context, divide bool) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok || !divide {
		return context.WithCancel(ctx)
	}
	remaining := clock.Millis(deadline.UnixMilli()) - c.Clock.Now()
	return context.WithTimeout(ctx, (remaining / 2).Duration())
}

// classify returns the result of a try from its response and error.
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

// pick acquires a server that is not in tried, or returns nil if none is
// available.
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

// budgetKey identifies a retry budget.
type budgetKey struct {
	class   ident.Class
	service ident.Service
}

// budget returns the retry budget of the call's class and service.
func (c *Caller) budget(r Request) *budget.Budget {
	loaded, _ := c.budgets.LoadOrStore(budgetKey{class: r.Class, service: r.Service.Name}, &budget.Budget{})
	b, _ := loaded.(*budget.Budget)
	return b
}
