package main

import (
	"fmt"
	"strconv"
	"time"
)

func init() { cases["moved"] = moved }

const (
	movedModel  = "m"
	movedSlots  = 4
	movedEvents = 23
	movedItems  = 96
	// movedNext is how long after the change the next step is submitted: the change is in force
	// everywhere by then.
	movedNext = 3 * time.Second
)

// moved submits the batch job of a step, and moves its route to another service with engines of the
// same model while a part of the items has run.
func moved(w *world, trouble bool) ([]string, error) {
	services := []map[string]any{modelService("pool-one", movedModel, movedSlots), modelService("pool-two", movedModel, movedSlots)}
	to := func(service string) []route {
		return []route{{
			"Name": "r-train", "Host": host, "PathPrefix": "/train/", "Kind": "rollout", "TimeoutMs": 10000, "TargetLatencyMs": 400, "DueMs": 7500,
			"Priority": 0, "Service": service, "Attempts": 3, "Resumable": true, "MaxQueueS": 40,
		}}
	}
	for _, service := range []string{"pool-one", "pool-two"} {
		for _, zone := range []string{"a", "b", "c"} {
			e := &engine{service: service, zone: zone, model: movedModel, slots: movedSlots, eventTime: 30 * time.Millisecond, events: func(string) int { return movedEvents }}
			if _, err := w.addEngine(e); err != nil {
				return nil, err
			}
		}
	}
	w.configure(2, to("pool-one"), services)
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
	for n := range movedItems {
		items = append(items, item{id: fmt.Sprintf("item-%02d", n), group: fmt.Sprintf("g%d", n/4), path: fmt.Sprintf("/train/%d", n), events: movedEvents})
	}
	sent := time.Now()
	if err := w.submit("job-1", "/train/", movedModel, 1, movedItems/4, items, w.nodes...); err != nil {
		return nil, err
	}
	if trouble {
		time.Sleep(2 * time.Second)
		w.configure(5, to("pool-two"), services)
	}
	time.Sleep(movedNext)
	var next []item
	for n := range movedItems / 2 {
		next = append(next, item{id: fmt.Sprintf("next-%02d", n), group: fmt.Sprintf("n%d", n/4), path: fmt.Sprintf("/train/n%d", n), events: movedEvents})
	}
	nextSent := time.Now()
	if err := w.submit("job-2", "/train/", movedModel, 1, len(next)/4, next, w.nodes...); err != nil {
		return nil, err
	}
	seen := w.follow(w.nodes[1], "job-1", movedItems, sent.Add(stepTime))
	w.rec.note("the first step's time is up, or all is listed", "listed", strconv.Itoa(len(seen)))
	broken := lost(w, "job-1", items, seen)
	w.end("job-1", w.nodes[1])
	seen = w.follow(w.nodes[2], "job-2", len(next), nextSent.Add(stepTime))
	w.rec.note("the second step's time is up, or all is listed", "listed", strconv.Itoa(len(seen)))
	return append(broken, lost(w, "job-2", next, seen)...), nil
}
