package calls

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/croftmoor/refuse"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/once"
	"croftmoor.dev/kernel/route"
	"croftmoor.dev/kernel/trail"
)

// fakeClaimer returns entry if set, fails with NotReady if notReady is set, and
// grants every claim otherwise. Settle waits for settleGate, if set, and records
// the outcome.
type fakeClaimer struct {
	notReady   bool
	entry      *once.Entry
	settleGate chan struct{}

	mu      sync.Mutex
	settled []once.Outcome
}

func (*fakeClaimer) NewAttempt() int64                   { return 1 }
func (*fakeClaimer) RunnerAlive(ident.InstanceName) bool { return false }
func (c *fakeClaimer) Claim(_ context.Context, r once.Request) (once.Entry, error) {
	if c.notReady {
		return once.Entry{}, fault.New("test", once.NotReady, "no backup")
	}
	if c.entry != nil {
		return *c.entry, nil
	}
	return once.Entry{ID: r.ID, Status: once.Granted, Runner: r.Runner, Attempt: r.Attempt}, nil
}

func (c *fakeClaimer) Settle(_ context.Context, s once.Settlement) {
	if c.settleGate != nil {
		<-c.settleGate
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settled = append(c.settled, s.Outcome)
}

// startServer starts a server that reads one request from each connection, writes
// text and closes the connection.
func startServer(t *testing.T, text string) ident.Address {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_ = request.Body.Close()
				_, _ = conn.Write([]byte(text))
			}
			_ = conn.Close()
		}
	})
	t.Cleanup(func() { _ = listener.Close(); group.Wait() })
	return ident.Address(listener.Addr().String())
}

const (
	okResponse        = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	notRunResponse    = "HTTP/1.1 503 Out\r\nCroft-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
	truncatedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"
	noResponse        = ""
)

// unreachableAddress returns an address that refuses connections.
func unreachableAddress(t *testing.T) ident.Address {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return ident.Address(listener.Addr().String())
}

func newCaller(c *fakeClaimer, addresses ...ident.Address) *Caller {
	clk := clock.New()
	table := &fleet.Table{Clock: clk}
	members := make([]fleet.Member, 0, len(addresses))
	for i, address := range addresses {
		members = append(members, fleet.Member{
			Name: string(rune('a' + i)), Kind: fleet.Backend, Service: "s", Address: address, State: fleet.Live,
		})
	}
	table.Set(members)
	p := &pool.Pool{Fleet: table, Clock: clk}
	p.Refresh()
	return &Caller{Self: "self", Pool: p, Claimer: c, Clock: clk, Trail: &trail.Trail{Log: zerolog.Nop(), Clock: clk}}
}

func newRequest(repeatable bool) Request {
	return Request{
		ID: "x", Service: conf.Service{Name: "s", Kind: conf.Plain, Slots: 4, Policy: route.RoundRobin},
		Method: http.MethodPost, Path: "/hold", Repeatable: repeatable,
	}
}

// assertRefusal runs the call and checks the kind of its error; "" means success.
func assertRefusal(t *testing.T, c *Caller, r Request, want refuse.Kind) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), (5 * clock.Second).Duration())
	defer cancel()
	_, err := c.Do(ctx, r)
	if want == "" {
		if err != nil {
			t.Fatal(err)
		}
		return
	}
	if got := refuse.Of(err).Kind; err == nil || got != want {
		t.Fatalf("error %v, want kind %s", err, want)
	}
}

func assertSettled(t *testing.T, caller *Caller, c *fakeClaimer, want once.Outcome) {
	t.Helper()
	caller.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.settled) != 1 || c.settled[0] != want {
		t.Fatalf("settled outcomes %v, want exactly one %s", c.settled, want)
	}
}

func TestUnrepeatable(t *testing.T) {
	for name, c := range map[string]struct {
		servers []string
		want    refuse.Kind
		settled once.Outcome
	}{
		"answered by the first server":                   {[]string{okResponse}, "", once.Ran},
		"refused by the first server, run by the second": {[]string{notRunResponse, okResponse}, "", once.Ran},
		"refused by all servers":                         {[]string{notRunResponse, notRunResponse}, refuse.NotRun, once.DidNotRun},
		"no response: not retried":                       {[]string{noResponse, noResponse}, refuse.OutcomeUnknown, once.CannotTell},
		"truncated response: not retried":                {[]string{truncatedResponse, truncatedResponse}, refuse.OutcomeUnknown, once.CannotTell},
	} {
		t.Run(name, func(t *testing.T) {
			var addresses []ident.Address
			for _, text := range c.servers {
				addresses = append(addresses, startServer(t, text))
			}
			claims := &fakeClaimer{}
			caller := newCaller(claims, addresses...)
			assertRefusal(t, caller, newRequest(false), c.want)
			assertSettled(t, caller, claims, c.settled)
		})
	}
	t.Run("unreachable servers", func(t *testing.T) {
		claims := &fakeClaimer{}
		caller := newCaller(claims, unreachableAddress(t), unreachableAddress(t))
		assertRefusal(t, caller, newRequest(false), refuse.NotRun)
		assertSettled(t, caller, claims, once.DidNotRun)
	})
	t.Run("a failed claim is refused without waiting for the settlement", func(t *testing.T) {
		claims := &fakeClaimer{notReady: true, settleGate: make(chan struct{})}
		caller := newCaller(claims, unreachableAddress(t))
		assertRefusal(t, caller, newRequest(false), refuse.NotRun)
		close(claims.settleGate)
		assertSettled(t, caller, claims, once.DidNotRun)
	})
	t.Run("a repeated ID gets the stored response", func(t *testing.T) {
		claims := &fakeClaimer{entry: &once.Entry{Status: once.Done, Answer: once.Answer{Status: 200, Body: []byte("first")}}}
		answer, err := newCaller(claims).Do(context.Background(), newRequest(false))
		if err != nil || string(answer.Body) != "first" {
			t.Fatalf("%s %v", answer.Body, err)
		}
	})
	t.Run("a repeated ID granted to a dead instance: OutcomeUnknown", func(t *testing.T) {
		claims := &fakeClaimer{entry: &once.Entry{Status: once.Granted, Runner: "dead"}}
		assertRefusal(t, newCaller(claims), newRequest(false), refuse.OutcomeUnknown)
	})
}

func TestRepeatable(t *testing.T) {
	t.Run("a lost response is retried", func(t *testing.T) {
		assertRefusal(t, newCaller(nil, startServer(t, noResponse), startServer(t, okResponse)), newRequest(true), "")
	})
	t.Run("the retry budget limits retries", func(t *testing.T) {
		caller := newCaller(nil, startServer(t, noResponse), startServer(t, noResponse), startServer(t, noResponse), startServer(t, noResponse))
		assertRefusal(t, caller, newRequest(true), refuse.OutcomeUnknown)
		retries := 0
		for _, d := range caller.Trail.Decisions("x") {
			if d.Action == trail.Retry {
				retries++
			}
		}
		if retries != 1 {
			t.Fatalf("%d retries, want the 1 that the budget allows", retries)
		}
	})
}
