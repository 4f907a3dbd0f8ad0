package guard

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/sourcegraph/conc/pool"

	"croftmoor.dev/croftmoor/rpcs"
	"croftmoor.dev/kernel/ident"
)

const notifyPath = "/croftmoor.Guard/Tell"

// maxConcurrentCalls bounds the concurrent calls that notify peers of one record.
const maxConcurrentCalls = 8

// notifyWire carries a record to another instance.
type notifyWire struct {
	Record []byte
}

type notifyReplyWire struct{}

// notifyPeers sends a record to up to maxDirectPeers random instances.
func (g *Guard) notifyPeers(ctx context.Context, data []byte) {
	peers := slices.Clone(g.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	calls := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for _, peer := range peers[:min(len(peers), maxDirectPeers)] {
		calls.Go(func() { g.notifyPeer(ctx, peer, data) })
	}
	calls.Wait()
}

func (g *Guard) notifyPeer(ctx context.Context, peer ident.Address, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout.Duration())
	defer cancel()
	if _, err := rpcs.Call[notifyWire, notifyReplyWire](ctx, g.client, peer, notifyPath, &notifyWire{Record: data}); err != nil {
		g.Log.Info().Err(err).Str("Peer", string(peer)).Msg("instance not notified directly")
	}
}

// Handle registers the handler for records that other instances send directly.
func Handle(mux *http.ServeMux, g *Guard) {
	rpcs.Handle(mux, notifyPath, func(err error) error { return err }, func(_ context.Context, w *notifyWire) (*notifyReplyWire, error) {
		g.applyEncoded(w.Record, false, 0)
		return &notifyReplyWire{}, nil
	})
}
