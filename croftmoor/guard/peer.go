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

const tellPath = "/croftmoor.Guard/Tell"

// callsAtOnce bounds the calls to other instances that are under way.
const callsAtOnce = 8

// tellWire is a record for another instance.
type tellWire struct {
	Record []byte
}

type toldWire struct{}

// tellPeers tells other instances of a record directly.
func (g *Guard) tellPeers(ctx context.Context, data []byte) {
	peers := slices.Clone(g.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	calls := pool.New().WithMaxGoroutines(callsAtOnce)
	for _, at := range peers[:min(len(peers), mostDirect)] {
		calls.Go(func() { g.tellPeer(ctx, at, data) })
	}
	calls.Wait()
}

func (g *Guard) tellPeer(ctx context.Context, at ident.Address, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, directTerm.Duration())
	defer cancel()
	if _, err := rpcs.Call[tellWire, toldWire](ctx, g.client, at, tellPath, &tellWire{Record: data}); err != nil {
		g.Log.Info().Err(err).Str("Peer", string(at)).Msg("an instance was not told directly")
	}
}

// Handle takes what other instances tell directly.
func Handle(mux *http.ServeMux, g *Guard) {
	rpcs.Handle(mux, tellPath, func(err error) error { return err }, func(_ context.Context, w *tellWire) (*toldWire, error) {
		g.fold(w.Record, false, 0)
		return &toldWire{}, nil
	})
}
