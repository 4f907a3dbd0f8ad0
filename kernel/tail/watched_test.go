package tail

import (
	"context"
	"testing"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// silentLog has one record, and a second one once it is back from a silence. What it was asked
// meanwhile it never answers.
type silentLog struct {
	clock      *clock.Clock
	from, back clock.Millis
}

func (l *silentLog) Read(ctx context.Context, _ ident.Stream, from ident.Offset, wait clock.Millis) (Batch, error) {
	if now := l.clock.Mono(); now < l.back && now+wait >= l.from {
		<-ctx.Done()
		return Batch{}, fault.Wrap("silentLog.Read", Unavailable, ctx.Err(), "no answer")
	}
	records := []Record{{Offset: 1}}
	if l.clock.Mono() >= l.back {
		records = append(records, Record{Offset: 2})
	}
	next := ident.Offset(len(records) + 1)
	if from >= next {
		l.clock.Sleep(ctx, wait)
		return Batch{First: 1, Next: next}, nil
	}
	return Batch{First: 1, Next: next, Records: records[max(int(from)-1, 0):]}, nil
}

// A read that was sent into a silence must not keep its tailer from what is written after.
func TestTailerReadsOnInTimeAfterSilentLog(t *testing.T) {
	// The third read, which may take four times the usual timeout, is open when the log is back.
	const (
		silence = 3800 * clock.Millis(1)
		most    = 2 * clock.Second
	)
	c := clock.New()
	log := &silentLog{clock: c, from: c.Mono() + 200, back: c.Mono() + 200 + silence}
	watched := &Watched{Log: log, Clock: c}
	watched.Setup()
	ctx, stop := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { watched.Run(ctx) })
	tailer := &Tailer{Source: watched, Stream: "s.0", Clock: c, Wait: 100, Timeout: 1 * clock.Second, Apply: func(b Batch) {
		if b.Next > 2 {
			stop()
		}
	}}
	tailer.Run(ctx)
	group.Wait()
	if late := c.Mono() - log.back; late > most {
		t.Errorf("the second record was read %d ms after the log was back, want %d at most", late, most)
	}
}
