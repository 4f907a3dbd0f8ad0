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

// A body must be prefetched by just bodyReplicas instances: prefetched by all, the bodies
// exceed what the log can serve; prefetched by one, a body is lost with that instance.
func TestBodiesAreReadAheadTwice(t *testing.T) {
	for _, instances := range []int{4, 13, 84} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			blobs := &countingBlobs{reads: map[jobs.Span]int{}}
			waiting := 0
			for n := range instances {
				r := newTestRunner(instances, 44, 1)
				r.Self = ident.InstanceName(fmt.Sprintf("front-%d", n))
				r.Blobs = blobs
				r.Ledger.View(func(state *jobs.State) {
					job := state.Jobs["job-0"]
					waiting = job.Waiting
					for i := range job.Items {
						job.Items[i].Body = jobs.Span{Stream: "bodies.0", First: ident.Offset(i + 1), Count: 1}
					}
				})
				r.planClaims()
				r.prefetchJob(t.Context(), "job-0")
			}
			if len(blobs.reads) != waiting {
				t.Errorf("%d bodies prefetched for %d waiting items", len(blobs.reads), waiting)
			}
			for span, reads := range blobs.reads {
				if reads != bodyReplicas {
					t.Fatalf("body %d was read %d times, want %d", span.First, reads, bodyReplicas)
				}
			}
		})
	}
}
