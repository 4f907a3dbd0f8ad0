package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is the platform with everything on it: the store, engines, plain servers, machines and
// clients. Its record tells what was sent, answered and run.
type world struct {
	store   *store
	engines []*engine
	plains  []*plain
	nodes   []*node
	temp    string
	trouble bool
	// maxQueueS is what the environment asks for in place of a case's own MaxQueueS, or 0.
	maxQueueS int
	// retention is that of the small deployments if it is not set.
	retention retention
	// pieceBytes is added to the data of each event.
	pieceBytes int

	mu     sync.Mutex
	record *os.File
	start  time.Time
}

// note writes a line into the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// unable reports that the case could not run.
type unable struct{ error }

func must(err error) {
	if err != nil {
		panic(unable{err})
	}
}

func newWorld(folder string, trouble bool) *world {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	must(err)
	temp, err := os.MkdirTemp("", "stand-2-")
	must(err)
	w := &world{store: newStore(), temp: temp, trouble: trouble, record: record, start: time.Now()}
	w.maxQueueS, _ = strconv.Atoi(os.Getenv("MAX_QUEUE_S"))
	w.note("the run begins; disruption: %t", trouble)
	return w
}

// listen returns a listener on a free port.
func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	must(err)
	return l
}

func (w *world) startStore() string {
	l := listen("127.0.0.1")
	go func() { _ = http.Serve(l, w.store) }()
	return l.Addr().String()
}

func (w *world) addEngine(id, zone string, slots, events int, eventTime time.Duration) {
	w.addEngineOf("model", id, zone, slots, events, eventTime)
}

func (w *world) addEngineOf(service, id, zone string, slots, events int, eventTime time.Duration) *engine {
	l := listen("127.0.0.1")
	e := &engine{id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, events: events, eventTime: eventTime, world: w, version: 1, free: make(chan struct{}, slots)}
	for range slots {
		e.free <- struct{}{}
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	e.list()
	w.engines = append(w.engines, e)
	return e
}

func (w *world) addPlain(id, zone string) *plain {
	l := listen("127.0.0.1")
	p := &plain{id: id, service: "rewards", zone: zone, address: l.Addr().String(), world: w, answers: map[string]int{}}
	go func() { _ = http.Serve(l, p) }()
	p.list()
	w.plains = append(w.plains, p)
	return p
}

// share is the part of a route's requests that a service gets.
type share struct {
	Service string
	Weight  int
}

// configure writes the operator's configuration. The bounds of its routes are those of the
// small deployments. Without shares, the service "model" gets all items.
func (w *world) configure(slots int, shares ...share) {
	train := map[string]any{"Name": "train", "Host": "train.example", "PathPrefix": "/train/", "Kind": "rollout", "Attempts": 3, "TimeoutMs": 10000, "DueMs": 7500, "TargetLatencyMs": 400, "MaxQueueS": 60}
	services := []map[string]any{{"Name": "rewards"}}
	if len(shares) == 0 {
		train["Service"] = "model"
		shares = []share{{Service: "model"}}
	} else {
		train["TrafficSplit"] = shares
	}
	for _, s := range shares {
		services = append(services, map[string]any{"Name": s.Service, "Engine": map[string]any{"Slots": slots, "Models": []map[string]any{{"Name": "m"}}}})
	}
	w.store.put("keyed.op", "config", map[string]any{
		"Version": 3,
		"Routes": []map[string]any{
			train,
			{"Name": "reward", "Host": "train.example", "PathPrefix": "/reward/", "Kind": "idempotent", "Service": "rewards", "Attempts": 4, "TimeoutMs": 1500, "TargetLatencyMs": 150},
		},
		"Services": services,
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// node is a front machine and its process.
type node struct {
	world              *world
	name, ip, settings string
	front, ready       string
	cmd                *exec.Cmd
	ended              chan struct{}
}

// freePorts returns free ports of an address.
func freePorts(ip string, n int) []string {
	var ports []string
	var held []net.Listener
	for range n {
		l := listen(ip)
		held = append(held, l)
		_, port, _ := net.SplitHostPort(l.Addr().String())
		ports = append(ports, port)
	}
	for _, l := range held {
		_ = l.Close()
	}
	return ports
}

// retention is what the settings say of how long the store keeps records, and for how long callers
// may ask for a job, in seconds; and whether engines check fences.
type retention struct {
	maxQueueS, statusS int
	fencing            bool
}

func (w *world) addNode(name, zone, storeAddress string, zones []string) *node {
	// The port of the metrics is fixed, so that each machine needs an address of its own.
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()/250%128, 1+os.Getpid()%250, 1+len(w.nodes))
	ports := freePorts(ip, 4)
	n := &node{world: w, name: name, ip: ip, front: net.JoinHostPort(ip, ports[0]), ready: net.JoinHostPort(ip, ports[1])}
	n.settings = filepath.Join(w.temp, name+".toml")
	var zoneLines strings.Builder
	for _, z := range zones {
		_, _ = fmt.Fprintf(&zoneLines, "%s = \"region\"\n", z)
	}
	kept := w.retention
	if kept.maxQueueS == 0 {
		kept = retention{maxQueueS: 300, statusS: 120, fencing: true}
	}
	text := fmt.Sprintf(`Node = %q
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = %q
Zone = %q
Region = "region"
InternalPorts = [%s,%s]
Seeds = []
Bootstrap = true
InTolerance = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]
[Zones]
%s[Listen]
Front = %q
Ready = %q
[Limits]
CpuShare = 0.8
Cores = 1
MemoryMb = 334
MaxFds = 8200
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 5.1
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
RecoveryS = 12
PassMs = 120
RetryAfterS = 0
FinishS = 10
StatusS = %d
CancelMs = 3000
SettleMs = 1000
QuotaOverage = 0.1
RequireFencing = %t
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
MaxQueueS = %d
PartMb = 200
TtlMinMs = 1000
`, name, ip, zone, ports[2], ports[3], zoneLines.String(), n.front, n.ready, kept.statusS, kept.fencing, storeAddress, kept.maxQueueS)
	must(os.WriteFile(n.settings, []byte(text), 0o600))
	w.nodes = append(w.nodes, n)
	return n
}

// launch starts the machine's process with the command of the deploy file.
func (n *node) launch() {
	logFile, err := os.OpenFile(filepath.Join(n.world.temp, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	n.cmd = exec.Command("target/croftmoor", "serve")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CROFTMOOR_CONFIG=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = logFile, logFile
	must(n.cmd.Start())
	ended := make(chan struct{})
	n.ended = ended
	cmd := n.cmd
	n.world.note("platform: process of %s started, pid %d", n.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		n.world.note("platform: process %d of %s has ended: %s", cmd.Process.Pid, n.name, cmd.ProcessState)
		close(ended)
	}()
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	n.world.note("platform: SIGKILL to %s", n.name)
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.ended
}

// restart stops the process in order, as a rolling restart does, and starts it again.
func (n *node) restart() {
	n.world.note("platform: SIGTERM to %s", n.name)
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(8 * time.Second):
		n.kill()
	}
	time.Sleep(500 * time.Millisecond)
	n.launch()
}

// isReady asks the machine as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/croftmoor/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the machine says that it is ready.
func (n *node) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n.isReady() {
			n.world.note("platform: %s is ready", n.name)
			return
		}
	}
	panic(unable{fmt.Errorf("%s is not ready within %s", n.name, limit)})
}

// close ends all processes that the world started, and removes its files.
func (w *world) close() {
	for _, n := range w.nodes {
		if n.cmd == nil {
			continue
		}
		select {
		case <-n.ended:
		default:
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
			<-n.ended
		}
	}
	w.note("%s", w.store.counts())
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.temp)
	} else {
		fmt.Println("logs are in", w.temp)
	}
	_ = w.record.Close()
}

// job is a batch job as its trainer knows it.
type job struct {
	id    string
	items []string
	// sent is when it was first sent.
	sent time.Time
	// results are those that were read, by position.
	results []result
}

type result struct {
	ID       string `json:"Id"`
	State    string
	Text     string
	Versions []int64
	Score    string
}

// newJob returns a job with items of groups of four; bodyBytes is the size of each body.
func newJob(id string, items int) *job {
	j := &job{id: id}
	for n := range items {
		j.items = append(j.items, fmt.Sprintf("%s%08x", id[:8], n))
	}
	return j
}

// encode returns the body that submits the job.
func (j *job) encode(bodyBytes int) []byte {
	items := make([]map[string]any, 0, len(j.items))
	for n, id := range j.items {
		items = append(items, map[string]any{
			"Id": id, "Path": "/train/" + id, "Headers": map[string]string{"Model": "m", "Token-Counts": "1016,780", "Prompt-Prefix": "9c2e41:1000," + id + ":16"},
			"Body": bytes.Repeat([]byte{byte(n)}, bodyBytes), "Tokens": 1796, "Group": fmt.Sprintf("%s%02d", j.id[:6], n/4),
			"Scorer": map[string]any{"Id": rewardID(id), "Host": "train.example", "Path": "/reward/" + id, "Body": []byte("x")},
		})
	}
	data, err := json.Marshal(map[string]any{"Step": 0, "Model": "m", "MinVersion": 1, "Desired": (len(j.items) + 3) / 4, "Items": items})
	must(err)
	return data
}

func rewardID(item string) string { return "r" + item }

// call makes one call to a machine on a new connection. Status 0 means no answer.
func (w *world) call(n *node, method, path, id string, body []byte, limit time.Duration) (int, []byte) {
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(body))
	must(err)
	request.Host = "train.example"
	if id != "" {
		request.Header.Set("Request-Attempt-Id", id)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// submit sends the job until it is accepted, to one machine after the other.
func (w *world) submit(j *job, body []byte, nodes ...*node) bool {
	j.sent = time.Now()
	for n := 0; time.Since(j.sent) < 6*time.Second; n++ {
		to := nodes[n%len(nodes)]
		status, _ := w.call(to, http.MethodPost, "/train/"+j.id, j.id, body, 6*time.Second)
		w.note("trainer: job %s with %d items sent to %s: %d", j.id, len(j.items), to.name, status)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// read reads the results that are new.
func (w *world) read(j *job, n *node) int {
	status, data := w.call(n, http.MethodGet, fmt.Sprintf("/croftmoor/lots/%s?AfterRev=%d", j.id, len(j.results)), "", nil, 2500*time.Millisecond)
	if status != http.StatusOK {
		return status
	}
	var page struct {
		Total     int
		NextToken int
		Results   []result
	}
	must(json.Unmarshal(data, &page))
	j.results = append(j.results, page.Results...)
	return status
}

// await reads results from live machines until all are there or the time is up.
func (w *world) await(j *job, until time.Time, nodes func() []*node) {
	shown := -1
	for k := 0; time.Now().Before(until) && len(j.results) < len(j.items); k++ {
		live := nodes()
		status := w.read(j, live[k%len(live)])
		if len(j.results)/8 != shown {
			shown = len(j.results) / 8
			w.note("trainer: %d of %d results of job %s are listed (last read: %d)", len(j.results), len(j.items), j.id, status)
		}
		time.Sleep(400 * time.Millisecond)
	}
	w.note("trainer: %d of %d results of job %s are listed at the end", len(j.results), len(j.items), j.id)
}
