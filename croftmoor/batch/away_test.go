package batch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"croftmoor.dev/croftmoor/work"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

// unreachableLedger was read to its end and does not answer any more.
type unreachableLedger struct{ *stateLedger }

func (l unreachableLedger) Fresh() bool       { return false }
func (l unreachableLedger) Away() bool        { return true }
func (l unreachableLedger) Age() clock.Millis { return 2 * clock.Second }
func (l unreachableLedger) Append(context.Context, ...jobs.Record) (ident.Offset, error) {
	return 0, errors.New("away")
}

// blockingEngines record where each item is begun, and run it until it is cancelled.
type blockingEngines struct {
	mu      sync.Mutex
	begunAt map[ident.Item][]ident.BackendName
}

func (*blockingEngines) Ended(context.Context, fleet.Member) bool     { return false }
func (*blockingEngines) Reachable(context.Context, fleet.Member) bool { return false }

func (e *blockingEngines) Run(ctx context.Context, engine fleet.Member, item work.Item, _ int) (Events, error) {
	e.mu.Lock()
	e.begunAt[item.ID] = append(e.begunAt[item.ID], ident.BackendName(engine.Name))
	e.mu.Unlock()
	<-ctx.Done()
	return nil, fault.New("t", Broken, "stopped")
}

// replicaBlobs returns bodies from other instances only.
type replicaBlobs struct{ countingBlobs }

func (b *replicaBlobs) Get(context.Context, jobs.Span) ([]byte, error) {
	return nil, errors.New("away")
}

func (b *replicaBlobs) FetchFrom(_ context.Context, _ ident.Address, span jobs.Span) ([]byte, error) {
	return work.Encode(work.Item{ID: ident.Item(fmt.Sprintf("0-%d", span.First))})
}

// While no instance can reach the log, each item must begin at exactly one engine that can
// run it, and nearly all slots of such engines must be used. Here a quarter of the engines
// have the job's version.
func TestItemsBeginWhileTheLogIsAway(t *testing.T) {
	const instances, engines, slots = 20, 44, 8
	began := &blockingEngines{begunAt: map[ident.Item][]ident.BackendName{}}
	ctx, stop := context.WithCancel(t.Context())
	var runners []*Runner
	for n := range instances {
		r := newTestRunner(instances, engines, 0)
		r.Self = ident.InstanceName(fmt.Sprintf("front-%d", n))
		ledger, _ := r.Ledger.(*stateLedger)
		r.Ledger, r.Engines, r.Blobs = unreachableLedger{ledger}, began, &replicaBlobs{}
		accept := jobs.Accept{Job: "job-0", Host: "h", Prefix: "/p/", Service: "models", Model: "m", MinVersion: 2}
		for i := range 160 {
			accept.Items = append(accept.Items, jobs.ItemSpec{ID: ident.Item(fmt.Sprintf("0-%d", i)), Expect: 100, Body: jobs.Span{First: ident.Offset(i), Count: 1}})
		}
		ledger.state.Apply(ledger.state.Next+1, accept, r.Clock.Mono())
		for m := range instances {
			by := ident.InstanceName(fmt.Sprintf("front-%d", m))
			ledger.state.Members[by].Address = ident.Address(by)
		}
		for e := 0; e < engines; e += 4 {
			ledger.state.Apply(ledger.state.Next+1, jobs.Loaded{Engine: ident.BackendName(fmt.Sprintf("engine-%d", e)), Model: "m", Version: 2}, r.Clock.Mono())
		}
		runners = append(runners, r)
		r.beginWithoutClaims(ctx)
	}
	running := 0
	for _, r := range runners {
		running += r.Running()
	}
	c := clock.New()
	for range 300 {
		began.mu.Lock()
		n := len(began.begunAt)
		began.mu.Unlock()
		if n == running {
			break
		}
		c.Sleep(t.Context(), 10)
	}
	stop()
	for _, r := range runners {
		r.group.Wait()
	}
	const room = engines / 4 * slots
	if len(began.begunAt) < room*4/5 || len(began.begunAt) > room {
		t.Errorf("%d items began, want nearly the %d that the engines have slots for", len(began.begunAt), room)
	}
	for id, at := range began.begunAt {
		if len(at) != 1 {
			t.Errorf("%s began at %v, want one engine", id, at)
		}
	}
}

// silentBlobs does not answer reads from the log.
type silentBlobs struct{ replicaBlobs }

func (b *silentBlobs) Get(ctx context.Context, _ jobs.Span) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// If the log accepts reads and does not answer, the body must come from a replica after
// bodyReadTimeout, not after the whole of the caller's time.
func TestBodyOfASilentLog(t *testing.T) {
	r := newTestRunner(4, 4, 1)
	r.Blobs = &silentBlobs{}
	var item jobs.Item
	r.Ledger.View(func(state *jobs.State) {
		item = state.Jobs["job-0"].Items[0]
		for name, member := range state.Members {
			member.Address = ident.Address(name)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), (3 * bodyReadTimeout).Duration())
	defer cancel()
	began := r.Clock.Mono()
	_, err := r.readBody(ctx, &item)
	if elapsed := r.Clock.Mono() - began; err != nil || elapsed > bodyReadTimeout+clock.Second/2 {
		t.Errorf("error %v after %d ms, want the body after %d", err, elapsed, bodyReadTimeout)
	}
}

// lostBlobs answers no reads from the log, and no other instance has the body.
type lostBlobs struct{ silentBlobs }

func (b *lostBlobs) FetchFrom(context.Context, ident.Address, jobs.Span) ([]byte, error) {
	return nil, errors.New("away")
}

// A read that hangs must not keep an item at this instance for good: nothing else replaces
// the claim of an instance that lives.
func TestBodyThatNeverComes(t *testing.T) {
	r := newTestRunner(4, 4, 1)
	r.Blobs = &lostBlobs{}
	var item jobs.Item
	r.Ledger.View(func(state *jobs.State) { item = state.Jobs["job-0"].Items[0] })
	const most = bodyReadTimeout + lastBodyReadTimeout + clock.Second
	ctx, cancel := context.WithTimeout(t.Context(), (2 * most).Duration())
	defer cancel()
	began := r.Clock.Mono()
	_, err := r.readBody(ctx, &item)
	if elapsed := r.Clock.Mono() - began; err == nil || elapsed > most {
		t.Errorf("error %v after %d ms, want one within %d ms", err, elapsed, most)
	}
}
