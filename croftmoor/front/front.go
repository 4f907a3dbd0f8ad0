// Package front is the entry instance's port for callers and trainers.
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

// Front serves callers and trainers. Set the exported fields before Setup.
type Front struct {
	Reader  *fold.Reader
	Calls   *calls.Caller
	Gen     *gener.Generator
	Feed    *feed.Feed
	Watcher *gone.Watcher
	Clock   *clock.Clock
	Trail   *trail.Trail
	Metrics *metric.Set
	// Instances tells how many instances share the limits of a class.
	Instances func() int

	group    conc.WaitGroup
	gates    sync.Map
	inFlight atomic.Int64
	draining atomic.Bool
}

// Header names of requests and answers.
const (
	idHeader         = "X-Request-ID"
	deadlineHeader   = "Croft-Deadline-Millis"
	classHeader      = "Croft-Class"
	repeatableHeader = "Croft-Repeatable"
	issuedHeader     = "Croft-Issued-Millis"
	backendHeader    = "Croft-Backend"
)

const (
	defaultClass    = ident.Class("Default")
	defaultDeadline = 10 * clock.Second
	maxDeadline     = 10 * clock.Minute
	maxIDBytes      = 128
	drainRetryAfter = 100 * clock.Millis(1)
	bodyLimit       = 16 << 20
	headerLimit     = 16 << 10
	readTimeout     = 30 * clock.Second
	idleTimeout     = 2 * clock.Minute
)

// App returns the HTTP app.
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

// Drain refuses new requests from now on.
func (f *Front) Drain() {
	f.draining.Store(true)
}

// InFlight returns how many requests are being served.
func (f *Front) InFlight() int64 {
	return f.inFlight.Load()
}

// track counts requests in flight and refuses new ones while draining.
func (f *Front) track(c fiber.Ctx) error {
	if f.draining.Load() {
		c.Set(fiber.HeaderConnection, "close")
		return refuse.After("front", refuse.NotRun, "this instance is stopping", drainRetryAfter)
	}
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	return c.Next()
}

// requestInfo is what every request carries, with defaults.
type requestInfo struct {
	id       ident.RequestID
	class    ident.Class
	deadline clock.Millis
	issued   clock.Millis
}

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
		// Names of classes come from callers; only configured ones are kept apart.
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

func cloneString(text string) string {
	return string([]byte(text))
}

func (f *Front) classLimit(class ident.Class) (conf.Limit, bool) {
	state := f.Reader.Current()
	if state == nil {
		return conf.Limit{}, false
	}
	return state.Conf.Limit(class)
}

// withAdmission runs do once the class's limits let the request start. The context
// ends at the deadline or when the caller has gone.
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

func (f *Front) requestContext(c fiber.Ctx, info requestInfo) (context.Context, func()) {
	remaining := info.deadline - f.Clock.Mono()
	ctx, cancel := context.WithTimeout(context.Background(), remaining.Duration())
	watched, stop := f.Watcher.Watch(ctx, c.RequestCtx().Conn())
	return watched, func() {
		stop()
		cancel()
	}
}

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

// limitPerInstance divides a limit by the instances, rounding up.
func limitPerInstance(limit, instances int) int {
	return (limit + instances - 1) / instances
}

// refusalWire is the JSON form of a refusal.
type refusalWire struct {
	ID               string
	Kind             string
	What             string
	Do               string
	RetryAfterMillis int64
}

// handleError turns an error into its answer; it is the one place where refusals
// meet HTTP statuses.
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

// service finds a configured service of the wanted kind.
func (f *Front) service(name string, kind conf.ServiceKind) (conf.Service, error) {
	state := f.Reader.Current()
	if state == nil {
		return conf.Service{}, refuse.After("front", refuse.NotRun, "this instance has no configuration yet", drainRetryAfter)
	}
	service, ok := state.Conf.Service(ident.Service(name))
	if !ok || service.Kind != kind {
		return service, refuse.New("front", refuse.Invalid, "no "+string(kind)+" service named "+strconv.Quote(name)+" is configured",
			"name a configured service, or apply a file that declares it")
	}
	return service, nil
}

func decode(c fiber.Ctx, into any) error {
	if err := json.Unmarshal(c.Body(), into); err != nil {
		return refuse.New("front", refuse.Invalid, "the body is not the JSON that is expected: "+err.Error(), "see the API in docs/OPERATIONS.md")
	}
	return nil
}
