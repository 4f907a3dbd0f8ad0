package main

import (
	"fmt"
	"strconv"
	"time"
)

func init() { cases["single"] = single }

const (
	singleSlots   = 4
	singleEngines = 6
	singleLong    = 60
)

// single has a route whose texts must be of one version. While most engines have taken the next
// version and the last one ends its runs of the version before, that one crashes.
func single(w *world, trouble bool) ([]string, error) {
	for n := range singleEngines {
		e := &engine{service: "pool", zone: string(rune('a' + n%3)), model: "m", slots: singleSlots, eventTime: 60 * time.Millisecond, events: func(string) int { return singleLong }}
		if _, err := w.addEngine(e); err != nil {
			return nil, err
		}
	}
	w.configure(2, []route{{
		"Name": "r-train", "Host": host, "PathPrefix": "/train/", "Kind": "rollout", "TimeoutMs": 10000, "TargetLatencyMs": 400, "DueMs": 7500,
		"Priority": 0, "Service": "pool", "Attempts": 3, "Resumable": true, "SingleVersion": true, "MaxQueueS": 40,
	}}, []map[string]any{modelService("pool", "m", singleSlots)})
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := w.addNode(zone, w.storeAt); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var items []item
	for n := range 30 {
		items = append(items, item{id: fmt.Sprintf("long-%02d", n), group: fmt.Sprintf("g%d", n/4), path: fmt.Sprintf("/train/long/%d", n), events: singleLong})
	}
	sent := time.Now()
	if err := w.submit("job-1", "/train/", "m", 1, 8, items, w.nodes...); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	w.name("m", 2)
	// Wait until all engines have taken the order, and end their runs before they load.
	for range 400 {
		ordered := 0
		for _, e := range w.engines {
			if e.isLoading() {
				ordered++
			}
		}
		if ordered == len(w.engines) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	last := w.engines[0]
	if trouble {
		last.crash(heartbeat)
	}
	seen := w.follow(w.nodes[1], "job-1", len(items), sent.Add(stepTime))
	w.rec.note("the step's time is up, or all is listed", "listed", strconv.Itoa(len(seen)))
	return lost(w, "job-1", items, seen), nil
}
