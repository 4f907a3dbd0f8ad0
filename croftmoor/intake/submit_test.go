package intake

import (
	"context"
	"testing"

	"croftmoor.dev/croftmoor/work"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/paths"
)

// slowBodies stores bodies at bytesPerSecond.
type slowBodies struct {
	failingBlobs
	clock          *clock.Clock
	bytesPerSecond int
}

func (b slowBodies) PutBodies(ctx context.Context, _ ident.Job, bodies [][]byte) ([]jobs.Span, error) {
	bytes := 0
	for _, body := range bodies {
		bytes += len(body)
	}
	if !b.clock.Sleep(ctx, clock.Millis(bytes)*clock.Second/clock.Millis(b.bytesPerSecond)) {
		return nil, ctx.Err()
	}
	return make([]jobs.Span, len(bodies)), nil
}

// The submit timeout must grow with the size of the bodies; otherwise a large job is never
// accepted, because each retry starts again.
func TestLargeJobIsTaken(t *testing.T) {
	const (
		megabyte = 1 << 20
		items    = 24
	)
	c := clock.New()
	submission := Submission{Job: "j", Route: paths.Route{Shares: []paths.Share{{Service: "model"}}}}
	for range items {
		submission.Items = append(submission.Items, work.Item{ID: "a", Body: make([]byte, megabyte)})
	}
	i := &Intake{
		Ledger: fakeLedger{jobs.NewState(), 0}, Clock: c, Trail: noDecisions{},
		Blobs: slowBodies{clock: c, bytesPerSecond: 8 * megabyte},
	}
	if err := i.Submit(t.Context(), submission); err != nil {
		t.Errorf("error %v, want none: 24 MB at 8 MB a second", err)
	}
}
