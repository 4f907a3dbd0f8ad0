// Package pool tracks the backend servers that this instance uses, with their in-flight
// requests, reported load and failures, and picks a server for each request.
package pool

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/eject"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/route"
)

// Report is a load report of a backend server.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the factor by which work currently takes longer than usual; 0 if the
	// server does not report it.
	Slowdown float64
	Draining bool
	Versions map[ident.Trainer]ident.Version
	// Cached lists the request families whose prefix the server has cached.
	Cached []string
	// At is when the report was made, in wall time.
	At clock.Millis
}

// Reporter fetches the load report of a backend server.
type Reporter interface {
	Load(ctx context.Context, address ident.Address) (Report, error)
}

// Server is a backend server. mu guards the fields below it, except for lifetime and
// endLifetime, which do not change.
type Server struct {
	Name    ident.BackendName
	Service ident.Service
	Zone    ident.Zone

	Breaker eject.Breaker

	mu      sync.Mutex
	address ident.Address
	leaving bool
	slots   int
	// own is the number of this instance's in-flight requests at the server, ownLive the
	// live ones of them, ownAtReport the number at the time of report.
	own         int
	ownLive     int
	ownAtReport int
	ownHistory  history
	report      Report
	// reportReceived is when report was received, by the monotonic clock; 0 if never.
	reportReceived clock.Millis
	// meanLatency is a moving average in milliseconds; 0 if unknown.
	meanLatency float64
	// speed is the estimated rate of a sequence that runs alone, in tokens per second.
	speed    float64
	observed map[ident.Trainer]versionObservation
	// lifetime is cancelled when the server has restarted. Each start of a server has its own
	// Name, and with it its own Server; ListName is the same for all starts.
	lifetime    context.Context
	endLifetime context.CancelFunc
}

// Pool holds the servers of all services. Set the exported fields before Run. Each service
// has a list of servers that is never modified, only replaced atomically.
type Pool struct {
	Fleet *fleet.Table
	// Reporter may be nil if servers report their load in their answers.
	Reporter Reporter
	Clock    *clock.Clock
	Self     string
	Zone     ident.Zone
	// ZoneLatency is the one-way latency to another availability zone.
	ZoneLatency clock.Millis
	// PollInterval is the pause between two rounds of load reports.
	PollInterval clock.Millis
	// Subset is the maximum number of servers per service that this instance uses; 0 means
	// all.
	Subset int
	// Warm reports whether there is an idle connection to an address; it may be nil.
	Warm func(ident.Address) bool
	// Restarted is called with the old address of a server that has restarted; it may be
	// nil.
	Restarted func(ident.Address)

	// services maps ident.Service to *serverSet, policies a policy's name to route.Policy.
	services sync.Map
	policies sync.Map
	// lastView is the last view that Refresh applied. It is not guarded: Refresh must not be
	// called concurrently.
	lastView *fleet.View
}

const (
	loadTimeout = 1 * clock.Second
	// latencyWeight is the weight of a new observation in the moving average of the latency.
	latencyWeight = 0.1
	// defaultLatency is the assumed latency, in milliseconds, before any observation.
	defaultLatency     = 50
	maxConcurrentPolls = 32
)

// serverSet holds the servers of a service.
type serverSet struct {
	list atomic.Pointer[[]*Server]
}

// Run applies fleet changes and polls load reports until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	for {
		p.Refresh()
		if p.Reporter != nil {
			p.poll(ctx)
		}
		if !p.Clock.Sleep(ctx, p.PollInterval) {
			return
		}
	}
}

func find(servers []*Server, name ident.BackendName) *Server {
	for _, s := range servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

func (p *Pool) serverSet(service ident.Service) *serverSet {
	fresh := &serverSet{}
	fresh.list.Store(&[]*Server{})
	actual, _ := p.services.LoadOrStore(service, fresh)
	s, _ := actual.(*serverSet)
	return s
}

// Servers returns the servers of a service that this instance uses.
func (p *Pool) Servers(service ident.Service) []*Server {
	return *p.serverSet(service).list.Load()
}

func (p *Pool) poll(ctx context.Context) {
	var group conc.WaitGroup
	limit := make(chan struct{}, maxConcurrentPolls)
	p.services.Range(func(_, value any) bool {
		s, _ := value.(*serverSet)
		for _, server := range *s.list.Load() {
			limit <- struct{}{}
			group.Go(func() {
				p.pollServer(ctx, server)
				<-limit
			})
		}
		return true
	})
	group.Wait()
}

func (p *Pool) pollServer(ctx context.Context, server *Server) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout.Duration())
	defer cancel()
	report, err := p.Reporter.Load(ctx, server.Address())
	if err != nil {
		return
	}
	server.setReport(report, p.Clock.Mono())
	if report.Draining {
		p.Fleet.MarkLeaving(string(server.Name))
	}
}

// ObservedVersion is a weights version that a server reported in a stream although its load
// report has a newer one.
type ObservedVersion struct {
	Service ident.Service
	Server  ident.BackendName
	Trainer ident.Trainer
	Version ident.Version
}

// Note records a version that another instance observed.
func (p *Pool) Note(observed ObservedVersion) {
	if server := find(p.Servers(observed.Service), observed.Server); server != nil {
		server.RecordVersion(observed.Trainer, observed.Version, p.Clock.Mono())
	}
}

// Query describes a request that needs a server.
type Query struct {
	ID      ident.RequestID
	Service conf.Service
	// Family is matched against the families that a server reports as cached.
	Family string
	// Exclude lists servers that must not be picked.
	Exclude []ident.BackendName
	// Trainer and MinVersion exclude servers whose estimated version of the trainer's weights is
	// lower than MinVersion; 0 is no limit.
	Trainer    ident.Trainer
	MinVersion ident.Version
	// MaxLoad excludes servers whose estimated load is at least this; 0 is no limit.
	MaxLoad int
	// Live is true for a live request, false for a rollout.
	Live bool
	// LiveOnly is true if the service's servers run live requests only.
	LiveOnly bool
}

// Pick chooses a server by the service's policy and counts the request there. The caller
// must call Release on the server. It returns a nil server if none is usable. runnerUp and
// reason are for the decision log.
func (p *Pool) Pick(q Query) (server *Server, runnerUp ident.BackendName, reason string) {
	policy := p.policy(q.Service.Policy)
	servers := p.Servers(q.Service.Name)
	now := p.Clock.Mono()
	candidates := make([]route.Candidate, 0, len(servers))
	usable := make([]*Server, 0, len(servers))
	for _, s := range servers {
		if slices.Contains(q.Exclude, s.Name) || p.Fleet.MarkedLeaving(string(s.Name)) {
			continue
		}
		c, ok := s.candidate(q, now)
		if ok {
			c.Warm = p.Warm != nil && p.Warm(s.Address())
			candidates = append(candidates, c)
			usable = append(usable, s)
		}
	}
	normalizeSpeeds(candidates)
	request := route.Request{ID: q.ID, Zone: p.Zone, Work: expectedWork(usable), ZoneLatency: p.ZoneLatency, Live: q.Live, LiveOnly: q.LiveOnly}
	choice := policy.Pick(request, candidates, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if choice.Index < 0 {
		return nil, "", choice.Reason
	}
	if choice.RunnerUp >= 0 {
		runnerUp = usable[choice.RunnerUp].Name
	}
	server = usable[choice.Index]
	server.acquire(q.Live, p.Clock.Now())
	return server, runnerUp, choice.Reason
}

// Take counts a live request at the named server. The caller must call Release on it. It
// returns nil if the server is not usable.
func (p *Pool) Take(service ident.Service, name ident.BackendName) *Server {
	server := find(p.Servers(service), name)
	if server == nil || !server.Usable(p.Clock.Mono()) || p.Fleet.MarkedLeaving(string(name)) {
		return nil
	}
	server.acquire(true, p.Clock.Now())
	return server
}

// Fastest returns the server with the highest expected rate for one more sequence, and the
// rate in tokens per second. Only servers that q allows are considered, except that
// q.Exclude is ignored in favour of exclude. The request is not counted there; see Acquire.
func (p *Pool) Fastest(q Query, exclude *Server) (server *Server, best float64) {
	now := p.Clock.Mono()
	servers := p.Servers(q.Service.Name)
	for _, s := range servers {
		if s == exclude || p.Fleet.MarkedLeaving(string(s.Name)) {
			continue
		}
		if _, ok := s.candidate(q, now); ok {
			if rate := s.Rate(q.Service.Slots); rate > best {
				server, best = s, rate
			}
		}
	}
	return server, best
}

// Acquire counts a request at a server that Fastest returned. The caller must call Release
// on the server.
func (p *Pool) Acquire(server *Server, live bool) {
	server.acquire(live, p.Clock.Now())
}

// TrainerServers returns the servers that hold a trainer's weights: count of the usable
// ones by rendezvous hashing, which lets instances agree without communication.
func (p *Pool) TrainerServers(service ident.Service, trainer ident.Trainer, count int) []*Server {
	now := p.Clock.Mono()
	var usable []*Server
	for _, s := range p.Servers(service) {
		if s.Usable(now) && !p.Fleet.MarkedLeaving(string(s.Name)) {
			usable = append(usable, s)
		}
	}
	sortByHash(usable, string(trainer))
	return usable[:min(count, len(usable))]
}

// sortByHash sorts servers by rendezvous hash for a key, highest first.
func sortByHash(servers []*Server, key string) {
	slices.SortFunc(servers, func(a, b *Server) int {
		return cmp.Compare(ident.Hash(key, string(b.Name)), ident.Hash(key, string(a.Name)))
	})
}

func (p *Pool) policy(name string) route.Policy {
	if known, ok := p.policies.Load(name); ok {
		policy, _ := known.(route.Policy)
		return policy
	}
	policy, err := route.Policies.New(name)
	if err != nil {
		policy, _ = route.Policies.New(route.Balanced)
	}
	actual, _ := p.policies.LoadOrStore(name, policy)
	policy, _ = actual.(route.Policy)
	return policy
}

// normalizeSpeeds divides the known speeds by their mean; unknown ones stay 0.
func normalizeSpeeds(candidates []route.Candidate) {
	sum, n := 0.0, 0.0
	for _, c := range candidates {
		if c.Speed > 0 {
			sum += c.Speed
			n++
		}
	}
	for i := range candidates {
		if n > 0 {
			candidates[i].Speed /= sum / n
		}
	}
}

// expectedWork returns the mean request latency over the servers that have one, or
// defaultLatency.
func expectedWork(servers []*Server) clock.Millis {
	sum, n := 0.0, 0.0
	for _, s := range servers {
		s.mu.Lock()
		if s.meanLatency > 0 {
			sum += s.meanLatency
			n++
		}
		s.mu.Unlock()
	}
	if n == 0 {
		return defaultLatency
	}
	return clock.Millis(sum / n)
}
