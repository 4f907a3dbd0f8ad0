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

// unreachableLedger is a ledger that was read to its end and answers no more.
type unreachableLedger struct{ *stateLedger }

func (l unreachableLedger) Fresh() bool       { return false }
func (l unreachableLedger) Away() bool        { return true }
func (l unreachableLedger) Age() clock.Millis { return 2 * clock.Second }
func (l unreachableLedger) Append(context.Context, ...jobs.Record) (ident.Offset, error) {
	return 0, errors.New("away")
}

// blockingEngines notes where each item is begun, and never ends one.
type blockingEngines struct {
	mu sync.Mutex
	at map[ident.Item][]ident.BackendName
}

func (*blockingEngines) Ended(context.Context, fleet.Member) bool { return false }

func (e *blockingEngines) Run(ctx context.Context, engine fleet.Member, item work.Item, _ int) (Events, error) {
	e.mu.Lock()
	e.at[item.ID] = append(e.at[item.ID], ident.BackendName(engine.Name))
	e.mu.Unlock()
	<-ctx.Done()
	return nil, fault.New("t", Broken, "stopped")
}

// replicaBlobs has every body, as instances have read them ahead.
type replicaBlobs struct{ countingBlobs }

func (b *replicaBlobs) Get(context.Context, jobs.Span) ([]byte, error) {
	return nil, errors.New("away")
}

func (b *replicaBlobs) FetchFrom(_ context.Context, _ ident.Address, span jobs.Span) ([]byte, error) {
	return work.Encode(work.Item{ID: ident.Item(fmt.Sprintf("0-%d", span.First))})
}

// The log goes away for all while a step of 160 items waits and a quarter of 44
// engines have its version. Callers get the step only if its items begin all the same:
// each at one engine that can run it, as many as these have slots for.
func TestItemsBeginWhileTheLogIsAway(t *testing.T) {
	const instances, engines, slots = 20, 44, 8
	began := &blockingEngines{at: map[ident.Item][]ident.BackendName{}}
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
		n := len(began.at)
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
	if len(began.at) < room*4/5 || len(began.at) > room {
		t.Errorf("%d items began, want nearly the %d that the engines have slots for", len(began.at), room)
	}
	for id, at := range began.at {
		if len(at) != 1 {
			t.Errorf("%s began at %v, want one engine", id, at)
		}
	}
}

// silentBlobs never answers from the log.
type silentBlobs struct{ replicaBlobs }

func (b *silentBlobs) Get(ctx context.Context, _ jobs.Span) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// While the log takes calls and says nothing, an item's body comes from an instance that has
// read it ahead, and not only when all tries at the log have run out of their time.
func TestBodyOfASilentLog(t *testing.T) {
	r := newTestRunner(4, 4, 1)
	r.Blobs = &silentBlobs{}
	var item jobs.Item
	r.Ledger.View(func(b *jobs.State) {
		item = b.Jobs["job-0"].Items[0]
		for name, member := range b.Members {
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
