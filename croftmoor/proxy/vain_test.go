package proxy

import (
	"net"
	"net/http"
	"strconv"
	"testing"

	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
)

// newEndedBackend returns a server that is listed although its address refuses connections.
func newEndedBackend(t *testing.T, name string) *backend {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{member: fleet.Member{
		Name: name, Kind: fleet.Backend, Service: "plain", State: fleet.Live, Slots: 4, Address: ident.Address(listener.Addr().String()),
	}}
	_ = listener.Close()
	return b
}

// Guards against calls refused beside an idle server because servers that have exited but are
// still listed used up their attempts.
func TestServersThatEndedUseNoAttempt(t *testing.T) {
	good := newBackend(t, "good", http.StatusOK)
	const calls = 20
	served := 0
	for n := range calls {
		// A new proxy each time, since a proxy ejects servers that refuse connections.
		p := newProxy(newEndedBackend(t, "a"), newEndedBackend(t, "b"), newEndedBackend(t, "c"), good)
		if call(t, p, "r"+strconv.Itoa(n), 2) == nil {
			served++
		}
	}
	if served != calls {
		t.Errorf("%d of %d calls were served, want all", served, calls)
	}
}
