// Package intake serves the callers of batch jobs: it accepts jobs, returns their
// results and the bodies of their items, and ends jobs. The state of a job comes from the
// ledger; bodies and texts come from the blob store.
package intake

import (
	"context"
	"fmt"

	"croftmoor.dev/croftmoor/work"
	"croftmoor.dev/kernel/access"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/tail"
	"croftmoor.dev/kernel/trail"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// NotTaken means that the request has had no effect and will have none.
	NotTaken Kind = "NotTaken"
	// Uncertain means that the request may have taken effect; a retry is harmless.
	Uncertain Kind = "Uncertain"
	// Unknown means that the job or item does not exist.
	Unknown Kind = "Unknown"
	// Unsure means that this instance can't answer now: its ledger is out of date, or it
	// can't read a blob. A retry, or another instance, may succeed.
	Unsure Kind = "Unsure"
	// Invalid means that the request is malformed or not allowed.
	Invalid Kind = "Invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Submission is a batch job as its caller submits it. MinVersion is the oldest version of
// the model's weights that may run its items.
type Submission struct {
	Job          ident.Job
	Route        paths.Route
	Step         ident.Step
	Model        ident.Model
	MinVersion   ident.Version
	WantedGroups int
	Items        []work.Item
	// Organisation owns the job; if it is empty, every caller may see the job.
	Organisation ident.Organisation
}

// Ledger is the replicated state of all jobs.
type Ledger interface {
	// View calls read with the current state, which read must not keep or change.
	View(read func(*jobs.State))
	// Changed returns a channel that is closed at the next change of the state.
	Changed() <-chan struct{}
	// Append writes records to the log and returns the offset of the first one.
	Append(ctx context.Context, records ...jobs.Record) (ident.Offset, error)
	// Age returns the time since the state was last known to be current.
	Age() clock.Millis
}

// Blobs stores the bodies of items and the texts of results.
type Blobs interface {
	// PutBodies stores blobs and returns the span of each, in the same order.
	PutBodies(ctx context.Context, job ident.Job, blobs [][]byte) ([]jobs.Span, error)
	Get(ctx context.Context, span jobs.Span) ([]byte, error)
	// Texts returns a prefix of texts: those that have been read once they have maxBytes
	// bytes or the timeout is over. It waits for the first text until ctx ends.
	Texts(ctx context.Context, texts [][]jobs.Span, maxBytes int, timeout clock.Millis) ([]string, error)
}

// Decisions is the decision log.
type Decisions interface {
	Add(d trail.Decision)
}

const (
	// baseSubmitTimeout bounds the time to store a job without bodies, and
	// bodyBytesPerSecond adds time for its bodies: a log that is fifty times as slow as usual
	// takes about twice that long.
	baseSubmitTimeout  = 2500 * clock.Millis(1)
	bodyBytesPerSecond = 4 << 20
	endTimeout         = 2500 * clock.Millis(1)
	// maxLedgerAge is the age of the ledger beyond which this instance does not report
	// that a job or a result does not exist. It must stay below 1 s, the time that the
	// callers' protocol gives each instance to learn of a record.
	maxLedgerAge = 600 * clock.Millis(1)
)

// Intake serves the callers of batch jobs. Set the fields before use.
type Intake struct {
	Ledger Ledger
	Blobs  Blobs
	Clock  *clock.Clock
	Trail  Decisions
	// Metrics may be nil.
	Metrics Metrics
}

// Metrics counts the reads of pages.
type Metrics interface {
	// PageRead counts a page with the latency of its texts and their number.
	PageRead(outcome string, latency clock.Millis, texts int)
}

// Submit stores a job. The job and its bodies are durable when Submit returns nil.
// Submitting an accepted job again has no effect. Errors are NotTaken, Uncertain or Invalid,
// or those of work.Encode.
func (i *Intake) Submit(ctx context.Context, s Submission) error {
	known, err := i.isAccepted(s.Organisation, s.Job)
	if err != nil {
		return err
	}
	if known {
		i.logDecision(string(s.Job), trail.Hand, "known", "submitted again")
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout(s).Duration())
	defer cancel()
	accept, err := i.storeBodies(ctx, s)
	if err != nil {
		i.logDecision(string(s.Job), trail.Refuse, "not taken", "bodies not kept: "+err.Error())
		return err
	}
	offset, err := i.Ledger.Append(ctx, accept)
	if err != nil {
		kind := Uncertain
		if fault.KindOf[tail.Kind](err) == tail.Refused {
			kind = NotTaken
		}
		i.logDecision(string(s.Job), trail.Refuse, string(kind), "acceptance: "+err.Error())
		return fault.Wrap("intake.Submit", kind, err, "job "+string(s.Job))
	}
	i.logDecision(string(s.Job), trail.Grant, "accepted", fmt.Sprintf("step %d, %d items, least version %d, offset %d", s.Step, len(s.Items), s.MinVersion, offset))
	return nil
}

// submitTimeout returns the time allowed for storing a job. It grows with the size of the
// bodies: with a fixed timeout, each retry of a large job would fail and write them again.
func submitTimeout(s Submission) clock.Millis {
	bytes := 0
	for _, item := range s.Items {
		bytes += len(item.Body)
	}
	return baseSubmitTimeout + clock.Millis(bytes)*clock.Second/bodyBytesPerSecond
}

// storeBodies stores the items and returns the acceptance record that refers to them.
func (i *Intake) storeBodies(ctx context.Context, s Submission) (jobs.Accept, error) {
	accept := jobs.Accept{
		Job: s.Job, Host: s.Route.Host, Prefix: s.Route.Prefix, Service: s.Route.MainService(), Model: s.Model,
		Step: s.Step, MinVersion: s.MinVersion, WantedGroups: s.WantedGroups, SingleVersion: s.Route.SingleVersion, Organisation: s.Organisation,
	}
	blobs := make([][]byte, 0, len(s.Items))
	for _, item := range s.Items {
		data, err := work.Encode(item)
		if err != nil {
			return accept, err
		}
		blobs = append(blobs, data)
	}
	spans, err := i.Blobs.PutBodies(ctx, s.Job, blobs)
	if err != nil {
		// Bodies without an acceptance record are never run, so nothing takes effect.
		return accept, fault.Wrap("intake.Submit", NotTaken, err, "job "+string(s.Job))
	}
	for n, item := range s.Items {
		accept.Items = append(accept.Items, jobs.ItemSpec{ID: item.ID, Group: item.Group, Expect: item.Expect, Body: spans[n]})
	}
	return accept, nil
}

// isAccepted reports whether a job that the organisation may see has been accepted. It
// returns an Invalid error if the id belongs to a job that the organisation may not see.
func (i *Intake) isAccepted(organisation ident.Organisation, job ident.Job) (bool, error) {
	known, visible := false, false
	i.Ledger.View(func(state *jobs.State) {
		known, visible = state.Jobs[job] != nil, visibleJob(state, organisation, job) != nil
	})
	if known && !visible {
		return false, fault.New("intake.Submit", Invalid, "the id of job "+string(job)+" is already in use")
	}
	return known, nil
}

// visibleJob returns a job, or nil if the organisation may not see it or it does not exist.
func visibleJob(state *jobs.State, organisation ident.Organisation, job ident.Job) *jobs.Job {
	if j := state.Jobs[job]; j != nil && access.Allows(organisation, j.Organisation) {
		return j
	}
	return nil
}

// notFoundError returns an Unsure error if the ledger is too old to rule out that the job
// exists, otherwise an Unknown one.
func (i *Intake) notFoundError(op string, job ident.Job) error {
	if i.Ledger.Age() > maxLedgerAge {
		return fault.New(op, Unsure, fmt.Sprintf("job %s is not in the ledger, which was last current %d ms ago", job, i.Ledger.Age()))
	}
	return fault.New(op, Unknown, "unknown job "+string(job))
}

// Body returns the body of an item. Errors are Unknown, also if the organisation may not
// see the job, or Unsure, or those of work.Decode.
func (i *Intake) Body(ctx context.Context, organisation ident.Organisation, job ident.Job, itemID ident.Item) ([]byte, error) {
	var span jobs.Span
	known, found := false, false
	i.Ledger.View(func(state *jobs.State) {
		j := visibleJob(state, organisation, job)
		if j == nil {
			return
		}
		known = true
		for n := range j.Items {
			if j.Items[n].ID == itemID {
				span, found = j.Items[n].Body, true
				return
			}
		}
	})
	if !known {
		return nil, i.notFoundError("intake.Body", job)
	}
	if !found {
		return nil, fault.New("intake.Body", Unknown, "unknown item "+string(itemID)+" in job "+string(job))
	}
	data, err := i.Blobs.Get(ctx, span)
	if err != nil {
		return nil, fault.Wrap("intake.Body", Unsure, err, "reading the body of item "+string(itemID))
	}
	item, err := work.Decode(data)
	return item.Body, err
}

// End ends a job. Ending an ended job has no effect. Errors are Unknown, also if the
// organisation may not see the job, Unsure or Uncertain.
func (i *Intake) End(ctx context.Context, organisation ident.Organisation, job ident.Job) error {
	ended := false
	known := false
	i.Ledger.View(func(state *jobs.State) {
		if j := visibleJob(state, organisation, job); j != nil {
			known, ended = true, j.Ended
		}
	})
	if !known {
		return i.notFoundError("intake.End", job)
	}
	if ended {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, endTimeout.Duration())
	defer cancel()
	if _, err := i.Ledger.Append(ctx, jobs.End{Job: job}); err != nil {
		i.logDecision(string(job), trail.Refuse, "end uncertain", err.Error())
		return fault.Wrap("intake.End", Uncertain, err, "job "+string(job))
	}
	i.logDecision(string(job), trail.Cancel, "ended", "the caller's word")
	return nil
}

func (i *Intake) logDecision(job string, action trail.Action, choice, reason string) {
	i.Trail.Add(trail.Decision{ID: job, Action: action, Choice: choice, Reason: reason})
}
