package serve

import (
	"context"
	"net/http"

	"croftmoor.dev/croftmoor/guard"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/tail"
)

// handleGuard takes what other instances tell of requests that end servers.
func (i *Instance) handleGuard(mux *http.ServeMux) { guard.Handle(mux, i.guard) }

// peerAddresses returns where the other listed instances take calls.
func (i *Instance) peerAddresses() []ident.Address {
	var addresses []ident.Address
	for _, m := range i.fleet.View().Entries {
		if m.Name != string(i.self) {
			addresses = append(addresses, m.Peer)
		}
	}
	return addresses
}

// appendRetryDelay is the pause after an append that failed.
const appendRetryDelay = 300 * clock.Millis(1)

// logWriter appends records until the log has them; one that is there twice does no
// harm to who reads them.
type logWriter struct {
	log   tail.Log
	clock *clock.Clock
}

// Write appends records one after the other, and returns the offset of the last one.
func (w *logWriter) Write(ctx context.Context, stream ident.Stream, records ...[]byte) (ident.Offset, error) {
	var last ident.Offset
	for _, record := range records {
		for {
			offset, err := w.log.Append(ctx, stream, record)
			if err == nil {
				last = offset
				break
			}
			if !w.clock.Sleep(ctx, appendRetryDelay) {
				return 0, fault.Wrap("serve.Write", tail.Unknown, err, string(stream))
			}
		}
	}
	return last, nil
}
