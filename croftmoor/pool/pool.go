// Package pool is the backend servers as this instance sees them: their own
// in-flight requests, their reported load, their failures, and the choice of
// one for a request.
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

// Report is what a backend server said of itself.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how many times as long as usual work takes now; 0 if the server does not say.
	Slowdown float64
	Draining bool
	Versions map[ident.Trainer]ident.Version
	Cached   []string
	At       clock.Millis
}

// Reporter asks a backend server for its load.
type Reporter interface {
	Load(ctx context.Context, address ident.Address) (Report, error)
}

// Server is one backend server. Its state is guarded by mu.
type Server struct {
	Name    ident.BackendName
	Service ident.Service
	Zone    ident.Zone

	Breaker eject.Breaker

	mu             sync.Mutex
	address        ident.Address
	leaving        bool
	slots          int
	own            int
	ownLive        int
	ownAtReport    int
	ownHistory     history
	report         Report
	reportReceived clock.Millis
	meanLatency    float64
	// speed is the tokens a second that one sequence would get alone.
	speed    float64
	observed map[ident.Trainer]observedVersion
	// lifetime ends when the server has started again, under another name.
	lifetime    context.Context
	endLifetime context.CancelFunc
}

// Pool holds the servers of all services. Set the exported fields before Run.
// The servers of each service are in a list that is replaced as a whole.
type Pool struct {
	Fleet *fleet.Table
	// Reporter may be nil where servers tell their load in their answers.
	Reporter Reporter
	Clock    *clock.Clock
	Self     string
	Zone     ident.Zone
	// ZoneLatency is the one-way latency to another availability zone.
	ZoneLatency clock.Millis
	// PollInterval is the pause between two load reports of a server.
	PollInterval clock.Millis
	// Subset is how many servers of a service this instance uses.
	Subset int
	// Warm tells whether a connection to an address rests; it may be nil.
	Warm func(ident.Address) bool
	// Restarted is called with the address of a server that has started again; it may be
	// nil.
	Restarted func(ident.Address)

	services sync.Map
	policies sync.Map
	// lastView is the view that was taken over last; only Run uses it.
	lastView *fleet.View
}

const (
	loadTimeout        = 1 * clock.Second
	latencyWeight      = 0.1
	defaultLatency     = 50
	maxConcurrentPolls = 32
)

// serverSet is the servers of one service.
type serverSet struct {
	list atomic.Pointer[[]*Server]
}

// Run follows the fleet and polls loads until ctx ends.
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

// ObservedVersion is a version that a stream named, against the load report.
type ObservedVersion struct {
	Service ident.Service
	Server  ident.BackendName
	Trainer ident.Trainer
	Version ident.Version
}

// Note takes over another instance's sighting.
func (p *Pool) Note(s ObservedVersion) {
	if server := find(p.Servers(s.Service), s.Server); server != nil {
		server.RecordVersion(s.Trainer, s.Version, p.Clock.Mono())
	}
}

// Query is a request that needs a server.
type Query struct {
	ID      ident.RequestID
	Service conf.Service
	Family  string
	// Exclude lists servers that were tried.
	Exclude []ident.BackendName
	// Trainer and Least ask for servers that run at least a version of a
	// trainer's weights, as far as known.
	Trainer    ident.Trainer
	MinVersion ident.Version
	// MaxLoad leaves out servers whose load is believed to reach it; 0 is no limit.
	MaxLoad int
	// Live tells a live request from a rollout.
	Live bool
	// LiveOnly tells that the service's servers run live requests only.
	LiveOnly bool
}

// Pick chooses a server by the service's policy and counts the request there.
// The caller must call Release on it. It returns nil if there is none.
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
	request := route.Request{ID: q.ID, Zone: p.Zone, Work: meanLatency(usable), ZoneLatency: p.ZoneLatency, Live: q.Live, LiveOnly: q.LiveOnly}
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

// Fastest returns the server, other than the given one, at which one more sequence
// is expected to get the highest rate of those that the query allows, and the
// rate. It does not count a request there; see Take.
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

// Acquire counts a request at a server that Best returned; the caller must call
// Release on it.
func (p *Pool) Acquire(server *Server, live bool) {
	server.acquire(live, p.Clock.Now())
}

// TrainerServers returns the servers that carry a trainer's weights: so many of the
// usable ones by rendezvous hashing, so that instances agree without asking.
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

// sortByHash orders servers by rendezvous hashing for a key.
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

// normalizeSpeeds divides the known speeds by their mean.
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

func meanLatency(servers []*Server) clock.Millis {
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
