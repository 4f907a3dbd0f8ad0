// Package limits bounds the calls that this instance sends to each plain service: one queue
// and one learned rate limit per service, and a retry budget. kernel/admit makes the
// decisions.
package limits

import (
	"context"
	"slices"
	"sync"

	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/admit"
	"croftmoor.dev/kernel/budget"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// NoCapacity means that the call did not run: it was refused, or its context ended while it
// waited.
const NoCapacity Kind = "NoRoom"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// maxWaiting bounds the number of waiting calls of each service. At 1,000 calls a second no
// more can start within a second.
const maxWaiting = 1024

// Limiters holds the limiter of each service. Set the exported fields before use.
type Limiters struct {
	Pool  *pool.Pool
	Clock *clock.Clock
	// IsLimited reports whether calls to a service are limited.
	IsLimited func(ident.Service) bool
	// Instances returns how many instances send calls to services, including this one.
	Instances func() int
	// Metrics may be nil.
	Metrics Metrics
	// Slots hands out slots while servers are full; nil is never.
	Slots Slots

	byService sync.Map
}

// Slots hands out the slots of servers to the requests of all instances.
type Slots interface {
	// Ask waits until a request may start, or is refused. It returns false if nobody answers.
	Ask(ctx context.Context, service ident.Service, request admit.Request) (admit.Decision, bool)
	// End ends the grant of a signal with what the signal tells of the server. It does nothing
	// if the grant has ended.
	End(s admit.Signal)
}

// Metrics receives the values that operators monitor.
type Metrics interface {
	// Room sets a service's learned rate limit in calls per second, 0 while there is none,
	// and the number of its waiting calls.
	Room(service ident.Service, rate float64, waiting int)
	// RoomRefused counts a refused call by reason.
	RoomRefused(service ident.Service, reason string)
	// SlotAsked counts an ask for a slot by outcome.
	SlotAsked(service ident.Service, outcome string)
	// TrySaved counts a retry that the budget did not allow.
	TrySaved(service ident.Service)
}

// Shared reports whether calls to a service are limited.
func (l *Limiters) Shared(service ident.Service) bool { return l.IsLimited(service) }

// serviceLimiter holds the queue, the learned rate limit and the retry budget of one service.
type serviceLimiter struct {
	gate    admit.Gate
	retries budget.Budget

	mu sync.Mutex
	// pressure is guarded by mu.
	pressure admit.Pressure
}

// limiterOf returns the limiter of a service; the first call creates it.
func (l *Limiters) limiterOf(service ident.Service) *serviceLimiter {
	if known, ok := l.byService.Load(service); ok {
		found, _ := known.(*serviceLimiter)
		return found
	}
	created := &serviceLimiter{}
	created.gate.Clock = l.Clock
	created.gate.Adaptive = &admit.AdaptiveLimiter{
		SlotShare: func() float64 { return l.slotShare(service) },
		InUse:     func(server ident.BackendName) bool { return l.inUse(service, server) },
	}
	created.gate.SetLimits(0, 0, maxWaiting)
	actual, _ := l.byService.LoadOrStore(service, created)
	found, _ := actual.(*serviceLimiter)
	return found
}

// slotShare returns this instance's even share of the slots of a service's usable servers.
func (l *Limiters) slotShare(service ident.Service) float64 {
	total := 0
	now := l.Clock.Mono()
	for _, s := range l.Pool.Servers(service) {
		if s.Usable(now) {
			total += s.Slots()
		}
	}
	return float64(total) / float64(max(l.Instances(), 1))
}

// inUse reports whether calls may go to a server of a service.
func (l *Limiters) inUse(service ident.Service, server ident.BackendName) bool {
	now := l.Clock.Mono()
	return slices.ContainsFunc(l.Pool.Servers(service), func(s *pool.Server) bool { return s.Name == server && s.Usable(now) })
}

// Enter waits until a call may start. On success the caller must call leave once. On a
// refusal it returns an error of kind NoCapacity with its RetryAfter.
func (l *Limiters) Enter(ctx context.Context, service ident.Service, request admit.Request) (leave func(), decision admit.Decision, err error) {
	if !l.Shared(service) {
		return func() {}, admit.Decision{Verdict: admit.Start, Reason: "the room is not shared out"}, nil
	}
	limiter := l.limiterOf(service)
	limiter.retries.Earn()
	leave, decision, err = l.enter(ctx, service, limiter, request)
	if l.Metrics != nil {
		l.Metrics.Room(service, decision.Rate, decision.Waiting)
	}
	if err == nil {
		return leave, decision, nil
	}
	if l.Metrics != nil {
		l.Metrics.RoomRefused(service, decision.Reason)
	}
	refused := fault.Wrap("limits.Enter", NoCapacity, err, "service "+string(service))
	refused.RetryAfter = decision.RetryAfter
	return nil, decision, refused
}

// enter asks for a slot while the service's servers are full. Otherwise, and if nobody hands out
// slots, the learned rate decides.
func (l *Limiters) enter(ctx context.Context, service ident.Service, limiter *serviceLimiter, request admit.Request) (leave func(), decision admit.Decision, err error) {
	if l.Slots == nil || !limiter.pressed(l.Clock.Mono()) {
		return limiter.gate.Enter(ctx, request)
	}
	decision, asked := l.Slots.Ask(ctx, service, request)
	if l.Metrics != nil {
		l.Metrics.SlotAsked(service, askOutcome(decision, asked))
	}
	switch {
	case !asked:
		return limiter.gate.Enter(ctx, request)
	case decision.Verdict == admit.Refuse:
		limiter.refused(l.Clock.Mono())
		return nil, decision, fault.New("limits.enter", NoCapacity, decision.Reason)
	default:
		limiter.gate.CountSend()
		return func() { l.Slots.End(admit.Signal{Grant: decision.Grant}) }, decision, nil
	}
}

// askOutcome returns the outcome of an ask for the metrics.
func askOutcome(decision admit.Decision, asked bool) string {
	if !asked {
		return "NoAnswer"
	}
	return string(decision.Verdict)
}

func (s *serviceLimiter) pressed(now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pressure.High(now)
}

func (s *serviceLimiter) refused(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pressure.Refused(now)
}

// Note updates the service's learned rate limit from a backend server's response, and ends the
// grant that it names. It does nothing if the service is not limited.
func (l *Limiters) Note(service ident.Service, s admit.Signal) {
	if !l.Shared(service) {
		return
	}
	limiter := l.limiterOf(service)
	limiter.gate.Observe(s)
	limiter.mu.Lock()
	limiter.pressure.Observe(l.Clock.Mono(), s)
	limiter.mu.Unlock()
	if s.Grant != 0 {
		l.Slots.End(s)
	}
}

// TryAgain takes one retry from the service's budget; it returns false if none is left.
// It always returns true if the service is not limited.
func (l *Limiters) TryAgain(service ident.Service) bool {
	if !l.Shared(service) || l.limiterOf(service).retries.Spend() {
		return true
	}
	if l.Metrics != nil {
		l.Metrics.TrySaved(service)
	}
	return false
}

// ComeBack returns the retry delay for an organisation's caller that was admitted but
// found the backend servers full; 0 if the service is not limited.
func (l *Limiters) ComeBack(service ident.Service, organisation ident.Organisation) clock.Millis {
	if !l.Shared(service) {
		return 0
	}
	return l.limiterOf(service).gate.RetryAfter(organisation)
}
