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

// localGuard is a guard of one instance.
type localGuard struct {
	table *poison.Table
	clock *clock.Clock
}

func (g *localGuard) Quiet() bool { return g.table.Empty() }

func (g *localGuard) Held(r poison.Fingerprint) (left clock.Millis, why string) {
	return g.table.Verdict(r, g.clock.Mono()).HeldFor, "held"
}

func (g *localGuard) Ended(r poison.Fingerprint, server ident.BackendName) {
	g.table.Ended(poison.End{Request: r, Server: server}, true, g.clock.Mono())
}

func (g *localGuard) Answered(r poison.Fingerprint) { g.table.Answered(r) }

// startCrashingServer returns a server that ends with the first request that it reads.
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

// The teams' own interface: a call that ended servers went to four more each time that it
// came again.
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
		t.Errorf("the call ended with %v, want that it has not run, and when to come back", err)
	}
	if v := guard.table.Verdict(r.fingerprint(), c.Clock.Mono()); v.Ends != poison.Threshold {
		t.Errorf("%d servers ended, want %d", v.Ends, poison.Threshold)
	}
}
