package batch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/work"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/terms"
	"croftmoor.dev/kernel/trail"
)

const (
	// firstEventTimeout is how long an engine may take to its first event,
	// queuedEventTimeout the same if the item may wait there for a slot, and
	// eventGapTimeout the longest time between two events. After them another engine
	// runs the rest. One first event in a thousand takes over 0.9 s; an event takes some
	// 50 ms on a full engine and four times that on a slow one.
	firstEventTimeout  = 1200 * clock.Millis(1)
	queuedEventTimeout = 3 * clock.Second
	eventGapTimeout    = 600 * clock.Millis(1)
	// finishTimeout bounds the writing of a result. By then other instances have usually
	// claimed the items of one that can't write.
	finishTimeout    = 15 * clock.Second
	rewardRetryPause = 30 * clock.Millis(1)
)

// perform runs a claimed item to its result, or yields it.
func (r *Runner) perform(ctx context.Context, c claimed, own *run) {
	prog := &progress{runner: r, claim: c}
	item, err := r.load(ctx, prog)
	if err != nil {
		r.yieldItem(ctx, prog, jobs.Yield{}, "kept data: "+err.Error())
		return
	}
	meter := &meter{clock: r.Clock, startedAt: r.Clock.Mono()}
	r.Ledger.View(func(state *jobs.State) { meter.sampleLoad(otherLoad(state, c.item)) })
	if !prog.textComplete {
		err := r.generate(ctx, item, prog, meter)
		if fault.KindOf[EngineKind](err) == OtherVersion {
			r.logAnew(c, err.Error())
			prog.beginAnew()
			meter.restart()
			err = r.generate(ctx, item, prog, meter)
		}
		if err != nil {
			r.reportEngineEnd(ctx, prog, err)
			r.handleFailure(ctx, prog, meter, err)
			return
		}
		prog.textComplete = true
	}
	own.generated.Store(true)
	r.complete(ctx, item, prog, meter, own)
}

// load reads the item, and takes over its saved text into prog if the job accepts the
// versions that made it.
func (r *Runner) load(ctx context.Context, prog *progress) (work.Item, error) {
	c := prog.claim
	data, err := r.readBody(ctx, &c.item)
	if err != nil {
		return work.Item{}, err
	}
	if partial := c.item.Partial; partial.Fits(c.accept.MinVersion, c.accept.SingleVersion) && r.continues(c, partial) {
		prog.saved = partial
		prog.events, prog.versions, prog.textComplete = partial.Events, slices.Clone(partial.Versions), partial.Complete
	}
	item, err := work.Decode(data)
	of := r.termsOf(c)
	item.Organisation, item.Priority = c.accept.Organisation, of.Priority()
	return item, err
}

// continues reports whether the claimed engine can go on with a saved text, as far as its
// version is known. If not, the item begins anew there.
func (r *Runner) continues(c claimed, partial jobs.Partial) bool {
	only := partial.OnlyVersion(c.accept.SingleVersion)
	engine, listed := r.engineOf(c)
	if only == 0 || !listed {
		return true
	}
	var version ident.Version
	r.Ledger.View(func(state *jobs.State) { version, _ = Version(state, engine, c.accept.Model, r.Clock.Mono()) })
	if version == only {
		return true
	}
	r.logAnew(c, fmt.Sprintf("%d events of version %d are saved, the engine has version %d", partial.Events, only, version))
	return false
}

func (r *Runner) logAnew(c claimed, reason string) {
	r.logDecision(c, trail.Place, string(c.item.Engine), "begun anew, since its text takes one version: "+reason)
}

// termsOf returns the terms of the item's job as they are now.
func (r *Runner) termsOf(c claimed) terms.Terms { return terms.Of(c.accept, r.Routes()) }

// generate has the claimed engine make the rest of the text. It returns nil at the
// regular end of the answer.
func (r *Runner) generate(ctx context.Context, item work.Item, prog *progress, meter *meter) error {
	engine, ok := r.engineOf(prog.claim)
	if !ok || engine.State == fleet.Leaving || r.Fleet.MarkedLeaving(engine.Name) {
		return fault.New("batch.generate", NotRun, "the engine has left, or is leaving")
	}
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := r.Clock.AfterFunc(r.firstEventLimit(prog.claim, engine), func() { cancel(context.DeadlineExceeded) })
	defer silence.Stop()
	events, err := r.Engines.Run(runCtx, engine, item, prog.events)
	if err != nil {
		return silentError(runCtx, err)
	}
	defer events.Close()
	meter.sharesMachine = events.SharesMachine()
	for {
		event, more, err := events.Next()
		if err != nil {
			return silentError(runCtx, err)
		}
		if !more {
			return nil
		}
		if err := checkEvent(prog, event); err != nil {
			return err
		}
		prog.add(event)
		meter.recordEvent()
		silence.Reset(eventGapTimeout.Duration())
		prog.saveIfDue(ctx)
		if meter.comparisonDue() && r.shouldMove(prog.claim, prog.made(), meter) {
			return fault.New("batch.generate", Slow, fmt.Sprintf("%.0f ms an event", meter.pace()))
		}
	}
}

// silentError returns err, as kind Silent if a timeout for an event ended the run.
func silentError(runCtx context.Context, err error) error {
	if errors.Is(context.Cause(runCtx), context.DeadlineExceeded) {
		return fault.Wrap("batch.generate", Silent, err, "no event in time")
	}
	return err
}

// firstEventLimit returns how long an engine may take to the first event of an item.
func (r *Runner) firstEventLimit(c claimed, engine fleet.Member) clock.Millis {
	of := r.termsOf(c)
	slots := cmp.Or(engine.Slots, of.Slots(engine.Service))
	running := 0
	r.Ledger.View(func(state *jobs.State) { running = state.Loads[c.item.Engine].Items })
	if running > slots {
		return queuedEventTimeout
	}
	return firstEventTimeout
}

// checkEvent returns an error if an event may not follow the events in prog.
func checkEvent(prog *progress, event Event) error {
	accept := prog.claim.accept
	if event.Index != prog.events+1 {
		return fault.New("batch.generate", Broken, fmt.Sprintf("event %d after %d", event.Index, prog.events))
	}
	if event.Version < accept.MinVersion {
		return fault.New("batch.generate", NotRun, fmt.Sprintf("the engine has version %d, the job takes %d", event.Version, accept.MinVersion))
	}
	if accept.SingleVersion && prog.events > 0 && !slices.Contains(prog.versions, event.Version) {
		return fault.New("batch.generate", OtherVersion, fmt.Sprintf("event %d is of version %d, those before of %v", event.Index, event.Version, prog.versions))
	}
	return nil
}

// engineOf returns the engine that an item is claimed for, of whichever service it is: the
// dealer chose it by a configuration that this instance may not have yet, or no longer.
func (r *Runner) engineOf(c claimed) (fleet.Member, bool) {
	for _, members := range r.Fleet.View().Backends {
		for _, m := range members {
			if m.Name == string(c.item.Engine) {
				return m, true
			}
		}
	}
	return fleet.Member{}, false
}

func (r *Runner) logDecision(c claimed, action trail.Action, choice, reason string) {
	r.Trail.Add(trail.Decision{ID: string(c.item.ID), Action: action, Choice: choice, Reason: reason})
}

// complete scores and saves a complete text at the same time, then lists the result. It
// continues if the claim is replaced meanwhile, since the first result counts. syncRuns stops
// the scoring once the result can't be listed any more.
func (r *Runner) complete(ctx context.Context, item work.Item, prog *progress, meter *meter, own *run) {
	c := prog.claim
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout.Duration())
	defer cancel()
	scoreCtx, stopScoring := context.WithCancel(ctx)
	defer stopScoring()
	own.stopScoring.Store(&stopScoring)
	var saved jobs.Partial
	var score string
	var saveErr, scoreErr error
	began := r.Clock.Mono()
	var tasks conc.WaitGroup
	tasks.Go(func() { saved, saveErr = prog.saveAll(ctx) })
	tasks.Go(func() { score, scoreErr = r.score(scoreCtx, c, item) })
	tasks.Wait()
	if fault.KindOf[RewardKind](scoreErr) == RewardFailed {
		r.finish(ctx, c, jobs.Finish{Outcome: jobs.Terminated}, scoreErr.Error())
		return
	}
	if saveErr != nil || scoreErr != nil {
		r.yieldItem(ctx, prog, jobs.Yield{}, fmt.Sprintf("text kept: %v, scored: %v", saveErr, scoreErr))
		return
	}
	timing := meter.timing(c.item.Engine)
	r.finish(ctx, c, jobs.Finish{
		Outcome: jobs.Completed, Versions: prog.versions, Score: score, Texts: saved.Texts, Events: prog.events, Timing: timing,
	}, fmt.Sprintf("%d events in %d ms, %d in all, the first after %d ms, kept and scored in %d ms",
		timing.Events, meter.lastAt-meter.firstAt, prog.events, meter.timeToFirstEvent(), r.Clock.Mono()-began))
}

// score calls the reward service until it answers, the call's failures reach
// Rewards.Attempts, the result is no longer wanted, or ctx ends.
func (r *Runner) score(ctx context.Context, c claimed, item work.Item) (string, error) {
	if item.Reward == nil {
		return "", nil
	}
	failures, lost := 0, 0
	for {
		if !r.wanted(c.key) {
			return "", fault.New("batch.score", RewardLost, "the job has ended, or the item is listed")
		}
		score, err := r.Rewards.Score(ctx, *item.Reward, lost)
		if err == nil {
			return score, nil
		}
		if fault.KindOf[RewardKind](err) == RewardFailed {
			failures++
			if failures >= r.Rewards.Attempts(*item.Reward) {
				return "", err
			}
		} else {
			lost++
		}
		if !r.Clock.Sleep(ctx, rewardRetryPause) {
			return "", fault.Wrap("batch.score", RewardLost, ctx.Err(), "stopped while scoring")
		}
	}
}

// wanted reports whether an item can still be listed, by the state read last.
func (r *Runner) wanted(key jobs.ItemKey) bool {
	wanted := false
	r.Ledger.View(func(state *jobs.State) { wanted = canBeListed(state, key) })
	return wanted
}

func canBeListed(state *jobs.State, key jobs.ItemKey) bool {
	job := state.Jobs[key.Job]
	return job != nil && !job.Ended && !job.Items[key.Index].Done
}

// finish appends the result of an item and waits until it is read back.
func (r *Runner) finish(ctx context.Context, c claimed, f jobs.Finish, reason string) {
	f.Job, f.By, f.Index = c.key.Job, r.Self, c.key.Index
	ctx, cancel := context.WithTimeout(ctx, finishTimeout.Duration())
	defer cancel()
	offset, err := r.Ledger.Append(ctx, f)
	if err != nil {
		reason += "; not listed: " + err.Error()
	}
	r.logDecision(c, trail.Hand, string(f.Outcome), fmt.Sprintf("%s, offset %d", reason, offset))
	if err != nil {
		return
	}
	if r.Counts != nil {
		r.Counts.Listed()
	}
	if err := r.Ledger.Await(ctx, offset+1); err != nil {
		r.logDecision(c, trail.Hold, "not read back", err.Error())
	}
}
