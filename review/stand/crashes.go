package main

import (
	"fmt"
	"strconv"
	"time"
)

func init() { cases["crashes"] = crashes }

const (
	crashSlots   = 4
	crashEngines = 6
	crashTimes   = 3
	// crashDown is how long an engine is down, crashGap the pause between two crashes.
	crashDown = 1500 * time.Millisecond
	crashGap  = 1800 * time.Millisecond
	// The longest item of the step is the one that is most often under way when engines crash.
	longestItem = "item-00"
	longText    = 120
	shortText   = 23
)

// crashes has three engines crash, one after the other, that run the longest item of a step. The
// item doesn't end them: it has run on at each of them for a while, beside others.
func crashes(w *world, trouble bool) ([]string, error) {
	if err := startCrashes(w); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	items := crashItems("item", "/train/%d", 60)
	sent := time.Now()
	if err := w.submit("job-1", "/train/", "m", 1, 15, items, w.nodes...); err != nil {
		return nil, err
	}
	for range crashTimes {
		time.Sleep(crashGap)
		e := w.runner(longestItem)
		if !trouble || e == nil {
			continue
		}
		e.crash(heartbeat)
		time.AfterFunc(crashDown, func() { _, _ = newCrashEngine(w, e.zone) })
	}
	seen := w.follow(w.nodes[1], "job-1", len(items), sent.Add(stepTime))
	w.rec.note("the first step's time is up, or all is listed", "listed", strconv.Itoa(len(seen)))
	broken := lost(w, "job-1", items, seen)
	w.end("job-1", w.nodes[1])
	if len(seen) == len(items) {
		return broken, nil
	}
	more, err := nextStep(w, "job-2", notWhole(items, seen), crashItems("next", "/train/next/%d", 40))
	return append(broken, more...), err
}

func startCrashes(w *world) error {
	for n := range crashEngines {
		if _, err := newCrashEngine(w, string(rune('a'+n%3))); err != nil {
			return err
		}
	}
	w.configure(2, []route{{
		"Name": "r-train", "Host": host, "PathPrefix": "/train/", "Kind": "rollout", "TimeoutMs": 10000, "TargetLatencyMs": 400, "DueMs": 7500,
		"Priority": 0, "Service": "pool", "Attempts": 3, "Resumable": true, "MaxQueueS": 40,
	}}, []map[string]any{modelService("pool", "m", crashSlots)})
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := w.addNode(zone, w.storeAt); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

func newCrashEngine(w *world, zone string) (*engine, error) {
	return w.addEngine(&engine{service: "pool", zone: zone, model: "m", slots: crashSlots, eventTime: 50 * time.Millisecond, events: crashEvents})
}

// crashItems returns items in groups of four.
func crashItems(name, paths string, count int) []item {
	var items []item
	for n := range count {
		path := fmt.Sprintf(paths, n)
		items = append(items, item{id: fmt.Sprintf("%s-%02d", name, n), group: fmt.Sprintf("%s-g%d", name, n/4), path: path, events: crashEvents(path)})
	}
	return items
}

func crashEvents(path string) int {
	if path == "/train/0" {
		return longText
	}
	return shortText
}

// runner returns the engine that runs an item now, or nil.
func (w *world) runner(id string) *engine {
	at := ""
	for _, l := range w.rec.all() {
		if l.args["id"] != id {
			continue
		}
		switch l.what {
		case "runs":
			at = l.args["engine"]
		case "finished", "cut", "dropped":
			if at == l.args["engine"] {
				at = ""
			}
		}
	}
	for _, e := range w.allEngines() {
		if e.id == at {
			return e
		}
	}
	return nil
}
