package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["comment"] = comment }

const (
	commentEngines = 6
	commentStreams = 24
	commentEvents  = 40
	// commentCrash is when an engine crashes, commentWait how long the other engines take to the
	// first event of a stream that they go on with; the pages let a caller wait two seconds.
	commentCrash = 900 * time.Millisecond
	commentWait  = 1300 * time.Millisecond
)

// comment has engines that open each stream with a comment, as text/event-stream allows. One of them
// crashes while streams run; the others are sound, and take a while to go on with its streams.
func comment(w *world, trouble bool) ([]string, error) {
	var engines []*engine
	for n := range commentEngines {
		e, err := w.addEngine(&engine{
			service: "pool", zone: string(rune('a' + n%3)), model: "m", slots: 12, eventTime: 50 * time.Millisecond,
			events: func(string) int { return commentEvents }, opening: ": open\n\n", resumeTime: commentWait,
		})
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	if os.Getenv("NOCOMMENT") != "" {
		for _, e := range engines {
			e.opening = ""
		}
	}
	w.configure(2, []route{{
		"Name": "r-s", "Host": host, "PathPrefix": "/s/", "Kind": "stream", "Resumable": true, "TimeoutMs": 10000, "TargetLatencyMs": 500,
		"Priority": 1, "Service": "pool", "Attempts": 3, "Sticky": true,
	}}, []map[string]any{modelService("pool", "m", 12)})
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := w.addNode(zone, w.storeAt); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var broken []string
	var group sync.WaitGroup
	for n := range commentStreams {
		group.Add(1)
		go func() {
			defer group.Done()
			if problem := w.readStream(w.nodes[n%len(w.nodes)], fmt.Sprintf("stream-%02d", n)); problem != "" {
				mu.Lock()
				broken = append(broken, problem)
				mu.Unlock()
			}
		}()
	}
	time.Sleep(commentCrash)
	if trouble {
		engines[0].crash(heartbeat)
	}
	group.Wait()
	return broken, nil
}

// readStream asks for a stream and returns how its answer breaks the rule on streams, or "".
func (w *world) readStream(n *node, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	path := "/s/" + id
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+path, strings.NewReader("prompt of "+id))
	if err != nil {
		return ""
	}
	r.Host = host
	r.Header.Set("Request-Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "10000")
	w.rec.note("sent", "id", id, "node", n.name)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		w.rec.note("no answer", "id", id)
		return ""
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	var ids []string
	for _, l := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(l, "id: "); ok {
			ids = append(ids, value)
		}
	}
	w.rec.note("answered", "id", id, "status", strconv.Itoa(answer.StatusCode), "events", strings.Join(ids, ","), "whole", strconv.FormatBool(err == nil))
	for k, got := range ids {
		if got != strconv.Itoa(k+1) {
			return fmt.Sprintf("ORDER: %s: event %s comes after event %s", id, got, ids[max(k-1, 0)])
		}
	}
	if err == nil && answer.StatusCode == http.StatusOK && len(ids) < commentEvents {
		return fmt.Sprintf("ORDER: %s ends as complete after %d of %d events", id, len(ids), commentEvents)
	}
	return ""
}
