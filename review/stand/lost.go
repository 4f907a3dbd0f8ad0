package main

import (
	"fmt"
	"strconv"
	"time"
)

const (
	// stepTime is how long a trainer waits for a step, and longestStill how long an item of it may
	// be at no engine. A run that its sender ends within shortRun doesn't count. The rule does not
	// look at a time in which a version was named, or in namedBefore before it.
	stepTime     = 12 * time.Second
	longestStill = 5 * time.Second
	shortRun     = time.Second
	namedBefore  = 6 * time.Second
)

// run is a time that an item spent at an engine.
type run struct{ from, to time.Duration }

// lost checks the rule on steps that run out of time, now that the time of a job is up. It returns
// a line for each item that has no result, that no engine has finished or failed, and that was at
// no engine for longestStill, while other items of the job had begun, engines were under half
// full, and no version was named.
func lost(w *world, job string, items []item, seen map[string]result) []string {
	end := time.Since(w.rec.began)
	// The runs that are under way now may be some that their sender ends within shortRun.
	time.Sleep(shortRun)
	lines := w.rec.all()
	open, runs := map[string]time.Duration{}, map[string][]run{}
	finished, begun := map[string]bool{}, map[string]bool{}
	var named, submitted time.Duration = -namedBefore, 0
	for _, l := range lines {
		if l.at > end && l.what == "runs" {
			continue
		}
		key := l.args["id"] + " at " + l.args["engine"]
		switch l.what {
		case "submitted":
			if l.args["job"] == job {
				submitted = l.at
			}
		case "version named":
			named = l.at
		case "runs":
			open[key] = l.at
			if submitted > 0 {
				begun[l.args["id"]] = true
			}
		case "finished", "cut", "dropped":
			from, known := open[key]
			delete(open, key)
			if l.what == "finished" {
				finished[l.args["id"]] = true
			}
			if known && (l.what != "dropped" || l.at-from >= shortRun) {
				runs[l.args["id"]] = append(runs[l.args["id"]], run{from, l.at})
			}
		}
	}
	since := max(named+namedBefore, submitted)
	if end-since < longestStill {
		return nil
	}
	if len(open)*2 >= w.places() {
		w.rec.note("the engines are half full", "running", strconv.Itoa(len(open)))
		return nil
	}
	var broken []string
	for _, i := range items {
		if _, listed := seen[i.id]; listed || finished[i.id] {
			continue
		}
		last := since
		for _, r := range runs[i.id] {
			last = max(last, r.to)
		}
		running := false
		for _, e := range w.allEngines() {
			_, here := open[i.id+" at "+e.id]
			running = running || here
		}
		others := 0
		for _, other := range items {
			if other.id != i.id && begun[other.id] {
				others++
			}
		}
		if still := end - last; still >= longestStill && !running && others > 0 {
			broken = append(broken, fmt.Sprintf("LOST: the time of %s is up, and %s, which no engine has finished or failed, has been at no engine for %d ms (runs that count: %d)",
				job, i.id, still.Milliseconds(), len(runs[i.id])))
		}
	}
	return broken
}

// places returns how many requests the engines that live run at once.
func (w *world) places() int {
	n := 0
	for _, e := range w.allEngines() {
		if !e.isGone() {
			n += e.slots
		}
	}
	return n
}

// notWhole returns the items of the groups of which not every item is listed.
func notWhole(items []item, seen map[string]result) []item {
	missing := map[string]bool{}
	for _, i := range items {
		if _, listed := seen[i.id]; !listed {
			missing[i.group] = true
		}
	}
	var again []item
	for _, i := range items {
		if missing[i.group] {
			again = append(again, i)
		}
	}
	return again
}

// nextStep submits a step that brings groups back, with as many new groups or more beside them, waits
// for it and checks the rule.
func nextStep(w *world, job string, again, fresh []item) ([]string, error) {
	items := append(append([]item(nil), again...), fresh...)
	sent := time.Now()
	if err := w.submit(job, "/train/", "m", 1, (len(items)+3)/4, items, w.nodes...); err != nil {
		return nil, err
	}
	seen := w.follow(w.nodes[2], job, len(items), sent.Add(stepTime))
	w.rec.note("the time of "+job+" is up, or all is listed", "listed", strconv.Itoa(len(seen)), "items", strconv.Itoa(len(items)))
	return lost(w, job, items, seen), nil
}
