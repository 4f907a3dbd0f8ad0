package batch

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
)

// countingBlobs counts how often each body is read.
type countingBlobs struct {
	mu    sync.Mutex
	reads map[jobs.Span]int
}

func (b *countingBlobs) PutText(context.Context, ident.Job, []byte) (jobs.Span, error) {
	return jobs.Span{}, nil
}

func (b *countingBlobs) Get(_ context.Context, span jobs.Span) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reads[span]++
	return nil, nil
}

func (b *countingBlobs) FetchFrom(context.Context, ident.Address, jobs.Span) ([]byte, error) {
	return nil, nil
}

// A body is read ahead by just two instances, however many there are: read by each,
// the bodies of one wave of steps exceed what the log serves to all of them; read by
// one, it is lost with that one.
func TestBodiesAreReadAheadTwice(t *testing.T) {
	for _, instances := range []int{4, 13, 84} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			blobs := &countingBlobs{reads: map[jobs.Span]int{}}
			waiting := 0
			for n := range instances {
				r := newTestRunner(instances, 44, 1)
				r.Self = ident.InstanceName(fmt.Sprintf("front-%d", n))
				r.Blobs = blobs
				r.Ledger.View(func(b *jobs.State) {
					job := b.Jobs["job-0"]
					waiting = job.Waiting
					for i := range job.Items {
						job.Items[i].Body = jobs.Span{Stream: "bodies.0", First: ident.Offset(i + 1), Count: 1}
					}
				})
				r.planClaims()
				r.prefetchJob(t.Context(), "job-0")
			}
			if len(blobs.reads) != waiting {
				t.Errorf("%d bodies read ahead of %d items that wait", len(blobs.reads), waiting)
			}
			for span, reads := range blobs.reads {
				if reads != bodyReplicas {
					t.Fatalf("body %d was read %d times, want %d", span.First, reads, bodyReplicas)
				}
			}
		})
	}
}
