package batch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/work"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

// blockingRewards have a call in flight until it is cancelled.
type blockingRewards struct {
	began, cancelled chan struct{}
}

func (b *blockingRewards) Attempts(work.Reward) int { return 1 }

func (b *blockingRewards) Score(ctx context.Context, _ work.Reward, _ int) (string, error) {
	close(b.began)
	<-ctx.Done()
	close(b.cancelled)
	return "", fault.New("t", RewardLost, "cancelled")
}

// scoredBlobs return a body whose item has a reward.
type scoredBlobs struct{ countingBlobs }

func (b *scoredBlobs) Get(context.Context, jobs.Span) ([]byte, error) {
	return work.Encode(work.Item{ID: "0-0", Reward: &work.Reward{ID: "reward"}})
}

// Guards against reward calls that go on, or are sent, after their job's end.
func TestRewardCallOfUnwantedResultIsCancelled(t *testing.T) {
	item := jobs.ItemKey{Job: "job-0"}
	cases := []struct {
		name   string
		record jobs.Record
		want   bool
	}{
		{"the job has ended", jobs.End{Job: item.Job}, true},
		{"another result is listed", jobs.Finish{Job: item.Job, By: "front-1", Index: item.Index, Outcome: jobs.Completed}, true},
		{"another instance claims the item", jobs.Claim{Job: item.Job, By: "front-1", Engine: "engine-1", Targets: []jobs.Target{{Index: item.Index}}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			r := newTestRunner(1, 2, 1)
			ledger, _ := r.Ledger.(*stateLedger)
			rewards := &blockingRewards{began: make(chan struct{}), cancelled: make(chan struct{})}
			r.Rewards, r.Blobs, r.Engines = rewards, &scoredBlobs{}, &blockingEngines{begunAt: map[ident.Item][]ident.BackendName{}}
			defer r.group.Wait()
			defer cancel()
			job := ledger.state.Jobs[item.Job]
			complete := job.Items[item.Index]
			complete.Partial = jobs.Partial{Events: 1, Complete: true}
			r.mu.Lock()
			r.begin(ctx, claimed{key: item, item: complete, accept: job.Accept})
			own := r.runs[item]
			r.mu.Unlock()
			<-rewards.began
			claim := job.Items[item.Index].Claim
			if claimed, ok := c.record.(jobs.Claim); ok {
				claimed.Targets[0].Replaces = claim
				c.record = claimed
			}
			ledger.state.Apply(ledger.state.Next+1, c.record, r.Clock.Mono())
			if !c.want && job.Items[item.Index].Claim == claim {
				t.Fatal("the claim was not replaced")
			}
			r.syncRuns(ctx)
			select {
			case <-rewards.cancelled:
				if !c.want {
					t.Error("the reward call of a result that can still be listed was cancelled")
				}
			case <-time.After(200 * time.Millisecond):
				if c.want {
					t.Error("the reward call goes on")
				}
				(*own.stopScoring.Load())()
			}
		})
	}
}

// Guards against reward calls that outlast the end of their job while the runner stops.
func TestRewardCallIsCancelledWhileTheRunnerStops(t *testing.T) {
	r := newTestRunner(1, 2, 1)
	ledger, _ := r.Ledger.(*stateLedger)
	rewards := &blockingRewards{began: make(chan struct{}), cancelled: make(chan struct{})}
	changing := &changingLedger{stateLedger: ledger, changed: make(chan struct{})}
	r.Ledger = changing
	r.Rewards, r.Blobs, r.Engines = rewards, &scoredBlobs{}, &blockingEngines{begunAt: map[ident.Item][]ident.BackendName{}}
	item := jobs.ItemKey{Job: "job-0"}
	job := ledger.state.Jobs[item.Job]
	complete := job.Items[item.Index]
	complete.Partial = jobs.Partial{Events: 1, Complete: true}
	ctx, cancel := context.WithCancel(t.Context())
	r.mu.Lock()
	r.begin(ctx, claimed{key: item, item: complete, accept: job.Accept})
	own := r.runs[item]
	r.mu.Unlock()
	<-rewards.began
	cancel()
	ended := make(chan struct{})
	var running conc.WaitGroup
	defer running.Wait()
	running.Go(func() {
		defer close(ended)
		r.Run(ctx)
	})
	changing.apply(jobs.End{Job: item.Job})
	select {
	case <-rewards.cancelled:
	case <-time.After(500 * time.Millisecond):
		t.Error("the reward call goes on")
		(*own.stopScoring.Load())()
	}
	<-ended
}

// changingLedger is a ledger whose state changes while it is read.
type changingLedger struct {
	*stateLedger
	mu      sync.Mutex
	changed chan struct{}
}

func (l *changingLedger) View(visit func(*jobs.State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	visit(l.state)
}

func (l *changingLedger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *changingLedger) Append(context.Context, ...jobs.Record) (ident.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Next, nil
}

func (l *changingLedger) apply(record jobs.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Apply(l.state.Next+1, record, l.clock.Mono())
	close(l.changed)
	l.changed = make(chan struct{})
}
