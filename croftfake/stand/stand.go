// Package stand is what all stand-ins share: an HTTP server that announces its
// address and stops on a signal, and faults that a control request sets.
package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	Unlistenable Kind = "Unlistenable"
	Failed       Kind = "Failed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// announcement is the line on standard output that tells the address.
type announcement struct {
	Listening string
}

const (
	bodyLimit       = 64 << 20
	shutdownTimeout = 2 * clock.Second
	hangCheck       = 20 * clock.Millis(1)
)

// NewApp returns a fiber app for a stand-in.
func NewApp() *fiber.App {
	return fiber.New(fiber.Config{BodyLimit: bodyLimit, StreamRequestBody: false})
}

// Serve listens on address, announces it and serves app until a signal.
func Serve(app *fiber.App, address string, background ...func(context.Context)) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fault.Wrap("stand.Serve", Unlistenable, err, "cannot listen on "+address)
	}
	if err := Announce(listener.Addr().String()); err != nil {
		return err
	}
	var group conc.WaitGroup
	for _, run := range background {
		group.Go(func() { run(ctx) })
	}
	group.Go(func() {
		<-ctx.Done()
		_ = app.ShutdownWithTimeout(shutdownTimeout.Duration())
	})
	err = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	stop()
	group.Wait()
	if err != nil {
		return fault.Wrap("stand.Serve", Failed, err, "the server ended")
	}
	return nil
}

// Announce prints the address line.
func Announce(address string) error {
	line, err := json.Marshal(announcement{Listening: address})
	if err != nil {
		return fault.Wrap("stand.Announce", Failed, err, "")
	}
	if _, err := fmt.Fprintln(os.Stdout, string(line)); err != nil {
		return fault.Wrap("stand.Announce", Failed, err, "standard output")
	}
	return nil
}

// ParseAnnouncement reads an address line.
func ParseAnnouncement(line []byte) (string, bool) {
	var a announcement
	err := json.Unmarshal(line, &a)
	return a.Listening, err == nil && a.Listening != ""
}

// Faults is what a stand-in does wrong. Zero values are healthy.
type Faults struct {
	// Out makes every request fail with status 503 before any effect.
	Out bool
	// DelayMillis delays every answer.
	DelayMillis int64
	// LoseAnswers is how many requests take effect and get no answer.
	LoseAnswers int
	// FailEvery makes one request in so many fail after its effect; 0 none.
	FailEvery int
	// Hang keeps requests without answer until the fault is cleared.
	Hang bool
	// Draining makes requests be refused as not run.
	Draining bool
}

// Injector holds a stand-in's faults; guarded by mu.
type Injector struct {
	Clock *clock.Clock

	mu     sync.Mutex
	faults Faults
	count  int
}

// Register adds the control route.
func (s *Injector) Register(app *fiber.App) {
	app.Post("/control/faults", func(c fiber.Ctx) error {
		var faults Faults
		if err := json.Unmarshal(c.Body(), &faults); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		s.mu.Lock()
		s.faults = faults
		s.mu.Unlock()
		return c.SendStatus(fiber.StatusOK)
	})
}

// Active returns the faults in force.
func (s *Injector) Active() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Admit applies the faults that come before an effect. It reports whether the
// request may go on.
func (s *Injector) Admit(ctx context.Context) bool {
	for s.Active().Hang {
		if !s.Clock.Sleep(ctx, hangCheck) {
			return false
		}
	}
	f := s.Active()
	if f.DelayMillis > 0 {
		s.Clock.Sleep(ctx, clock.Millis(f.DelayMillis))
	}
	return !f.Out
}

// LoseAnswer tells whether the answer of a request that took effect is lost.
func (s *Injector) LoseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	if s.faults.FailEvery > 0 && s.count%s.faults.FailEvery == 0 {
		return true
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return true
	}
	return false
}

// CloseConn closes the request's connection without an answer.
func CloseConn(c fiber.Ctx) error {
	c.RequestCtx().HijackSetNoResponse(true)
	c.RequestCtx().Hijack(func(conn net.Conn) { _ = conn.Close() })
	return nil
}

// NotRunHeader marks a refusal as "not run".
const NotRunHeader = "Croft-Not-Run"

// RefuseNotRun answers that the request was not run.
func RefuseNotRun(c fiber.Ctx, why string) error {
	c.Set(NotRunHeader, "true")
	return c.Status(fiber.StatusServiceUnavailable).SendString(why)
}

// Post sends a JSON body to a stand-in and fails unless it answers 200.
func Post(ctx context.Context, client *httpc.Client, address, path string, body any) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fault.Wrap("stand.Post", Failed, err, "unencodable body")
	}
	call := &httpc.Call{Address: ident.Address(address), Method: fiber.MethodPost, Path: path, Body: data}
	answer, err := client.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	if answer.Status != fiber.StatusOK {
		return nil, httpc.StatusError(call, answer)
	}
	return answer.Body, nil
}
