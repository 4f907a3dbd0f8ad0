package peers

import (
	"context"
	"net"
	"net/http"

	"connectrpc.com/connect"

	"croftmoor.dev/croftmoor/rpcs"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fold"
)

// Procedures.
const (
	pingPath    = "/croftmoor.Peers/Ping"
	statePath   = "/croftmoor.Peers/State"
	claimPath   = "/croftmoor.Peers/Claim"
	recordPath  = "/croftmoor.Peers/Record"
	installPath = "/croftmoor.Peers/Install"
	settlePath  = "/croftmoor.Peers/Settle"
	openPath    = "/croftmoor.Peers/Open"
	pullPath    = "/croftmoor.Peers/Pull"
	notePath    = "/croftmoor.Peers/Note"
	publishPath = "/croftmoor.Peers/Publish"
)

// Server answers the calls of other instances. Set the fields before Run.
type Server struct {
	Reader          *fold.Reader
	Shards          Shards
	Feeder          Feeder
	VersionRecorder VersionRecorder
	// Heartbeat returns this instance's heartbeat.
	Heartbeat func() Heartbeat
	// OnHeartbeat is called with the heartbeat of a peer that pings.
	OnHeartbeat func(Heartbeat)
	// RegisterMore registers the procedures of other packages; it may be nil.
	RegisterMore func(*http.ServeMux)
}

const headerTimeout = 5 * clock.Second

// Run serves on listener until ctx ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerTimeout.Duration(), Protocols: rpcs.CleartextHTTP2()}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return fault.Wrap("peers.Run", Unreachable, err, "the peer port's server stopped")
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, pingPath, func(_ context.Context, w *heartbeatWire) (*heartbeatWire, error) {
		s.OnHeartbeat(heartbeatFromWire(*w))
		answer := heartbeatToWire(s.Heartbeat())
		return &answer, nil
	})
	handle(mux, statePath, func(context.Context, *emptyWire) (*stateWire, error) { return s.state() })
	handle(mux, claimPath, func(ctx context.Context, w *claimWire) (*entryWire, error) {
		entry, err := s.Shards.ClaimHere(ctx, claimFromWire(*w))
		answer := entryToWire(entry)
		return &answer, err
	})
	handle(mux, recordPath, func(_ context.Context, w *recordWire) (*emptyWire, error) {
		return &emptyWire{}, s.Shards.RecordHere(recordFromWire(*w))
	})
	handle(mux, installPath, func(_ context.Context, w *installWire) (*emptyWire, error) {
		return &emptyWire{}, s.Shards.InstallHere(installFromWire(*w))
	})
	handle(mux, settlePath, func(ctx context.Context, w *settleWire) (*emptyWire, error) {
		return &emptyWire{}, s.Shards.SettleHere(ctx, settleFromWire(*w))
	})
	s.handleTrainerCalls(mux)
	if s.RegisterMore != nil {
		s.RegisterMore(mux)
	}
	return mux
}

func (s *Server) handleTrainerCalls(mux *http.ServeMux) {
	handle(mux, openPath, func(ctx context.Context, w *openWire) (*emptyWire, error) {
		open, err := openFromWire(*w)
		if err != nil {
			return nil, err
		}
		return &emptyWire{}, s.Feeder.OpenHere(ctx, open)
	})
	handle(mux, pullPath, func(ctx context.Context, w *pullWire) (*pulledWire, error) {
		pull, err := pullFromWire(*w)
		if err != nil {
			return nil, err
		}
		pulled, err := s.Feeder.PullHere(ctx, pull)
		answer := pulledToWire(pulled)
		return &answer, err
	})
	handle(mux, notePath, func(_ context.Context, w *observedVersionWire) (*emptyWire, error) {
		s.VersionRecorder.Note(observedVersionFromWire(*w))
		return &emptyWire{}, nil
	})
	handle(mux, publishPath, func(_ context.Context, w *publicationWire) (*emptyWire, error) {
		s.Feeder.PublishHere(publicationFromWire(*w))
		return &emptyWire{}, nil
	})
}

func (s *Server) state() (*stateWire, error) {
	current := s.Reader.Current()
	if current == nil {
		return nil, connect.NewError(connect.CodeUnavailable, fault.New("peers.State", Unreachable, "this instance has no shared state yet"))
	}
	data, err := fold.EncodeState(current)
	return &stateWire{State: data}, err
}

// handle registers one procedure; its errors are converted by toConnect.
func handle[Q, A any](mux *http.ServeMux, path string, do func(context.Context, *Q) (*A, error)) {
	rpcs.Handle(mux, path, toConnect, do)
}
