package cmds

import (
	"context"
	"io"
	"slices"

	"croftmoor.dev/croftctl/client"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// Status shows the status of every instance.
type Status struct {
	Base
	Backends bool `long:"backends" description:"show the backend servers as seen by the first instance that answers"`
	Steps    bool `long:"steps" description:"show the trainers' open steps"`
}

// Execute prints the status once.
func (s *Status) Execute([]string) error {
	return s.showOnce(context.Background())
}

func (s *Status) showOnce(ctx context.Context) error {
	list, err := s.fetchStatuses(ctx)
	if err != nil {
		return err
	}
	return s.print(list, func(w io.Writer) {
		writeInstances(w, list)
		if s.Backends {
			writeBackends(w, list)
		}
		if s.Steps {
			writeSteps(w, list)
		}
	})
}

func writeInstances(w io.Writer, list []instanceStatus) {
	writeRow(w, "INSTANCE", "ZONE", "REVISION", "LOG SILENT MS", "IN FLIGHT", "LEADS", "BACKS UP", "STATE")
	for _, instance := range list {
		if instance.Status == nil {
			writeRow(w, instance.Name, instance.Zone, "-", "-", "-", "-", "-", "no answer: "+instance.Error)
			continue
		}
		state := "ready"
		if instance.Status.NotReady != "" {
			state = instance.Status.NotReady
		}
		s := instance.Status
		writeRow(w, s.Instance, s.Zone, s.Revision, s.LogSilenceMillis, s.InFlight, s.ShardsLed, s.ShardsBackedUp, state)
	}
}

func writeBackends(w io.Writer, list []instanceStatus) {
	writeRow(w)
	writeRow(w, "BACKEND SERVER", "SERVICE", "ZONE", "STATE", "IN FLIGHT", "BELIEVED", "REPORTED", "VERSIONS")
	for _, instance := range list {
		if instance.Status == nil {
			continue
		}
		for _, b := range instance.Status.Backends {
			writeRow(w, b.Name, b.Service, b.Zone, b.State, b.InFlight, b.BelievedLoad, b.ReportedLoad, b.Versions)
		}
		return
	}
}

func writeSteps(w io.Writer, list []instanceStatus) {
	writeRow(w)
	writeRow(w, "TRAINER", "STEP", "NEWEST", "MISSING", "RUNNING", "READY", "HELD", "DROPPED STALE", "OWNER")
	for _, instance := range list {
		if instance.Status == nil {
			continue
		}
		for _, s := range instance.Status.Steps {
			writeRow(w, s.Trainer, s.Step, s.Newest, s.Missing, s.Running, s.Ready, s.Held, s.Stale, instance.Name)
		}
	}
}

// Watch shows the status every watchInterval.
type Watch struct {
	Status
	Times int `long:"times" description:"how many times; 0 repeats until interrupted"`
}

const (
	watchInterval = 1 * clock.Second
	clearScreen   = "\x1b[H\x1b[2J"
)

// Execute prints the status until it has done so Times times or is interrupted.
func (w *Watch) Execute([]string) error {
	ctx := context.Background()
	for n := 0; w.Times == 0 || n < w.Times; n++ {
		if w.Options.Output == "text" && w.Times == 0 {
			_, _ = io.WriteString(w.Out, clearScreen)
		}
		if err := w.showOnce(ctx); err != nil {
			return err
		}
		if w.Times != n+1 {
			w.Clock.Sleep(ctx, watchInterval)
		}
	}
	return nil
}

// Why shows the decisions about a request, a sample or a step that the instances have in
// memory.
type Why struct {
	Base
	Args idArg `positional-args:"true"`
}

// Execute prints the decisions of all instances, ordered by time.
func (w *Why) Execute([]string) error {
	ctx := context.Background()
	c := w.client()
	var first client.Status
	if err := c.Get(ctx, "/v1/status", &first); err != nil {
		return err
	}
	var decisions []instanceDecision
	for _, entry := range first.Entries {
		var list []client.Decision
		// Instances that do not answer are left out.
		_ = c.GetFrom(ctx, ident.Address(entry.Admin), "/v1/why/"+w.Args.ID, &list)
		for _, d := range list {
			decisions = append(decisions, instanceDecision{Instance: entry.Name, Decision: d})
		}
	}
	if len(decisions) == 0 {
		return &client.Error{Op: "croftctl why", Kind: client.Invalid, What: "no instance has in memory a decision about " + w.Args.ID,
			Do: "check the id; instances keep only the latest decisions"}
	}
	slices.SortStableFunc(decisions, func(a, b instanceDecision) int { return int(a.Decision.At - b.Decision.At) })
	return w.print(decisions, func(out io.Writer) {
		writeRow(out, "TIME", "INSTANCE", "ACTION", "CHOICE", "RUNNER-UP", "REASON")
		for _, d := range decisions {
			at := clock.Millis(d.Decision.At).Time().UTC().Format("15:04:05.000")
			writeRow(out, at, d.Instance, d.Decision.Action, d.Decision.Choice, d.Decision.RunnerUp, d.Decision.Reason)
		}
	})
}

// instanceDecision is a decision and the name of the instance that made it.
type instanceDecision struct {
	Instance string
	Decision client.Decision
}

// Drain starts the graceful shutdown of the instance at --admin.
type Drain struct {
	Base
}

// Execute sends the request; the shutdown continues after it returns.
func (d *Drain) Execute([]string) error {
	if err := d.client().Post(context.Background(), "/v1/drain", struct{}{}, nil); err != nil {
		return err
	}
	return d.print(struct{ Draining bool }{true}, func(w io.Writer) { writeRow(w, "the instance is draining; it exits once nothing is in flight") })
}

// Restore resets the shared state when the log has lost it.
type Restore struct {
	Base
}

// Execute sends the request to an instance.
func (r *Restore) Execute([]string) error {
	if err := r.client().Post(context.Background(), "/v1/restore", struct{}{}, nil); err != nil {
		return err
	}
	return r.print(struct{ Restored bool }{true}, func(w io.Writer) {
		writeRow(w, "the shared state was reset and contains no team's file; apply the files again")
	})
}
