// Package plain simulates a backend server of a service without a model. It
// counts how often each request ID was run, so that repeated runs of unrepeatable
// calls can be detected.
package plain

import (
	"sync"

	"github.com/gofiber/fiber/v3"

	"croftmoor.dev/croftfake/stand"
	"croftmoor.dev/kernel/clock"
)

// Service is a simulated backend server. Set the exported fields before Run.
type Service struct {
	Listen string
	Name   string
	Clock  *clock.Clock
	// Delay is the duration of a call.
	Delay clock.Millis

	faults    stand.Injector
	mu        sync.Mutex
	runsByID  map[string]int
	totalRuns int64
}

// Result is the answer to a call. Run is the number of runs of the request ID,
// including this one.
type Result struct {
	ID     string
	Path   string
	Server string
	Run    int
}

// Runs contains the number of runs, in total and of each request ID.
type Runs struct {
	All  int64
	ByID []IDRuns
}

// IDRuns is the number of runs of a request ID.
type IDRuns struct {
	ID   string
	Runs int
}

// Load is a load report.
type Load struct {
	Running  int
	Draining bool
}

const idHeader = "X-Request-ID"

// Run serves until SIGINT or SIGTERM.
func (s *Service) Run() error {
	s.runsByID = map[string]int{}
	s.faults.Clock = s.Clock
	app := stand.NewApp()
	s.faults.Register(app)
	app.Get("/control/runs", s.getRuns)
	app.Get("/load", func(c fiber.Ctx) error {
		return c.JSON(Load{Draining: s.faults.Active().Draining})
	})
	app.All("/*", s.call)
	return stand.Serve(app, s.Listen)
}

func (s *Service) call(c fiber.Ctx) error {
	if s.faults.Active().Draining {
		return stand.RefuseNotRun(c, "leaving")
	}
	if !s.faults.Admit(c.Context()) {
		return stand.RefuseNotRun(c, "out")
	}
	id := string([]byte(c.Get(idHeader)))
	s.mu.Lock()
	s.runsByID[id]++
	s.totalRuns++
	run := s.runsByID[id]
	s.mu.Unlock()
	s.Clock.Sleep(c.Context(), s.Delay)
	if s.faults.LoseAnswer() {
		return stand.CloseConn(c)
	}
	return c.JSON(Result{ID: id, Path: c.Path(), Server: s.Name, Run: run})
}

func (s *Service) getRuns(c fiber.Ctx) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := Runs{All: s.totalRuns}
	for id, n := range s.runsByID {
		answer.ByID = append(answer.ByID, IDRuns{ID: id, Runs: n})
	}
	return c.JSON(answer)
}
