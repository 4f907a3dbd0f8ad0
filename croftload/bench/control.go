package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"croftmoor.dev/croftfake/engine"
	"croftmoor.dev/croftfake/plain"
	"croftmoor.dev/croftfake/relay"
	"croftmoor.dev/croftfake/stand"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
)

// SetFaults replaces the faults of a simulated service.
func (c *Cluster) SetFaults(ctx context.Context, name string, faults stand.Faults) error {
	_, err := stand.Post(ctx, &c.client, c.Proc(name).Listening, "/control/faults", faults)
	return err
}

// SetEngineFaults replaces the faults that only an engine has.
func (c *Cluster) SetEngineFaults(ctx context.Context, name string, faults engine.Faults) error {
	_, err := stand.Post(ctx, &c.client, c.Proc(name).Listening, "/control/engine", faults)
	return err
}

// Get sends a GET request and decodes the JSON answer into into.
func (c *Cluster) Get(ctx context.Context, address, path string, into any) error {
	call := &httpc.Call{Address: ident.Address(address), Method: http.MethodGet, Path: path}
	answer, err := c.client.Do(ctx, call)
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return httpc.StatusError(call, answer)
	}
	if err := json.Unmarshal(answer.Body, into); err != nil {
		return fault.Wrap("bench.Get", Broken, err, address+path)
	}
	return nil
}

// Cut cuts the connections between a zone and another place, or allows them again.
// The place is a zone or "platform". Both directions are affected.
func (c *Cluster) Cut(zone, place string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, r := range c.relays {
		out := key.fromZone == zone && strings.HasPrefix(key.to, place+"/")
		in := key.fromZone == place && strings.HasPrefix(key.to, zone+"/")
		if out || in {
			r.Set(relay.Rules{Cut: on})
		}
	}
}

// SetRules sets the rules of the relays from a zone to targets that start with place.
func (c *Cluster) SetRules(zone, place string, rules relay.Rules) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, r := range c.relays {
		if key.fromZone == zone && strings.HasPrefix(key.to, place) {
			r.Set(rules)
		}
	}
}

// Verdict is the JSON answer to a configuration change.
type Verdict struct {
	ID       string
	Team     string
	Revision int64
	Outcome  string
	Reason   string
	// Kind and What are set if the request was refused.
	Kind string
	What string
	Do   string
}

// Change is the JSON request to apply a configuration.
type Change struct {
	ID   string `json:",omitempty"`
	Base int64
	By   string
	Text json.RawMessage
}

// Apply sends a team's configuration to an instance.
func (c *Cluster) Apply(ctx context.Context, instance, team string, change Change) (Verdict, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return Verdict{}, fault.Wrap("bench.Apply", Broken, err, team)
	}
	call := &httpc.Call{
		Address: ident.Address(c.Proc(instance).Admin), Method: http.MethodPost, Path: "/v1/teams/" + team + "/config", Body: body,
	}
	answer, err := c.client.Do(ctx, call)
	if err != nil {
		return Verdict{}, err
	}
	var v Verdict
	if err := json.Unmarshal(answer.Body, &v); err != nil {
		return v, fault.Wrap("bench.Apply", Broken, err, string(answer.Body))
	}
	return v, nil
}

// Status is the part of an instance's JSON status that tests and experiments use.
type Status struct {
	Instance       string
	NotReady       string
	Revision       int64
	UpTo           int64
	ShardsLed      int
	ShardsBackedUp int
	RememberedIDs  int
	Backends       []BackendStatus
	Steps          []StepStatus
}

// BackendStatus is a backend server as an instance sees it.
type BackendStatus struct {
	Name    string
	Service string
	State   string
}

// StepStatus is an open step as an instance sees it.
type StepStatus struct {
	Trainer string
	Step    int64
	Ready   int
	Running int
}

// Status returns the status of an instance.
func (c *Cluster) Status(ctx context.Context, instance string) (Status, error) {
	var s Status
	err := c.Get(ctx, c.Proc(instance).Admin, "/v1/status", &s)
	return s, err
}

// WaitInForce waits until every running instance uses the revision or a later one,
// and returns the time that this took.
func (c *Cluster) WaitInForce(ctx context.Context, revision int64, timeout clock.Millis) (clock.Millis, error) {
	began := c.Clock.Mono()
	err := c.WaitUntil(ctx, timeout, fmt.Sprintf("revision %d in force on all instances", revision), func() bool {
		for _, name := range c.Instances() {
			s, err := c.Status(ctx, name)
			if err != nil || s.Revision < revision {
				return false
			}
		}
		return true
	})
	return c.Clock.Mono() - began, err
}

// WaitLed waits until every shard has a primary and, with more than one instance, a
// backup among the running instances.
func (c *Cluster) WaitLed(ctx context.Context, shards int, timeout clock.Millis) error {
	return c.WaitUntil(ctx, timeout, "all shards led and backed up", func() bool {
		led, backed := 0, 0
		for _, name := range c.Instances() {
			s, err := c.Status(ctx, name)
			if err != nil {
				return false
			}
			led += s.ShardsLed
			backed += s.ShardsBackedUp
		}
		return led == shards && (backed == shards || len(c.Instances()) == 1)
	})
}

// Runs returns the number of runs of each request ID at all running servers of the
// plain service.
func (c *Cluster) Runs(ctx context.Context) (map[string]int, error) {
	sum := map[string]int{}
	for _, name := range c.runningProcs("server-") {
		var runs plain.Runs
		if err := c.Get(ctx, c.Proc(name).Listening, "/control/runs", &runs); err != nil {
			return nil, err
		}
		for _, r := range runs.ByID {
			sum[r.ID] += r.Runs
		}
	}
	return sum, nil
}

// TokenRuns returns the token runs that all running engines generated, by request ID.
func (c *Cluster) TokenRuns(ctx context.Context) (map[string][]engine.TokenRun, error) {
	all := map[string][]engine.TokenRun{}
	for _, name := range c.runningProcs("engine-") {
		var list []engine.RequestRuns
		if err := c.Get(ctx, c.Proc(name).Listening, "/control/made", &list); err != nil {
			return nil, err
		}
		for _, m := range list {
			all[m.ID] = append(all[m.ID], m.Runs...)
		}
	}
	return all, nil
}

// runningProcs returns the names of the running processes with the prefix.
func (c *Cluster) runningProcs(prefix string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, name := range c.order {
		if strings.HasPrefix(name, prefix) && !c.procs[name].Ended() {
			names = append(names, name)
		}
	}
	return names
}
