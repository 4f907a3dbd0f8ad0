package main

import (
	"errors"
	"sync"
	"time"
)

// lateWord has the store lose the answer to the first append that a starting process makes to
// the ledger, and do that append 5 s later. The process is killed while it starts, and started
// again, as `node_kill` with `hard` does.
func lateWord(w *world) bool {
	address := w.startStore()
	zones := []string{"zone-a", "zone-b"}
	for _, id := range []string{"i-a1", "i-a2", "i-b1", "i-b2"} {
		w.addEngine(id, "zone-"+id[2:3], 4, 15, 100*time.Millisecond)
	}
	w.addPlain("i-pa", "zone-a")
	w.addPlain("i-pb", "zone-b")
	w.configure(4)
	w.addNode("front-zone-a-1", "zone-a", address, zones)
	w.addNode("front-zone-b-1", "zone-b", address, zones)
	for _, n := range w.nodes {
		n.launch()
	}
	for _, n := range w.nodes {
		n.awaitReady(20 * time.Second)
	}
	time.Sleep(2 * time.Second)
	first := newJob("1f0c44d2a7be9035", 16)
	if !w.submit(first, first.encode(600), w.nodes...) {
		w.note("the first step was not accepted")
		return false
	}
	w.await(first, first.sent.Add(patience), func() []*node { return w.nodes })
	disrupted := time.Now()
	if w.trouble {
		disrupted = w.restartTwice()
		time.Sleep(time.Until(disrupted.Add(-2 * time.Second)))
	}
	step := newJob("7be41a90c5d3f268", 96)
	if !w.submit(step, step.encode(600), w.nodes...) {
		w.note("the step was not accepted")
		return false
	}
	until := step.sent.Add(patience)
	w.await(step, until, func() []*node { return w.nodes })
	lost := w.lost(step, disrupted.Add(contact), until)
	next := newJob("c2d90e6b1f7a4835", 16)
	if w.submit(next, next.encode(600), w.nodes...) {
		w.await(next, next.sent.Add(patience), func() []*node { return w.nodes })
		w.lost(next, next.sent, next.sent.Add(patience))
	}
	for _, n := range w.nodes {
		w.note("platform: %s is ready: %t", n.name, n.isReady())
	}
	w.listEngines()
	return len(lost) > 0
}

var errNoAppend = errors.New("a starting process appends nothing to the ledger")

// lateBy is how late the store does the appends whose answers it loses: PROTOCOL.md says
// seconds, and the sites' trouble 1 to 6 s.
const lateBy = 5 * time.Second

// killAfter is how long after that append the starting process is killed.
const killAfter = 100 * time.Millisecond

// restartTwice kills all processes, and each of them once more while it starts: as soon as its
// first append to the ledger has reached the store, which does it late. It returns when the
// last disruption ended.
func (w *world) restartTwice() time.Time {
	var mu sync.Mutex
	arrived := make(chan string, len(w.nodes))
	late, writes, armed := 0, 0, false
	w.store.mu.Lock()
	w.store.delay = func(c appendCall) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		writes++
		if c.topic != "ledger" || !c.first || !armed {
			return 0
		}
		late++
		armed = false
		w.note("store: the first append of %s to the ledger, %d bytes, gets no answer and is done in %s", c.producer, c.bytes, lateBy)
		arrived <- c.producer
		return lateBy
	}
	w.store.mu.Unlock()
	for _, n := range w.nodes {
		n.kill()
		time.Sleep(500 * time.Millisecond)
		mu.Lock()
		armed = true
		mu.Unlock()
		n.launch()
		select {
		case <-arrived:
		case <-time.After(10 * time.Second):
			panic(unable{errNoAppend})
		}
		time.Sleep(killAfter)
		n.kill()
		time.Sleep(500 * time.Millisecond)
		n.launch()
	}
	last := time.Now().Add(lateBy)
	for _, n := range w.nodes {
		n.awaitReady(20 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	w.note("store: of %d appends since the first kill, %d were done late without an answer", writes, late)
	return last
}
