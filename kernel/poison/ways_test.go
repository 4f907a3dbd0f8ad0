package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// detector decides which requests are held; each type is one detection method.
type detector interface {
	ended(request Fingerprint, server ident.BackendName, now clock.Millis)
	answered(request Fingerprint)
	held(request Fingerprint, now clock.Millis) bool
}

// counting holds a request once threshold servers ended while running it, regardless of
// other requests there. If clearedByAnswer is set, an answer resets the count.
type counting struct {
	ends            map[Fingerprint]map[ident.BackendName]bool
	threshold       int
	clearedByAnswer bool
}

func (c *counting) ended(request Fingerprint, server ident.BackendName, _ clock.Millis) {
	if c.ends[request] == nil {
		c.ends[request] = map[ident.BackendName]bool{}
	}
	c.ends[request][server] = true
}

func (c *counting) answered(request Fingerprint) {
	if c.clearedByAnswer {
		delete(c.ends, request)
	}
}

func (c *counting) held(request Fingerprint, _ clock.Millis) bool {
	return len(c.ends[request]) >= c.threshold
}

// tableDetector is the method under test, a Table.
type tableDetector struct{ table *Table }

func (e tableDetector) ended(request Fingerprint, server ident.BackendName, now clock.Millis) {
	e.table.Ended(End{Request: request, Server: server}, true, now)
}
func (e tableDetector) answered(request Fingerprint) { e.table.Answered(request) }
func (e tableDetector) held(request Fingerprint, now clock.Millis) bool {
	return e.table.Verdict(request, now).HeldFor > 0
}

// outcome is the result of a simulation.
type outcome struct {
	// crashes is the number of servers that the harmful request ended, innocentCalls
	// the number of innocent calls, and refused how many attempts at them were held.
	crashes, refused, innocentCalls int
}

const (
	simStep     = 20 * clock.Millis(1)
	simDuration = 60 * clock.Second
	// restartTime is how long a server is down after it ended.
	restartTime = 2500 * clock.Millis(1)
)

// workload describes the requests and servers of a simulation.
type workload struct {
	servers int
	// span is how long a request runs; the harmful one ends its server after crashAfter.
	span, crashAfter clock.Millis
	// popular makes the same innocent request arrive in every simulation step. A request
	// with a new fingerprint arrives every period steps.
	popular bool
	period  int
	// maxTries is how often a request runs at most; it is retried if its server ends.
	maxTries int
}

// calls models synchronous calls: one popular request and many that occur once, each with
// up to four tries.
var calls = workload{servers: 6, span: 80, crashAfter: 80, popular: true, period: 1, maxTries: 4}

// items models job items: they run longer, about ten at each engine, and are retried
// without limit.
var items = workload{servers: 11, span: 6 * clock.Second, crashAfter: 300, period: 3, maxTries: 1 << 30}

// running is a request in progress at a server.
type running struct {
	request Fingerprint
	server  int
	until   clock.Millis
	tries   int
}

// simulation runs a workload. Every two seconds it sends the harmful request twice, which
// ends its server and loses all requests there. Servers also end at random.
type simulation struct {
	workload
	method detector
	random *rand.Rand
	now    clock.Millis
	// up is when each server is available again; starts counts its restarts.
	up      []clock.Millis
	starts  []int
	runs    []running
	outcome outcome
}

func simulate(w workload, seed uint64, method detector) outcome {
	l := &simulation{workload: w, method: method, random: rand.New(rand.NewPCG(seed, 1)), up: make([]clock.Millis, w.servers), starts: make([]int, w.servers)}
	for step := 0; l.now < simDuration; step++ {
		l.send(step)
		l.finish(l.crashedServers())
		l.now += simStep
	}
	return l.outcome
}

// send starts the requests that arrive in a step.
func (l *simulation) send(step int) {
	if l.popular {
		l.outcome.innocentCalls++
		l.start(innocent, 1)
	}
	if step%l.period == 0 {
		l.outcome.innocentCalls++
		l.start(Fingerprint(fmt.Sprint("once", step)), 1)
	}
	if l.now%(2*clock.Second) == 0 {
		l.start(harmful, 1)
		l.start(harmful, 1)
	}
}

// start runs a request at a random server that is up, unless the request is held.
func (l *simulation) start(request Fingerprint, tries int) {
	if l.method.held(request, l.now) {
		if request != harmful {
			l.outcome.refused++
		}
		return
	}
	span := l.span
	if request == harmful {
		span = l.crashAfter
	}
	for range 2 * l.servers {
		if s := l.random.IntN(l.servers); l.up[s] <= l.now {
			l.runs = append(l.runs, running{request: request, server: s, until: l.now + span, tries: tries})
			return
		}
	}
}

// crashedServers returns the servers that end in this step.
func (l *simulation) crashedServers() map[int]bool {
	ends := map[int]bool{}
	for _, r := range l.runs {
		if r.request == harmful && r.until <= l.now {
			ends[r.server] = true
			l.outcome.crashes++
		}
	}
	if l.random.IntN(500) == 0 {
		ends[l.random.IntN(l.servers)] = true
	}
	return ends
}

// finish restarts the crashed servers, reports lost and answered requests to the detector,
// and retries the lost ones.
func (l *simulation) finish(ends map[int]bool) {
	var lost, going []running
	for _, r := range l.runs {
		switch {
		case ends[r.server]:
			l.method.ended(r.request, ident.NewBackend(fmt.Sprint(r.server), int64(l.starts[r.server]+1)), l.now)
			lost = append(lost, r)
		case r.until <= l.now:
			l.method.answered(r.request)
		default:
			going = append(going, r)
		}
	}
	l.runs = going
	for s := range ends {
		l.up[s] = l.now + restartTime
		l.starts[s]++
	}
	for _, r := range lost {
		if r.tries < l.maxTries {
			l.start(r.request, r.tries+1)
		}
	}
}

// TestWays compares detection methods on the same simulations. It bounds both errors: servers
// lost to the harmful request, and innocent calls that are refused.
func TestWays(t *testing.T) {
	const seeds = 40
	for name, w := range map[string]workload{"calls": calls, "items": items} {
		t.Run(name, func(t *testing.T) { compare(t, w, seeds) })
	}
}

func compare(t *testing.T, w workload, seeds int) {
	t.Helper()
	detectors := map[string]func() detector{
		"three ends": func() detector { return &counting{ends: map[Fingerprint]map[ident.BackendName]bool{}, threshold: 3} },
		"three ends without an answer": func() detector {
			return &counting{ends: map[Fingerprint]map[ident.BackendName]bool{}, threshold: 3, clearedByAnswer: true}
		},
		"two ends without an answer": func() detector {
			return &counting{ends: map[Fingerprint]map[ident.BackendName]bool{}, threshold: 2, clearedByAnswer: true}
		},
		"never": func() detector {
			return &counting{ends: map[Fingerprint]map[ident.BackendName]bool{}, threshold: 1 << 30}
		},
		"table": func() detector { return tableDetector{table: NewTable()} },
	}
	sums := map[string]outcome{}
	for name, newDetector := range detectors {
		var sum outcome
		for seed := range uint64(seeds) {
			f := simulate(w, seed, newDetector())
			sum.crashes += f.crashes
			sum.refused += f.refused
			sum.innocentCalls += f.innocentCalls
		}
		sums[name] = sum
		t.Logf("%-30s servers ended %.1f per simulation, innocent calls refused %d of %d", name, float64(sum.crashes)/float64(seeds), sum.refused, sum.innocentCalls)
	}
	table := sums["table"]
	if table.crashes > seeds*(Threshold+2) {
		t.Errorf("the harmful request ended %d servers in %d simulations, want at most %d per simulation", table.crashes, seeds, Threshold+2)
	}
	if table.refused*1000 > table.innocentCalls {
		t.Errorf("%d of %d innocent calls were refused, want at most one in a thousand", table.refused, table.innocentCalls)
	}
	if plain := sums["three ends"]; table.refused > plain.refused {
		t.Errorf("%d innocent calls were refused, want at most the %d of plain counting", table.refused, plain.refused)
	}
}
