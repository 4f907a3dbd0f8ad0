package pulse

import (
	"context"
	"testing"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
)

const (
	// within is how long the calls of these tests may take, and soon what they need at most
	// to be ended once they should be.
	within = 60 * clock.Millis(1)
	soon   = 2 * clock.Second
)

// service answers calls unless it is silent, and never answers what it was asked while it was.
type service struct {
	watch *Watch
}

func newService() *service { return &service{watch: &Watch{Clock: clock.New()}} }

// answered makes a call that is answered at once.
func (s *service) answered(t *testing.T) {
	t.Helper()
	_, call := s.watch.Begin(t.Context(), "small", within)
	call.End(true)
}

// wantOvertaken checks that a call is ended because it was overtaken.
func wantOvertaken(ctx context.Context, t *testing.T) {
	t.Helper()
	select {
	case <-ctx.Done():
	case <-clock.New().After(soon):
	}
	if !IsOvertaken(ctx) {
		t.Errorf("the call ended with %v, want overtaken", context.Cause(ctx))
	}
}

// wantOpen checks that a call is still open after a time.
func wantOpen(ctx context.Context, t *testing.T, after clock.Millis) {
	t.Helper()
	clock.New().Sleep(t.Context(), after)
	if ctx.Err() != nil {
		t.Errorf("the call ended with %v, want it open", context.Cause(ctx))
	}
}

func TestOvertakenCallEnds(t *testing.T) {
	t.Run("one that is late when a later one is answered", func(t *testing.T) {
		s := newService()
		ctx, call := s.watch.Begin(t.Context(), "read", within)
		defer call.End(false)
		wantOpen(ctx, t, 3*within)
		s.answered(t)
		wantOvertaken(ctx, t)
	})
	t.Run("one that is not late when a later one is answered, in its time", func(t *testing.T) {
		s := newService()
		ctx, call := s.watch.Begin(t.Context(), "read", within)
		defer call.End(false)
		s.answered(t)
		if ctx.Err() != nil {
			t.Error("it has ended before its time was up")
		}
		wantOvertaken(ctx, t)
	})
}

func TestCallStaysOpen(t *testing.T) {
	t.Run("while nothing is answered", func(t *testing.T) {
		s := newService()
		ctx, call := s.watch.Begin(t.Context(), "read", within)
		defer call.End(false)
		_, other := s.watch.Begin(t.Context(), "small", within)
		other.End(false)
		wantOpen(ctx, t, 3*within)
	})
	t.Run("if only calls that were sent before are answered", func(t *testing.T) {
		s := newService()
		_, other := s.watch.Begin(t.Context(), "small", within)
		ctx, call := s.watch.Begin(t.Context(), "read", within)
		defer call.End(false)
		other.End(true)
		wantOpen(ctx, t, 3*within)
	})
}

// A service that takes long for one sort of calls and answers others meanwhile must get as
// much time as it needs in the end.
func TestSlowCallIsNotOvertakenForEver(t *testing.T) {
	s := newService()
	ctx, stop := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() {
		for s.watch.Clock.Sleep(ctx, within/4) {
			s.answered(t)
		}
	})
	defer group.Wait()
	defer stop()
	s.watch.Clock.Sleep(ctx, within)
	const takes = 5 * within
	for try := range maxDoublings + 1 {
		callCtx, call := s.watch.Begin(ctx, "page", within)
		done := s.watch.Clock.Sleep(callCtx, takes)
		call.End(done)
		if done {
			return
		}
		if !IsOvertaken(callCtx) {
			t.Fatalf("try %d ended with %v", try, context.Cause(callCtx))
		}
	}
	t.Errorf("no answer after %d tries", maxDoublings+1)
}

// Calls that a silent service dropped say nothing of its speed: the time of the next ones
// must not grow with the number of silences.
func TestSilencesDoNotLengthenTheTimeOfCalls(t *testing.T) {
	s := newService()
	s.answered(t)
	for range 3 {
		ctx, call := s.watch.Begin(t.Context(), "read", within)
		s.watch.Clock.Sleep(t.Context(), maxGap+within)
		s.answered(t)
		wantOvertaken(ctx, t)
		call.End(false)
	}
	ctx, call := s.watch.Begin(t.Context(), "read", within)
	defer call.End(false)
	began := s.watch.Clock.Mono()
	s.answered(t)
	wantOvertaken(ctx, t)
	if took := s.watch.Clock.Mono() - began; took >= 2*within {
		t.Errorf("ended after %d ms, want %d", took, within)
	}
}

// A call that was overtaken just before a silence was dropped as well, so that the time of the
// next one must not grow.
func TestSilenceAfterAnAnswerDoesNotLengthenTheTimeOfCalls(t *testing.T) {
	s := newService()
	ctx, call := s.watch.Begin(t.Context(), "read", maxGap+2*within)
	s.answered(t)
	wantOvertaken(ctx, t)
	call.End(false)
	if s.watch.slow["read"] > 0 {
		t.Error("the service counts as slow with these calls")
	}
}

// A call of a sort that is slow gets more time, but not once the service has been silent.
func TestSlowCallThatWasDroppedEndsInItsUsualTime(t *testing.T) {
	s := newService()
	s.watch.slow = map[Key]int{"page": maxDoublings}
	s.answered(t)
	s.watch.Clock.Sleep(t.Context(), maxGap+within)
	ctx, call := s.watch.Begin(t.Context(), "page", maxGap)
	defer call.End(false)
	began := s.watch.Clock.Mono()
	s.answered(t)
	wantOvertaken(ctx, t)
	if took := s.watch.Clock.Mono() - began; took > 2*maxGap {
		t.Errorf("ended after %d ms, want %d", took, maxGap)
	}
}

func TestAwaitLate(t *testing.T) {
	s := newService()
	_, call := s.watch.Begin(t.Context(), "read", within)
	if !s.watch.AwaitLate(t.Context()) {
		t.Error("a late call was not told")
	}
	call.End(false)
	ctx, cancel := context.WithTimeout(t.Context(), (2 * within).Duration())
	defer cancel()
	if s.watch.AwaitLate(ctx) {
		t.Error("told of a late call when there is none")
	}
}
