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

// What callers saw: a job of 224 items was accepted and ended, and when its results were read
// from the start after the end of traffic, no try got them, at any instance. With larger jobs
// the same happened on a smaller deployment, and trainers lost reads all day.
//
// The order of events: the read comes to an instance that does not have the texts in memory;
// 0.7 s later another one is asked beside it, which has none either; the caller leaves 1.5 s
// after what it allows; the next try does the same elsewhere.
//
// The cause: a page was put together from texts that were read one after another, each with a
// call to the log, and was given whole or not at all; its time grew with its size and the log's
// answer time and had no bound, while its caller's is fixed; and what was read was lost to the
// next try. So it was with the reads that were refused at the end of the days that were run on
// both deployments; the users' record of the one job does not tell what its reads got.
//
// The evidence: lines at the followers of pages whose callers had left ("96 of 167 texts in
// 700 ms, ledger 14 ms old") on both deployments; none of them said that a text was missing or
// that it was behind. This test read 108 of 224 texts by the time the caller left, 21 with a log
// at fifty times its time.

const (
	// patience is how long callers wait beyond the time that they allow.
	patience = 1500 * clock.Millis(1)
	// strangers is how many records of other jobs follow each text in its stream.
	strangers = 2
	// textBytes is the size of a text.
	textBytes = 2000
)

// slowLog is a log with texts and records of others between them. It gives no more of them in
// a read than are asked for, each after its answer time.
type slowLog struct {
	clock   *clock.Clock
	answer  clock.Millis
	records int
	// link is the bytes a second that all reads share; 0 is any number.
	link int

	mu sync.Mutex
	// free is when the link has carried what was asked for.
	free clock.Millis
}

// carry waits until the link has carried an answer.
func (l *slowLog) carry(ctx context.Context, bytes int) bool {
	if l.link == 0 {
		return true
	}
	l.mu.Lock()
	now := l.clock.Mono()
	l.free = max(l.free, now) + clock.Millis(bytes)*clock.Second/clock.Millis(l.link)
	wait := l.free - now
	l.mu.Unlock()
	return l.clock.Sleep(ctx, wait)
}

// ReadSome returns records from offset on, about most bytes of them.
func (l *slowLog) ReadSome(ctx context.Context, _ ident.Stream, from ident.Offset, most int, _ clock.Millis) (tail.Batch, error) {
	if !l.clock.Sleep(ctx, l.answer) {
		return tail.Batch{}, ctx.Err()
	}
	batch := tail.Batch{First: 1, Next: ident.Offset(l.records + 1)}
	for size := 0; from <= ident.Offset(l.records) && (size == 0 || size+textBytes <= most); from++ {
		batch.Records = append(batch.Records, tail.Record{Offset: from, Data: bytes.Repeat([]byte{'x'}, textBytes)})
		size += textBytes
	}
	if !l.carry(ctx, len(batch.Records)*textBytes) {
		return tail.Batch{}, ctx.Err()
	}
	return batch, nil
}

// longJobs returns a ledger with ended jobs j0, j1 and so on of so many results each, and
// the number of records in the stream of each one's texts.
func longJobs(count, items int) (*jobs.State, int) {
	book := jobs.NewState()
	next := ident.Offset(1)
	apply := func(record jobs.Record) {
		book.Apply(next, record, 0)
		next++
	}
	for k := range count {
		job := jobNumber(k)
		accept := jobs.Accept{Job: job}
		for n := range items {
			accept.Items = append(accept.Items, jobs.ItemSpec{ID: ident.Item(fmt.Sprintf("%s-%d", job, n))})
		}
		apply(accept)
		for n := range items {
			apply(jobs.Claim{Job: job, By: "me", Targets: []jobs.Target{{Index: n}}})
			text := jobs.Span{Stream: ident.Stream(fmt.Sprintf("texts.%d", k)), First: ident.Offset(1 + n*(strangers+1)), Count: 1}
			apply(jobs.Finish{Job: job, By: "me", Index: n, Outcome: jobs.Completed, Texts: []jobs.Span{text}})
		}
		apply(jobs.End{Job: job})
	}
	return book, items * (strangers + 1)
}

func jobNumber(k int) ident.Job { return ident.Job(fmt.Sprintf("j%d", k)) }

// instanceAt returns an instance that has none of the texts in its cache.
func instanceAt(book *jobs.State, log *slowLog) *Intake {
	return &Intake{
		Ledger: agedLedger{book, 0}, Blobs: &blobs.Store{Reader: log, Clock: log.clock, CacheBytes: 4 << 20}, Clock: log.clock, Trail: noDecisions{},
	}
}

// wantReadable reads a job from the start as callers do, and wants something from each read
// before its caller leaves. Each read comes to the next of the instances.
func wantReadable(t *testing.T, job ident.Job, items int, instances ...*Intake) {
	t.Helper()
	for next, reads := 0, 0; next < items; reads++ {
		ctx, cancel := context.WithTimeout(t.Context(), patience.Duration())
		page, err := instances[reads%len(instances)].Read(ctx, "", job, next, 0)
		if err == nil {
			// What comes when the caller has left reaches nobody.
			err = ctx.Err()
		}
		cancel()
		if err != nil || len(page.Results) == 0 || page.Next != next+len(page.Results) {
			t.Errorf("read %d, from %d on: %d results, next %d, error %v; want some", reads, next, len(page.Results), page.Next, err)
			return
		}
		next = page.Next
	}
}

func TestLongJobIsReadable(t *testing.T) {
	usual := 4 * clock.Millis(1)
	cases := []struct {
		name   string
		items  int
		answer clock.Millis
	}{
		{"as long as the job of the incident, a log at ten times its time", 224, 10 * usual},
		{"the same, a log at fifty times its time", 224, 50 * usual},
		{"three times as long, a log at fifty times its time", 744, 50 * usual},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			book, records := longJobs(1, tc.items)
			log := &slowLog{clock: clock.New(), answer: tc.answer, records: records}
			wantReadable(t, jobNumber(0), tc.items, instanceAt(book, log))
		})
		t.Run(tc.name+", each read at another instance", func(t *testing.T) {
			t.Parallel()
			book, records := longJobs(1, tc.items)
			log := &slowLog{clock: clock.New(), answer: tc.answer, records: records}
			wantReadable(t, jobNumber(0), tc.items, instanceAt(book, log), instanceAt(book, log), instanceAt(book, log))
		})
	}
	t.Run("200 readers of 20 jobs at one instance", func(t *testing.T) {
		const readers, count, items = 200, 20, 224
		book, records := longJobs(count, items)
		instance := instanceAt(book, &slowLog{clock: clock.New(), answer: 10 * usual, records: records})
		var group conc.WaitGroup
		for n := range readers {
			group.Go(func() { wantReadable(t, jobNumber(n%count), items, instance) })
		}
		group.Wait()
	})
	const megabit = 1_000_000 / 8
	narrow := []struct {
		name    string
		link    int
		readers int
	}{
		{"three readers of three jobs over 6 Mbit/s", 6 * megabit, 3},
		{"ten readers of ten jobs, a thirtieth of what a log gives out", 80_000_000 / 30, 10},
	}
	for _, tc := range narrow {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			const items = 100
			book, records := longJobs(tc.readers, items)
			instance := instanceAt(book, &slowLog{clock: clock.New(), answer: usual, records: records, link: tc.link})
			var group conc.WaitGroup
			for n := range tc.readers {
				group.Go(func() { wantReadable(t, jobNumber(n), items, instance) })
			}
			group.Wait()
		})
	}
}
