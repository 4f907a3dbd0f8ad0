package route

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"

	"croftmoor.dev/kernel/clock"
)

// Load of TestPace: several instances send calls to servers that are intermittently slow.
// Instances learn a server's load and slowdown only from its responses.
const (
	simInstances     = 12
	simServers       = 3
	simSlots         = 6
	simWorkMillis    = 21.0
	slowProbability  = 0.15
	slowFactor       = 2.5
	slowPeriod       = 600 * clock.Millis(1)
	latencyObjective = 150 * clock.Millis(1)
	simDuration      = 60 * clock.Second
	utilisation      = 0.8
)

type simServer struct {
	running  int
	waiting  []func()
	slowdown float64
}

// simulation routes calls with the Balanced policy in simulated time.
type simulation struct {
	random *rand.Rand
	// slowdowns is a separate random source, which makes servers slow at the same times
	// whichever are chosen.
	slowdowns      *rand.Rand
	ignoreSlowdown bool
	now            clock.Millis
	queue          timers
	servers        []*simServer
	lastKnown      [][]Candidate
	reportedAt     [][]clock.Millis
	late           int
	calls          int
}

type timer struct {
	at clock.Millis
	do func()
}

type timers []timer

func (q timers) Len() int           { return len(q) }
func (q timers) Less(i, j int) bool { return q[i].at < q[j].at }
func (q timers) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)        { *q = append(*q, x.(timer)) } //nolint:errcheck // only timers are pushed
func (q *timers) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (p *simulation) after(span clock.Millis, do func()) {
	heap.Push(&p.queue, timer{at: p.now + span, do: do})
}

// run returns how many calls exceeded latencyObjective.
func (p *simulation) run(seed uint64) int {
	p.random, p.slowdowns = rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	for range simServers {
		p.servers = append(p.servers, &simServer{slowdown: 1})
	}
	for range simInstances {
		p.lastKnown = append(p.lastKnown, make([]Candidate, simServers))
		p.reportedAt = append(p.reportedAt, make([]clock.Millis, simServers))
	}
	p.changeSlowdowns()
	p.scheduleArrival()
	for len(p.queue) > 0 && p.now < simDuration {
		next, _ := heap.Pop(&p.queue).(timer)
		p.now = next.at
		next.do()
	}
	return p.late
}

func (p *simulation) changeSlowdowns() {
	for _, s := range p.servers {
		s.slowdown = 1
		if p.slowdowns.Float64() < slowProbability {
			s.slowdown = slowFactor
		}
	}
	p.after(slowPeriod, p.changeSlowdowns)
}

func (p *simulation) scheduleArrival() {
	capacity := simServers * simSlots / simWorkMillis / (1 + slowProbability*(slowFactor-1))
	p.after(clock.Millis(math.Round(p.random.ExpFloat64()/(capacity*utilisation))), func() {
		p.startCall(p.random.IntN(simInstances))
		p.scheduleArrival()
	})
}

func (p *simulation) startCall(instance int) {
	p.calls++
	candidates := make([]Candidate, simServers)
	for i := range candidates {
		c := p.lastKnown[instance][i]
		c.Zone, c.Slots, c.Weight, c.Warm = "z", simSlots, 1, true
		c.ReportAge = p.now - p.reportedAt[instance][i]
		if p.ignoreSlowdown {
			c.Slowdown = 0
		}
		candidates[i] = c
	}
	request := Request{Zone: "z", Work: simWorkMillis, ZoneLatency: 1, Live: true, LiveOnly: true}
	chosen := balanced{}.Pick(request, candidates, p.random).Index
	s, candidate, started := p.servers[chosen], &p.lastKnown[instance][chosen], p.now
	candidate.Own++
	candidate.OwnLive++
	serve := func() {
		s.running++
		work := simWorkMillis * s.slowdown * math.Exp(p.random.NormFloat64()*0.5-0.125)
		p.after(clock.Millis(math.Round(work)), func() {
			s.running--
			if len(s.waiting) > 0 {
				first := s.waiting[0]
				s.waiting = s.waiting[1:]
				first()
			}
			candidate.Own--
			candidate.OwnLive--
			candidate.Reported, candidate.OwnAtReport, candidate.HasReport, candidate.Slowdown = s.running+len(s.waiting), candidate.Own, true, s.slowdown
			p.reportedAt[instance][chosen] = p.now
			if p.now-started > latencyObjective {
				p.late++
			}
		})
	}
	if s.running < simSlots {
		serve()
		return
	}
	s.waiting = append(s.waiting, serve)
}

// TestPace checks that using the reported slowdown cuts late calls to a third or less.
func TestPace(t *testing.T) {
	lateIgnoring, lateInformed, calls := 0, 0, 0
	for seed := range uint64(10) {
		lateIgnoring += (&simulation{ignoreSlowdown: true}).run(seed)
		informed := &simulation{}
		lateInformed += informed.run(seed)
		calls += informed.calls
	}
	t.Logf("late of %d calls: %d ignoring the slowdown, %d using it", calls, lateIgnoring, lateInformed)
	if 3*lateInformed > lateIgnoring {
		t.Errorf("%d late calls using the slowdown, %d ignoring it; want a third at most", lateInformed, lateIgnoring)
	}
}
