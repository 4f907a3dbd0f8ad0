package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// detector is a way to tell which requests go to no server.
type detector interface {
	ended(request Fingerprint, server ident.BackendName, now clock.Millis)
	answered(request Fingerprint)
	held(request Fingerprint, now clock.Millis) bool
}

// counting holds what so many servers ended under, whatever else was there or came
// after. Excusing is the same, but an answer clears.
type counting struct {
	ends     map[Fingerprint]map[ident.BackendName]bool
	threshold     int
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

// tableDetector is the table.
type tableDetector struct{ table *Table }

func (e tableDetector) ended(request Fingerprint, server ident.BackendName, now clock.Millis) {
	e.table.Ended(End{Request: request, Server: server}, true, now)
}
func (e tableDetector) answered(request Fingerprint) { e.table.Answered(request) }
func (e tableDetector) held(request Fingerprint, now clock.Millis) bool {
	return e.table.Verdict(request, now).HeldFor > 0
}

// outcome is what a way made of a load.
type outcome struct {
	// crashes is how many servers the harmful request ended, refused how many of the
	// innocent calls went to no server, innocentCalls how many there were.
	crashes, refused, innocentCalls int
}

const (
	loadStep = 20 * clock.Millis(1)
	loadSpan = 60 * clock.Second
	// restartTime is how long a server is away that ended.
	restartTime = 2500 * clock.Millis(1)
)

// workload is what servers are given.
type workload struct {
	servers int
	// span is how long a request runs; the harmful one ends its server after crashAfter.
	span, crashAfter clock.Millis
	// popular requests come in each step, others come once, each so many steps.
	popular bool
	period   int
	// maxTries is how often a request that was lost goes to one more server.
	maxTries int
}

// calls are a popular request that is sent fifty times a second, and others that come
// once and are tried four times: two attempts of a caller at two servers each.
var calls = workload{servers: 6, span: 80, crashAfter: 80, popular: true, period: 1, maxTries: 4}

// items run for 6 s, some ten at each engine, and are given to the next engine for as long
// as their job is open.
var items = workload{servers: 11, span: 6 * clock.Second, crashAfter: 300, period: 3, maxTries: 1 << 30}

// running is a request that runs at a server.
type running struct {
	request Fingerprint
	server  int
	until   clock.Millis
	tries   int
}

// simulation is servers under work, with a harmful request each two seconds, sent twice, which
// ends its server with all that runs there. Servers also end for themselves.
type simulation struct {
	workload
	detector    detector
	random *rand.Rand
	now    clock.Millis
	// up is from when each server runs, starts counts its starts.
	up     []clock.Millis
	starts []int
	runs   []running
	fate   outcome
}

func simulate(w workload, seed uint64, way detector) outcome {
	l := &simulation{workload: w, detector: way, random: rand.New(rand.NewPCG(seed, 1)), up: make([]clock.Millis, w.servers), starts: make([]int, w.servers)}
	for step := 0; l.now < loadSpan; step++ {
		l.send(step)
		l.finish(l.crashedServers())
		l.now += loadStep
	}
	return l.fate
}

// send begins what comes in a step.
func (l *simulation) send(step int) {
	if l.popular {
		l.fate.innocentCalls++
		l.start(innocent, 1)
	}
	if step%l.period == 0 {
		l.fate.innocentCalls++
		l.start(Fingerprint(fmt.Sprint("once", step)), 1)
	}
	if l.now%(2*clock.Second) == 0 {
		l.start(harmful, 1)
		l.start(harmful, 1)
	}
}

// start runs a request at a server that is up, unless it is held.
func (l *simulation) start(request Fingerprint, tries int) {
	if l.detector.held(request, l.now) {
		if request != harmful {
			l.fate.refused++
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
			l.fate.crashes++
		}
	}
	if l.random.IntN(500) == 0 {
		ends[l.random.IntN(l.servers)] = true
	}
	return ends
}

// finish takes down the servers that finish, tells the way of what was lost and answered, and
// sends again what was lost.
func (l *simulation) finish(ends map[int]bool) {
	var lost, going []running
	for _, r := range l.runs {
		switch {
		case ends[r.server]:
			l.detector.ended(r.request, ident.NewBackend(fmt.Sprint(r.server), int64(l.starts[r.server]+1)), l.now)
			lost = append(lost, r)
		case r.until <= l.now:
			l.detector.answered(r.request)
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

// TestWays compares ways to tell which request ends servers, on the same loads. Both errors
// count: servers lost to the harmful request, and others' calls that are refused.
func TestWays(t *testing.T) {
	const loads = 40
	for name, w := range map[string]workload{"calls": calls, "items": items} {
		t.Run(name, func(t *testing.T) { compare(t, w, loads) })
	}
}

func compare(t *testing.T, w workload, loads int) {
	t.Helper()
	ways := map[string]func() detector{
		"three ends": func() detector { return &counting{ends: map[Fingerprint]map[ident.BackendName]bool{}, threshold: 3} },
		"three ends without an answer": func() detector {
			return &counting{ends: map[Fingerprint]map[ident.BackendName]bool{}, threshold: 3, clearedByAnswer: true}
		},
		"two ends without an answer": func() detector {
			return &counting{ends: map[Fingerprint]map[ident.BackendName]bool{}, threshold: 2, clearedByAnswer: true}
		},
		"never": func() detector { return &counting{ends: map[Fingerprint]map[ident.BackendName]bool{}, threshold: 1 << 30} },
		"table": func() detector { return tableDetector{table: NewTable()} },
	}
	sums := map[string]outcome{}
	for name, way := range ways {
		var sum outcome
		for seed := range uint64(loads) {
			f := simulate(w, seed, way())
			sum.crashes += f.crashes
			sum.refused += f.refused
			sum.innocentCalls += f.innocentCalls
		}
		sums[name] = sum
		t.Logf("%-30s servers ended %.1f a load, innocent calls refused %d of %d", name, float64(sum.crashes)/float64(loads), sum.refused, sum.innocentCalls)
	}
	table := sums["table"]
	if table.crashes > loads*(Threshold+2) {
		t.Errorf("the harmful request ended %d servers in %d loads, want %d a load at most", table.crashes, loads, Threshold+2)
	}
	if table.refused*1000 > table.innocentCalls {
		t.Errorf("%d of %d innocent calls were refused, want one in a thousand at most", table.refused, table.innocentCalls)
	}
	if plain := sums["three ends"]; table.refused > plain.refused {
		t.Errorf("%d innocent calls were refused, %d by plain counting", table.refused, plain.refused)
	}
}
