// Package plain stands in for a plain service, some of whose calls may not be
// repeated. It counts how often each request id was run.
package plain

import (
	"sync"

	"github.com/gofiber/fiber/v3"

	"croftmoor.dev/croftfake/stand"
	"croftmoor.dev/kernel/clock"
)

// Service is one backend server. Set the exported fields before Run.
type Service struct {
	Listen string
	Name   string
	Clock  *clock.Clock
	// Delay is how long one call takes.
	Delay clock.Millis

	faults stand.Injector
	mu     sync.Mutex
	runs   map[string]int
	all    int64
}

// Result is the answer to a call. It names the request and the path.
type Result struct {
	ID     string
	Path   string
	Server string
	Run    int
}

// Runs tells how often ids were run at this server.
type Runs struct {
	All  int64
	ByID []IDRuns
}

// IDRuns is the number of runs of one id.
type IDRuns struct {
	ID   string
	Runs int
}

// Load is what the server reports of itself.
type Load struct {
	Running  int
	Draining bool
}

const idHeader = "X-Request-ID"

// Run serves until a signal.
func (s *Service) Run() error {
	s.runs = map[string]int{}
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
	s.runs[id]++
	s.all++
	run := s.runs[id]
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
	answer := Runs{All: s.all}
	for id, n := range s.runs {
		answer.ByID = append(answer.ByID, IDRuns{ID: id, Runs: n})
	}
	return c.JSON(answer)
}
