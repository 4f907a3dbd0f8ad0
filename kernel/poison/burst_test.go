package poison

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// witness is a table that is told at what time servers end; also of those that ended under items
// alone, if items is set.
type witness struct {
	table *Table
	items bool
}

func (w witness) ended(request Fingerprint, server ident.BackendName, now clock.Millis) {
	w.table.Ended(End{Request: request, Server: server, At: now}, true, now)
}

func (w witness) itemEnded(server ident.BackendName, now clock.Millis) {
	if w.items {
		w.table.ServerEnded(ServerEnd{Server: server, At: now}, now)
	}
}

// burstSimulation has live calls beside long items on servers that crash by themselves in bursts.
type burstSimulation struct {
	method  witness
	random  *rand.Rand
	bursts  bool
	harmful bool
	now     clock.Millis
	up      []clock.Millis
	starts  []int
	runs    []burstRun
	items   int
	out     burstOutcome
}

type burstRun struct {
	request Fingerprint
	server  int
	item    bool
	tries   int
	left    clock.Millis
}

// burstOutcome counts the calls, those of innocent ones that were refused, the innocent ones that were
// held for over 5 s, and the runs of the harmful call after its third end.
type burstOutcome struct {
	calls, refused, heldLong int
	harmfulRuns              int
}

const (
	burstServers  = 11
	burstItems    = 110
	burstItemSpan = 6 * clock.Second
	burstDuration = 40 * clock.Second
	burstPeriod   = 6 * clock.Second
	burstDown     = 400 * clock.Millis(1)
	harmfulSpan   = 100 * clock.Millis(1)
	// A call is tried that often, by its callers too; the harmful one by one caller.
	mostCallTries    = 6
	mostHarmfulTries = 3
)

func (s *burstSimulation) run() burstOutcome {
	s.up, s.starts = make([]clock.Millis, burstServers), make([]int, burstServers)
	for range burstItems {
		s.addItem()
	}
	for ; s.now < burstDuration; s.now += simStep {
		if s.now%60 == 0 {
			s.out.calls++
			name := Fingerprint(fmt.Sprint("call", s.now))
			if s.random.IntN(5) == 0 {
				name = Fingerprint(fmt.Sprint("popular", s.random.IntN(5)))
			}
			s.start(burstRun{request: name, left: s.callSpan()})
		}
		if s.harmful && s.now >= 3*clock.Second && s.now%(500) == 0 {
			s.start(burstRun{request: harmful, left: harmfulSpan})
		}
		s.step()
	}
	return s.out
}

func (s *burstSimulation) held(request Fingerprint, now clock.Millis) bool {
	return s.method.table.Verdict(request, now).HeldFor > 0
}

func (s *burstSimulation) addItem() {
	s.items++
	s.start(burstRun{request: Fingerprint(fmt.Sprint("item", s.items)), item: true, left: burstItemSpan})
}

func (s *burstSimulation) start(r burstRun) {
	if !r.item && s.held(r.request, s.now) {
		if r.request != harmful {
			s.out.refused++
			if s.held(r.request, s.now+2*ambiguousHoldDuration) {
				s.out.heldLong++
			}
		}
		return
	}
	if r.request == harmful {
		s.out.harmfulRuns++
	}
	for {
		if n := s.random.IntN(burstServers); s.up[n] <= s.now || r.item {
			r.server = n
			s.runs = append(s.runs, r)
			return
		}
		if s.random.IntN(40) == 0 {
			return
		}
	}
}

// step lets all runs go on by one step, and has servers crash.
func (s *burstSimulation) step() {
	crashed := s.crashes()
	var going, lost []burstRun
	for _, r := range s.runs {
		switch {
		case crashed[r.server]:
			s.reportLost(r)
			lost = append(lost, r)
		case r.left > 0:
			going = append(going, r)
		case r.item:
			s.items++
			going = append(going, burstRun{request: Fingerprint(fmt.Sprint("item", s.items)), item: true, left: burstItemSpan, server: s.random.IntN(burstServers)})
		default:
			s.method.table.Answered(r.request)
		}
	}
	s.runs = going
	for n := range crashed {
		s.up[n] = s.now + burstDown
		s.starts[n]++
	}
	for _, r := range lost {
		s.retry(r)
	}
}

// crashes shortens the runs by a step and returns the servers that crash in it.
func (s *burstSimulation) crashes() map[int]bool {
	crashed := map[int]bool{}
	if phase := s.now % burstPeriod; s.bursts && s.now >= 5*clock.Second && phase < 2*clock.Second && phase%400 == 0 {
		for _, n := range s.random.Perm(burstServers)[:3] {
			crashed[n] = true
		}
	}
	for i := range s.runs {
		r := &s.runs[i]
		if s.up[r.server] > s.now {
			continue
		}
		r.left -= simStep
		if r.request == harmful && r.left <= 0 {
			crashed[r.server] = true
		}
	}
	maps.DeleteFunc(crashed, func(n int, _ bool) bool { return s.up[n] > s.now })
	return crashed
}

func (s *burstSimulation) reportLost(r burstRun) {
	server := ident.NewBackend(fmt.Sprint(r.server), int64(s.starts[r.server]+1))
	if r.item {
		s.method.itemEnded(server, s.now)
		return
	}
	s.method.ended(r.request, server, s.now)
}

// retry starts a lost run again: items without a limit, and from where they were.
func (s *burstSimulation) retry(r burstRun) {
	r.tries++
	switch {
	case r.item:
	case r.request == harmful && r.tries < mostHarmfulTries:
		r.left = harmfulSpan
	case r.request != harmful && r.tries < mostCallTries:
		r.left = s.callSpan()
	default:
		return
	}
	s.start(r)
}

func (s *burstSimulation) callSpan() clock.Millis { return clock.Millis(80 + s.random.IntN(1400)) }

// simulateBursts adds up forty simulations; the runs of the harmful call are those of the worst one.
func simulateBursts(bursts, withHarmful, items bool) burstOutcome {
	var sum burstOutcome
	for seed := range uint64(40) {
		s := &burstSimulation{
			method: witness{table: NewTable(), items: items}, random: rand.New(rand.NewPCG(seed, 2)), bursts: bursts, harmful: withHarmful,
		}
		o := s.run()
		sum.calls += o.calls
		sum.refused += o.refused
		sum.heldLong += o.heldLong
		sum.harmfulRuns = max(sum.harmfulRuns, o.harmfulRuns)
	}
	return sum
}

// Live calls that servers happened to run when they crashed in bursts must not be held for them.
func TestInnocentCallsInBurstsOfCrashes(t *testing.T) {
	told, untold := simulateBursts(true, false, true), simulateBursts(true, false, false)
	t.Logf("refused %d of %d, %d of them for long; without what items tell %d and %d", told.refused, told.calls, told.heldLong, untold.refused, untold.heldLong)
	if told.refused*1000 > told.calls {
		t.Errorf("%d of %d innocent calls were refused, want at most one in a thousand", told.refused, told.calls)
	}
	if told.refused > untold.refused {
		t.Errorf("%d innocent calls refused, %d without what items tell", told.refused, untold.refused)
	}
}

func TestHarmfulCallBesideItems(t *testing.T) {
	const inFlight = 2
	if o := simulateBursts(false, true, true); o.harmfulRuns > Threshold+inFlight {
		t.Errorf("a harmful call ran %d times, want %d at most", o.harmfulRuns, Threshold+inFlight)
	}
	if o := simulateBursts(true, true, true); o.harmfulRuns > maxCoincidentEnds+inFlight {
		t.Errorf("a harmful call ran %d times in bursts of crashes, want %d at most", o.harmfulRuns, maxCoincidentEnds+inFlight)
	}
}

// endedAt notes ends of numbered servers for a request at a time.
func endedAt(table *Table, request Fingerprint, at clock.Millis, servers ...int) {
	for _, n := range servers {
		table.Ended(End{Request: request, Server: serverName(n), At: at}, true, 0)
	}
}

func TestCoincidentEnds(t *testing.T) {
	const at = clock.Minute
	burst := func(table *Table, at clock.Millis) {
		for n := range 10 {
			table.ServerEnded(ServerEnd{Server: serverName(100 + n), At: at}, 0)
		}
	}
	t.Run("do not count while as many other servers end", func(t *testing.T) {
		table := NewTable()
		endedAt(table, innocent, at, 1, 2, 3)
		wantHeld(t, table, innocent, 0, true)
		burst(table, at+coincidence)
		wantHeld(t, table, innocent, 0, false)
	})
	t.Run("count if the others end at another time", func(t *testing.T) {
		table := NewTable()
		burst(table, at+coincidence+1)
		endedAt(table, harmful, at, 1, 2, 3)
		wantHeld(t, table, harmful, 0, true)
	})
	t.Run("count if the others ended under requests that are suspected, too", func(t *testing.T) {
		table := NewTable()
		endedAt(table, harmful, at, 1, 2, 3)
		endedAt(table, innocent, at, 4, 5, 6)
		wantHeld(t, table, harmful, 0, true)
		wantHeld(t, table, innocent, 0, true)
	})
	t.Run("count where servers end all the time", func(t *testing.T) {
		table := NewTable()
		for n := range maxCoincidentEnds {
			burst(table, at)
			wantHeld(t, table, harmful, 0, false)
			endedAt(table, harmful, at+clock.Millis(n), n)
		}
		wantHeld(t, table, harmful, 0, true)
	})
	t.Run("of servers without end are bounded", func(t *testing.T) {
		table := NewTable()
		for n := range 2 * maxServerEnds {
			table.ServerEnded(ServerEnd{Server: serverName(n), At: at}, clock.Millis(n))
		}
		if n := len(table.servers); n > maxServerEnds {
			t.Errorf("%d servers in the table, want %d at most", n, maxServerEnds)
		}
		table.Forget(2 * (holdDuration + suspectRetention))
		if n := len(table.servers); n != 0 {
			t.Errorf("%d servers kept for good", n)
		}
	})
}
