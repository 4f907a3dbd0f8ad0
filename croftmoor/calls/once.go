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
	// pollInterval is the delay between claims while another attempt runs the call.
	pollInterval = 40 * clock.Millis(1)
	// maxKeptBody is the largest response body, in bytes, that is stored for
	// repeated calls.
	maxKeptBody = 64 << 10
)

// doOnce runs a call that is not repeatable. It sends the call only if its ID's
// shard has granted the run, and to another server only if the previous one has
// certainly not run it. If the ID has run before, it returns the stored response.
func (c *Caller) doOnce(ctx context.Context, r Request) (Answer, error) {
	claim := once.Request{ID: r.ID, Runner: c.Self, Attempt: c.Claimer.NewAttempt(), Issued: r.Issued}
	for {
		entry, err := c.Claimer.Claim(ctx, claim)
		if err != nil {
			c.logDecision(r, trail.Refuse, "", "", err.Error())
			c.settle(claim, once.DidNotRun, Answer{})
			refusal := refuse.After("calls.Do", refuse.NotRun, "claiming the call's ID failed", retryAfter)
			refusal.Err = err
			return Answer{}, refusal
		}
		switch {
		case entry.Status == once.Granted && entry.Runner == c.Self && entry.Attempt == claim.Attempt:
			c.logDecision(r, trail.Grant, "", "", "run granted by the shard of the ID")
			return c.runGranted(ctx, r, claim)
		case entry.Status == once.Done:
			c.logDecision(r, trail.Hold, entry.Answer.Backend, "", "already run; the stored response is returned")
			return answerOf(entry), nil
		case entry.Status == once.Unknown || !c.Claimer.RunnerAlive(entry.Runner):
			c.logDecision(r, trail.Refuse, "", "", "may have run in another attempt; its outcome is unknown")
			return Answer{}, c.refusal(ctx, r, true, nil)
		}
		if !c.Clock.Sleep(ctx, pollInterval) {
			return Answer{}, c.refusal(ctx, r, true, nil)
		}
	}
}

// answerOf returns the stored response of an entry.
func answerOf(entry once.Entry) Answer {
	return Answer{Status: entry.Answer.Status, ContentType: "application/json", Body: entry.Answer.Body, Backend: entry.Answer.Backend}
}

// runGranted sends a call whose run was granted. A call that a server may have
// received is never sent again. If the caller disconnects, the call continues
// until its deadline, so that its outcome is known when the ID is repeated.
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

// withoutCancel returns a context with ctx's deadline that is not canceled with
// ctx.
func withoutCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	uncanceled := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(uncanceled, deadline)
	}
	return context.WithCancel(uncanceled)
}

// settle reports the outcome to the ID's shard in the background, without
// delaying the response. The outcome of a response that is too large to store is
// reported as CannotTell.
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

// Wait waits for pending settlements. It must not be called before all calls have
// returned.
func (c *Caller) Wait() {
	c.group.Wait()
}
