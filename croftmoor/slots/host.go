package slots

import (
	"context"
	"sync"

	"croftmoor.dev/kernel/admit"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// Host hands out the slots of the servers in this instance's zone to whoever asks. Set the
// exported fields before use.
type Host struct {
	Zone    ident.Zone
	Servers Servers
	Clock   *clock.Clock

	mu       sync.Mutex
	services map[ident.Service]*hosted
}

// hosted is a service whose slots are handed out.
type hosted struct {
	gate admit.AllocatorGate

	mu          sync.Mutex
	refreshedAt clock.Millis
	count       int
}

// Enter waits until the request may start at a server. On a refusal it returns an error of
// kind admit.Refused and the decision.
func (h *Host) Enter(ctx context.Context, service ident.Service, request admit.Request) (admit.Decision, error) {
	hosted := h.hosted(service)
	if hosted.refresh(h, service) == 0 {
		return admit.Decision{}, fault.New("slots.Enter", NoServers, "no server of "+string(service)+" is known in "+string(h.Zone))
	}
	return hosted.gate.Enter(ctx, request)
}

// End ends a grant with what the server's response showed.
func (h *Host) End(service ident.Service, s admit.Signal) {
	h.hosted(service).gate.End(s.Grant, s)
}

func (h *Host) hosted(service ident.Service) *hosted {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.services == nil {
		h.services = map[ident.Service]*hosted{}
	}
	if h.services[service] == nil {
		h.services[service] = &hosted{gate: admit.AllocatorGate{Clock: h.Clock}, refreshedAt: -refreshPeriod}
	}
	return h.services[service]
}

// refresh looks at the servers of the service, if that is due, and returns their number.
func (s *hosted) refresh(h *Host, service ident.Service) int {
	now := h.Clock.Mono()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.refreshedAt < refreshPeriod {
		return s.count
	}
	slots := h.Servers.usableSlots(service, h.Zone, now)
	s.refreshedAt, s.count = now, len(slots)
	s.gate.SetServers(slots, maxQueued)
	return s.count
}
