package detour

import (
	"context"
	"errors"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/pulse"
	"croftmoor.dev/kernel/tail"
)

// operation names a call of the log, and within what time it should be answered.
type operation struct {
	name   string
	stream ident.Stream
	within clock.Millis
}

// probeStream is read by a probe; every deployment has it.
const probeStream ident.Stream = "ledger.0"

const (
	// probePeriod is the pause between two tries of the direct way while it is
	// not used, and probeTimeout bounds one.
	probePeriod  = 1 * clock.Second
	probeTimeout = 700 * clock.Millis(1)
	probeBytes   = 1024
	// lateProbePause is the pause between two probes while calls are late.
	lateProbePause = 200 * clock.Millis(1)
	// A page of newest records should be answered within pageTime, an append within appendTime,
	// also by a slow log.
	pageTime   = 1800 * clock.Millis(1)
	appendTime = 800 * clock.Millis(1)
	// longCall is how long a call must have taken for its end without an answer to be logged.
	longCall = 1 * clock.Second
	// linePeriod is the shortest pause between two such lines; the counter counts all.
	linePeriod = 50 * clock.Millis(1)
)

// Run makes small calls until ctx ends: of the direct way while it is not used, and of
// either while calls are late.
func (s *Store) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() {
		s.Clock.Every(ctx, probePeriod, func() {
			if s.isAway() {
				s.probeDirect(ctx)
			}
		})
	})
	group.Go(func() {
		for s.watch.AwaitLate(ctx) {
			s.probe(ctx)
			s.Clock.Sleep(ctx, lateProbePause)
		}
	})
	group.Wait()
}

// probe makes a small call by the way that is used. A failure of the direct way does not count
// among those after which others are asked: a log that is late for all is not to be asked twice.
func (s *Store) probe(ctx context.Context) {
	if !s.isAway() {
		s.probeDirect(ctx)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	_, _ = s.ReadSome(callCtx, probeStream, 0, probeBytes, 0)
}

// probeDirect makes a small call of the direct way, which is used again if it is answered.
func (s *Store) probeDirect(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	callCtx, call := s.watch.Begin(limited, "probe", probeTimeout)
	_, err := s.Direct.ReadSome(callCtx, probeStream, 0, probeBytes, 0)
	call.End(err == nil)
	if err == nil {
		s.back()
	}
}

// watched makes a call directly, or through another instance. It ends early if the log has
// answered a call that was sent later.
func watched[A any](ctx context.Context, s *Store, op operation, through ident.Address, do func(context.Context) (A, error)) (A, error) {
	began := s.Clock.Mono()
	callCtx, call := s.watch.Begin(ctx, pulse.Key(op.name+" "+string(op.stream)), op.within)
	answer, err := do(callCtx)
	call.End(err == nil)
	if err != nil && pulse.IsOvertaken(callCtx) {
		err = overtaken(err)
	}
	s.ended(ctx, op, through, began, err)
	return answer, err
}

// overtaken returns the error of a call that was overtaken. The log may have made an append
// that it did not answer.
func overtaken(err error) error {
	kind := fault.KindOf[tail.Kind](err)
	if kind == tail.Unavailable {
		kind = tail.Overtaken
	}
	cause := fault.Wrap("detour.watched", pulse.Overtaken, err, "")
	return fault.Wrap("detour.watched", kind, cause, "a call that was sent later was answered first")
}

// isOvertaken reports whether an error is that of a call that was overtaken.
func isOvertaken(err error) bool { return fault.KindOf[pulse.Kind](err) == pulse.Overtaken }

// ended records how a call ended that began at a time, directly or through another instance.
// A long one without an answer is logged with how long ago another call was answered: the log
// was reachable then, and this call was not worth waiting for.
func (s *Store) ended(ctx context.Context, op operation, through ident.Address, began clock.Millis, err error) {
	now := s.Clock.Mono()
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastAnswer = now
		return
	}
	if now-began < longCall || errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	if s.CountUnanswered != nil {
		s.CountUnanswered(op.name, now-began)
	}
	if answered, ok := s.nextLine(now); ok {
		s.Log.Info().Err(err).Str("Call", op.name).Str("Stream", string(op.stream)).Str("Through", string(through)).
			Int64("TookMillis", int64(now-began)).Int64("AnsweredMillisAgo", int64(now-answered)).Msg("call without an answer")
	}
}

// nextLine returns when a call was last answered, and whether a line may be written now.
func (s *Store) nextLine(now clock.Millis) (answered clock.Millis, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastLine > 0 && now-s.lastLine < linePeriod {
		return s.lastAnswer, false
	}
	s.lastLine = now
	return s.lastAnswer, true
}
