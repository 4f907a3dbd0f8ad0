package batch

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/trail"
)

const (
	// firstTerm is how long an engine may take to its first event, and gapTerm
	// how long between two, before the rest is run elsewhere. An event takes some
	// 50 ms on a full engine and four times that on a slow one.
	firstTerm = 3 * clock.Second
	gapTerm   = 1200 * clock.Millis(1)
	// avoidBusy and avoidBroken are how long an engine gets no items after it
	// had no room, or broke an answer off.
	avoidBusy   = 400
	avoidBroken = 1500
	// keepEvents is the least progress that is worth keeping.
	keepEvents = 4
	// settle bounds the writing of a result or of a beginning; after it the
	// claim has long been replaced.
	finishTerm = 30 * clock.Second
	yieldTerm  = 2 * clock.Second
	rewardGap  = 200 * clock.Millis(1)
)

// progress is what has been made of a text.
type progress struct {
	text     strings.Builder
	events   int
	versions []ident.Version
	whole    bool
}

func (p *progress) add(e Event) {
	if p.events > 0 {
		p.text.WriteByte('\n')
	}
	p.text.WriteString(e.Data)
	p.events++
	if !slices.Contains(p.versions, e.Version) {
		p.versions = append(p.versions, e.Version)
	}
}

// perform runs a claimed item to its result, or gives it back.
func (r *Runner) perform(ctx context.Context, c claimed) {
	item, made, err := r.load(ctx, c)
	if err != nil {
		r.giveBack(ctx, c, nil, false, "kept data: "+err.Error())
		return
	}
	began := r.Clock.Mono()
	known := made.events
	if !made.whole {
		if err := r.generate(ctx, c, item, made); err != nil {
			r.broken(ctx, c, made, known, err)
			return
		}
	}
	took := r.Clock.Mono() - began
	made.whole = true
	r.complete(ctx, c, item, made, made.events-known, took)
}

// load reads the item and what was kept of its text.
func (r *Runner) load(ctx context.Context, c claimed) (Item, *progress, error) {
	made := &progress{}
	data, err := r.Blobs.Get(ctx, c.item.Body)
	if err != nil {
		return Item{}, made, err
	}
	item, err := decodeItem(data)
	if err != nil {
		return item, made, err
	}
	partial := c.item.Partial
	if !partial.Fits(c.accept.Least, c.accept.Single) {
		return item, made, nil
	}
	text, err := r.Blobs.Get(ctx, partial.Text)
	if err != nil {
		r.Trail.Add(trail.Decision{ID: string(item.ID), Action: trail.Hold, Choice: "from the start", Reason: "kept text: " + err.Error()})
		return item, made, nil
	}
	made.text.Write(text)
	made.events, made.versions, made.whole = partial.Events, slices.Clone(partial.Versions), partial.Whole
	return item, made, nil
}

// generate has an engine make the rest of the text.
func (r *Runner) generate(ctx context.Context, c claimed, item Item, made *progress) error {
	engine, ok := r.member(c)
	if !ok {
		return fault.New("batch.generate", NotRun, "the engine has left")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := r.Clock.AfterFunc(firstTerm, cancel)
	defer silence.Stop()
	events, err := r.Engines.Run(ctx, engine, item, made.events)
	if err != nil {
		return err
	}
	defer events.Close()
	for {
		event, more, err := events.Next()
		if err != nil {
			return err
		}
		if !more {
			return nil
		}
		if err := allowed(c, made, event); err != nil {
			return err
		}
		made.add(event)
		silence.Reset(gapTerm.Duration())
	}
}

// allowed tells whether an event may follow what has been made.
func allowed(c claimed, made *progress, event Event) error {
	if event.Index != made.events+1 {
		return fault.New("batch.generate", Broken, fmt.Sprintf("event %d after %d", event.Index, made.events))
	}
	if event.Version < c.accept.Least {
		return fault.New("batch.generate", NotRun, fmt.Sprintf("the engine has version %d, the job takes %d", event.Version, c.accept.Least))
	}
	if c.accept.Single && made.events > 0 && !slices.Contains(made.versions, event.Version) {
		return fault.New("batch.generate", Broken, "a second version in a text that takes one")
	}
	return nil
}

func (r *Runner) member(c claimed) (fleet.Member, bool) {
	for _, m := range r.Fleet.View().Backends[c.accept.Service] {
		if m.Name == string(c.item.Engine) {
			return m, true
		}
	}
	return fleet.Member{}, false
}

// broken gives an item back after an engine did not finish it, and tells the
// others of the engine.
func (r *Runner) broken(ctx context.Context, c claimed, made *progress, known int, err error) {
	kind := fault.KindOf[EngineKind](err)
	reason := string(kind) + ": " + err.Error()
	if ctx.Err() != nil {
		r.giveBack(ctx, c, made, false, "stopped")
		return
	}
	attempts := 1
	if route, ok := r.Routes().Exact(c.accept.Host, c.accept.Prefix); ok {
		attempts = max(route.Attempts, 1)
	}
	switch {
	case kind == Impossible:
		r.finish(ctx, c, jobs.Finish{State: jobs.Terminated}, reason)
		return
	case kind == Failed && c.item.Fails+1 >= attempts:
		r.finish(ctx, c, jobs.Finish{State: jobs.Terminated}, fmt.Sprintf("failure %d of %d: %s", c.item.Fails+1, attempts, reason))
		return
	case kind == Failed:
		r.giveBack(ctx, c, made, true, reason)
		return
	}
	pause := avoidBroken
	if kind == Busy {
		pause = avoidBusy
	}
	r.tell(ctx, jobs.Avoid{By: r.Self, Engine: c.item.Engine, Millis: pause}, string(c.item.ID))
	if made.events == known {
		made = nil
	}
	r.giveBack(ctx, c, made, false, reason)
}

func (r *Runner) tell(ctx context.Context, record jobs.Record, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), yieldTerm.Duration())
	defer cancel()
	if _, err := r.Ledger.Append(ctx, record); err != nil {
		r.Trail.Add(trail.Decision{ID: id, Action: trail.Hold, Choice: "not told", Reason: err.Error()})
	}
}

// giveBack yields an item, keeping what was made of it if that is worth it.
func (r *Runner) giveBack(ctx context.Context, c claimed, made *progress, failed bool, reason string) {
	r.Trail.Add(trail.Decision{ID: string(c.item.ID), Action: trail.Cancel, Choice: string(c.item.Engine), Reason: reason})
	yield := jobs.Yield{Job: c.key.job, By: r.Self, Index: c.key.index, Failed: failed}
	keepCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), yieldTerm.Duration())
	defer cancel()
	if made != nil && !failed && made.events >= c.item.Partial.Events+keepEvents {
		span, err := r.Blobs.PutText(keepCtx, c.key.job, []byte(made.text.String()))
		if err == nil {
			yield.Partial = jobs.Partial{Text: span, Events: made.events, Versions: made.versions, Whole: made.whole}
		}
	}
	r.tell(ctx, yield, string(c.item.ID))
}

// complete scores a whole text, keeps it, and lists the result.
func (r *Runner) complete(ctx context.Context, c claimed, item Item, made *progress, events int, took clock.Millis) {
	var span jobs.Span
	var score string
	var keepErr, scoreErr error
	var both conc.WaitGroup
	both.Go(func() { span, keepErr = r.keep(ctx, c, made) })
	both.Go(func() { score, scoreErr = r.score(ctx, item) })
	both.Wait()
	if fault.KindOf[RewardKind](scoreErr) == RewardFailed {
		r.finish(ctx, c, jobs.Finish{State: jobs.Terminated}, scoreErr.Error())
		return
	}
	if keepErr != nil || scoreErr != nil {
		r.giveBack(ctx, c, made, false, fmt.Sprintf("text kept: %v, scored: %v", keepErr, scoreErr))
		return
	}
	r.finish(ctx, c, jobs.Finish{
		State: jobs.Completed, Versions: made.versions, Score: score, Text: span,
		Engine: c.item.Engine, Events: events, Millis: int(took),
	}, fmt.Sprintf("%d events in %d ms", events, took))
}

func (r *Runner) keep(ctx context.Context, c claimed, made *progress) (jobs.Span, error) {
	if c.item.Partial.Whole && made.events == c.item.Partial.Events {
		return c.item.Partial.Text, nil
	}
	ctx, cancel := context.WithTimeout(ctx, finishTerm.Duration())
	defer cancel()
	return r.Blobs.PutText(ctx, c.key.job, []byte(made.text.String()))
}

// score asks for the reward until it comes, fails for good, or ctx ends.
func (r *Runner) score(ctx context.Context, item Item) (string, error) {
	if item.Reward == nil {
		return "", nil
	}
	failures := 0
	for {
		score, err := r.Rewards.Score(ctx, *item.Reward)
		if err == nil {
			return score, nil
		}
		if fault.KindOf[RewardKind](err) == RewardFailed {
			failures++
			if failures >= r.Rewards.Attempts(*item.Reward) {
				return "", err
			}
		}
		if !r.Clock.Sleep(ctx, rewardGap) {
			return "", fault.Wrap("batch.score", RewardLost, ctx.Err(), "stopped while scoring")
		}
	}
}

// finish lists a result.
func (r *Runner) finish(ctx context.Context, c claimed, f jobs.Finish, reason string) {
	f.Job, f.By, f.Index = c.key.job, r.Self, c.key.index
	ctx, cancel := context.WithTimeout(ctx, finishTerm.Duration())
	defer cancel()
	offset, err := r.Ledger.Append(ctx, f)
	if err != nil {
		reason += "; not listed: " + err.Error()
	}
	r.Trail.Add(trail.Decision{ID: string(c.item.ID), Action: trail.Hand, Choice: string(f.State), Reason: fmt.Sprintf("%s, offset %d", reason, offset)})
	if err == nil {
		if err := r.Ledger.Await(ctx, offset+1); err != nil {
			r.Trail.Add(trail.Decision{ID: string(c.item.ID), Action: trail.Hold, Choice: "not read back", Reason: err.Error()})
		}
	}
}
