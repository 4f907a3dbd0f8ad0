package main

import "time"

// deadShare has the only engine of a service crash for good that gets a tenth of a route's
// items. The other service of the route has six sound engines.
func deadShare(w *world) bool {
	address := w.startStore()
	zones := []string{"zone-a", "zone-b"}
	for _, id := range []string{"i-a1", "i-a2", "i-a3", "i-b1", "i-b2", "i-b3"} {
		w.addEngine(id, "zone-"+id[2:3], 4, 15, 25*time.Millisecond)
	}
	small := w.addEngineOf("model-next", "i-n1", "zone-b", 4, 15, 25*time.Millisecond)
	w.addPlain("i-pa", "zone-a")
	w.addPlain("i-pb", "zone-b")
	w.configure(4, share{Service: "model", Weight: 90}, share{Service: "model-next", Weight: 10})
	w.addNode("front-zone-a-1", "zone-a", address, zones)
	w.addNode("front-zone-b-1", "zone-b", address, zones)
	for _, n := range w.nodes {
		n.launch()
	}
	for _, n := range w.nodes {
		n.awaitReady(20 * time.Second)
	}
	time.Sleep(2 * time.Second)
	step := newJob("b83c07e5d12f946a", 200)
	if !w.submit(step, step.encode(600), w.nodes...) {
		w.note("the step was not accepted")
		return false
	}
	until := step.sent.Add(patience)
	steadyFrom := step.sent
	if w.trouble {
		time.Sleep(time.Until(step.sent.Add(500 * time.Millisecond)))
		small.crash()
		steadyFrom = time.Now().Add(contact)
	}
	w.await(step, until, func() []*node { return w.nodes })
	lost := w.lost(step, steadyFrom, until)
	next := newJob("c4519fa0e7d3826b", 200)
	if !w.submit(next, next.encode(600), w.nodes...) {
		w.note("the next step was not accepted")
		return len(lost) > 0
	}
	w.await(next, next.sent.Add(patience), func() []*node { return w.nodes })
	lost = append(lost, w.lost(next, next.sent, next.sent.Add(patience))...)
	w.listEngines()
	return len(lost) > 0
}
