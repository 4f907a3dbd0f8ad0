package calls

import (
	"context"

	"croftmoor.dev/croftmoor/refuse"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/once"
	"croftmoor.dev/kernel/trail"
)

const (
	// pollInterval is the pause between two looks at a run that is under way elsewhere.
	pollInterval = 40 * clock.Millis(1)
	// maxKeptBody is the largest answer that is kept for repeats.
	maxKeptBody = 64 << 10
)

// doOnce runs a call that may not be repeated: only under a grant, and on a
// second server only if the first certainly did not run it.
func (c *Caller) doOnce(ctx context.Context, r Request) (Answer, error) {
	claim := once.Request{ID: r.ID, Runner: c.Self, Attempt: c.Claimer.NewAttempt(), Issued: r.Issued}
	for {
		entry, err := c.Claimer.Claim(ctx, claim)
		if err != nil {
			c.logDecision(r, trail.Refuse, "", "", err.Error())
			c.settle(claim, once.DidNotRun, Answer{})
			refusal := refuse.After("calls.Do", refuse.NotRun, "the right to run the call could not be had", retryAfter)
			refusal.Err = err
			return Answer{}, refusal
		}
		switch {
		case entry.Status == once.Granted && entry.Runner == c.Self && entry.Attempt == claim.Attempt:
			c.logDecision(r, trail.Grant, "", "", "granted by the id's shard")
			return c.runGranted(ctx, r, claim)
		case entry.Status == once.Done:
			c.logDecision(r, trail.Hold, entry.Answer.Backend, "", "ran before; its answer is given again")
			return answerOf(entry), nil
		case entry.Status == once.Unknown || !c.Claimer.RunnerAlive(entry.Runner):
			c.logDecision(r, trail.Refuse, "", "", "may have run before; its outcome is unknown")
			return Answer{}, c.refusal(ctx, r, true, nil)
		}
		if !c.Clock.Sleep(ctx, pollInterval) {
			return Answer{}, c.refusal(ctx, r, true, nil)
		}
	}
}

func answerOf(entry once.Entry) Answer {
	return Answer{Status: entry.Answer.Status, ContentType: "application/json", Body: entry.Answer.Body, Backend: entry.Answer.Backend}
}

// runGranted sends the call. What left this process is never sent again. The
// run goes on to its deadline when the caller has gone, so that a repeat of
// the call can be told how it ended.
func (c *Caller) runGranted(callerCtx context.Context, r Request, claim once.Request) (Answer, error) {
	ctx, cancel := withoutCancel(callerCtx)
	defer cancel()
	var tried []ident.BackendName
	var lastErr error
	for try := range maxTries {
		server := c.pick(r, tried, try)
		if server == nil || ctx.Err() != nil {
			break
		}
		answer, result, err := c.try(ctx, r, server, false)
		switch result {
		case answered:
			c.settle(claim, once.Ran, answer)
			return answer, nil
		case lost:
			c.settle(claim, once.CannotTell, Answer{})
			return Answer{}, c.refusal(ctx, r, true, err)
		case notSent, refused:
			tried = append(tried, server.Name)
			lastErr = err
		}
	}
	c.settle(claim, once.DidNotRun, Answer{})
	return Answer{}, c.refusal(ctx, r, false, lastErr)
}

// withoutCancel keeps a context's deadline and drops its cancellation.
func withoutCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	uncanceled := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(uncanceled, deadline)
	}
	return context.WithCancel(uncanceled)
}

// settle tells the shard how the flight ended, in the background: the caller's
// answer does not wait for it, and it goes on after the caller has gone.
func (c *Caller) settle(claim once.Request, outcome once.Outcome, answer Answer) {
	if len(answer.Body) > maxKeptBody {
		outcome = once.CannotTell
		answer = Answer{}
	}
	settlement := once.Settlement{
		ID: claim.ID, Runner: claim.Runner, Attempt: claim.Attempt, Outcome: outcome,
		Answer: once.Answer{Status: answer.Status, Body: answer.Body, Backend: answer.Backend},
	}
	c.group.Go(func() { c.Claimer.Settle(context.Background(), settlement) })
}

// Wait waits for the settlements under way. Call it once no call is served any more.
func (c *Caller) Wait() {
	c.group.Wait()
}
