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

// handleGuard registers the handler for the guard records that other instances send.
func (i *Instance) handleGuard(mux *http.ServeMux) { guard.Handle(mux, i.guard) }

// peerAddresses returns the peer addresses of the other listed instances.
func (i *Instance) peerAddresses() []ident.Address {
	var addresses []ident.Address
	for _, m := range i.fleet.View().Entries {
		if m.Name != string(i.self) {
			addresses = append(addresses, m.Peer)
		}
	}
	return addresses
}

// appendRetryDelay is the delay before a failed append is retried.
const appendRetryDelay = 300 * clock.Millis(1)

// logWriter appends records to the log and retries failed appends. An append whose outcome is
// unknown may be repeated, so readers must tolerate duplicate records.
type logWriter struct {
	log   tail.Log
	clock *clock.Clock
}

// Write appends records in order and returns the offset of the last one. It retries until
// ctx ends.
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
