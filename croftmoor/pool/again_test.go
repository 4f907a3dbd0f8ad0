package pool

import (
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
)

func TestServerStartsAgain(t *testing.T) {
	c := clock.New()
	table := &fleet.Table{Clock: c}
	var given ident.Address
	p := &Pool{Fleet: table, Clock: c, Restarted: func(a ident.Address) { given = a }}
	list := func(born int64) *Server {
		table.Set([]fleet.Member{{
			Name: string(ident.NewBackend("s", born)), Kind: fleet.Backend, Service: "x", State: fleet.Live, Address: "1.2.3.4:5",
		}})
		p.Refresh()
		return p.Servers("x")[0]
	}
	first := list(1)
	for range 3 {
		first.Breaker.RecordFailure(c.Mono())
	}
	first.RecordLoad(Report{Running: 9}, c.Mono())
	ended := make(chan struct{})
	first.OnRestart(func() { close(ended) })
	t.Run("the same start keeps what is known of it", func(t *testing.T) {
		if list(1) != first || first.Usable(c.Mono()) {
			t.Error("the list is unchanged, but the server was replaced or is usable")
		}
	})
	// The server's clock was set back: the new start has the earlier time.
	second := list(0x10)
	t.Run("nothing that was known of the earlier start counts", func(t *testing.T) {
		if !second.Usable(c.Mono()) || second.Status(c.Mono()).EstimatedLoad != 0 {
			t.Error("the restarted server is not usable, or has the load of the earlier start")
		}
	})
	t.Run("what runs at the earlier start and connections to it are given up", func(t *testing.T) {
		<-ended
		if given != "1.2.3.4:5" {
			t.Errorf("Restarted got address %q, want 1.2.3.4:5", given)
		}
	})
}
