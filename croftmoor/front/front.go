// Package front serves the HTTP API for callers and trainers.
package front

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/calls"
	"croftmoor.dev/croftmoor/feed"
	"croftmoor.dev/croftmoor/gener"
	"croftmoor.dev/croftmoor/metric"
	"croftmoor.dev/croftmoor/refuse"
	"croftmoor.dev/kernel/admit"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/fold"
	"croftmoor.dev/kernel/gone"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/trail"
)

// Front serves the API. Set the exported fields before calling App.
type Front struct {
	Reader  *fold.Reader
	Calls   *calls.Caller
	Gen     *gener.Generator
	Feed    *feed.Feed
	Watcher *gone.Watcher
	Clock   *clock.Clock
	Trail   *trail.Trail
	Metrics *metric.Set
	// Instances returns the number of live instances, among which the limits of a
	// class are divided.
	Instances func() int

	// group runs the generations of streamed completions.
	group conc.WaitGroup
	// gates maps ident.Class to *admit.Gate.
	gates    sync.Map
	inFlight atomic.Int64
	draining atomic.Bool
}

// HTTP headers of requests and responses.
const (
	idHeader         = "X-Request-ID"
	deadlineHeader   = "Croft-Deadline-Millis"
	classHeader      = "Croft-Class"
	repeatableHeader = "Croft-Repeatable"
	issuedHeader     = "Croft-Issued-Millis"
	backendHeader    = "Croft-Backend"
)

const (
	defaultClass       = ident.Class("Default")
	defaultDeadline    = 10 * clock.Second
	maxDeadline        = 10 * clock.Minute
	maxIDBytes         = 128
	notReadyRetryAfter = 100 * clock.Millis(1)
	bodyLimit          = 16 << 20
	headerLimit        = 16 << 10
	readTimeout        = 30 * clock.Second
	idleTimeout        = 2 * clock.Minute
)

// App returns the HTTP application.
func (f *Front) App() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit: bodyLimit, ReadBufferSize: headerLimit,
		ReadTimeout: readTimeout.Duration(), IdleTimeout: idleTimeout.Duration(),
		ErrorHandler: f.handleError,
	})
	app.Use(f.track)
	app.Post("/v1/completions", f.complete)
	app.All("/svc/:service/*", f.call)
	app.Post("/v1/trainers/:trainer/steps", f.openStep)
	app.Post("/v1/trainers/:trainer/pull", f.pull)
	app.Post("/v1/trainers/:trainer/versions", f.publish)
	return app
}

// Drain makes Front refuse new requests. It does not wait for requests in flight.
func (f *Front) Drain() {
	f.draining.Store(true)
}

// InFlight returns the number of requests being served, including streamed
// responses.
func (f *Front) InFlight() int64 {
	return f.inFlight.Load()
}

// track counts requests in flight and refuses new ones while draining.
func (f *Front) track(c fiber.Ctx) error {
	if f.draining.Load() {
		c.Set(fiber.HeaderConnection, "close")
		return refuse.After("front", refuse.NotRun, "this instance is stopping", notReadyRetryAfter)
	}
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	return c.Next()
}

// requestInfo holds the values of a request's Croft headers and its ID, with
// defaults applied.
type requestInfo struct {
	id    ident.RequestID
	class ident.Class
	// deadline is in monotonic time.
	deadline clock.Millis
	// issued is the wall-clock time at which the ID was created, or 0 if unknown.
	issued clock.Millis
}

// readInfo reads the request's headers and sets the response's ID header.
func (f *Front) readInfo(c fiber.Ctx) (requestInfo, error) {
	info := requestInfo{id: ident.RequestID(cloneString(c.Get(idHeader))), class: ident.Class(cloneString(c.Get(classHeader)))}
	if info.id == "" {
		info.id = ident.RequestID(ident.NewRandom())
		info.issued = f.Clock.Now()
	}
	if len(info.id) > maxIDBytes {
		return info, refuse.New("front", refuse.Invalid, idHeader+" is longer than 128 bytes", "send a shorter id")
	}
	c.Set(idHeader, string(info.id))
	limit, limited := f.classLimit(info.class)
	timeout := defaultDeadline
	if limited {
		timeout = limit.Deadline
	} else {
		// Class names come from callers. Unconfigured ones share the default class,
		// so that callers cannot create gates and budgets without bound.
		info.class = defaultClass
	}
	requested, err := millisHeader(c, deadlineHeader, timeout)
	if err != nil {
		return info, err
	}
	info.deadline = f.Clock.Mono() + min(requested, maxDeadline)
	if info.issued == 0 {
		info.issued, err = millisHeader(c, issuedHeader, uuidTime(string(info.id)))
	}
	return info, err
}

// millisHeader parses a header in milliseconds. It returns fallback if the header
// is missing.
func millisHeader(c fiber.Ctx, name string, fallback clock.Millis) (clock.Millis, error) {
	text := c.Get(name)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value <= 0 {
		return 0, refuse.New("front", refuse.Invalid, name+" is "+strconv.Quote(text)+"; allowed: a whole number of milliseconds above 0", "correct the header")
	}
	return clock.Millis(value), nil
}

// cloneString copies a string that fiber returned, whose memory is reused after
// the handler returns.
func cloneString(text string) string {
	return string([]byte(text))
}

// classLimit returns the configured limit of a class, if any.
func (f *Front) classLimit(class ident.Class) (conf.Limit, bool) {
	state := f.Reader.Current()
	if state == nil {
		return conf.Limit{}, false
	}
	return state.Conf.Limit(class)
}

// withAdmission waits until the limits of the request's class admit it, then runs
// do. The context ends at the deadline or when the caller disconnects.
func (f *Front) withAdmission(c fiber.Ctx, info requestInfo, do func(ctx context.Context) error) error {
	ctx, stop := f.requestContext(c, info)
	defer stop()
	release, decision, err := f.admit(ctx, info)
	if err != nil {
		f.Trail.Add(trail.Decision{ID: string(info.id), Action: trail.Refuse, Choice: string(info.class), Reason: decision.Reason})
		return refuse.After("front.admit", refuse.NotRun, decision.Reason, decision.RetryAfter)
	}
	defer release()
	return do(ctx)
}

// requestContext returns a context that ends at the request's deadline or when the
// caller disconnects, and a function that releases it.
func (f *Front) requestContext(c fiber.Ctx, info requestInfo) (context.Context, func()) {
	remaining := info.deadline - f.Clock.Mono()
	ctx, cancel := context.WithTimeout(context.Background(), remaining.Duration())
	watched, stop := f.Watcher.Watch(ctx, c.RequestCtx().Conn())
	return watched, func() {
		stop()
		cancel()
	}
}

// admit waits until the limits of the request's class admit it. The returned
// function must be called when an admitted request ends.
func (f *Front) admit(ctx context.Context, info requestInfo) (func(), admit.Decision, error) {
	limit, limited := f.classLimit(info.class)
	if !limited {
		return func() {}, admit.Decision{Verdict: admit.Start}, nil
	}
	loaded, _ := f.gates.LoadOrStore(info.class, &admit.Gate{Clock: f.Clock})
	gate, _ := loaded.(*admit.Gate)
	n := max(f.Instances(), 1)
	gate.SetLimits(float64(limit.Rate)/float64(n), limitPerInstance(limit.Concurrency, n), limitPerInstance(limit.Queue, n))
	return gate.Enter(ctx, admit.Request{StartBy: info.deadline, Deadline: info.deadline})
}

// limitPerInstance divides a limit among the instances, rounding up.
func limitPerInstance(limit, instances int) int {
	return (limit + instances - 1) / instances
}

// refusalWire is the JSON encoding of a refuse.Error.
type refusalWire struct {
	ID               string
	Kind             string
	What             string
	Do               string
	RetryAfterMillis int64
}

// handleError writes an error as JSON, with the HTTP status and the Retry-After
// header of its kind.
func (f *Front) handleError(c fiber.Ctx, err error) error {
	var httpErr *fiber.Error
	if eris.As(err, &httpErr) {
		return c.Status(httpErr.Code).JSON(refusalWire{Kind: string(refuse.Invalid), What: httpErr.Message, Do: "see the API in docs/OPERATIONS.md"})
	}
	refusal := refuse.Of(err)
	f.Metrics.Refused(string(refusal.Kind))
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + clock.Second - 1) / clock.Second
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	return c.Status(statusOf(refusal.Kind)).JSON(f.refusalToWire(c, refusal))
}

func (f *Front) refusalToWire(c fiber.Ctx, r *refuse.Error) refusalWire {
	id := cloneString(string(c.Response().Header.Peek(idHeader)))
	what := r.What
	if r.Err != nil {
		what += ": " + r.Err.Error()
	}
	return refusalWire{ID: id, Kind: string(r.Kind), What: what, Do: r.Do, RetryAfterMillis: int64(r.RetryAfter)}
}

func statusOf(kind refuse.Kind) int {
	switch kind {
	case refuse.NotRun:
		return http.StatusServiceUnavailable
	case refuse.OutcomeUnknown:
		return http.StatusBadGateway
	case refuse.Late:
		return http.StatusGatewayTimeout
	case refuse.Invalid:
		return http.StatusBadRequest
	case refuse.StepUnknown:
		return http.StatusConflict
	case refuse.Denied:
		return http.StatusForbidden
	default:
		return http.StatusInternalServerError
	}
}

// service returns the configured service with this name, which must be of the
// given kind.
func (f *Front) service(name string, kind conf.ServiceKind) (conf.Service, error) {
	state := f.Reader.Current()
	if state == nil {
		return conf.Service{}, refuse.After("front", refuse.NotRun, "this instance has no configuration yet", notReadyRetryAfter)
	}
	service, ok := state.Conf.Service(ident.Service(name))
	if !ok || service.Kind != kind {
		return service, refuse.New("front", refuse.Invalid, "no "+string(kind)+" service named "+strconv.Quote(name)+" is configured",
			"name a configured service, or apply a file that declares it")
	}
	return service, nil
}

// decode decodes the JSON body of a request into a value.
func decode(c fiber.Ctx, into any) error {
	if err := json.Unmarshal(c.Body(), into); err != nil {
		return refuse.New("front", refuse.Invalid, "decoding the JSON body failed: "+err.Error(), "see the API in docs/OPERATIONS.md")
	}
	return nil
}
