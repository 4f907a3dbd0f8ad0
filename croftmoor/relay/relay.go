// Package relay answers the callers of batch jobs at an instance that does not
// follow the ledger: it asks one that does. Jobs are taken by every instance itself,
// since that needs no state and their bodies are large.
package relay

import (
	"context"
	"fmt"
	"net/http"

	"croftmoor.dev/croftmoor/intake"
	"croftmoor.dev/croftmoor/rpcs"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/elect"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/trail"
)

// Jobs answers the callers of batch jobs.
type Jobs interface {
	Submit(ctx context.Context, s intake.Submission) error
	Read(ctx context.Context, by ident.Organisation, job ident.Job, from int, wait clock.Millis) (intake.Page, error)
	Body(ctx context.Context, by ident.Organisation, job ident.Job, id ident.Item) ([]byte, error)
	End(ctx context.Context, by ident.Organisation, job ident.Job) error
}

// Decisions takes a line for each decision.
type Decisions interface {
	Add(d trail.Decision)
}

const (
	// tries is how many followers are asked one after the other.
	tries = 3
	// answerTerm is how long a follower may take beyond the time for which an answer
	// may be held; a read of texts from the log takes some 10 ms, three times that in
	// a slow spell. Callers wait 1.5 s beyond what they allow.
	answerTerm = 700 * clock.Millis(1)
	// endTerm bounds the end of a job, which is written to the log.
	endTerm = 3 * clock.Second
)

// Relay passes calls on to a follower. Set the fields before use.
type Relay struct {
	// Local answers where this instance knows the ledger itself, and takes jobs.
	Local Jobs
	// Knows tells whether this instance has read the ledger to its end.
	Knows func() bool
	// Followers returns the others that follow the ledger, those to ask first first.
	Followers func(key string) []elect.Member
	Clock     *clock.Clock
	// Trail takes a line for each follower that gave no answer of its own.
	Trail Decisions

	client *http.Client
}

// Setup makes the relay usable.
func (r *Relay) Setup() {
	r.client = rpcs.NewClient()
}

// Submit takes a job.
func (r *Relay) Submit(ctx context.Context, s intake.Submission) error {
	return r.Local.Submit(ctx, s)
}

// Read returns results of a job.
func (r *Relay) Read(ctx context.Context, by ident.Organisation, job ident.Job, from int, wait clock.Millis) (intake.Page, error) {
	if r.Knows() {
		return r.Local.Read(ctx, by, job, from, wait)
	}
	until := r.Clock.Mono() + wait
	answer, err := ask(ctx, r, job, wait+answerTerm, intake.Unsure, func(ctx context.Context, to ident.Address) (*pageWire, error) {
		left := max(until-r.Clock.Mono(), 0)
		return rpcs.Call[readWire, pageWire](ctx, r.client, to, readPath, &readWire{Organisation: string(by), Job: string(job), From: from, WaitMillis: int64(left)})
	})
	if err != nil {
		return intake.Page{}, err
	}
	return pageFromWire(answer), nil
}

// Body returns the body of an item.
func (r *Relay) Body(ctx context.Context, by ident.Organisation, job ident.Job, id ident.Item) ([]byte, error) {
	if r.Knows() {
		return r.Local.Body(ctx, by, job, id)
	}
	answer, err := ask(ctx, r, job, answerTerm, intake.Unsure, func(ctx context.Context, to ident.Address) (*bodyWire, error) {
		return rpcs.Call[itemWire, bodyWire](ctx, r.client, to, bodyPath, &itemWire{Organisation: string(by), Job: string(job), Item: string(id)})
	})
	if err != nil {
		return nil, err
	}
	return answer.Body, nil
}

// End closes a job.
func (r *Relay) End(ctx context.Context, by ident.Organisation, job ident.Job) error {
	if r.Knows() {
		return r.Local.End(ctx, by, job)
	}
	_, err := ask(ctx, r, job, endTerm, intake.Uncertain, func(ctx context.Context, to ident.Address) (*emptyWire, error) {
		return rpcs.Call[jobWire, emptyWire](ctx, r.client, to, endPath, &jobWire{Organisation: string(by), Job: string(job)})
	})
	return err
}

// ask asks followers until one gives an answer of its own. A follower that can't be
// sure is an answer only if no other is left; unsure is the kind of an error when
// no follower gave one.
func ask[A any](ctx context.Context, r *Relay, job ident.Job, term clock.Millis, unsure intake.Kind, call func(context.Context, ident.Address) (*A, error)) (*A, error) {
	var last error = fault.New("relay.ask", intake.Unsure, "no instance is known that follows the ledger")
	for n, follower := range r.Followers(string(job)) {
		if n == tries || ctx.Err() != nil {
			break
		}
		began := r.Clock.Mono()
		callCtx, cancel := context.WithTimeout(ctx, term.Duration())
		answer, err := call(callCtx, follower.Address)
		cancel()
		if err == nil {
			return answer, nil
		}
		kind := unsure
		if told := rpcs.KindOf(err); told != "" {
			kind = intake.Kind(told)
		}
		last = fault.Wrap("relay.ask", kind, err, "through "+string(follower.Name))
		r.Trail.Add(trail.Decision{
			ID: string(job), Action: trail.Retry, Choice: string(follower.Name),
			Reason: fmt.Sprintf("no answer from follower %d after %d of %d ms, caller left %t: %s", n+1, r.Clock.Mono()-began, term, ctx.Err() != nil, err),
		})
		if kind != intake.Unsure && kind != intake.Uncertain {
			return nil, last
		}
	}
	return nil, last
}
