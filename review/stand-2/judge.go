package main

import (
	"slices"
	"time"
)

const (
	// idleLimit is the time at no engine that breaks LOST, contact is ContactMs and patience the
	// time after which the trainers of the small deployments give a step up (deadline_ms).
	idleLimit = 5 * time.Second
	contact   = 3 * time.Second
	patience  = 12 * time.Second
)

// lost applies the rule LOST to a step that ran out of time: it returns the items that no engine
// has finished, that were at no engine for the last 5 s, all of them in steady state, while the
// engines were under half full and other items of the step had begun.
func (w *world) lost(j *job, steadyFrom, until time.Time) []string {
	if len(j.results) == len(j.items) {
		w.note("judge: job %s has all its results", j.id)
		return nil
	}
	if until.Sub(steadyFrom) < idleLimit {
		w.note("judge: only %s of steady state before the step's time was up", until.Sub(steadyFrom))
		return nil
	}
	begun, waiting := 0, []string(nil)
	for _, id := range j.items {
		seen, busy := w.visitsOf(id, until)
		if seen {
			begun++
		}
		if !busy {
			waiting = append(waiting, id)
		}
	}
	slots, most := 0, 0
	for _, e := range w.engines {
		if !e.crashed.Load() {
			slots += e.slots
		}
	}
	for at := until.Add(-idleLimit); at.Before(until); at = at.Add(50 * time.Millisecond) {
		present := 0
		for _, e := range w.engines {
			present += e.presentAt(at)
		}
		most = max(most, present)
	}
	w.note("judge: of %d items of job %s, %d had begun and %d were finished by no engine and at none in the last 5 s; the engines held %d requests at most then, of %d slots at engines that live",
		len(j.items), j.id, begun, len(waiting), most, slots)
	if begun == 0 || 2*most >= slots {
		return nil
	}
	return waiting
}

// visitsOf tells whether an item was at an engine before a time, and whether it was finished by
// then or at an engine within the last 5 s.
func (w *world) visitsOf(id string, until time.Time) (seen, busy bool) {
	for _, e := range w.engines {
		e.mu.Lock()
		for _, v := range e.visits {
			if v.id != id || v.began.After(until) {
				continue
			}
			seen = seen || v.ran
			busy = busy || v.whole || v.left.IsZero() || v.left.After(until.Add(-idleLimit))
		}
		e.mu.Unlock()
	}
	return seen, busy
}

// presentAt returns how many requests the engine held at a time, those in its queue included.
func (e *engine) presentAt(at time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, v := range e.visits {
		if v.began.Before(at) && (v.left.IsZero() || v.left.After(at)) {
			n++
		}
	}
	return n
}

// listEngines notes what the engines have run.
func (w *world) listEngines() {
	for _, e := range w.engines {
		e.mu.Lock()
		whole := 0
		for _, v := range e.visits {
			if v.whole {
				whole++
			}
		}
		w.note("engine %s in zone %s: %d requests came, %d ran to their end", e.id, e.zone, len(e.visits), whole)
		e.mu.Unlock()
	}
}

// without returns the nodes but one.
func without(nodes []*node, gone *node) []*node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n == gone })
}
