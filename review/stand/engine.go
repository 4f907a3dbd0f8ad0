package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is one incarnation of a model engine or of a server of a plain service. It runs up to
// slots requests at a time and queues some more.
type engine struct {
	id, service, zone, address string
	model                      string
	slots                      int
	eventTime                  time.Duration
	store                      *store
	rec                        *recorder
	// opening is sent at the beginning of each stream, resumeTime is how long an engine takes to go
	// on with the stream of another one.
	opening    string
	resumeTime time.Duration
	// events tells how many events the text of a path has.
	events func(path string) int

	mu      sync.Mutex
	version int64
	orders  int64
	fence   int64
	running int
	waiting int
	// loading is set from an order until it is done; halt is closed meanwhile, which turns away the
	// requests that wait.
	loading bool
	halt    chan struct{}
	gone    bool
	conns   map[net.Conn]struct{}
	server  *http.Server
	free    chan struct{}
	// onEvent is called before each event is written; it may be nil.
	onEvent func(id string, n int)
}

const queueLength = 36

// start listens on a free port of ip and lists the engine.
func (e *engine) start(ip string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	e.address, e.version = l.Addr().String(), max(e.version, 1)
	e.conns, e.free, e.halt = map[net.Conn]struct{}{}, make(chan struct{}, e.slots), make(chan struct{})
	e.server = &http.Server{Handler: e, ErrorLog: log.New(io.Discard, "", 0), ConnState: e.track}
	go func() { _ = e.server.Serve(l) }()
	e.list("ready")
	return nil
}

func (e *engine) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(e.conns, c)
		return
	}
	e.conns[c] = struct{}{}
}

// list writes the engine's entry into the store.
func (e *engine) list(state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": e.slots, "State": state, "ColdLeftMs": 0, "Seq": e.orders + 1,
	}
	if e.model != "" {
		entry["Stage"] = "prefill_decode"
		entry["Models"] = []any{map[string]any{"Name": e.model, "Version": e.version, "Adapters": []string{}}}
	}
	e.store.put("keyed.servers", e.id, entry)
}

// crash ends the engine as a process that dies does: its port is dead and its connections are
// reset. Its entry goes after three heartbeats of silence.
func (e *engine) crash(heartbeat time.Duration) {
	e.rec.note("crash", "engine", e.id)
	e.mu.Lock()
	e.gone = true
	conns := make([]net.Conn, 0, len(e.conns))
	for c := range e.conns {
		conns = append(conns, c)
	}
	e.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = e.server.Close()
	time.AfterFunc(3*heartbeat, func() { e.store.put("keyed.servers", e.id, nil) })
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/croftmoor/report":
		e.report(w)
		return
	case "/croftmoor/order":
		e.order(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Attempt-Id")
	e.rec.note("arrives", "id", id, "engine", e.id, "service", e.service, "resume", r.Header.Get("Last-Event-Id"))
	if !e.enter(r) {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Request-Attempt-Id", id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	e.rec.note("runs", "id", id, "engine", e.id, "service", e.service)
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()
	w.Header().Set("Request-Attempt-Id", id)
	w.Header().Set("Server-Seal", "seal."+id+"."+strconv.Itoa(len(body)))
	w.Header().Set("Server-Load", e.load())
	if e.model == "" {
		time.Sleep(e.eventTime)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(w)
	_, _ = io.WriteString(w, e.opening)
	_ = control.Flush()
	if from > 0 {
		time.Sleep(e.resumeTime)
	}
	most := e.events(r.URL.Path)
	for n := from + 1; n <= most; n++ {
		select {
		case <-r.Context().Done():
			what := "dropped"
			if e.isGone() {
				what = "cut"
			}
			e.rec.note(what, "id", id, "engine", e.id, "events", strconv.Itoa(n-1))
			return
		case <-time.After(e.eventTime):
		}
		if e.onEvent != nil {
			e.onEvent(id, n)
		}
		prefix := ""
		if now := e.currentVersion(); now != version {
			version, prefix = now, fmt.Sprintf("weight-versions: %d\n", now)
		}
		if _, err := fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", prefix, n, eventData(r.URL.Path, n)); err != nil {
			return
		}
		_ = control.Flush()
	}
	e.rec.note("finished", "id", id, "engine", e.id)
}

// eventData is the data of event n of the text of a path, textOf the whole text.
func eventData(path string, n int) string { return path + "." + strconv.Itoa(n) }

func textOf(path string, events int) string {
	var data []string
	for n := 1; n <= events; n++ {
		data = append(data, eventData(path, n))
	}
	return strings.Join(data, "\n")
}

// enter waits for a slot. It returns false if the queue is full, the engine loads a version before
// the request has begun, or the caller leaves.
func (e *engine) enter(r *http.Request) bool {
	e.mu.Lock()
	halt := e.halt
	if e.waiting >= queueLength || e.loading {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	ok := true
	select {
	case e.free <- struct{}{}:
	case <-halt:
		ok = false
	case <-r.Context().Done():
		ok = false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	if ok && e.loading {
		<-e.free
		return false
	}
	if ok {
		e.running++
	}
	return ok
}

func (e *engine) leave() {
	<-e.free
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.slots)
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"Stage": "prefill_decode", "Models": []any{map[string]any{"Name": e.model, "Version": e.version, "Adapters": []string{}}},
		"Busy": e.loading, "Seq": e.orders, "Waiting": e.waiting, "Running": e.running, "KvUsed": 0, "KvTotal": 80000, "Handles": 0,
	})
}

// loadTime is how long a change of version takes.
const loadTime = 900 * time.Millisecond

func (e *engine) isLoading() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loading
}

func (e *engine) isGone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gone
}

func (e *engine) currentVersion() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// order takes a change of version. With the manner block the runs end first; with retain they go
// on under the new version.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Manner, Holder string
		Version, Fence            int64
		ExpectedRev               *int64
	}
	body, _ := io.ReadAll(r.Body)
	if json.Unmarshal(body, &o) != nil || o.Op != "Version" || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case e.loading || (o.ExpectedRev != nil && *o.ExpectedRev != e.orders):
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence, e.orders, e.loading = o.Fence, e.orders+1, true
	close(e.halt)
	e.rec.note("order", "engine", e.id, "holder", o.Holder, "version", strconv.FormatInt(o.Version, 10), "manner", o.Manner)
	go e.change(o.Version, o.Manner == "block")
	w.WriteHeader(http.StatusAccepted)
}

// change carries out an order.
func (e *engine) change(version int64, block bool) {
	for block && e.isRunning() {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(loadTime)
	e.mu.Lock()
	e.version, e.loading, e.halt = version, false, make(chan struct{})
	gone := e.gone
	e.mu.Unlock()
	if !gone {
		e.rec.note("loaded", "engine", e.id, "version", strconv.FormatInt(version, 10))
		e.list("ready")
	}
}

func (e *engine) isRunning() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running > 0
}
