// Package admin serves the HTTP API for operators: configuration, status,
// decisions, drain, restore, health and metrics.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/rotisserie/eris"

	"croftmoor.dev/croftmoor/refuse"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fold"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/tail"
	"croftmoor.dev/kernel/trail"
)

// Operator is a user of the admin API.
type Operator struct {
	Name string
	// TokenHash is the SHA-256 hash of the operator's token, in hexadecimal.
	TokenHash string
	// Teams lists the teams whose configuration the operator may read and change.
	// "*" means all teams and also permits drain and restore.
	Teams []ident.Team
}

// anyTeam in Operator.Teams matches every team.
const anyTeam ident.Team = "*"

// Admin serves the admin API. Set the fields before calling App.
type Admin struct {
	Reader    *fold.Reader
	Log       tail.Log
	Clock     *clock.Clock
	Trail     *trail.Trail
	Operators []Operator
	// Metrics serves /metrics.
	Metrics http.Handler
	// Status returns the response of /v1/status, which is encoded as JSON.
	Status func() any
	// Ready returns the reason why the instance is not ready, or "" if it is.
	Ready func() string
	// Drain starts a graceful shutdown.
	Drain func()
}

const (
	bodyLimit         = 8 << 20
	applyTimeout      = 8 * clock.Second
	applyPollInterval = 20 * clock.Millis(1)
	appendTimeout     = 2 * clock.Second
	readTimeout       = 20 * clock.Second
	bearerPrefix      = "Bearer "
	operatorKey       = "Operator"
)

// App returns the HTTP application. /healthz, /readyz, /metrics and the status
// page need no token.
func (a *Admin) App() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: bodyLimit, ReadTimeout: readTimeout.Duration(), ErrorHandler: handleError})
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", a.readyz)
	app.Get("/metrics", adaptor.HTTPHandler(a.Metrics))
	app.Get("/", a.page)
	api := app.Group("/v1", a.authenticate)
	api.Get("/status", func(c fiber.Ctx) error { return c.JSON(a.Status()) })
	api.Get("/why/*", a.listDecisions)
	api.Post("/drain", a.drain)
	api.Post("/restore", a.restore)
	api.Get("/teams", a.listTeams)
	api.Get("/teams/:team", a.getTeam)
	api.Post("/teams/:team/config", a.apply)
	api.Get("/history", a.history)
	api.Get("/verdicts/:id", a.verdict)
	return app
}

func (a *Admin) readyz(c fiber.Ctx) error {
	if reason := a.Ready(); reason != "" {
		return c.Status(http.StatusServiceUnavailable).SendString(reason + "\n")
	}
	return c.SendString("ready\n")
}

// authenticate identifies the operator by the bearer token. If no operators are
// configured, every request is allowed and has access to all teams.
func (a *Admin) authenticate(c fiber.Ctx) error {
	if len(a.Operators) == 0 {
		fiber.Locals(c, operatorKey, Operator{Name: "anyone", Teams: []ident.Team{anyTeam}})
		return c.Next()
	}
	token, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	for _, operator := range a.Operators {
		if ok && subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(operator.TokenHash))) == 1 {
			fiber.Locals(c, operatorKey, operator)
			return c.Next()
		}
	}
	return refuse.New("admin", refuse.Denied, "no operator has this token", "send Authorization: Bearer TOKEN with a token whose hash is in the settings")
}

// operatorOf returns the operator that authenticate has stored in c.
func operatorOf(c fiber.Ctx) Operator {
	return fiber.Locals[Operator](c, operatorKey)
}

func (o Operator) mayAccess(team ident.Team) bool {
	return slices.Contains(o.Teams, anyTeam) || slices.Contains(o.Teams, team)
}

// teamOf returns the team in the request's path, or a Denied error if the operator
// has no access to it.
func teamOf(c fiber.Ctx) (ident.Team, error) {
	team := ident.Team(string([]byte(c.Params("team"))))
	if !operatorOf(c).mayAccess(team) {
		return "", refuse.New("admin", refuse.Denied, "operator "+operatorOf(c).Name+" has no rights on team "+string(team), "ask an operator of that team")
	}
	return team, nil
}

func (a *Admin) drain(c fiber.Ctx) error {
	if !operatorOf(c).mayAccess(anyTeam) {
		return refuse.New("admin", refuse.Denied, "draining an instance needs rights on all teams", "ask an operator with Teams [\"*\"]")
	}
	a.Drain()
	return c.SendStatus(http.StatusAccepted)
}

// restore appends a checkpoint without configuration, for use when the log has
// lost the shared state and no instance holds it. If several such checkpoints are
// appended, the first in the log takes effect.
func (a *Admin) restore(c fiber.Ctx) error {
	if !operatorOf(c).mayAccess(anyTeam) {
		return refuse.New("admin", refuse.Denied, "restoring needs rights on all teams", "ask an operator with Teams [\"*\"]")
	}
	if !a.Reader.StateMissing() {
		return refuse.New("admin.restore", refuse.Invalid, "this instance holds the shared state, or has not read the log to its end",
			"restore only when every instance says that it has no configuration")
	}
	ctx, cancel := context.WithTimeout(c.Context(), applyTimeout.Duration())
	defer cancel()
	batch, err := a.Log.Read(ctx, fold.Stream, 0, 0)
	if err != nil {
		return refuse.After("admin.restore", refuse.NotRun, "reading the platform's log failed", clock.Second)
	}
	record, err := fold.CheckpointRecord(fold.NewRecoveryState(batch.Next-1, a.Clock.Now()))
	if err != nil {
		return err
	}
	if _, err := a.Log.Append(ctx, fold.Stream, record); err != nil {
		return refuse.After("admin.restore", refuse.OutcomeUnknown, "the checkpoint may have been appended; see croftctl status", clock.Second)
	}
	return c.SendStatus(http.StatusAccepted)
}

// decisionWire is the JSON encoding of a trail.Decision.
type decisionWire struct {
	At       int64
	ID       string
	Action   string
	Choice   string
	RunnerUp string
	Reason   string
}

func (a *Admin) listDecisions(c fiber.Ctx) error {
	list := []decisionWire{}
	for _, d := range a.Trail.Decisions(c.Params("*")) {
		list = append(list, decisionWire{
			At: int64(d.At), ID: d.ID, Action: string(d.Action), Choice: d.Choice, RunnerUp: d.RunnerUp, Reason: d.Reason,
		})
	}
	return c.JSON(list)
}

// state returns the configuration, or a NotRun error if there is none yet.
func (a *Admin) state() (*conf.State, error) {
	state := a.Reader.Current()
	if state == nil {
		return nil, refuse.After("admin", refuse.NotRun, "this instance has no configuration yet: neither the log nor a peer has answered", clock.Second)
	}
	return state.Conf, nil
}

// teamWire is the JSON encoding of a team's active configuration file.
type teamWire struct {
	Team     string
	Revision int64
	By       string
	Text     json.RawMessage
}

func (a *Admin) listTeams(c fiber.Ctx) error {
	state, err := a.state()
	if err != nil {
		return err
	}
	list := []teamWire{}
	for team, entry := range state.Teams {
		if operatorOf(c).mayAccess(team) {
			list = append(list, teamWire{Team: string(team), Revision: int64(entry.Revision), By: entry.Author})
		}
	}
	slices.SortFunc(list, func(x, y teamWire) int { return strings.Compare(x.Team, y.Team) })
	return c.JSON(list)
}

func (a *Admin) getTeam(c fiber.Ctx) error {
	team, err := teamOf(c)
	if err != nil {
		return err
	}
	state, err := a.state()
	if err != nil {
		return err
	}
	entry, ok := state.Teams[team]
	if !ok {
		return c.JSON(teamWire{Team: string(team)})
	}
	return c.JSON(teamWire{Team: string(team), Revision: int64(entry.Revision), By: entry.Author, Text: entry.Text})
}

func (a *Admin) history(c fiber.Ctx) error {
	state, err := a.state()
	if err != nil {
		return err
	}
	list := []conf.VerdictWire{}
	for _, v := range state.Verdicts {
		if operatorOf(c).mayAccess(v.Team) {
			list = append(list, conf.VerdictToWire(v))
		}
	}
	return c.JSON(list)
}

func (a *Admin) verdict(c fiber.Ctx) error {
	state, err := a.state()
	if err != nil {
		return err
	}
	v, ok := state.VerdictOf(ident.RecordID(c.Params("id")))
	if !ok || !operatorOf(c).mayAccess(v.Team) {
		return refuse.After("admin.verdict", refuse.OutcomeUnknown, "no verdict on a change with this id yet", clock.Second)
	}
	return c.JSON(conf.VerdictToWire(v))
}

// applyWire is the JSON request of apply.
type applyWire struct {
	ID     string
	Base   int64
	By     string
	DryRun bool
	Text   json.RawMessage
}

// apply appends a configuration change to the log and returns its verdict, which
// is the same on all instances. Accepted is returned only after the record has
// been read back from the log.
func (a *Admin) apply(c fiber.Ctx) error {
	team, err := teamOf(c)
	if err != nil {
		return err
	}
	var w applyWire
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return refuse.New("admin.apply", refuse.Invalid, "the body is not JSON: "+err.Error(), "send ID, Base, By and Text")
	}
	change := conf.Change{ID: ident.RecordID(w.ID), Team: team, Base: ident.Revision(w.Base), Author: w.By, Text: slices.Clone(w.Text)}
	if change.ID == "" {
		change.ID = ident.RecordID(ident.NewRandom())
	}
	if change.Author == "" {
		change.Author = operatorOf(c).Name
	}
	expected, err := a.dryRun(change)
	if err != nil {
		return err
	}
	if w.DryRun || expected.Outcome != conf.Accepted {
		return c.JSON(conf.VerdictToWire(expected))
	}
	ctx, cancel := context.WithTimeout(c.Context(), applyTimeout.Duration())
	defer cancel()
	verdict, err := a.appendChange(ctx, change)
	if err != nil {
		return err
	}
	a.Trail.Add(trail.Decision{ID: string(change.ID), Action: trail.Config, Choice: string(verdict.Outcome), Reason: verdict.Reason})
	return c.JSON(conf.VerdictToWire(verdict))
}

// dryRun applies a change to a copy of this instance's state and returns the
// verdict, so that changes that would be rejected are not appended to the log.
func (a *Admin) dryRun(change conf.Change) (conf.Verdict, error) {
	state, err := a.state()
	if err != nil {
		return conf.Verdict{}, err
	}
	return state.Clone().Apply(change, ident.Offset(state.Revision()+1), a.Clock.Now()), nil
}

// appendChange appends a change and waits for its verdict. A failed append is
// retried even if it may have taken effect, since only the first record with the
// change's ID is applied. The instance must have a configuration state.
func (a *Admin) appendChange(ctx context.Context, change conf.Change) (conf.Verdict, error) {
	record, err := fold.ChangeRecord(change)
	if err != nil {
		return conf.Verdict{}, refuse.New("admin.apply", refuse.Invalid, err.Error(), "correct the file")
	}
	appended, maybeAppended := false, false
	for {
		if !appended {
			attemptCtx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
			_, err := a.Log.Append(attemptCtx, fold.Stream, record)
			cancel()
			appended = err == nil
			maybeAppended = maybeAppended || appended || fault.KindOf[tail.Kind](err) == tail.Unknown
		}
		if v, ok := a.Reader.Current().Conf.VerdictOf(change.ID); ok {
			return v, nil
		}
		if !a.Clock.Sleep(ctx, applyPollInterval) {
			return conf.Verdict{}, noVerdict(change, maybeAppended)
		}
	}
}

// noVerdict returns the error of a change whose verdict was not seen in time:
// NotRun if it is certainly not in the log.
func noVerdict(change conf.Change, maybeAppended bool) error {
	if !maybeAppended {
		return refuse.After("admin.apply", refuse.NotRun, "appending to the platform's log failed", 2*clock.Second)
	}
	return refuse.New("admin.apply", refuse.OutcomeUnknown, "the change may be in the platform's log but has not been read back",
		"find out with: croftctl outcome "+string(change.ID))
}

// refusalWire is the JSON encoding of a refuse.Error.
type refusalWire struct {
	Kind             string
	What             string
	Do               string
	RetryAfterMillis int64
}

// handleError writes an error as JSON, with the HTTP status of its kind.
func handleError(c fiber.Ctx, err error) error {
	var httpErr *fiber.Error
	if eris.As(err, &httpErr) {
		return c.Status(httpErr.Code).JSON(refusalWire{Kind: string(refuse.Invalid), What: httpErr.Message, Do: "see the administration API in docs/OPERATIONS.md"})
	}
	r := refuse.Of(err)
	status := http.StatusServiceUnavailable
	switch r.Kind {
	case refuse.Invalid:
		status = http.StatusBadRequest
	case refuse.Denied:
		status = http.StatusForbidden
	case refuse.OutcomeUnknown:
		status = http.StatusBadGateway
	case refuse.NotRun, refuse.Late, refuse.StepUnknown:
	}
	return c.Status(status).JSON(refusalWire{Kind: string(r.Kind), What: r.What, Do: r.Do, RetryAfterMillis: int64(r.RetryAfter)})
}
