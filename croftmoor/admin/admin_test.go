package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fold"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/tail"
	"croftmoor.dev/kernel/trail"
)

// memoryLog is a log whose records are applied to reader immediately.
type memoryLog struct {
	reader *fold.Reader
	// unavailable makes appends fail with Refused.
	unavailable bool
	// lostAnswers is the number of successful appends to report as Unknown.
	lostAnswers int

	mu   sync.Mutex
	next ident.Offset
}

func (l *memoryLog) Append(_ context.Context, _ ident.Stream, data []byte) (ident.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return 0, fault.New("test", tail.Refused, "log unavailable")
	}
	l.next++
	l.reader.Apply(tail.Batch{First: 1, Next: l.next + 1, Records: []tail.Record{{Offset: l.next, Data: data}}})
	if l.lostAnswers > 0 {
		l.lostAnswers--
		return 0, fault.New("test", tail.Unknown, "answer lost")
	}
	return l.next, nil
}

func (*memoryLog) Read(context.Context, ident.Stream, ident.Offset, clock.Millis) (tail.Batch, error) {
	return tail.Batch{}, nil
}

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func newAdmin(operators ...Operator) (*Admin, *memoryLog) {
	reader := &fold.Reader{}
	reader.Apply(tail.Batch{First: 1, Next: 1})
	log := &memoryLog{reader: reader}
	c := clock.New()
	return &Admin{
		Reader: reader, Log: log, Clock: c, Trail: &trail.Trail{Log: zerolog.Nop(), Clock: c}, Operators: operators,
		Metrics: http.NotFoundHandler(), Status: func() any { return nil }, Ready: func() string { return "" }, Drain: func() {},
	}, log
}

// send sends a request and returns the status and the body of the response.
func send(t *testing.T, a *Admin, method, path, token, body string) (status int, text string) {
	t.Helper()
	request := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	answer, err := a.App().Test(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, string(data)
}

func assertResponse(t *testing.T, status int, text string, wantStatus int, wants ...string) {
	t.Helper()
	if status != wantStatus {
		t.Fatalf("status %d, want %d: %s", status, wantStatus, text)
	}
	for _, want := range wants {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in the body %s", want, text)
		}
	}
}

func changeBody(team string) string {
	data, err := json.Marshal(applyWire{Text: json.RawMessage(`{"Team":"` + team + `"}`)})
	if err != nil {
		panic(err)
	}
	return string(data)
}

func TestCredentials(t *testing.T) {
	a, _ := newAdmin(
		Operator{Name: "all", TokenHash: tokenHash("every"), Teams: []ident.Team{anyTeam}},
		Operator{Name: "one", TokenHash: tokenHash("mine"), Teams: []ident.Team{"t"}},
	)
	for name, c := range map[string]struct {
		method, path, token, body string
		status                    int
		want                      string
	}{
		"no token":                           {"GET", "/v1/teams", "", "", 403, "no operator has this token"},
		"a wrong token":                      {"GET", "/v1/teams", "guess", "", 403, "no operator has this token"},
		"health check without token":         {"GET", "/healthz", "", "", 200, "ok"},
		"apply to the operator's team":       {"POST", "/v1/teams/t/config", "mine", changeBody("t"), 200, "Accepted"},
		"read another team's file":           {"GET", "/v1/teams/u", "mine", "", 403, "no rights on team u"},
		"apply to another team":              {"POST", "/v1/teams/u/config", "mine", changeBody("u"), 403, "no rights on team u"},
		"operator of all teams":              {"POST", "/v1/teams/u/config", "every", changeBody("u"), 200, "Accepted"},
		"drain without rights on all teams":  {"POST", "/v1/drain", "mine", "", 403, "rights on all teams"},
		"restore while the state is present": {"POST", "/v1/restore", "every", "", 400, "holds the shared state"},
	} {
		t.Run(name, func(t *testing.T) {
			status, text := send(t, a, c.method, c.path, c.token, c.body)
			assertResponse(t, status, text, c.status, c.want)
			if c.token != "" && strings.Contains(text, c.token+`"`) {
				t.Error("the response contains the token")
			}
		})
	}
}

func TestApply(t *testing.T) {
	t.Run("an append with a lost answer is applied once", func(t *testing.T) {
		a, log := newAdmin()
		log.lostAnswers = 1
		status, text := send(t, a, "POST", "/v1/teams/t/config", "", changeBody("t"))
		assertResponse(t, status, text, 200, "Accepted")
		if log.next > 2 || a.Reader.Current().Conf.Teams["t"].Revision != 1 {
			t.Fatalf("%d records, revision %d", log.next, a.Reader.Current().Conf.Teams["t"].Revision)
		}
	})
	t.Run("a conflicting change is not appended", func(t *testing.T) {
		a, log := newAdmin()
		send(t, a, "POST", "/v1/teams/t/config", "", changeBody("t"))
		status, text := send(t, a, "POST", "/v1/teams/t/config", "", changeBody("t"))
		assertResponse(t, status, text, 200, "Conflict", "revision 1 by anyone is in force")
		if log.next != 1 {
			t.Fatalf("%d records", log.next)
		}
	})
	t.Run("a file of another team and invalid JSON are refused", func(t *testing.T) {
		a, _ := newAdmin()
		status, text := send(t, a, "POST", "/v1/teams/t/config", "", changeBody("u"))
		assertResponse(t, status, text, 200, "Refused", "$.Team")
		status, text = send(t, a, "POST", "/v1/teams/t/config", "", "{")
		assertResponse(t, status, text, 400, "not JSON")
	})
}
