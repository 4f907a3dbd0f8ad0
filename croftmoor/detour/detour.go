// Package detour reaches the platform's log by way of another instance while
// the log turns this one away or can't be reached from here. Appends carry
// tickets, so that one tried both ways counts once.
package detour

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"croftmoor.dev/croftmoor/rpcs"
	"croftmoor.dev/kernel/avoid"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/pulse"
	"croftmoor.dev/kernel/tail"
)

// Direct is the log as this instance reaches it itself.
type Direct interface {
	tail.Appender
	tail.ChunkReader
	tail.KeyedReader
}

const (
	// readBytes is how much one read of a stream that is followed asks for at
	// most. When all instances start at once each reads the whole ledger; pages
	// that are small against what the log serves a second come within their time.
	readBytes = 256 << 10
	// failures is how many calls in a row must fail before others are asked:
	// one lost answer is no reason.
	failures = 2
	// fruitless is how many others in a row must say that the log fails them too
	// before the trouble is taken for the log's own; then nobody is asked for holdTerm.
	// A log that is slow or full for all must not get each call twice. Others that
	// can't be reached say nothing of the log.
	fruitless = 3
	holdTerm  = 1 * clock.Second
	// shunTerm is how long another instance that gave no answer of the log is passed
	// over: longer than an append is repeated before others take over the work of an
	// instance that can't write, 1.2 s.
	shunTerm = 2 * clock.Second
	// fairTime is the least time that a call must have had for its end to be the log's
	// fault: half of the shortest that an append is given, and ten times what a read of
	// texts takes. A call for another instance carries that one's deadline.
	fairTime = 100 * clock.Millis(1)
)

// Store reaches the log by either way. Set the exported fields before use. The
// state of the direct way is guarded by mu.
type Store struct {
	Direct Direct
	// Peers returns the addresses of other instances, those to ask first first.
	Peers func() []ident.Address
	Clock *clock.Clock
	Log   zerolog.Logger
	// DirectOnly has other instances never asked.
	DirectOnly bool
	// CountUnanswered is called with the name and the time of each call that ended without an
	// answer after longCall or more; it may be nil.
	CountUnanswered func(call string, took clock.Millis)

	mu     sync.Mutex
	failed int
	away   bool
	// vain counts the others in a row that the log failed too, until is when others
	// may be asked again.
	vain  int
	until clock.Millis
	// through is the instance that answered last; shunned are those that gave no
	// answer of the log, until a time.
	through ident.Address
	shunned avoid.Set[ident.Address]
	client  *http.Client
	// lastAnswer is when any call was last answered, lastLine when a call without an answer
	// was last logged.
	lastAnswer clock.Millis
	lastLine   clock.Millis
	// watch ends calls that the log will not answer any more.
	watch pulse.Watch
}

// Setup makes the store usable.
func (s *Store) Setup() {
	s.client = rpcs.NewClient()
	s.watch.Clock = s.Clock
}

func (s *Store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

func (s *Store) back() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = 0
	if s.away {
		s.away = false
		s.Log.Info().Str("Dependency", "store").Msg("reached directly again")
	}
}

// bad notes a failed call of the direct way and tells whether others should be
// asked from now on.
func (s *Store) bad(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed++
	if s.failed >= failures && !s.away && !s.DirectOnly && s.Clock.Mono() >= s.until {
		s.away = true
		s.Log.Warn().Err(err).Str("Dependency", "store").Msg("asked through other instances")
	}
	return s.away
}

// turnsAway notes a failed call of the direct way and tells whether it should be done by way of
// another instance.
func (s *Store) turnsAway(ctx context.Context, began clock.Millis, err error) bool {
	if isOvertaken(err) {
		return false
	}
	if errors.Is(ctx.Err(), context.Canceled) || (ctx.Err() != nil && s.Clock.Mono()-began < fairTime) {
		// Whoever wanted the answer has left, or left no time for it; that says nothing
		// of the log. Callers that leave while texts are read would otherwise turn an
		// instance away from a healthy log.
		return false
	}
	if fault.KindOf[tail.Kind](err) == tail.OutOfOrder || !s.bad(err) {
		return false
	}
	// If the direct try took all of the call's time, the next call goes through another
	// instance at once, and none is blamed for this one.
	return ctx.Err() == nil
}

// asked notes how a call at another instance ended.
func (s *Store) asked(ctx context.Context, at ident.Address, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.vain, s.through = 0, at
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	s.shun(at)
	if rpcs.KindOf(err) == "" {
		return
	}
	s.vain++
	if s.vain < fruitless || !s.away {
		return
	}
	s.vain, s.away = 0, false
	s.until = s.Clock.Mono() + holdTerm
	s.Log.Warn().Err(err).Str("Dependency", "store").Int64("HoldMillis", int64(holdTerm)).Msg("no better through other instances")
}

// shun passes an instance over for a while; mu is held.
func (s *Store) shun(at ident.Address) {
	now := s.Clock.Mono()
	s.shunned.Add(at, now, now+shunTerm)
	if s.through == at {
		s.through = ""
	}
}

// peer returns the address of an instance to ask: the one that answered last, else
// any that has not failed lately. In a cut that takes a third of all instances, one
// drawn anew for each call is cut off as well a third of the time, and each such call
// costs the whole patience of an append.
func (s *Store) peer() (ident.Address, bool) {
	peers := s.Peers()
	if len(peers) == 0 {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.through != "" && slices.Contains(peers, s.through) {
		return s.through, true
	}
	now := s.Clock.Mono()
	sound := slices.DeleteFunc(slices.Clone(peers), func(at ident.Address) bool { return s.shunned.Has(at, now) })
	if len(sound) == 0 {
		sound = peers
	}
	return sound[rand.IntN(len(sound))], true
}

// reach does a call directly, or at a peer while the direct way is not used.
func reach[A any](ctx context.Context, s *Store, op operation, direct func(context.Context) (A, error), there func(context.Context, ident.Address) (A, error)) (A, error) {
	var none A
	var failure error
	if !s.isAway() {
		began := s.Clock.Mono()
		answer, err := watched(ctx, s, op, "", direct)
		if err == nil {
			s.back()
			return answer, nil
		}
		if !s.turnsAway(ctx, began, err) {
			return none, err
		}
		failure = err
	}
	address, ok := s.peer()
	if !ok && failure != nil {
		return none, failure
	}
	if !ok {
		return watched(ctx, s, op, "", direct)
	}
	answer, err := watched(ctx, s, op, address, func(ctx context.Context) (A, error) { return there(ctx, address) })
	if !isOvertaken(err) {
		s.asked(ctx, address, err)
	}
	if err != nil && fault.KindOf[tail.Kind](failure) == tail.Unknown {
		// The peer's refusal says nothing of the call that got no answer here.
		return none, failure
	}
	return answer, err
}

// AppendOnce appends records under a ticket.
func (s *Store) AppendOnce(ctx context.Context, stream ident.Stream, ticket tail.Ticket, records [][]byte) (ident.Offset, error) {
	return reach(ctx, s, operation{name: "append", stream: stream, within: appendTime}, func(ctx context.Context) (ident.Offset, error) {
		return s.Direct.AppendOnce(ctx, stream, ticket, records)
	}, func(ctx context.Context, address ident.Address) (ident.Offset, error) {
		message := appendToWire(stream, ticket, records)
		answer, err := rpcs.Call[appendWire, offsetWire](ctx, s.client, address, appendPath, &message)
		if err != nil {
			return 0, fromConnect("detour.Append", tail.Unknown, err)
		}
		return ident.Offset(answer.Offset), nil
	})
}

// ReadSome returns records from offset on.
func (s *Store) ReadSome(ctx context.Context, stream ident.Stream, from ident.Offset, most int, wait clock.Millis) (tail.Batch, error) {
	return reach(ctx, s, operation{name: "read", stream: stream, within: wait + tail.ResponseTime}, func(ctx context.Context) (tail.Batch, error) {
		return s.Direct.ReadSome(ctx, stream, from, most, wait)
	}, func(ctx context.Context, address ident.Address) (tail.Batch, error) {
		message := readWire{Stream: string(stream), From: int64(from), Most: most, WaitMillis: int64(wait)}
		answer, err := rpcs.Call[readWire, batchWire](ctx, s.client, address, readPath, &message)
		if err != nil {
			return tail.Batch{}, fromConnect("detour.Read", tail.Unavailable, err)
		}
		return batchFromWire(answer), nil
	})
}

// Read returns records from offset on, waiting up to wait for the first one.
func (s *Store) Read(ctx context.Context, stream ident.Stream, from ident.Offset, wait clock.Millis) (tail.Batch, error) {
	return s.ReadSome(ctx, stream, from, readBytes, wait)
}

// Newest returns a page of the newest records of a keyed stream. Each page may come
// either way.
func (s *Store) Newest(ctx context.Context, stream ident.Stream, after string) (tail.Page, error) {
	return reach(ctx, s, operation{name: "newest", stream: stream, within: pageTime}, func(ctx context.Context) (tail.Page, error) {
		return s.Direct.Newest(ctx, stream, after)
	}, func(ctx context.Context, address ident.Address) (tail.Page, error) {
		message := newestWire{Stream: string(stream), After: after}
		answer, err := rpcs.Call[newestWire, pageWire](ctx, s.client, address, newestPath, &message)
		if err != nil {
			return tail.Page{}, fromConnect("detour.Newest", tail.Unavailable, err)
		}
		return pageFromWire(answer), nil
	})
}
