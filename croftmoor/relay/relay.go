// Package relay serves the callers of batch jobs at an instance that does not follow the
// ledger: it forwards their calls to an instance that does. Each instance accepts jobs itself,
// because that needs no ledger state and job bodies are large.
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

// Jobs serves the callers of batch jobs.
type Jobs interface {
	Submit(ctx context.Context, s intake.Submission) error
	Read(ctx context.Context, by ident.Organisation, job ident.Job, from int, wait clock.Millis) (intake.Page, error)
	Body(ctx context.Context, by ident.Organisation, job ident.Job, id ident.Item) ([]byte, error)
	End(ctx context.Context, by ident.Organisation, job ident.Job) error
}

// Decisions records decisions.
type Decisions interface {
	Add(d trail.Decision)
}

const (
	// maxFollowers is how many followers are asked at most. After nearFollowers of one
	// availability zone a follower of another zone is asked, because all of a zone may have
	// just started.
	maxFollowers  = 4
	nearFollowers = 2
	// hedgeDelay is how long a follower may take, beyond the wait that the caller allows,
	// before the next follower is asked too. A page of results takes some 10 ms, and some
	// 0.5 s while the log is slow.
	hedgeDelay = 700 * clock.Millis(1)
	// totalTimeout bounds a call beyond the wait that the caller allows. Callers wait 1.5 s
	// beyond what they allow, and totalTimeout must leave time to transfer a long page.
	totalTimeout = 1300 * clock.Millis(1)
	// electionWait is how long a call waits for the election of this instance if no follower
	// lives, electionPoll the pause between two looks.
	electionWait = 1 * clock.Second
	electionPoll = 20 * clock.Millis(1)
	// endHedgeDelay is how long a follower may take to end a job, which it writes to the log,
	// before the next follower is asked too.
	endHedgeDelay = 3 * clock.Second
)

// timeouts are the time limits of a call to followers.
type timeouts struct {
	// hedge is how long a follower may take before the next one is asked too; total bounds the
	// whole call.
	hedge clock.Millis
	total clock.Millis
}

// Relay forwards calls to followers, which are the instances that follow the ledger. Set the
// fields and call Setup before use.
type Relay struct {
	// Local accepts all jobs, and serves the other calls while this instance has read the
	// ledger to its end.
	Local Jobs
	// LedgerCurrent reports whether this instance has read the ledger to its end.
	LedgerCurrent func() bool
	// Followers returns the other instances that follow the ledger, in the order in which to
	// ask them, with those that are leaving last.
	Followers func(key string) []elect.Member
	// ElectionPending reports whether this instance knows the roster and may be elected soon.
	ElectionPending func() bool
	Clock           *clock.Clock
	// Trail records each call to a follower that returned an error.
	Trail Decisions

	client *http.Client
}

// Setup creates the HTTP client.
func (r *Relay) Setup() {
	r.client = rpcs.NewClient()
}

// Submit submits a job to this instance.
func (r *Relay) Submit(ctx context.Context, s intake.Submission) error {
	return r.Local.Submit(ctx, s)
}

// Read returns a page of a job's results that begins at index from. It waits up to wait for a
// result.
func (r *Relay) Read(ctx context.Context, by ident.Organisation, job ident.Job, from int, wait clock.Millis) (intake.Page, error) {
	deadline := r.Clock.Mono() + wait
	remaining := func() clock.Millis { return max(deadline-r.Clock.Mono(), 0) }
	return serve(ctx, r, job, func() (intake.Page, error) {
		return r.Local.Read(ctx, by, job, from, remaining())
	}, func() (intake.Page, error) {
		answer, err := ask(ctx, r, job, timeouts{hedge: wait + hedgeDelay, total: wait + totalTimeout}, intake.Unsure, func(ctx context.Context, to ident.Address) (*pageWire, error) {
			return rpcs.Call[readWire, pageWire](ctx, r.client, to, readPath, &readWire{Organisation: string(by), Job: string(job), From: from, WaitMillis: int64(remaining())})
		})
		if err != nil {
			return intake.Page{}, err
		}
		return pageFromWire(answer), nil
	})
}

// Body returns the body of an item.
func (r *Relay) Body(ctx context.Context, by ident.Organisation, job ident.Job, id ident.Item) ([]byte, error) {
	return serve(ctx, r, job, func() ([]byte, error) {
		return r.Local.Body(ctx, by, job, id)
	}, func() ([]byte, error) {
		answer, err := ask(ctx, r, job, timeouts{hedge: hedgeDelay, total: totalTimeout}, intake.Unsure, func(ctx context.Context, to ident.Address) (*bodyWire, error) {
			return rpcs.Call[itemWire, bodyWire](ctx, r.client, to, bodyPath, &itemWire{Organisation: string(by), Job: string(job), Item: string(id)})
		})
		if err != nil {
			return nil, err
		}
		return answer.Body, nil
	})
}

// End ends a job.
func (r *Relay) End(ctx context.Context, by ident.Organisation, job ident.Job) error {
	_, err := serve(ctx, r, job, func() (*emptyWire, error) {
		return nil, r.Local.End(ctx, by, job)
	}, func() (*emptyWire, error) {
		return ask(ctx, r, job, timeouts{hedge: endHedgeDelay, total: maxFollowers * endHedgeDelay}, intake.Uncertain, func(ctx context.Context, to ident.Address) (*emptyWire, error) {
			return rpcs.Call[jobWire, emptyWire](ctx, r.client, to, endPath, &jobWire{Organisation: string(by), Job: string(job)})
		})
	})
	return err
}

// serve serves a call on a job locally once this instance has read the ledger, and else through a
// follower. If that gives no answer and no follower lives, this instance may be elected soon:
// serve waits for that and tries the call, which may be repeated, locally.
func serve[A any](ctx context.Context, r *Relay, job ident.Job, local, remote func() (A, error)) (A, error) {
	if r.LedgerCurrent() {
		return local()
	}
	answer, err := remote()
	if kind := fault.KindOf[intake.Kind](err); (kind == intake.Unsure || kind == intake.Uncertain) && r.awaitElection(ctx, job) {
		return local()
	}
	return answer, err
}

// awaitElection waits until this instance has been elected and has read the ledger, and reports
// whether it has. It gives up once a follower lives, if no election is pending, and after
// electionWait.
func (r *Relay) awaitElection(ctx context.Context, job ident.Job) bool {
	lives := func(m elect.Member) bool { return !m.Leaving }
	for end := r.Clock.Mono() + electionWait; !r.LedgerCurrent(); {
		if slices.ContainsFunc(r.Followers(string(job)), lives) || !r.ElectionPending() || r.Clock.Mono() >= end || !r.Clock.Sleep(ctx, electionPoll) {
			return r.LedgerCurrent()
		}
	}
	return true
}

// reply is a follower's response, or the error of the call.
type reply[A any] struct {
	from   elect.Member
	answer *A
	err    error
}

// ask calls followers until one succeeds or returns a definitive error, which is one of a kind
// other than Unsure and Uncertain. If none does, ask returns an Uncertain error if there was
// one, because that follower may have carried out the call, and the last error otherwise. An
// error without a kind counts as defaultKind.
//
// If a follower is late, ask calls the next one and waits for both. The late follower has
// already done part of the work; if its call were cancelled, each follower would start over
// until the caller's time is up.
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
	// lastErr is the latest follower's error. uncertainErr takes precedence over it: that
	// follower may have carried out the call.
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

// candidates returns the followers to ask, in order and maxFollowers at most. If the first
// follower of another zone than the first one's comes after nearFollowers others, it is moved
// forward to follow those.
func candidates(followers []elect.Member) []elect.Member {
	otherZone := slices.IndexFunc(followers, func(m elect.Member) bool { return m.Zone != followers[0].Zone })
	if otherZone > nearFollowers {
		followers = slices.Insert(slices.Delete(slices.Clone(followers), otherZone, otherZone+1), nearFollowers, followers[otherZone])
	}
	return followers[:min(len(followers), maxFollowers)]
}

// kindOf returns the kind that a follower gave to an error, or defaultKind if it gave none.
func kindOf(err error, defaultKind intake.Kind) intake.Kind {
	if kind := rpcs.KindOf(err); kind != "" {
		return intake.Kind(kind)
	}
	return defaultKind
}

func (r *Relay) recordRetry(job ident.Job, follower elect.Member, reason string) {
	r.Trail.Add(trail.Decision{ID: string(job), Action: trail.Retry, Choice: string(follower.Name), Reason: reason})
}
