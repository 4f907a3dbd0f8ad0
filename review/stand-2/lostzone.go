package main

import "time"

// lostZone loses the only machine of a zone for good while a step runs. Its three engines go
// on; the other zone has a machine and one engine.
func lostZone(w *world) bool {
	address := w.startStore()
	zones := []string{"zone-a", "zone-b"}
	for _, id := range []string{"i-a1", "i-a2", "i-a3"} {
		w.addEngine(id, "zone-a", 4, 15, 100*time.Millisecond)
	}
	w.addEngine("i-b1", "zone-b", 4, 15, 100*time.Millisecond)
	w.addPlain("i-pa", "zone-a")
	w.addPlain("i-pb", "zone-b")
	w.configure(4)
	a := w.addNode("front-zone-a-1", "zone-a", address, zones)
	b := w.addNode("front-zone-b-1", "zone-b", address, zones)
	for _, n := range w.nodes {
		n.launch()
	}
	for _, n := range w.nodes {
		n.awaitReady(20 * time.Second)
	}
	time.Sleep(2 * time.Second)
	step := newJob("5a1e07c4b9d26f38", 64)
	if !w.submit(step, step.encode(600), b, a) {
		w.note("the step was not accepted")
		return false
	}
	until := step.sent.Add(patience)
	alive := func() []*node { return w.nodes }
	steadyFrom := step.sent
	if w.trouble {
		time.Sleep(time.Until(step.sent.Add(2500 * time.Millisecond)))
		a.kill()
		alive = func() []*node { return without(w.nodes, a) }
		steadyFrom = time.Now().Add(contact)
	}
	w.await(step, until, alive)
	lost := w.lost(step, steadyFrom, until)
	w.listEngines()
	return len(lost) > 0
}
