package cmds

import (
	"context"
	"io"
	"slices"

	"croftmoor.dev/croftctl/client"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
)

// Status shows every instance.
type Status struct {
	Base
	Backends bool `long:"backends" description:"show the backend servers as the first instance sees them"`
	Steps    bool `long:"steps" description:"show the trainers' open steps"`
}

// Execute shows the status once.
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
	for _, one := range list {
		if one.Status == nil {
			writeRow(w, one.Name, one.Zone, "-", "-", "-", "-", "-", "no answer: "+one.Error)
			continue
		}
		state := "ready"
		if one.Status.NotReady != "" {
			state = one.Status.NotReady
		}
		s := one.Status
		writeRow(w, s.Instance, s.Zone, s.Revision, s.LogSilenceMillis, s.InFlight, s.ShardsLed, s.ShardsBackedUp, state)
	}
}

func writeBackends(w io.Writer, list []instanceStatus) {
	writeRow(w)
	writeRow(w, "BACKEND SERVER", "SERVICE", "ZONE", "STATE", "IN FLIGHT", "BELIEVED", "REPORTED", "VERSIONS")
	for _, one := range list {
		if one.Status == nil {
			continue
		}
		for _, b := range one.Status.Backends {
			writeRow(w, b.Name, b.Service, b.Zone, b.State, b.InFlight, b.BelievedLoad, b.ReportedLoad, b.Versions)
		}
		return
	}
}

func writeSteps(w io.Writer, list []instanceStatus) {
	writeRow(w)
	writeRow(w, "TRAINER", "STEP", "NEWEST", "MISSING", "RUNNING", "READY", "HELD", "DROPPED STALE", "OWNER")
	for _, one := range list {
		if one.Status == nil {
			continue
		}
		for _, s := range one.Status.Steps {
			writeRow(w, s.Trainer, s.Step, s.Newest, s.Missing, s.Running, s.Ready, s.Held, s.Stale, one.Name)
		}
	}
}

// Watch shows the status again and again.
type Watch struct {
	Status
	Times int `long:"times" description:"how often; 0 goes on until interrupted"`
}

const (
	watchInterval = 1 * clock.Second
	clearScreen   = "\x1b[H\x1b[2J"
)

// Execute shows the status each second.
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

// Why shows the decisions about a request, a sample or a step, as all
// instances remember them.
type Why struct {
	Base
	Args idArg `positional-args:"true"`
}

// Execute shows the trail.
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
		// An instance that does not answer has nothing to add.
		_ = c.GetFrom(ctx, ident.Address(entry.Admin), "/v1/why/"+w.Args.ID, &list)
		for _, d := range list {
			decisions = append(decisions, instanceDecision{Instance: entry.Name, Decision: d})
		}
	}
	if len(decisions) == 0 {
		return &client.Error{Op: "croftctl why", Kind: client.Invalid, What: "no instance remembers a decision about " + w.Args.ID,
			Do: "check the id; instances remember the latest decisions only"}
	}
	slices.SortStableFunc(decisions, func(a, b instanceDecision) int { return int(a.Decision.At - b.Decision.At) })
	return w.print(decisions, func(w io.Writer) {
		writeRow(w, "TIME", "INSTANCE", "ACTION", "CHOICE", "RUNNER-UP", "REASON")
		for _, d := range decisions {
			at := clock.Millis(d.Decision.At).Time().UTC().Format("15:04:05.000")
			writeRow(w, at, d.Instance, d.Decision.Action, d.Decision.Choice, d.Decision.RunnerUp, d.Decision.Reason)
		}
	})
}

// instanceDecision is a decision and where it was made.
type instanceDecision struct {
	Instance string
	Decision client.Decision
}

// Drain starts the planned stop of the instance at --admin.
type Drain struct {
	Base
}

// Execute starts the stop.
func (d *Drain) Execute([]string) error {
	if err := d.client().Post(context.Background(), "/v1/drain", struct{}{}, nil); err != nil {
		return err
	}
	return d.print(struct{ Draining bool }{true}, func(w io.Writer) { writeRow(w, "the instance is stopping; it ends once nothing is in flight") })
}

// Restore starts the shared state anew when the log has lost it.
type Restore struct {
	Base
}

// Execute asks an instance for it.
func (r *Restore) Execute([]string) error {
	if err := r.client().Post(context.Background(), "/v1/restore", struct{}{}, nil); err != nil {
		return err
	}
	return r.print(struct{ Restored bool }{true}, func(w io.Writer) {
		writeRow(w, "the shared state starts anew, without any team's file; apply the files again")
	})
}
