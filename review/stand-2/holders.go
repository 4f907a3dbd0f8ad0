package main

import (
	"slices"
	"strings"
	"time"
)

// twoHolders has a trainer name a version each 4 s, and restarts in order a machine that doesn't
// order weights, once the store has dropped the records that are older than MaxQueueS.
func twoHolders(w *world) bool {
	w.retention = retention{maxQueueS: 40, statusS: 16}
	if w.maxQueueS > 0 {
		w.retention = retention{maxQueueS: w.maxQueueS, statusS: 120}
	}
	w.store.keeps = time.Duration(w.retention.maxQueueS) * time.Second
	address := w.startStore()
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for _, zone := range zones {
		w.addEngine("i-"+zone[5:]+"1", zone, 12, 15, 40*time.Millisecond)
		w.addEngine("i-"+zone[5:]+"2", zone, 12, 15, 40*time.Millisecond)
		w.addPlain("i-p"+zone[5:], zone)
	}
	w.configure(12)
	for _, zone := range zones {
		w.addNode("front-"+zone+"-1", zone, address, zones)
	}
	for _, n := range w.nodes {
		n.launch()
	}
	for _, n := range w.nodes {
		n.awaitReady(20 * time.Second)
	}
	named := 1
	name := func(until time.Time) {
		for time.Now().Before(until) {
			named++
			w.note("trainer: version %d is named", named)
			w.store.put("keyed.op", "version/m", map[string]any{"Model": "m", "Version": named})
			time.Sleep(4 * time.Second)
		}
	}
	name(time.Now().Add(w.store.keeps + 8*time.Second))
	holder := w.lastHolder()
	w.note("platform: the orders come from %s", holder)
	if w.trouble {
		other := w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.name != holder })]
		other.restart()
		other.awaitReady(20 * time.Second)
	}
	name(time.Now().Add(24 * time.Second))
	time.Sleep(3 * time.Second)
	return w.ordersOverlap()
}

// machineOf returns the machine of a holder's name.
func machineOf(holder string) string {
	machine, _, _ := strings.Cut(holder, "~")
	return machine
}

// lastHolder returns the machine that gave the last order.
func (w *world) lastHolder() string {
	var last order
	for _, e := range w.engines {
		e.mu.Lock()
		if n := len(e.orders); n > 0 && e.orders[n-1].at.After(last.at) {
			last = e.orders[n-1]
		}
		e.mu.Unlock()
	}
	return machineOf(last.holder)
}

// leaseTerm is LeaseMs.
const leaseTerm = 3 * time.Second

// ordersOverlap applies ONE to the orders that the engines have taken: no lower fence after a
// higher one, and no turns of two machines within LeaseMs.
func (w *world) ordersOverlap() bool {
	broken := false
	for _, e := range w.engines {
		e.mu.Lock()
		highest := order{}
		for n, o := range e.orders {
			if o.fence < highest.fence {
				broken = true
				w.note("judge: engine %s took an order of %s with fence %d after one of %s with fence %d", e.id, o.holder, o.fence, highest.holder, highest.fence)
			} else {
				highest = o
			}
			if n >= 2 && machineOf(o.holder) != machineOf(e.orders[n-1].holder) && machineOf(o.holder) == machineOf(e.orders[n-2].holder) && o.at.Sub(e.orders[n-2].at) < leaseTerm {
				broken = true
				w.note("judge: engine %s took orders of two machines in turns within %s", e.id, leaseTerm)
			}
		}
		w.note("judge: engine %s took %d orders", e.id, len(e.orders))
		e.mu.Unlock()
	}
	return broken
}
