// Package stand contains what all simulated services share: an HTTP server that
// announces its address and stops on a signal, and faults that are set by a
// control request.
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

// announcement is the JSON line on standard output that contains the address.
type announcement struct {
	Listening string
}

const (
	bodyLimitBytes   = 64 << 20
	shutdownTimeout  = 2 * clock.Second
	hangPollInterval = 20 * clock.Millis(1)
)

// NewApp returns a fiber app for a simulated service.
func NewApp() *fiber.App {
	return fiber.New(fiber.Config{BodyLimit: bodyLimitBytes, StreamRequestBody: false})
}

// Serve listens on address, announces it and serves app until SIGINT or SIGTERM.
// The background functions run meanwhile; their context is then cancelled.
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
		return fault.Wrap("stand.Serve", Failed, err, "HTTP server stopped with an error")
	}
	return nil
}

// Announce writes the address to standard output for ParseAnnouncement.
func Announce(address string) error {
	line, err := json.Marshal(announcement{Listening: address})
	if err != nil {
		return fault.Wrap("stand.Announce", Failed, err, "cannot encode the address")
	}
	if _, err := fmt.Fprintln(os.Stdout, string(line)); err != nil {
		return fault.Wrap("stand.Announce", Failed, err, "cannot write the address to standard output")
	}
	return nil
}

// ParseAnnouncement returns the address in a line written by Announce, and
// whether there is one.
func ParseAnnouncement(line []byte) (string, bool) {
	var a announcement
	err := json.Unmarshal(line, &a)
	return a.Listening, err == nil && a.Listening != ""
}

// Faults are the faults of a simulated service. The zero value has none.
type Faults struct {
	// Out makes every request fail with status 503 before any effect.
	Out bool
	// DelayMillis delays every request.
	DelayMillis int64
	// LoseAnswers is the number of next requests that take effect and get no answer.
	LoseAnswers int
	// FailEvery makes every n-th request take effect and get no answer; 0 disables
	// it.
	FailEvery int
	// Hang holds requests until the fault is cleared.
	Hang bool
	// Draining makes every request fail as not run.
	Draining bool
}

// Injector injects the faults of a simulated service. Set Clock before use.
type Injector struct {
	Clock *clock.Clock

	mu     sync.Mutex
	faults Faults
	// requests is the number of requests that took effect.
	requests int
}

// Register adds the control route that sets the faults.
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

// Active returns the faults that are set.
func (s *Injector) Active() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Admit applies the faults that act before a request takes effect: Hang,
// DelayMillis and Out. It reports whether the request may proceed.
func (s *Injector) Admit(ctx context.Context) bool {
	for s.Active().Hang {
		if !s.Clock.Sleep(ctx, hangPollInterval) {
			return false
		}
	}
	f := s.Active()
	if f.DelayMillis > 0 {
		s.Clock.Sleep(ctx, clock.Millis(f.DelayMillis))
	}
	return !f.Out
}

// LoseAnswer counts a request that took effect, and reports whether to close its
// connection without an answer.
func (s *Injector) LoseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if s.faults.FailEvery > 0 && s.requests%s.faults.FailEvery == 0 {
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

// NotRunHeader marks a refusal of a request that had no effect.
const NotRunHeader = "Croft-Not-Run"

// RefuseNotRun refuses a request that had no effect, with status 503.
func RefuseNotRun(c fiber.Ctx, reason string) error {
	c.Set(NotRunHeader, "true")
	return c.Status(fiber.StatusServiceUnavailable).SendString(reason)
}

// Post sends a JSON body to a simulated service and returns the body of its
// answer. Any status but 200 is an error.
func Post(ctx context.Context, client *httpc.Client, address, path string, body any) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fault.Wrap("stand.Post", Failed, err, "cannot encode the body of "+path)
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
