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
	maxTries   = 4
	retryTerm  = 300 * clock.Millis(1)
	idHeader   = "X-Request-ID"
	typeHeader = "Content-Type"
	// notRunHeader marks a backend server's own word that it did not run a call.
	notRunHeader = "Croft-Not-Run"
)

// Do carries a call to its end. ctx holds the deadline.
func (c *Caller) Do(ctx context.Context, r Request) (Answer, error) {
	if err := c.held(&r); err != nil {
		return Answer{}, err
	}
	if r.Repeatable {
		return c.doRepeatable(ctx, r)
	}
	return c.doOnce(ctx, r)
}

// sent is how far a try got.
type sent int

const (
	notSent sent = iota
	refused
	lost
	answered
)

func (c *Caller) doRepeatable(ctx context.Context, r Request) (Answer, error) {
	retries := c.budget(r)
	retries.Earn()
	var tried []ident.BackendName
	mayHaveRun := false
	var last error
	for try := range maxTries {
		if try > 0 && !retries.Spend() {
			c.note(r, trail.Refuse, "", "", "no retry left in the class's budget")
			break
		}
		if try > 0 && c.held(&r) != nil {
			break
		}
		server := c.pick(r, tried, try)
		if server == nil {
			break
		}
		answer, how, err := c.try(ctx, r, server, try+1 < maxTries)
		if how == answered {
			return answer, nil
		}
		mayHaveRun = mayHaveRun || how == lost
		tried = append(tried, server.Name)
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return Answer{}, c.giveUp(ctx, r, mayHaveRun, last)
}

func (c *Caller) giveUp(ctx context.Context, r Request, mayHaveRun bool, last error) error {
	var refusal *refuse.Error
	switch {
	case !mayHaveRun:
		refusal = refuse.After("calls.Do", refuse.NotRun, "no backend server of service "+string(r.Service.Name)+" took the call", retryTerm)
	case ctx.Err() != nil && r.Repeatable:
		refusal = refuse.New("calls.Do", refuse.Late, "no answer before the deadline", "ask again; the call may be repeated")
	case r.Repeatable:
		refusal = refuse.After("calls.Do", refuse.OutcomeUnknown, "the answer was lost; the call may be repeated", retryTerm)
	default:
		refusal = refuse.New("calls.Do", refuse.OutcomeUnknown, "the answer was lost after the call was sent",
			"find out from service "+string(r.Service.Name)+" whether it ran; asking again with the same id never runs it twice")
	}
	refusal.Err = last
	return refusal
}

// try sends the call to one server.
func (c *Caller) try(ctx context.Context, r Request, server *pool.Server, more bool) (Answer, sent, error) {
	tryCtx, cancel := c.share(ctx, more && r.Repeatable)
	defer cancel()
	call := &httpc.Call{Address: server.Address(), Method: r.Method, Path: r.Path, Body: r.Body, FreshConn: !r.Repeatable}
	call.Headers = append(call.Headers, r.Headers...)
	call.Headers = append(call.Headers, httpc.Header{Name: idHeader, Value: string(r.ID)})
	began := c.Clock.Mono()
	answer, err := c.client.Do(tryCtx, call)
	now := c.Clock.Mono()
	how := judge(answer, err)
	c.learn(tryCtx, &r, server, how)
	server.Release(c.Clock, false, now-began, how == answered)
	if how == answered {
		return Answer{Status: answer.Status, ContentType: answer.Header(typeHeader), Body: answer.Body, Backend: server.Name}, how, nil
	}
	if ctx.Err() == nil && server.Breaker.RecordFailure(now) {
		c.note(r, trail.Hold, server.Name, "", "ejected after failures")
	}
	return Answer{}, how, err
}

// share gives a try half of the time that is left when others may follow.
func (c *Caller) share(ctx context.Context, more bool) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok || !more {
		return context.WithCancel(ctx)
	}
	left := clock.Millis(deadline.UnixMilli()) - c.Clock.Now()
	return context.WithTimeout(ctx, (left / 2).Duration())
}

func judge(answer *httpc.Answer, err error) sent {
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
		c.note(r, trail.Refuse, "", "", reason)
		return nil
	}
	action := trail.Route
	if try > 0 {
		action = trail.Retry
	}
	c.note(r, action, server.Name, runnerUp, reason)
	return server
}

func (c *Caller) note(r Request, action trail.Action, choice, runnerUp ident.BackendName, reason string) {
	c.Trail.Add(trail.Decision{ID: string(r.ID), Action: action, Choice: string(choice), RunnerUp: string(runnerUp), Reason: reason})
}

// budgetKey names one budget.
type budgetKey struct {
	class   ident.Class
	service ident.Service
}

func (c *Caller) budget(r Request) *budget.Budget {
	made, _ := c.budgets.LoadOrStore(budgetKey{class: r.Class, service: r.Service.Name}, &budget.Budget{})
	b, _ := made.(*budget.Budget)
	return b
}
