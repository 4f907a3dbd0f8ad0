// Package weight simulates the platform's weight store: trainers publish
// versions to it, and engines fetch them one at a time.
package weight

import (
	"encoding/json"
	"sync"

	"github.com/gofiber/fiber/v3"

	"croftmoor.dev/croftfake/stand"
	"croftmoor.dev/kernel/clock"
)

// Service is the simulated weight store. Set the exported fields before Run.
type Service struct {
	Listen string
	Clock  *clock.Clock
	// FetchTime is the duration of a fetch; concurrent fetches wait for each other.
	FetchTime clock.Millis

	faults stand.Injector
	mu     sync.Mutex
	newest map[string]int64
	// busyUntil is the monotonic time at which the last queued fetch ends.
	busyUntil clock.Millis
	fetches   int64
}

// Weights identifies a version of an adapter.
type Weights struct {
	Adapter string
	Version int64
}

// Newest lists the newest version of each adapter.
type Newest struct {
	Adapters []Weights
}

// Run serves until SIGINT or SIGTERM.
func (s *Service) Run() error {
	s.newest = map[string]int64{}
	s.faults.Clock = s.Clock
	app := stand.NewApp()
	s.faults.Register(app)
	app.Post("/publish", s.publish)
	app.Get("/newest", s.getNewest)
	app.Post("/fetch", s.fetch)
	return stand.Serve(app, s.Listen)
}

func (s *Service) publish(c fiber.Ctx) error {
	if !s.faults.Admit(c.Context()) {
		return stand.RefuseNotRun(c, "the weight store is out")
	}
	var w Weights
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	s.mu.Lock()
	s.newest[w.Adapter] = max(s.newest[w.Adapter], w.Version)
	s.mu.Unlock()
	return c.SendStatus(fiber.StatusOK)
}

func (s *Service) getNewest(c fiber.Ctx) error {
	if !s.faults.Admit(c.Context()) {
		return stand.RefuseNotRun(c, "the weight store is out")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list Newest
	for adapter, version := range s.newest {
		list.Adapters = append(list.Adapters, Weights{Adapter: adapter, Version: version})
	}
	return c.JSON(list)
}

// fetch answers when the earlier fetches and this one are complete. No weights
// are sent.
func (s *Service) fetch(c fiber.Ctx) error {
	if !s.faults.Admit(c.Context()) {
		return stand.RefuseNotRun(c, "the weight store is out")
	}
	s.mu.Lock()
	now := s.Clock.Mono()
	s.busyUntil = max(s.busyUntil, now) + s.FetchTime
	wait := s.busyUntil - now
	s.fetches++
	s.mu.Unlock()
	s.Clock.Sleep(c.Context(), wait)
	return c.SendStatus(fiber.StatusOK)
}
