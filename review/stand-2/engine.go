package main

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a model engine. It keeps to PROTOCOL.md: it works on slots requests at a time,
// queues a few more, drops a request when its connection closes, and goes on after
// Last-Event-Id.
type engine struct {
	id, service, zone, address string
	slots                      int
	// events is how many events an item has, eventTime the mean time of each:
	// items differ by half of it.
	events    int
	eventTime time.Duration
	world     *world
	server    *http.Server
	crashed   atomic.Bool

	mu      sync.Mutex
	running int
	waiting int
	version int
	// loading is set while an order is carried out; orders are those that were taken.
	loading bool
	orders  []order
	free    chan struct{}
	// visits are the stays of requests at this engine, the wait for a slot included.
	visits []*visit
}

// visit is the stay of one request at an engine.
type visit struct {
	id          string
	began, left time.Time
	// ran is set once the request got a slot, whole once its last event was made.
	ran, whole bool
}

func (e *engine) list() {
	e.world.store.put("keyed.servers", e.id, map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": e.slots, "State": "ready",
		"ColdLeftMs": 0, "Seq": 1, "Stage": "prefill_decode", "Models": []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}},
	})
}

// crash ends the engine for good. Its entry goes after three heartbeats of silence.
func (e *engine) crash() {
	e.world.note("engine %s of service %s has crashed", e.id, e.service)
	e.crashed.Store(true)
	_ = e.server.Close()
	time.AfterFunc(3*heartbeat, func() {
		e.world.note("store: the entry of engine %s has lapsed", e.id)
		e.world.store.put("keyed.servers", e.id, nil)
	})
}

// heartbeat is HeartbeatMs.
const heartbeat = 1200 * time.Millisecond

func (e *engine) setEventTime(span time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.eventTime = span
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Instance-Id", e.id)
	case "/croftmoor/report":
		e.report(w)
	case "/croftmoor/order":
		e.order(w, r)
	default:
		e.run(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"Stage":"prefill_decode","Models":[{"Name":"m","Version":%d,"Adapters":[]}],"Busy":%t,"Seq":%d,"Waiting":%d,"Running":%d,"KvUsed":0,"KvTotal":90000,"Handles":0}`,
		e.version, e.loading, len(e.orders), e.waiting, e.running)
}

// order is an order that the engine has taken.
type order struct {
	at      time.Time
	holder  string
	fence   int64
	version int
}

// loadTime is how long a change of version takes.
const loadTime = 900 * time.Millisecond

// order takes an order to load a version. Where RequireFencing is false, fences are not checked.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Holder  string
		Version     int
		Fence       *int64
		ExpectedRev *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "Version" || o.Holder == "" || o.Fence == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case o.Version <= e.version:
		status = http.StatusOK
	case e.loading, o.ExpectedRev != nil && *o.ExpectedRev != len(e.orders):
		status = http.StatusConflict
	default:
		e.loading = true
		e.orders = append(e.orders, order{at: time.Now(), holder: o.Holder, fence: *o.Fence, version: o.Version})
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.version, e.loading = o.Version, false
		})
	}
	e.world.note("engine %s: order of version %d by %s with fence %d: %d", e.id, o.Version, o.Holder, *o.Fence, status)
	w.WriteHeader(status)
}

// enter takes a slot or a place in the queue.
func (e *engine) enter(id string) (*visit, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting >= 3*e.slots {
		return nil, false
	}
	v := &visit{id: id, began: time.Now()}
	e.visits = append(e.visits, v)
	e.waiting++
	return v, true
}

func (e *engine) leave(v *visit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v.left = time.Now()
	if v.ran {
		e.running--
		e.free <- struct{}{}
	} else {
		e.waiting--
	}
}

func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Attempt-Id")
	v, ok := e.enter(id)
	if !ok {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave(v)
	select {
	case <-r.Context().Done():
		return
	case <-e.free:
	}
	e.mu.Lock()
	v.ran = true
	e.waiting--
	e.running++
	version := e.version
	e.mu.Unlock()
	w.Header().Set("Request-Attempt-Id", id)
	w.Header().Set("Server-Seal", "seal."+id)
	w.Header().Set("Weight-Versions", strconv.Itoa(version))
	w.Header().Set("Content-Type", "text/event-stream")
	e.mu.Lock()
	eventTime := e.eventTime
	e.mu.Unlock()
	pace := eventTime * time.Duration(50+crc32.ChecksumIEEE([]byte(id))%101) / 100
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= e.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pace):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, piece(id, n)+strings.Repeat("x", e.world.pieceBytes))
		_ = http.NewResponseController(w).Flush()
	}
	e.mu.Lock()
	v.whole = true
	e.mu.Unlock()
}

// piece is the data of one event of an item.
func piece(id string, n int) string { return id + "/" + strconv.Itoa(n) }

// plain is a plain service that answers reward calls.
type plain struct {
	id, service, zone, address string
	world                      *world

	mu sync.Mutex
	// answers counts the answers by request id.
	answers map[string]int
}

func (p *plain) list() {
	p.world.store.put("keyed.servers", p.id, map[string]any{
		"Service": p.service, "Address": p.address, "Zone": p.zone, "Version": "v1", "Slots": 6, "State": "ready", "ColdLeftMs": 0, "Seq": 1,
	})
}

// workTime is the mean time of a reward call on the users' deployments.
const workTime = 30 * time.Millisecond

func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != p.id {
		w.Header().Set("Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Attempt-Id")
	p.mu.Lock()
	p.answers[id]++
	n := p.answers[id]
	p.mu.Unlock()
	time.Sleep(workTime)
	p.world.note("server %s ran %s, time %d for this request", p.id, id, n)
	w.Header().Set("Request-Attempt-Id", id)
	w.Header().Set("Server-Seal", "seal."+p.id+"."+id)
	w.Header().Set("Server-Load", "1,0,6")
	_, _ = w.Write([]byte("scored"))
}
