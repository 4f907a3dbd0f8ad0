package calls

import (
	"context"
	"net"
	"testing"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/refuse"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/poison"
)

// localGuard is a Guard with the ends seen by one instance.
type localGuard struct {
	table *poison.Table
	clock *clock.Clock
}

func (g *localGuard) Quiet() bool { return g.table.Empty() }

func (g *localGuard) Held(r poison.Fingerprint) (remaining clock.Millis, reason string) {
	return g.table.Verdict(r, g.clock.Mono()).HeldFor, "held"
}

func (g *localGuard) Ended(r poison.Fingerprint, server ident.BackendName) {
	g.table.Ended(poison.End{Request: r, Server: server}, true, g.clock.Mono())
}

func (g *localGuard) Answered(r poison.Fingerprint) { g.table.Answered(r) }

// startCrashingServer starts a server that stops listening when it receives its first
// request.
func startCrashingServer(t *testing.T) ident.Address {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1))
		_ = listener.Close()
		_ = conn.Close()
	})
	t.Cleanup(func() { _ = listener.Close(); group.Wait() })
	return ident.Address(listener.Addr().String())
}

// Guards against a call that terminates servers being sent to further servers each time
// it is repeated.
func TestCallThatEndsServers(t *testing.T) {
	var addresses []ident.Address
	for range 6 {
		addresses = append(addresses, startCrashingServer(t))
	}
	c := newCaller(&fakeClaimer{}, addresses...)
	guard := &localGuard{table: poison.NewTable(), clock: c.Clock}
	c.Guard = guard
	r := newRequest(true)
	for range 3 {
		_, _ = c.Do(t.Context(), r)
	}
	_, err := c.Do(t.Context(), r)
	refusal := refuse.Of(err)
	if refusal.Kind != refuse.NotRun || refusal.RetryAfter < clock.Second {
		t.Errorf("error %v, want kind NotRun with RetryAfter of at least 1 s", err)
	}
	if v := guard.table.Verdict(r.fingerprint(), c.Clock.Mono()); v.Ends != poison.Threshold {
		t.Errorf("%d servers terminated, want %d", v.Ends, poison.Threshold)
	}
}
