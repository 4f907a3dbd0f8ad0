package intake

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/blobs"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/tail"
)

// The tests of this file guard against pages that are built from one read of the log per text
// and returned only when complete: with many texts or a slow log they take longer than callers
// wait, and each retry starts again.

const (
	// callerTimeout is the time that callers wait for a page beyond the wait that they ask for.
	callerTimeout = 1500 * clock.Millis(1)
	// otherRecords is the number of records of other jobs after each text in its stream.
	otherRecords = 2
	textBytes    = 2000
)

// slowLog is a log of records of textBytes bytes each. Each read takes latency, and its records
// then share a link.
type slowLog struct {
	clock   *clock.Clock
	latency clock.Millis
	records int
	// bytesPerSecond is the rate of the link that all reads share; 0 means no limit.
	bytesPerSecond int

	mu sync.Mutex
	// linkFreeAt is when the link finishes the transfers so far; guarded by mu.
	linkFreeAt clock.Millis
}

// transfer waits until the link has transferred an answer. It returns false if ctx ends first.
func (l *slowLog) transfer(ctx context.Context, bytes int) bool {
	if l.bytesPerSecond == 0 {
		return true
	}
	l.mu.Lock()
	now := l.clock.Mono()
	l.linkFreeAt = max(l.linkFreeAt, now) + clock.Millis(bytes)*clock.Second/clock.Millis(l.bytesPerSecond)
	wait := l.linkFreeAt - now
	l.mu.Unlock()
	return l.clock.Sleep(ctx, wait)
}

// ReadSome returns at least one record from offset from on, up to most bytes.
func (l *slowLog) ReadSome(ctx context.Context, _ ident.Stream, from ident.Offset, most int, _ clock.Millis) (tail.Batch, error) {
	if !l.clock.Sleep(ctx, l.latency) {
		return tail.Batch{}, ctx.Err()
	}
	batch := tail.Batch{First: 1, Next: ident.Offset(l.records + 1)}
	for size := 0; from <= ident.Offset(l.records) && (size == 0 || size+textBytes <= most); from++ {
		batch.Records = append(batch.Records, tail.Record{Offset: from, Data: bytes.Repeat([]byte{'x'}, textBytes)})
		size += textBytes
	}
	if !l.transfer(ctx, len(batch.Records)*textBytes) {
		return tail.Batch{}, ctx.Err()
	}
	return batch, nil
}

// endedJobs returns a state with count ended jobs, each with a result per item, and the
// number of records in the stream of each job's texts.
func endedJobs(count, items int) (*jobs.State, int) {
	state := jobs.NewState()
	next := ident.Offset(1)
	apply := func(record jobs.Record) {
		state.Apply(next, record, 0)
		next++
	}
	for k := range count {
		job := jobID(k)
		accept := jobs.Accept{Job: job}
		for n := range items {
			accept.Items = append(accept.Items, jobs.ItemSpec{ID: ident.Item(fmt.Sprintf("%s-%d", job, n))})
		}
		apply(accept)
		for n := range items {
			apply(jobs.Claim{Job: job, By: "me", Targets: []jobs.Target{{Index: n}}})
			text := jobs.Span{Stream: ident.Stream(fmt.Sprintf("texts.%d", k)), First: ident.Offset(1 + n*(otherRecords+1)), Count: 1}
			apply(jobs.Finish{Job: job, By: "me", Index: n, Outcome: jobs.Completed, Texts: []jobs.Span{text}})
		}
		apply(jobs.End{Job: job})
	}
	return state, items * (otherRecords + 1)
}

func jobID(k int) ident.Job { return ident.Job(fmt.Sprintf("j%d", k)) }

// newInstance returns an instance with an empty cache.
func newInstance(state *jobs.State, log *slowLog) *Intake {
	return &Intake{
		Ledger: fakeLedger{state, 0}, Blobs: &blobs.Store{Reader: log, Clock: log.clock, CacheBytes: 4 << 20}, Clock: log.clock, Trail: noDecisions{},
	}
}

// wantReadable reads a job from the start, each page at the next of the instances, and fails
// unless each read returns results within callerTimeout.
func wantReadable(t *testing.T, job ident.Job, items int, instances ...*Intake) {
	t.Helper()
	for next, reads := 0, 0; next < items; reads++ {
		ctx, cancel := context.WithTimeout(t.Context(), callerTimeout.Duration())
		page, err := instances[reads%len(instances)].Read(ctx, "", job, next, 0)
		if err == nil {
			// An answer after the timeout counts as a failure.
			err = ctx.Err()
		}
		cancel()
		if err != nil || len(page.Results) == 0 || page.Next != next+len(page.Results) {
			t.Errorf("read %d, from %d on: %d results, next %d, error %v; want at least one result", reads, next, len(page.Results), page.Next, err)
			return
		}
		next = page.Next
	}
}

func TestLongJobIsReadable(t *testing.T) {
	usual := 4 * clock.Millis(1)
	cases := []struct {
		name    string
		items   int
		latency clock.Millis
	}{
		{"as long as the job of the incident, a log at ten times its time", 224, 10 * usual},
		{"the same, a log at fifty times its time", 224, 50 * usual},
		{"three times as long, a log at fifty times its time", 744, 50 * usual},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			state, records := endedJobs(1, tc.items)
			log := &slowLog{clock: clock.New(), latency: tc.latency, records: records}
			wantReadable(t, jobID(0), tc.items, newInstance(state, log))
		})
		t.Run(tc.name+", each read at another instance", func(t *testing.T) {
			t.Parallel()
			state, records := endedJobs(1, tc.items)
			log := &slowLog{clock: clock.New(), latency: tc.latency, records: records}
			wantReadable(t, jobID(0), tc.items, newInstance(state, log), newInstance(state, log), newInstance(state, log))
		})
	}
	t.Run("200 readers of 20 jobs at one instance", func(t *testing.T) {
		const readers, count, items = 200, 20, 224
		state, records := endedJobs(count, items)
		instance := newInstance(state, &slowLog{clock: clock.New(), latency: 10 * usual, records: records})
		var group conc.WaitGroup
		for n := range readers {
			group.Go(func() { wantReadable(t, jobID(n%count), items, instance) })
		}
		group.Wait()
	})
	const megabit = 1_000_000 / 8
	narrowLinks := []struct {
		name           string
		bytesPerSecond int
		readers        int
	}{
		{"three readers of three jobs over 6 Mbit/s", 6 * megabit, 3},
		{"ten readers of ten jobs, a thirtieth of what a log gives out", 80_000_000 / 30, 10},
	}
	for _, tc := range narrowLinks {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			const items = 100
			state, records := endedJobs(tc.readers, items)
			instance := newInstance(state, &slowLog{clock: clock.New(), latency: usual, records: records, bytesPerSecond: tc.bytesPerSecond})
			var group conc.WaitGroup
			for n := range tc.readers {
				group.Go(func() { wantReadable(t, jobID(n), items, instance) })
			}
			group.Wait()
		})
	}
}
