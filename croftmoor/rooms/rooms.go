// Package rooms lets calls to plain services through as far as their servers have room:
// one queue and one learnt rate for each service at this instance, and a budget for further
// tries. The decisions are those of kernel/admit.
package rooms

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

// NoRoom means that the call was not let in.
const NoRoom Kind = "NoRoom"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// mostWaiting bounds the queue of a service: with a rate of 1,000 calls a second no more
// can start within a second.
const mostWaiting = 1024

// Rooms are the services' rooms. Set the exported fields before use.
type Rooms struct {
	Pool  *pool.Pool
	Clock *clock.Clock
	// Shares tells whether a service's room is shared out.
	Shares func(ident.Service) bool
	// Instances returns how many instances send to services, this one among them.
	Instances func() int
	// Counts may be nil.
	Counts Counts

	byService sync.Map
}

// Counts counts what operators watch.
type Counts interface {
	// Room tells a service's learnt rate in calls a second, 0 if there is none, and how
	// many calls wait for their turn.
	Room(service ident.Service, rate float64, waiting int)
	// RoomRefused counts a call that was not let in, by the reason.
	RoomRefused(service ident.Service, reason string)
	// TrySaved counts a further try that the budget did not allow.
	TrySaved(service ident.Service)
}

// Shared tells whether a service's room is shared out.
func (r *Rooms) Shared(service ident.Service) bool { return r.Shares(service) }

// room is one service's.
type room struct {
	gate  admit.Gate
	tries budget.Budget
}

func (r *Rooms) room(service ident.Service) *room {
	if known, ok := r.byService.Load(service); ok {
		found, _ := known.(*room)
		return found
	}
	made := &room{}
	made.gate.Clock = r.Clock
	made.gate.Adaptive = &admit.AdaptiveLimiter{
		SlotShare: func() float64 { return r.slots(service) },
		InUse:     func(server ident.BackendName) bool { return r.uses(service, server) },
	}
	made.gate.SetLimits(0, 0, mostWaiting)
	actual, _ := r.byService.LoadOrStore(service, made)
	found, _ := actual.(*room)
	return found
}

// slots returns this instance's even share of the slots of a service's usable servers.
func (r *Rooms) slots(service ident.Service) float64 {
	all := 0
	now := r.Clock.Mono()
	for _, s := range r.Pool.Servers(service) {
		if s.Usable(now) {
			all += s.Slots()
		}
	}
	return float64(all) / float64(max(r.Instances(), 1))
}

// uses tells whether calls go to a server of a service.
func (r *Rooms) uses(service ident.Service, server ident.BackendName) bool {
	now := r.Clock.Mono()
	return slices.ContainsFunc(r.Pool.Servers(service), func(s *pool.Server) bool { return s.Name == server && s.Usable(now) })
}

// Enter waits for a call's turn. On success the caller must call leave once. A refusal
// tells when to come back.
func (r *Rooms) Enter(ctx context.Context, service ident.Service, ask admit.Request) (leave func(), decision admit.Decision, err error) {
	if !r.Shared(service) {
		return func() {}, admit.Decision{Verdict: admit.Start, Reason: "the room is not shared out"}, nil
	}
	room := r.room(service)
	room.tries.Earn()
	leave, decision, err = room.gate.Enter(ctx, ask)
	if r.Counts != nil {
		r.Counts.Room(service, decision.Rate, decision.Waiting)
	}
	if err == nil {
		return leave, decision, nil
	}
	if r.Counts != nil {
		r.Counts.RoomRefused(service, decision.Reason)
	}
	refused := fault.Wrap("rooms.Enter", NoRoom, err, "service "+string(service))
	refused.RetryAfter = decision.RetryAfter
	return nil, decision, refused
}

// Note learns from a server's answer to a call.
func (r *Rooms) Note(service ident.Service, s admit.Signal) {
	if r.Shared(service) {
		r.room(service).gate.Observe(s)
	}
}

// TryAgain takes a further try of a call out of the budget; it reports false if that is
// used up.
func (r *Rooms) TryAgain(service ident.Service) bool {
	if !r.Shared(service) || r.room(service).tries.Spend() {
		return true
	}
	if r.Counts != nil {
		r.Counts.TrySaved(service)
	}
	return false
}

// ComeBack returns when a caller of an organisation should come back who was let in but found the servers
// full; 0 if the service's room is not shared out.
func (r *Rooms) ComeBack(service ident.Service, by ident.Organisation) clock.Millis {
	if !r.Shared(service) {
		return 0
	}
	return r.room(service).gate.RetryAfter(by)
}
