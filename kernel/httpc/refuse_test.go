package httpc

import (
	"net"
	"testing"

	"croftmoor.dev/kernel/ident"
)

func TestRefuses(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client, address := &Client{}, ident.Address(listener.Addr().String())
	if client.Refuses(t.Context(), address) {
		t.Error("a server that listens counts as ended")
	}
	if !client.Warm(address) {
		t.Error("the connection that was made to find out is not kept")
	}
	_ = listener.Close()
	if !client.Refuses(t.Context(), address) {
		t.Error("a server that has ended does not count as ended")
	}
}
