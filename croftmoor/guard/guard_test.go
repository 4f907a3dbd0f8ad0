package guard

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftmoor/rpcs/h2test"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/poison"
	"croftmoor.dev/kernel/tail"
)

// memoryLog is an in-memory platform log.
type memoryLog struct {
	mu          sync.Mutex
	unavailable bool
	records     [][]byte
}

// hasNext reports whether a read returns at once: with the record at from, or with an error.
func (m *memoryLog) hasNext(from ident.Offset) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unavailable || int(from) <= len(m.records)
}

func (m *memoryLog) setUnavailable(unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
}

func (m *memoryLog) Write(ctx context.Context, _ ident.Stream, records ...[]byte) (ident.Offset, error) {
	for ctx.Err() == nil {
		m.mu.Lock()
		if !m.unavailable {
			defer m.mu.Unlock()
			m.records = append(m.records, records...)
			return ident.Offset(len(m.records)), nil
		}
		m.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	return 0, fault.Wrap("guard.Write", tail.Refused, ctx.Err(), "")
}

// Read waits up to wait for a record if there is none, as the platform's log does.
func (m *memoryLog) Read(_ context.Context, _ ident.Stream, from ident.Offset, wait clock.Millis) (tail.Batch, error) {
	time.Sleep(5 * time.Millisecond)
	for began := time.Now(); time.Since(began) < wait.Duration() && !m.hasNext(from); {
		time.Sleep(5 * time.Millisecond)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return tail.Batch{}, fault.New("guard.Read", tail.Unavailable, "away")
	}
	batch := tail.Batch{First: 1, Next: ident.Offset(len(m.records)) + 1}
	for n := max(from, 1); n < batch.Next; n++ {
		batch.Records = append(batch.Records, tail.Record{Offset: n, Data: m.records[n-1]})
	}
	return batch, nil
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 400 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out: %s", what)
}

// startGuards starts guards of instances that share a log. The peers of each guard are all of
// them, including itself.
func startGuards(t *testing.T, log *memoryLog, count int) []*Guard {
	t.Helper()
	var guards []*Guard
	var addresses []ident.Address
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	for n := range count {
		g := &Guard{
			Self: ident.InstanceName(fmt.Sprint("i", n)), Clock: clock.New(), Log: zerolog.Nop(), Reader: log, Writer: log,
			Peers: func() []ident.Address { return addresses },
		}
		g.Setup()
		mux := http.NewServeMux()
		Handle(mux, g)
		addresses = append(addresses, h2test.Serve(t, mux))
		guards = append(guards, g)
	}
	for _, g := range guards {
		group.Go(func() { g.Run(ctx) })
		eventually(t, "the guard runs", func() bool {
			_, ok := g.reserve()
			if ok {
				g.release()
			}
			return ok
		})
	}
	return guards
}

// request returns the fingerprint of a request for a target.
func request(target string) poison.Fingerprint { return poison.Subject{Target: target}.Fingerprint() }

// reportEnds reports that count servers ended while they ran a request. The guards take turns
// to report.
func reportEnds(guards []*Guard, r poison.Fingerprint, count int) {
	for n := range count {
		guards[n%len(guards)].Ended(r, ident.NewBackend(fmt.Sprint("s", n), 1))
	}
}

func assertHeld(t *testing.T, guards []*Guard, r poison.Fingerprint, held bool) {
	t.Helper()
	for n, g := range guards {
		eventually(t, fmt.Sprintf("instance %d: held is %v", n, held), func() bool {
			remaining, _ := g.Held(r)
			return remaining > 0 == held
		})
	}
}

func TestGuards(t *testing.T) {
	t.Run("what each saw alone all know together, and who starts later", func(t *testing.T) {
		log := &memoryLog{}
		guards := startGuards(t, log, 3)
		reportEnds(guards, request("/a"), poison.Threshold)
		assertHeld(t, guards, request("/a"), true)
		assertHeld(t, startGuards(t, log, 1), request("/a"), true)
		assertHeld(t, guards, request("/b"), false)
	})
	t.Run("an answer that one saw clears the request on all", func(t *testing.T) {
		log := &memoryLog{}
		guards := startGuards(t, log, 3)
		reportEnds(guards, request("/a"), poison.Threshold-1)
		eventually(t, "all guards suspect the request", func() bool { return !guards[0].Quiet() && !guards[1].Quiet() && !guards[2].Quiet() })
		eventually(t, "the last guard has both ends", func() bool {
			guards[2].mu.Lock()
			defer guards[2].mu.Unlock()
			return guards[2].table.Verdict(request("/a"), 0).Ends == poison.Threshold-1
		})
		guards[2].Answered(request("/a"))
		eventually(t, "no guard suspects the request", func() bool {
			for _, g := range guards {
				g.mu.Lock()
				suspected := g.table.Suspected(request("/a"))
				g.mu.Unlock()
				if suspected {
					return false
				}
			}
			return true
		})
	})
	t.Run("they tell each other while the log is away, and the log when it is back", func(t *testing.T) {
		log := &memoryLog{}
		guards := startGuards(t, log, 3)
		log.setUnavailable(true)
		reportEnds(guards, request("/a"), poison.Threshold)
		assertHeld(t, guards, request("/a"), true)
		log.setUnavailable(false)
		assertHeld(t, startGuards(t, log, 1), request("/a"), true)
	})
}

func TestGuardsWithoutTheLog(t *testing.T) {
	t.Run("who has not read yet keeps requests back, but not for long", func(t *testing.T) {
		log := &memoryLog{}
		reportEnds(startGuards(t, log, 3), request("/a"), poison.Threshold)
		eventually(t, "the log has all ends", func() bool {
			log.mu.Lock()
			defer log.mu.Unlock()
			return len(log.records) == poison.Threshold
		})
		log.setUnavailable(true)
		late := startGuards(t, log, 1)[0]
		remaining, _ := late.Held(request("/b"))
		if late.Quiet() || late.Ready() || remaining != unreadRetryAfter {
			t.Errorf("before the log is read, a request is held for %d ms, want %d with Ready and Quiet false", remaining, unreadRetryAfter)
		}
		log.setUnavailable(false)
		assertHeld(t, []*Guard{late}, request("/a"), true)
		assertHeld(t, []*Guard{late}, request("/b"), false)
		log.setUnavailable(true)
		blind := startGuards(t, log, 1)[0]
		_, _ = blind.Held(request("/b"))
		time.Sleep((maxUnreadWait + unreadRetryAfter).Duration())
		assertHeld(t, []*Guard{blind}, request("/b"), false)
	})
	t.Run("who starts where nothing is held serves at once", func(t *testing.T) {
		g := startGuards(t, &memoryLog{}, 1)[0]
		began := time.Now()
		eventually(t, "the guard is ready", g.Ready)
		if took := time.Since(began); took > pollWait.Duration()/2 {
			t.Errorf("ready after %v", took)
		}
	})
	t.Run("many ends at once while the log is away are bounded", func(t *testing.T) {
		log := &memoryLog{unavailable: true}
		guards := startGuards(t, log, 1)
		for n := range 4 * maxPending {
			guards[0].Ended(request(fmt.Sprint(n)), ident.NewBackend("s", 1))
		}
		guards[0].mu.Lock()
		pending, dropped := guards[0].pending, guards[0].dropped
		guards[0].mu.Unlock()
		if pending > maxPending || dropped != 3*maxPending {
			t.Errorf("%d records pending, %d dropped", pending, dropped)
		}
	})
}
