package pool

import (
	"context"
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/route"
)

// observedVersion is a version that a stream named.
type observedVersion struct {
	version ident.Version
	at      clock.Millis
	// mismatchAt is when the mismatch with the load report was last mismatchAt.
	mismatchAt clock.Millis
}

// observedGrace is how much older than the newest report a sighting may be and
// still count for more.
const observedGrace = 1 * clock.Second

func newServer(name ident.BackendName, service ident.Service, zone ident.Zone) *Server {
	s := &Server{Name: name, Service: service, Zone: zone}
	s.lifetime, s.endLifetime = context.WithCancel(context.Background())
	return s
}

// ReportsSlowdown tells whether the server says how long work takes there now: it shares its
// machine, so that what it can do is never known for long.
func (s *Server) ReportsSlowdown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report.Slowdown > 0
}

// OnRestart has do called once when the server is known to have started again: what it
// ran is lost then. Stop takes that back.
func (s *Server) OnRestart(do func()) (stop func() bool) { return context.AfterFunc(s.lifetime, do) }

// Address returns where the server is.
func (s *Server) Address() ident.Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Slots returns how many requests the server runs at once, as the list says.
func (s *Server) Slots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots
}

// Leaving tells whether the list says that the server is about to end.
func (s *Server) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *Server) setMember(m fleet.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = m.Address
	s.leaving = m.State == fleet.Leaving
	s.slots = m.Slots
}

func (s *Server) setReport(report Report, now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = report
	s.reportReceived = now
	s.ownAtReport = s.ownHistory.at(report.At, s.own)
}

// RecordLoad takes over the load that the server told with an answer.
func (s *Server) RecordLoad(report Report, now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report.Versions, report.Cached = s.report.Versions, s.report.Cached
	s.report = report
	s.reportReceived = now
	s.ownAtReport = s.own
}

// candidate describes the server to a policy; it reports false if the server
// can't take the request at all.
func (s *Server) candidate(q Query, now clock.Millis) (route.Candidate, bool) {
	weight := s.Breaker.Weight(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || weight <= 0 {
		return route.Candidate{}, false
	}
	if q.MinVersion > 0 && s.estimatedVersion(q.Trainer) < q.MinVersion {
		return route.Candidate{}, false
	}
	if q.MaxLoad > 0 && s.estimatedLoad() >= q.MaxLoad {
		return route.Candidate{}, false
	}
	c := route.Candidate{
		Name: s.Name, Zone: s.Zone, Own: s.own, OwnLive: s.ownLive, Slots: q.Service.Slots, Weight: weight,
		Reported: s.report.Running + s.report.Waiting, OwnAtReport: s.ownAtReport,
		ReportAge: now - s.reportReceived, HasReport: s.reportReceived > 0, Slowdown: s.report.Slowdown, Speed: s.speed,
	}
	if slices.Contains(s.report.Cached, q.Family) {
		c.Cached = 1
	}
	return c, true
}

// estimatedLoad is the own load and what others had at the last report; mu is held.
func (s *Server) estimatedLoad() int {
	return s.own + max(s.report.Running+s.report.Waiting-s.ownAtReport, 0)
}

func (s *Server) acquire(live bool, wall clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own++
	if live {
		s.ownLive++
	}
	s.ownHistory.record(wall, s.own)
}

// Release ends a request at the server. Live is as it was in the query, and
// took is the request's time if it succeeded.
func (s *Server) Release(c *clock.Clock, live bool, latency clock.Millis, ok bool) {
	now := c.Mono()
	s.mu.Lock()
	s.own--
	if live {
		s.ownLive--
	}
	s.ownHistory.record(c.Now(), s.own)
	if ok {
		if s.meanLatency == 0 {
			s.meanLatency = float64(latency)
		}
		s.meanLatency = s.meanLatency*(1-latencyWeight) + float64(latency)*latencyWeight
	}
	s.mu.Unlock()
	if ok {
		s.Breaker.RecordSuccess(now)
	}
}

// Status is a server's state for operators.
type Status struct {
	Name          ident.BackendName
	Service       ident.Service
	Zone          ident.Zone
	Address       ident.Address
	Leaving       bool
	Weight        float64
	Own           int
	EstimatedLoad int
	Report        Report
}

// Status returns the state at now.
func (s *Server) Status(now clock.Millis) Status {
	weight := s.Breaker.Weight(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Name: s.Name, Service: s.Service, Zone: s.Zone, Address: s.address, Leaving: s.leaving,
		Weight: weight, Own: s.own, EstimatedLoad: s.estimatedLoad(), Report: s.report,
	}
}

// RecordVersion notes the version that a stream of the server named. Streams are
// believed over load reports, which can be late or wrong. It reports whether the
// load report says a newer version and this was not told within a second.
func (s *Server) RecordVersion(trainer ident.Trainer, version ident.Version, now clock.Millis) (mismatch bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.observed == nil {
		s.observed = map[ident.Trainer]observedVersion{}
	}
	mismatchAt := s.observed[trainer].mismatchAt
	mismatch = s.report.Versions[trainer] > version && now-mismatchAt >= clock.Second
	if mismatch {
		mismatchAt = now
	}
	s.observed[trainer] = observedVersion{version: version, at: now, mismatchAt: mismatchAt}
	return mismatch
}

// speedWeight weighs a new observation of the speed against the mean so far.
const speedWeight = 0.25

// RecordSpeed notes that a sequence got so many tokens in a span. What it would
// have got alone is inferred from the load, since batching shares the engine.
func (s *Server) RecordSpeed(tokens ident.Tokens, span clock.Millis, slots int) {
	if span <= 0 || tokens <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	share := 1 + float64(s.estimatedLoad())/float64(max(slots, 1))
	alone := float64(tokens) / span.Duration().Seconds() * share
	if s.speed == 0 {
		s.speed = alone
	}
	s.speed = s.speed*(1-speedWeight) + alone*speedWeight
}

// Rate returns the tokens a second that one more sequence is expected to get;
// 0 if nothing is known.
func (s *Server) Rate(slots int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.speed / (1 + float64(s.estimatedLoad()+1)/float64(max(slots, 1)))
}

// Version returns the version of a trainer's weights that the server is
// believed to run.
func (s *Server) Version(trainer ident.Trainer) ident.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimatedVersion(trainer)
}

// estimatedVersion prefers what a stream showed to an older report; mu is held.
func (s *Server) estimatedVersion(trainer ident.Trainer) ident.Version {
	last, ok := s.observed[trainer]
	if ok && last.at >= s.reportReceived-observedGrace {
		return last.version
	}
	return s.report.Versions[trainer]
}

// Usable tells whether the server may get new work.
func (s *Server) Usable(now clock.Millis) bool {
	weight := s.Breaker.Weight(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving && weight > 0
}
