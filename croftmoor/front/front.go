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
	drainRetry      = 100 * clock.Millis(1)
	bodyLimit       = 16 << 20
	headerLimit     = 16 << 10
	headTimeout     = 30 * clock.Second
	idleTimeout     = 2 * clock.Minute
)

// App returns the HTTP app.
func (f *Front) App() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit: bodyLimit, ReadBufferSize: headerLimit,
		ReadTimeout: headTimeout.Duration(), IdleTimeout: idleTimeout.Duration(),
		ErrorHandler: f.onError,
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
		return refuse.After("front", refuse.NotRun, "this instance is stopping", drainRetry)
	}
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	return c.Next()
}

// head is what every request carries, with defaults.
type head struct {
	id       ident.RequestID
	class    ident.Class
	deadline clock.Millis
	issued   clock.Millis
}

func (f *Front) head(c fiber.Ctx) (head, error) {
	h := head{id: ident.RequestID(copied(c.Get(idHeader))), class: ident.Class(copied(c.Get(classHeader)))}
	if h.id == "" {
		h.id = ident.RequestID(ident.NewRandom())
		h.issued = f.Clock.Now()
	}
	if len(h.id) > maxIDBytes {
		return h, refuse.New("front", refuse.Invalid, idHeader+" is longer than 128 bytes", "send a shorter id")
	}
	c.Set(idHeader, string(h.id))
	limit, limited := f.limit(h.class)
	span := defaultDeadline
	if limited {
		span = limit.Deadline
	} else {
		// Names of classes come from callers; only configured ones are kept apart.
		h.class = defaultClass
	}
	asked, err := millis(c, deadlineHeader, span)
	if err != nil {
		return h, err
	}
	h.deadline = f.Clock.Mono() + min(asked, maxDeadline)
	if h.issued == 0 {
		h.issued, err = millis(c, issuedHeader, issuedOf(string(h.id)))
	}
	return h, err
}

func millis(c fiber.Ctx, name string, fallback clock.Millis) (clock.Millis, error) {
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

func copied(text string) string {
	return string([]byte(text))
}

func (f *Front) limit(class ident.Class) (conf.Limit, bool) {
	state := f.Reader.Current()
	if state == nil {
		return conf.Limit{}, false
	}
	return state.Conf.Limit(class)
}

// admitted runs do once the class's limits let the request start. The context
// ends at the deadline or when the caller has gone.
func (f *Front) admitted(c fiber.Ctx, h head, do func(ctx context.Context) error) error {
	ctx, stop := f.contextOf(c, h)
	defer stop()
	leave, decision, err := f.enter(ctx, h)
	if err != nil {
		f.Trail.Add(trail.Decision{ID: string(h.id), Action: trail.Refuse, Choice: string(h.class), Reason: decision.Reason})
		return refuse.After("front.admit", refuse.NotRun, decision.Reason, decision.RetryAfter)
	}
	defer leave()
	return do(ctx)
}

func (f *Front) contextOf(c fiber.Ctx, h head) (context.Context, func()) {
	left := h.deadline - f.Clock.Mono()
	ctx, cancel := context.WithTimeout(context.Background(), left.Duration())
	watched, stop := f.Watcher.Watch(ctx, c.RequestCtx().Conn())
	return watched, func() {
		stop()
		cancel()
	}
}

func (f *Front) enter(ctx context.Context, h head) (func(), admit.Decision, error) {
	limit, limited := f.limit(h.class)
	if !limited {
		return func() {}, admit.Decision{Verdict: admit.Start}, nil
	}
	made, _ := f.gates.LoadOrStore(h.class, &admit.Gate{Clock: f.Clock})
	gate, _ := made.(*admit.Gate)
	n := max(f.Instances(), 1)
	gate.SetLimits(float64(limit.Rate)/float64(n), share(limit.Concurrency, n), share(limit.Queue, n))
	return gate.Enter(ctx, admit.Request{StartBy: h.deadline, Deadline: h.deadline})
}

// share divides a limit by the instances, rounding up.
func share(limit, instances int) int {
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

// onError turns an error into its answer; it is the one place where refusals
// meet HTTP statuses.
func (f *Front) onError(c fiber.Ctx, err error) error {
	var routing *fiber.Error
	if eris.As(err, &routing) {
		return c.Status(routing.Code).JSON(refusalWire{Kind: string(refuse.Invalid), What: routing.Message, Do: "see the API in docs/OPERATIONS.md"})
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
	id := copied(string(c.Response().Header.Peek(idHeader)))
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
		return conf.Service{}, refuse.After("front", refuse.NotRun, "this instance has no configuration yet", drainRetry)
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
