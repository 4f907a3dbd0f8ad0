package pool

import (
	"context"
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/route"
)

// versionObservation is the last weights version that a server reported in a stream.
type versionObservation struct {
	version ident.Version
	at      clock.Millis
	// mismatchAt is when RecordVersion last returned true.
	mismatchAt clock.Millis
}

// observedGrace is how much older than the last load report an observed version may be and
// still take precedence over it.
const observedGrace = 1 * clock.Second

func newServer(name ident.BackendName, service ident.Service, zone ident.Zone) *Server {
	s := &Server{Name: name, Service: service, Zone: zone}
	s.lifetime, s.endLifetime = context.WithCancel(context.Background())
	return s
}

// ReportsSlowdown reports whether the server reports its current slowdown. Such a server
// shares its machine, so estimates of its capacity go stale quickly.
func (s *Server) ReportsSlowdown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report.Slowdown > 0
}

// OnRestart calls do once, in its own goroutine, when the server is known to have restarted
// and its requests are lost. stop cancels the call.
func (s *Server) OnRestart(do func()) (stop func() bool) { return context.AfterFunc(s.lifetime, do) }

// Address returns the server's network address.
func (s *Server) Address() ident.Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Slots returns how many requests the server runs at once, according to the fleet's list.
func (s *Server) Slots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots
}

// Leaving reports whether the server is listed as leaving.
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

// RecordLoad records the load that the server reported with an answer. Versions and Cached
// are kept from the last polled report. now is by the monotonic clock.
func (s *Server) RecordLoad(report Report, now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report.Versions, report.Cached = s.report.Versions, s.report.Cached
	s.report = report
	s.reportReceived = now
	s.ownAtReport = s.own
}

// candidate describes the server to a policy. It reports false if the server cannot take
// the request.
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

// estimatedLoad returns this instance's requests plus those of others at the last report.
// mu must be held.
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

// Release ends a request that Pick or Acquire counted at the server. live must be the same
// as there. latency counts only if ok is true.
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

// Status is a snapshot of a server's state for operators.
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

// Status returns the server's state; now is by the monotonic clock.
func (s *Server) Status(now clock.Millis) Status {
	weight := s.Breaker.Weight(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Name: s.Name, Service: s.Service, Zone: s.Zone, Address: s.address, Leaving: s.leaving,
		Weight: weight, Own: s.own, EstimatedLoad: s.estimatedLoad(), Report: s.report,
	}
}

// RecordVersion records the version that the server reported in a stream. Load reports can be
// late or wrong, so it takes precedence over a report that is at most observedGrace newer. It
// returns true if the load report has a newer version, at most once per second and trainer.
func (s *Server) RecordVersion(trainer ident.Trainer, version ident.Version, now clock.Millis) (mismatch bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.observed == nil {
		s.observed = map[ident.Trainer]versionObservation{}
	}
	mismatchAt := s.observed[trainer].mismatchAt
	mismatch = s.report.Versions[trainer] > version && now-mismatchAt >= clock.Second
	if mismatch {
		mismatchAt = now
	}
	s.observed[trainer] = versionObservation{version: version, at: now, mismatchAt: mismatchAt}
	return mismatch
}

// speedWeight is the weight of a new observation in the moving average of the speed.
const speedWeight = 0.25

// RecordSpeed records that a sequence received tokens within span. Sequences in a batch
// share the engine, so the speed of a sequence alone is estimated from the load.
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

// Rate returns the expected rate of one more sequence in tokens per second, or 0 if
// unknown.
func (s *Server) Rate(slots int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.speed / (1 + float64(s.estimatedLoad()+1)/float64(max(slots, 1)))
}

// Version returns the estimated version of a trainer's weights at the server.
func (s *Server) Version(trainer ident.Trainer) ident.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimatedVersion(trainer)
}

// estimatedVersion returns the version observed in a stream if it is recent enough, else
// the one of the last load report. mu must be held.
func (s *Server) estimatedVersion(trainer ident.Trainer) ident.Version {
	last, ok := s.observed[trainer]
	if ok && last.at >= s.reportReceived-observedGrace {
		return last.version
	}
	return s.report.Versions[trainer]
}

// Usable reports whether the server may receive new requests.
func (s *Server) Usable(now clock.Millis) bool {
	weight := s.Breaker.Weight(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving && weight > 0
}
