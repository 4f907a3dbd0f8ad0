// Package relay answers the callers of batch jobs at an instance that does not
// follow the ledger: it asks one that does. Jobs are taken by every instance itself,
// since that needs no state and their bodies are large.
package relay

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

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
	// maxFollowers is how many followers are asked at most, nearTries of them before one of
	// another availability zone: all of a zone may have started at once.
	maxFollowers  = 4
	nearFollowers = 2
	// hedgeDelay is how long a follower may take beyond the time for which an answer may be
	// held, before the next one is asked beside it; a page of results takes some 10 ms, and
	// some 0.5 s while the log is slow.
	hedgeDelay = 700 * clock.Millis(1)
	// totalTimeout is how long all of them may take. Callers wait 1.5 s beyond what they allow,
	// and a page is long.
	totalTimeout = 1300 * clock.Millis(1)
	// endTimeout bounds the end of a job at one follower, which is written to the log.
	endTimeout = 3 * clock.Second
)

// timeouts bound the asking of followers.
type timeouts struct {
	// hedge is how long one is waited for before the hedge one is asked, too.
	hedge clock.Millis
	total clock.Millis
}

// Relay passes calls on to a follower. Set the fields before use.
type Relay struct {
	// Local answers where this instance knows the ledger itself, and takes jobs.
	Local Jobs
	// LedgerCurrent tells whether this instance has read the ledger to its end.
	LedgerCurrent func() bool
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
	if r.LedgerCurrent() {
		return r.Local.Read(ctx, by, job, from, wait)
	}
	until := r.Clock.Mono() + wait
	answer, err := ask(ctx, r, job, timeouts{hedge: wait + hedgeDelay, total: wait + totalTimeout}, intake.Unsure, func(ctx context.Context, to ident.Address) (*pageWire, error) {
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
	if r.LedgerCurrent() {
		return r.Local.Body(ctx, by, job, id)
	}
	answer, err := ask(ctx, r, job, timeouts{hedge: hedgeDelay, total: totalTimeout}, intake.Unsure, func(ctx context.Context, to ident.Address) (*bodyWire, error) {
		return rpcs.Call[itemWire, bodyWire](ctx, r.client, to, bodyPath, &itemWire{Organisation: string(by), Job: string(job), Item: string(id)})
	})
	if err != nil {
		return nil, err
	}
	return answer.Body, nil
}

// End closes a job.
func (r *Relay) End(ctx context.Context, by ident.Organisation, job ident.Job) error {
	if r.LedgerCurrent() {
		return r.Local.End(ctx, by, job)
	}
	_, err := ask(ctx, r, job, timeouts{hedge: endTimeout, total: maxFollowers * endTimeout}, intake.Uncertain, func(ctx context.Context, to ident.Address) (*emptyWire, error) {
		return rpcs.Call[jobWire, emptyWire](ctx, r.client, to, endPath, &jobWire{Organisation: string(by), Job: string(job)})
	})
	return err
}

// reply is what a follower answered, or that it gave no answer.
type reply[A any] struct {
	from   elect.Member
	answer *A
	err    error
}

// ask asks followers until one gives an answer of its own. A follower that can't be
// sure is an answer only if no other is left; unsure is the kind of an error when
// a follower gave none, and stands whatever the others say: it may have done what it was
// asked.
//
// One that is late is waited for beside the next: it has read more of what is asked for
// than one that begins. When it was given up, each of them began anew until the caller
// had left.
func ask[A any](ctx context.Context, r *Relay, job ident.Job, t timeouts, defaultKind intake.Kind, call func(context.Context, ident.Address) (*A, error)) (*A, error) {
	remaining := candidates(r.Followers(string(job)))
	if len(remaining) == 0 {
		return nil, fault.New("relay.ask", intake.Unsure, "no instance is known that follows the ledger")
	}
	replies := make(chan reply[A], len(remaining))
	startedAt := r.Clock.Mono()
	var group conc.WaitGroup
	defer group.Wait()
	callCtx, cancel := context.WithTimeout(ctx, t.total.Duration())
	defer cancel()
	// lastErr is what was heard lastErr; uncertainErr stands above it: what a follower may have done was
	// perhaps done.
	var lastErr, uncertainErr error
	timeoutErr := func() error {
		return fault.New("relay.ask", defaultKind, "an instance that follows the ledger has not answered in time")
	}
	var hedgeTimer <-chan time.Time
	for inFlight := 0; ; {
		if hedgeTimer == nil && len(remaining) > 0 && callCtx.Err() == nil {
			follower := remaining[0]
			remaining, hedgeTimer = remaining[1:], r.Clock.After(t.hedge)
			inFlight++
			group.Go(func() {
				answer, err := call(callCtx, follower.Address)
				replies <- reply[A]{from: follower, answer: answer, err: err}
			})
		}
		if inFlight == 0 {
			return nil, cmp.Or(uncertainErr, lastErr, timeoutErr())
		}
		select {
		case <-callCtx.Done():
			return nil, cmp.Or(uncertainErr, timeoutErr())
		case <-hedgeTimer:
			hedgeTimer = nil
		case got := <-replies:
			if got.err == nil {
				return got.answer, nil
			}
			inFlight, hedgeTimer = inFlight-1, nil
			kind := kindOf(got.err, defaultKind)
			lastErr = fault.Wrap("relay.ask", kind, got.err, "through "+string(got.from.Name))
			r.recordRetry(job, got.from, fmt.Sprintf("no answer after %d of %d ms, caller left %t: %s", r.Clock.Mono()-startedAt, t.total, ctx.Err() != nil, got.err))
			switch kind {
			case intake.Uncertain:
				uncertainErr = lastErr
			case intake.Unsure:
			default:
				return nil, lastErr
			}
		}
	}
}

// candidates returns the followers to ask, first first: those of the own zone, with one of
// another zone among them.
func candidates(followers []elect.Member) []elect.Member {
	otherZone := slices.IndexFunc(followers, func(m elect.Member) bool { return m.Zone != followers[0].Zone })
	if otherZone > nearFollowers {
		followers = slices.Insert(slices.Delete(slices.Clone(followers), otherZone, otherZone+1), nearFollowers, followers[otherZone])
	}
	return followers[:min(len(followers), maxFollowers)]
}

// kindOf returns the kind that a follower gave to an error, or unsure if it gave none.
func kindOf(err error, defaultKind intake.Kind) intake.Kind {
	if kind := rpcs.KindOf(err); kind != "" {
		return intake.Kind(kind)
	}
	return defaultKind
}

func (r *Relay) recordRetry(job ident.Job, follower elect.Member, reason string) {
	r.Trail.Add(trail.Decision{ID: string(job), Action: trail.Retry, Choice: string(follower.Name), Reason: reason})
}
