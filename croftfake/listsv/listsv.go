// Package listsv simulates the platform's list of members. Changes become
// visible after a delay.
package listsv

import (
	"encoding/json"
	"slices"
	"strconv"
	"sync"

	"github.com/gofiber/fiber/v3"

	"croftmoor.dev/croftfake/stand"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fleet"
)

// Service is the simulated list. Set the exported fields before Run.
type Service struct {
	Listen string
	Clock  *clock.Clock
	// Lag is the time until a change becomes visible.
	Lag clock.Millis

	faults stand.Injector
	mu     sync.Mutex
	// changes are in order of visibleAt.
	changes []change
}

// change sets or removes a member from the monotonic time visibleAt on.
type change struct {
	visibleAt clock.Millis
	member    fleet.MemberWire
}

// Removed is the state of a member that is to be removed from the list.
const Removed = "Removed"

// Run serves until SIGINT or SIGTERM.
func (s *Service) Run() error {
	s.faults.Clock = s.Clock
	app := stand.NewApp()
	s.faults.Register(app)
	app.Post("/control/members", s.postMembers)
	app.Get("/members", s.getMembers)
	return stand.Serve(app, s.Listen)
}

func (s *Service) postMembers(c fiber.Ctx) error {
	var members []fleet.MemberWire
	if err := json.Unmarshal(c.Body(), &members); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	visibleAt := s.Clock.Mono() + s.Lag
	for _, m := range members {
		s.changes = append(s.changes, change{visibleAt: visibleAt, member: m})
	}
	return c.SendStatus(fiber.StatusOK)
}

func (s *Service) getMembers(c fiber.Ctx) error {
	if !s.faults.Admit(c.Context()) {
		return stand.RefuseNotRun(c, "the list is out")
	}
	members, tag := s.members()
	c.Set(fiber.HeaderETag, tag)
	if c.Get(fiber.HeaderIfNoneMatch) == tag {
		return c.SendStatus(fiber.StatusNotModified)
	}
	return c.JSON(fleet.ListWire{Members: members})
}

// members returns the visible list and its ETag, the number of visible changes.
func (s *Service) members() (shown []fleet.MemberWire, tag string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Mono()
	last := 0
	for i, ch := range s.changes {
		if ch.visibleAt > now {
			continue
		}
		last = i + 1
		shown = slices.DeleteFunc(shown, func(m fleet.MemberWire) bool { return m.Name == ch.member.Name })
		if ch.member.State != Removed {
			shown = append(shown, ch.member)
		}
	}
	return shown, strconv.Itoa(last)
}
