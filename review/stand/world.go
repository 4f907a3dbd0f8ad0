package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes one line for each thing that was sent, answered or run, with the milliseconds
// since the start.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
	lines []line
}

// line is a line of the record.
type line struct {
	at   time.Duration
	what string
	args map[string]string
}

func (r *recorder) note(what string, pairs ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := line{at: time.Since(r.began), what: what, args: map[string]string{}}
	text := fmt.Sprintf("%8d %s", l.at.Milliseconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		l.args[pairs[i]] = pairs[i+1]
		if pairs[i+1] != "" {
			text += " " + pairs[i] + "=" + pairs[i+1]
		}
	}
	r.lines = append(r.lines, l)
	_, _ = fmt.Fprintln(r.out, text)
}

// all returns the lines so far.
func (r *recorder) all() []line {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]line(nil), r.lines...)
}

// world is a deployment: the store, the engines and the system's processes.
type world struct {
	rec     *recorder
	dir     string
	program string
	net     int
	store   *store
	storeAt string
	nodes   []*node

	mu      sync.Mutex
	engines []*engine
	nextID  int
}

// node is a process of the system.
type node struct {
	name, zone, ip   string
	front, ready     string
	storeAt          string
	settings, output string
	mu               sync.Mutex
	cmd              *exec.Cmd
	ended            chan struct{}
}

const (
	host         = "site.example"
	heartbeat    = 1200 * time.Millisecond
	startTimeout = 15 * time.Second
)

// errNotRun means that a case could not be played.
var errNotRun = errors.New("the case could not run")

// newWorld starts a store. Each run has a loopback network of its own, because the port of the
// metrics is the same for all processes.
func newWorld(rec *recorder, program string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, dir: dir, program: program, net: 64 + os.Getpid()%128, store: newStore()}
	l, err := net.Listen("tcp", w.ip(1, 1)+":0")
	if err != nil {
		return nil, err
	}
	w.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	return w, nil
}

// ip returns an address of this run's loopback network.
func (w *world) ip(kind, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.net, 100*(os.Getpid()/128%2)+kind, n)
}

// addEngine starts an engine, or a server of a plain service if model is empty.
func (w *world) addEngine(e *engine) (*engine, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	e.id, e.store, e.rec = fmt.Sprintf("i-%04x%02d", os.Getpid()&0xffff, w.nextID), w.store, w.rec
	if err := e.start(w.ip(2, w.nextID)); err != nil {
		return nil, err
	}
	w.engines = append(w.engines, e)
	return e, nil
}

// allEngines returns the engines that were started so far.
func (w *world) allEngines() []*engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*engine(nil), w.engines...)
}

const settingsText = `Node = %q
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = %q
Zone = %q
Region = "r"
InternalPorts = [%d, %d]
Bootstrap = true
InTolerance = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]
[Zones]
a = "r"
b = "r"
c = "r"
[Listen]
Front = %q
Ready = %q
[Limits]
CpuShare = 0.8
Cores = 1
MemoryMb = 334
MaxFds = 8200
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
RecoveryS = 12
FinishS = 10
StatusS = 120
CancelMs = 3000
SettleMs = 1000
RequireFencing = true
LeaseMs = 3000
ThawMs = 300
[Platform]
Address = %q
form = "log"
WritesPerS = 800
ReadsPerS = 2000
parts = 24
AppendMs = 1.0
PartMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
MaxQueueS = 300
PartMb = 200
TtlMinMs = 1000
`

// addNode starts a process of the system; storeAt is the store's address, or that of a proxy.
func (w *world) addNode(zone, storeAt string) (*node, error) {
	n := &node{zone: zone, ip: w.ip(3, len(w.nodes)+1), storeAt: storeAt}
	n.name = fmt.Sprintf("front-%s-%d", zone, len(w.nodes)+1)
	ports, err := freePorts(n.ip, 3)
	if err != nil {
		return nil, err
	}
	n.front, n.ready = net.JoinHostPort(n.ip, ports[0]), net.JoinHostPort(n.ip, ports[1])
	n.settings, n.output = filepath.Join(w.dir, n.name+".toml"), filepath.Join(w.dir, n.name+".log")
	first, _ := strconv.Atoi(ports[2])
	text := fmt.Sprintf(settingsText, n.name, n.ip, n.zone, first, first+15, n.front, n.ready, n.storeAt)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, w.start(n)
}

func freePorts(ip string, count int) ([]string, error) {
	var ports []string
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		_, port, _ := net.SplitHostPort(l.Addr().String())
		ports = append(ports, port)
	}
	return ports, nil
}

// start runs the command of the deploy file for a node.
func (w *world) start(n *node) error {
	out, err := os.OpenFile(n.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(w.program, "serve")
	cmd.Env = append(os.Environ(), "CROFTMOOR_CONFIG="+n.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended = cmd, ended
	n.mu.Unlock()
	w.rec.note("start", "node", n.name)
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to a node's process and records it.
func (w *world) signal(n *node, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w.rec.note("signal", "node", n.name, "signal", s.String())
	_ = n.cmd.Process.Signal(s)
}

// stop ends all processes, and waits for them.
func (w *world) stop() {
	for _, n := range w.nodes {
		if n.cmd == nil {
			continue
		}
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		<-n.ended
	}
	for _, e := range w.allEngines() {
		_ = e.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// stopOnSignal ends all processes if this one is told to end; the function that it returns takes
// that back.
func (w *world) stopOnSignal() (back func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		if _, told := <-signals; told {
			w.stop()
			os.Exit(2)
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}

// awaitReady waits until all nodes say that they are ready, and a second more.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, n := range w.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errNotRun, n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.rec.note("all nodes are ready")
	time.Sleep(time.Second)
	return nil
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + n.ready + "/croftmoor/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// route and service are parts of a configuration.
type route map[string]any

// configure writes a configuration; the store's acknowledgement is immediate.
func (w *world) configure(version int64, routes []route, services []map[string]any) {
	w.store.put("keyed.op", "config", map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	w.rec.note("configuration acknowledged", "version", strconv.FormatInt(version, 10))
}

// name has a trainer name a version of a model.
func (w *world) name(model string, version int64) {
	w.store.put("keyed.op", "version/"+model, map[string]any{"Model": model, "Version": version})
	w.rec.note("version named", "model", model, "version", strconv.FormatInt(version, 10))
}

// plainService and modelService describe services in a configuration.
func plainService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false}
}

func modelService(name, model string, slots int) map[string]any {
	s := plainService(name)
	s["Engine"] = map[string]any{"Slots": slots, "KvCapacityTokens": 83311, "KvTokenBytes": 327680, "Models": []any{map[string]any{"Name": model}}}
	return s
}

// answer is what a client got.
type answer struct {
	status int
	body   []byte
	err    error
}

// ask sends a request on a new connection and records it with its answer.
func (w *world) ask(n *node, method, path, id string, body []byte, headers map[string]string, within time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	if id != "" {
		r.Header.Set("Request-Attempt-Id", id)
		r.Header.Set("Deadline-Ms", strconv.FormatInt(within.Milliseconds(), 10))
	}
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		w.rec.note("no answer", "node", n.name, "request", method+" "+path, "id", id)
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: data, err: err}
}

// item is an item of a batch job.
type item struct {
	id, group, path string
	events          int
}

// submit submits a batch job to a node until it is accepted, for a few attempts.
func (w *world) submit(job, prefix, model string, minVersion, desired int, items []item, nodes ...*node) error {
	var list []any
	for _, i := range items {
		list = append(list, map[string]any{
			"Id": i.id, "Path": i.path, "Group": i.group, "Body": []byte("prompt of " + i.id), "Tokens": 16 + 52*i.events,
			"Headers": map[string]string{"Model": model, "Token-Counts": fmt.Sprintf("16,%d", 52*i.events), "Length-Hint": strconv.Itoa(52 * i.events)},
		})
	}
	body, err := json.Marshal(map[string]any{"Step": 0, "Model": model, "Desired": desired, "MinVersion": minVersion, "Items": list})
	if err != nil {
		return err
	}
	for try := range 4 {
		n := nodes[try%len(nodes)]
		w.rec.note("submitted", "job", job, "node", n.name, "items", strconv.Itoa(len(items)))
		a := w.ask(n, http.MethodPost, prefix+job, job, body, map[string]string{"Content-Type": "application/json"}, 4*time.Second)
		w.rec.note("answered", "job", job, "node", n.name, "status", strconv.Itoa(a.status))
		if a.status == http.StatusAccepted {
			return nil
		}
	}
	return fmt.Errorf("%w: job %s was not accepted", errNotRun, job)
}

// result is a listed result.
type result struct {
	ID       string `json:"Id"`
	State    string
	Text     string
	Versions []int64
	Score    string
}

// results reads all results of a job that are listed at a node.
func (w *world) results(n *node, job string) (list []result, status int) {
	for {
		a := w.ask(n, http.MethodGet, "/croftmoor/lots/"+job+"?AfterRev="+strconv.Itoa(len(list)), "", nil, nil, 3*time.Second)
		if a.status != http.StatusOK || a.err != nil {
			return list, a.status
		}
		var page struct {
			Total, NextToken int
			Results          []result
		}
		if json.Unmarshal(a.body, &page) != nil {
			return list, a.status
		}
		list = append(list, page.Results...)
		if len(page.Results) == 0 || len(list) >= page.Total {
			return list, a.status
		}
	}
}

// follow reads a job at a node twice a second until all results are listed or the time is over,
// and records each result once.
func (w *world) follow(n *node, job string, total int, until time.Time) map[string]result {
	seen := map[string]result{}
	for time.Now().Before(until) {
		list, status := w.results(n, job)
		if status != http.StatusOK {
			w.rec.note("read", "job", job, "node", n.name, "status", strconv.Itoa(status))
		}
		for _, r := range list {
			if _, known := seen[r.ID]; !known {
				seen[r.ID] = r
				w.rec.note("listed", "job", job, "id", r.ID, "state", r.State)
			}
		}
		if len(seen) >= total {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	return seen
}

// end ends a job.
func (w *world) end(job string, n *node) {
	a := w.ask(n, http.MethodDelete, "/croftmoor/lots/"+job, "", nil, nil, 4*time.Second)
	w.rec.note("ended", "job", job, "node", n.name, "status", strconv.Itoa(a.status))
}

// grep returns the lines of a node's log that contain a text, for the analysis of a failure.
func (n *node) grep(text string) []string {
	data, _ := os.ReadFile(n.output)
	var found []string
	for _, l := range strings.Split(string(data), "\n") {
		if strings.Contains(l, text) {
			found = append(found, l)
		}
	}
	return found
}
