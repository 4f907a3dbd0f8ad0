package proxy

import (
	"net"
	"net/http"
	"strconv"
	"testing"

	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
)

// newEndedBackend returns a server that is listed and has ended: nobody listens at its address.
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

// Three of four servers have ended and stay listed for 2 to 3 s. Calls that may go to two
// servers were refused when they met two of the three, though the fourth stood idle.
func TestServersThatEndedUseNoAttempt(t *testing.T) {
	good := newBackend(t, "good", http.StatusOK)
	const calls = 20
	served := 0
	for n := range calls {
		// A new proxy each time: one that knows the servers has left those that ended.
		p := newProxy(newEndedBackend(t, "a"), newEndedBackend(t, "b"), newEndedBackend(t, "c"), good)
		if call(t, p, "r"+strconv.Itoa(n), 2) == nil {
			served++
		}
	}
	if served != calls {
		t.Errorf("%d of %d calls were served, want all", served, calls)
	}
}
