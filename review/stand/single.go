package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

func init() {
	cases["single"] = single
	cases["single-back"] = singleBack
}

const (
	singleSlots   = 4
	singleEngines = 6
	singleLong    = 60
	// singleDown is how long the engine is away if BACK is set in the environment.
	singleDown = 4500 * time.Millisecond
)

// single has a route whose texts must be of one version. All engines have taken the order to load
// the next version and end their runs of the version before, when one of them crashes. A later batch
// job brings the groups back that were not whole.
func single(w *world, trouble bool) ([]string, error) {
	if err := startSingle(w); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	items := singleItems("long", 30)
	sent := time.Now()
	if err := w.submit("job-1", "/train/", "m", 1, 8, items, w.nodes...); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	w.name("m", 2)
	// Wait until all engines have taken the order, and end their runs before they load.
	for range 400 {
		ordered := 0
		for _, e := range w.allEngines() {
			if e.isLoading() {
				ordered++
			}
		}
		if ordered == len(w.allEngines()) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if trouble {
		e := w.allEngines()[0]
		e.crash(heartbeat)
		if os.Getenv("BACK") != "" {
			// A server that starts again has the version that it had.
			time.AfterFunc(singleDown, func() { _, _ = newSingleEngine(w, e.zone) })
		}
	}
	seen := w.follow(w.nodes[1], "job-1", len(items), sent.Add(stepTime))
	w.rec.note("the first step's time is up, or all is listed", "listed", strconv.Itoa(len(seen)))
	broken := lost(w, "job-1", items, seen)
	w.end("job-1", w.nodes[1])
	again := notWhole(items, seen)
	if len(again) == 0 {
		return broken, nil
	}
	more, err := nextStep(w, "job-2", again, singleItems("next", len(again)))
	return append(broken, more...), err
}

// startSingle starts a deployment whose route asks for texts of one version.
func startSingle(w *world) error {
	for n := range singleEngines {
		if _, err := newSingleEngine(w, string(rune('a'+n%3))); err != nil {
			return err
		}
	}
	w.configure(2, []route{{
		"Name": "r-train", "Host": host, "PathPrefix": "/train/", "Kind": "rollout", "TimeoutMs": 10000, "TargetLatencyMs": 400, "DueMs": 7500,
		"Priority": 0, "Service": "pool", "Attempts": 3, "Resumable": true, "SingleVersion": true, "MaxQueueS": 40,
	}}, []map[string]any{modelService("pool", "m", singleSlots)})
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := w.addNode(zone, w.storeAt); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

func newSingleEngine(w *world, zone string) (*engine, error) {
	return w.addEngine(&engine{service: "pool", zone: zone, model: "m", slots: singleSlots, eventTime: 60 * time.Millisecond, events: func(string) int { return singleLong }})
}

// singleBack has nothing fail: a step ends with its texts under way, the next version is named and
// loaded, and a later batch job brings the groups back. Without trouble the job has new ids.
func singleBack(w *world, trouble bool) ([]string, error) {
	if err := startSingle(w); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	items := singleItems("first", 20)
	if err := w.submit("job-1", "/train/", "m", 1, 5, items, w.nodes...); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	w.end("job-1", w.nodes[0])
	w.name("m", 2)
	time.Sleep(6 * time.Second)
	if !trouble {
		items = singleItems("second", 20)
	}
	return nextStep(w, "job-2", items, singleItems("third", 20))
}

// singleItems returns items in groups of four, all of the same length.
func singleItems(name string, count int) []item {
	var items []item
	for n := range count {
		items = append(items, item{id: fmt.Sprintf("%s-%02d", name, n), group: fmt.Sprintf("%s-g%d", name, n/4), path: fmt.Sprintf("/train/%s/%d", name, n), events: singleLong})
	}
	return items
}
