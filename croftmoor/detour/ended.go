package detour

import (
	"context"
	"errors"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// operation names a call of the log.
type operation struct {
	name   string
	stream ident.Stream
}

const (
	// longCall is how long a call must have taken for its end without an answer to be logged.
	longCall = 1 * clock.Second
	// linePeriod is the shortest pause between two such lines; the counter counts all.
	linePeriod = 50 * clock.Millis(1)
)

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
