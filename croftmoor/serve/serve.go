package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/admin"
	"croftmoor.dev/croftmoor/calls"
	"croftmoor.dev/croftmoor/engine"
	"croftmoor.dev/croftmoor/feed"
	"croftmoor.dev/croftmoor/front"
	"croftmoor.dev/croftmoor/gener"
	"croftmoor.dev/croftmoor/guard"
	"croftmoor.dev/croftmoor/home"
	"croftmoor.dev/croftmoor/keeper"
	"croftmoor.dev/croftmoor/metric"
	"croftmoor.dev/croftmoor/peers"
	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/fold"
	"croftmoor.dev/kernel/gone"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/tail"
	"croftmoor.dev/kernel/trail"
)

// Instance is one entry instance. Set Config and Out before Run.
type Instance struct {
	Config *Config
	// Out receives one JSON line with the listen addresses; LogOutput receives the log.
	Out       io.Writer
	LogOutput io.Writer

	self   ident.InstanceName
	clock  *clock.Clock
	log    zerolog.Logger
	tail   tail.Client
	reader *fold.Reader
	tailer *tail.Tailer
	// watched is the log as readers use it: reads that it dropped end.
	watched *tail.Watched
	// logReadAt is when the log last answered, in milliseconds of the monotonic clock.
	logReadAt atomic.Int64
	fleet     *fleet.Table
	client    *peers.Client
	health    *peers.Health
	home      *home.Home
	pool      *pool.Pool
	calls     *calls.Caller
	guard     *guard.Guard
	feed      *feed.Feed
	keeper    *keeper.Keeper
	front     *front.Front
	admin     *admin.Admin
	metrics   *metric.Set
	watcher   *gone.Watcher
	draining  atomic.Bool
	drain     chan struct{}
	// notifications waits for the calls that sendObservedVersion starts.
	notifications conc.WaitGroup
}

// addressesWire is the JSON line with the listen addresses.
type addressesWire struct {
	Instance string
	Callers  string
	Peers    string
	Admin    string
}

type listeners struct {
	callers net.Listener
	peers   net.Listener
	admin   net.Listener
}

// Run serves until ctx ends or a drain is requested, then shuts down gracefully: it takes no
// new work, finishes what is in flight and hands over its shards.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.build(); err != nil {
		return err
	}
	ports, err := i.listen()
	if err != nil {
		return err
	}
	if err := i.printAddresses(ports); err != nil {
		return err
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var group conc.WaitGroup
	i.start(work, &group, ports)
	select {
	case <-ctx.Done():
	case <-i.drain:
	}
	i.shutDown()
	i.calls.Wait()
	i.notifications.Wait()
	stop()
	i.feed.Stop()
	group.Wait()
	i.log.Info().Msg("stopped")
	return nil
}

func (i *Instance) listen() (listeners, error) {
	var ports listeners
	for _, p := range []struct {
		into    *net.Listener
		address string
		name    string
	}{
		{&ports.callers, i.Config.Callers, "Listen.Callers"},
		{&ports.peers, i.Config.Peers, "Listen.Peers"},
		{&ports.admin, i.Config.Admin, "Listen.Admin"},
	} {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", p.address)
		if err != nil {
			wrapped := fault.Wrap("serve.listen", Startup, err, p.name+" "+p.address+" cannot be listened on")
			wrapped.Do = "free the port or change the setting"
			return ports, wrapped
		}
		*p.into = listener
	}
	return ports, nil
}

// printAddresses writes the listen addresses to Out.
func (i *Instance) printAddresses(ports listeners) error {
	line, err := json.Marshal(addressesWire{
		Instance: string(i.self), Callers: ports.callers.Addr().String(),
		Peers: ports.peers.Addr().String(), Admin: ports.admin.Addr().String(),
	})
	if err == nil {
		_, err = fmt.Fprintln(i.Out, string(line))
	}
	if err != nil {
		return fault.Wrap("serve.printAddresses", Startup, err, "cannot write the listen addresses to standard output")
	}
	return nil
}

func (i *Instance) start(ctx context.Context, group *conc.WaitGroup, ports listeners) {
	i.feed.Setup(ctx)
	run := func(do func(context.Context)) { group.Go(func() { do(ctx) }) }
	run(i.fleet.Run)
	run(i.health.Run)
	run(i.watched.Run)
	run(i.tailer.Run)
	run(i.home.Run)
	run(i.pool.Run)
	run(i.keeper.Run)
	run(i.watcher.Run)
	run(i.guard.Run)
	run(i.runCheckpoints)
	server := &peers.Server{Reader: i.reader, Shards: i.home, Feeder: i.feed, VersionRecorder: i.pool, Heartbeat: i.heartbeat, OnHeartbeat: i.health.RecordHeartbeat, RegisterMore: i.handleGuard}
	run(func(ctx context.Context) { i.logExit("peer port", server.Run(ctx, ports.peers)) })
	run(func(ctx context.Context) { i.logExit("caller port", serveApp(ctx, i.front.App(), ports.callers)) })
	run(func(ctx context.Context) { i.logExit("admin port", serveApp(ctx, i.admin.App(), ports.admin)) })
}

// logExit logs the error with which a server stopped, if any.
func (i *Instance) logExit(what string, err error) {
	if err != nil {
		i.log.Error().Err(err).Str("Part", what).Msg("server stopped unexpectedly")
	}
}

// closeTimeout bounds the wait for open connections when a server shuts down.
const closeTimeout = 3 * clock.Second

func serveApp(ctx context.Context, app *fiber.App, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = app.ShutdownWithTimeout(closeTimeout.Duration()) })
	defer stop()
	err := app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	if ctx.Err() != nil || err == nil {
		return nil
	}
	return fault.Wrap("serve.serveApp", Startup, err, "the server stopped")
}

// build constructs the components and connects them.
func (i *Instance) build() error {
	c := i.Config
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return fault.Wrap("serve.build", Settings, err, "LogLevel")
	}
	if i.LogOutput == nil {
		i.LogOutput = os.Stderr
	}
	i.clock = clock.New()
	i.self = ident.NewInstance(c.Instance)
	i.log = zerolog.New(i.LogOutput).Level(level).With().Timestamp().Str("Instance", string(i.self)).Str("Zone", string(c.Zone)).Logger()
	i.drain = make(chan struct{}, 1)
	i.metrics = metric.New()
	i.watcher = &gone.Watcher{Clock: i.clock}
	if err := i.buildPlatform(); err != nil {
		return err
	}
	i.buildPeers()
	protocol, err := engine.Protocols.New(c.Engines)
	if err != nil {
		return err
	}
	i.buildWork(protocol)
	i.buildPorts()
	return nil
}

func (i *Instance) buildPlatform() error {
	c := i.Config
	log, err := tail.Clients.New(c.Log.Kind)
	if err != nil {
		return err
	}
	log.Connect(c.Log.Address)
	directory, err := fleet.Directories.New(c.List.Kind)
	if err != nil {
		return err
	}
	directory.Connect(c.List.Address)
	i.tail = log
	i.watched = &tail.Watched{Log: log, Clock: i.clock}
	i.watched.Setup()
	i.logReadAt.Store(-int64(clock.Minute))
	i.reader = &fold.Reader{OnChange: i.onState}
	i.tailer = &tail.Tailer{Source: i.watched, Stream: fold.Stream, Clock: i.clock, Apply: i.onBatch, OnError: i.onLogFailure}
	i.fleet = &fleet.Table{Directory: directory, Clock: i.clock, Period: c.ListPeriod}
	return nil
}

func (i *Instance) buildPeers() {
	c := i.Config
	i.client = peers.NewClient(i.fleet)
	i.health = &peers.Health{
		Self: i.self, Zone: c.Zone, Client: i.client, Fleet: i.fleet, Clock: i.clock,
		Heartbeat: i.heartbeat, OnBehind: i.catchUp, Partners: func() []ident.InstanceName { return i.home.Partners() },
	}
	i.home = &home.Home{
		Self: i.self, Reader: i.reader, Log: i.tail, Caller: i.client, Health: i.health, Clock: i.clock,
		RepeatWindow: c.RepeatWindow, LogSeen: func() clock.Millis { return clock.Millis(i.logReadAt.Load()) },
	}
	i.home.Setup()
}

func (i *Instance) buildWork(protocol engine.Protocol) {
	c := i.Config
	decisions := &trail.Trail{Log: i.log, Clock: i.clock, SampleAbove: c.SampleAbove}
	i.pool = &pool.Pool{
		Fleet: i.fleet, Reporter: protocol, Clock: i.clock, Self: c.Instance, Zone: c.Zone,
		ZoneLatency: c.ZoneLatency, PollInterval: c.LoadPeriod, Subset: c.Subset,
	}
	i.guard = &guard.Guard{Self: i.self, Clock: i.clock, Log: i.log, Reader: i.watched, Writer: &logWriter{log: i.tail, clock: i.clock}, Peers: i.peerAddresses}
	i.guard.Setup()
	i.calls = &calls.Caller{Self: i.self, Pool: i.pool, Claimer: i.home, Clock: i.clock, Trail: decisions, Guard: i.guard}
	gen := &gener.Generator{Pool: i.pool, Engine: protocol, Clock: i.clock, Trail: decisions, OnVersionMismatch: i.sendObservedVersion}
	i.feed = &feed.Feed{
		Self: i.self, Reader: i.reader, Health: i.health, Caller: i.client, Pool: i.pool, Gen: gen,
		Calls: i.calls, Clock: i.clock, Trail: decisions,
	}
	i.keeper = &keeper.Keeper{
		Reader: i.reader, Pool: i.pool, Leaser: i.home, Engine: protocol, Clock: i.clock, Trail: decisions,
		Weights: c.Weights, OrderTimeout: home.MaxActionTime,
	}
	i.front = &front.Front{
		Reader: i.reader, Calls: i.calls, Gen: gen, Feed: i.feed, Watcher: i.watcher, Clock: i.clock,
		Trail: decisions, Metrics: i.metrics, Instances: func() int { return len(i.health.Live()) },
	}
}

func (i *Instance) buildPorts() {
	i.admin = &admin.Admin{
		Reader: i.reader, Log: i.tail, Clock: i.clock, Trail: i.front.Trail, Operators: i.Config.Operators,
		Metrics: i.metrics.Handler(), Status: i.status, Ready: i.notReadyReason, Drain: i.startDrain,
	}
	i.metrics.Gauge("croftmoor_configuration_revision", "Newest configuration revision in force.", func() float64 {
		if state := i.reader.Current(); state != nil {
			return float64(state.Conf.Revision())
		}
		return 0
	})
	i.metrics.Gauge("croftmoor_log_silence_seconds", "Time since the platform's log was last read.", func() float64 {
		return (i.clock.Mono() - clock.Millis(i.logReadAt.Load())).Duration().Seconds()
	})
	i.metrics.Gauge("croftmoor_remembered_ids", "Ids of unrepeatable calls that this instance remembers.", func() float64 {
		_, _, ids := i.home.Counts()
		return float64(ids)
	})
	i.metrics.Gauge("croftmoor_requests_in_flight", "Requests of callers being served.", func() float64 {
		return float64(i.front.InFlight())
	})
}
