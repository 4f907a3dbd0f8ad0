package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// fillerItems items of fillerBody bytes make a batch job of 31.5 MB, which is below
	// MaxBodyBytes (33,554,432).
	fillerItems = 96
	fillerBody  = 240 << 10
	usualBody   = 600
	// fillerRest is what a filler takes besides its bodies, at most, and leftOver about what the
	// store has left when the last step is sent.
	fillerRest = 600 << 10
	leftOver   = 250 << 10
	fastEvent  = 5 * time.Millisecond
	usualEvent = 40 * time.Millisecond
)

// fullStore has trainers submit, run and end large batch jobs, until the store keeps nearly the
// 400 MB beyond which it refuses appends. Nothing else is done to any machine or to the store.
func fullStore(w *world) bool {
	address := w.startStore()
	zones := []string{"zone-a", "zone-b"}
	w.pieceBytes = 290
	for _, id := range []string{"i-a1", "i-a2", "i-b1", "i-b2"} {
		w.addEngine(id, "zone-"+id[2:3], 4, 15, fastEvent)
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
	if !w.fill() {
		return false
	}
	for _, e := range w.engines {
		e.setEventTime(usualEvent)
	}
	step := newJob("e90b37c5d1a8f264", 160)
	if !w.submit(step, step.encode(usualBody), w.nodes...) {
		w.note("the step was not accepted")
		return false
	}
	until := step.sent.Add(patience)
	w.await(step, until, func() []*node { return w.nodes })
	lost := w.lost(step, step.sent, until)
	for _, n := range w.nodes {
		w.note("platform: %s is ready: %t", n.name, n.isReady())
	}
	w.listEngines()
	return len(lost) > 0
}

// fill has batch jobs submitted, run and ended, one after the other. With the disruption they
// are large, until the store has leftOver bytes left; without it they are as many and small.
func (w *world) fill() bool {
	for k := 0; ; k++ {
		left := keptBytes - w.store.kept() - leftOver - fillerRest
		body := usualBody
		if w.trouble {
			body = min(fillerBody, left/fillerItems)
		}
		if body < usualBody || (!w.trouble && k == 17) {
			w.note("store: %d bytes are kept, %d are left", w.store.kept(), keptBytes-w.store.kept())
			return true
		}
		j := newJob(fmt.Sprintf("%08x4d2a7be9", 0xf1000000+k), fillerItems)
		j.items = j.items[:fillerItems]
		if !w.submit(j, j.encode(body), w.nodes[k%2], w.nodes[1-k%2]) {
			w.note("a job was not accepted")
			return false
		}
		w.await(j, j.sent.Add(patience), func() []*node { return w.nodes })
		status, _ := w.call(w.nodes[k%2], http.MethodDelete, "/croftmoor/lots/"+j.id, "", nil, 5*time.Second)
		w.note("trainer: job %s ended: %d", j.id, status)
	}
}

func (s *store) kept() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}
