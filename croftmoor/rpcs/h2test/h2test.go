// Package h2test serves what instances tell each other, for tests.
package h2test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"croftmoor.dev/croftmoor/rpcs"
	"croftmoor.dev/kernel/ident"
)

// Serve serves handler by HTTP/2 without TLS until the test ends, and returns its address.
func Serve(t testing.TB, handler http.Handler) ident.Address {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = rpcs.CleartextHTTP2()
	server.Start()
	t.Cleanup(server.Close)
	return ident.Address(strings.TrimPrefix(server.URL, "http://"))
}
