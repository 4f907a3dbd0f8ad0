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
	// maxPageBytes bounds the texts of a page, unless its first text alone is longer; the
	// callers' protocol allows 1 MB.
	maxPageBytes = 900 << 10
	// baseSubmitTimeout bounds the time to store a job without bodies, and
	// bodyBytesPerSecond adds time for its bodies.
	baseSubmitTimeout  = 2500 * clock.Millis(1)
	bodyBytesPerSecond = 4 << 20
	endTimeout         = 2500 * clock.Millis(1)
	// maxLedgerAge is the age of the ledger beyond which this instance does not report
	// that a job or a result does not exist. It must stay below 1 s, the time that the
	// callers' protocol gives each instance to learn of a record.
	maxLedgerAge = 600 * clock.Millis(1)
	// partialPageTimeout is the time after which a page has only the texts that have been
	// read, and firstTextTimeout bounds the wait for the first text. Callers wait 1.5 s longer
	// than the wait that they ask for; the page must reach them within this time, also
	// through another instance.
	partialPageTimeout = 400 * clock.Millis(1)
	firstTextTimeout   = 1200 * clock.Millis(1)
	// slowPageThreshold is the latency at which a page is written to the decision log.
	slowPageThreshold = 500 * clock.Millis(1)
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
		Job: s.Job, Host: s.Route.Host, Prefix: s.Route.Prefix, Service: s.Route.Shares[0].Service, Model: s.Model,
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

// ItemResult is the result of one item, with its text.
type ItemResult struct {
	ID       ident.Item
	State    jobs.Outcome
	Text     string
	Versions []ident.Version
	Score    string
}

// Page holds consecutive results of a job. Total is the number of the job's items, Next is
// the position from which to read the next page.
type Page struct {
	Total   int
	Next    int
	Results []ItemResult
}

// Read returns the results of a job from position from on. If there are none yet, it waits
// up to wait for one and then returns an empty page. Errors are Unknown, also if the
// organisation may not see the job, or Unsure.
func (i *Intake) Read(ctx context.Context, organisation ident.Organisation, job ident.Job, from int, wait clock.Millis) (Page, error) {
	deadline := i.Clock.Mono() + wait
	for {
		changed := i.Ledger.Changed()
		results, total, known := i.resultsFrom(organisation, job, from)
		if !known {
			return Page{}, i.notFoundError("intake.Read", job)
		}
		remaining := deadline - i.Clock.Mono()
		if len(results) > 0 || remaining <= 0 || from >= total {
			if age := i.Ledger.Age(); len(results) == 0 && from < total && age > maxLedgerAge {
				return Page{}, fault.New("intake.Read", Unsure, fmt.Sprintf("job %s has no results from position %d on in the ledger, which was last current %d ms ago", job, from, age))
			}
			return i.readPage(ctx, job, from, total, results)
		}
		select {
		case <-ctx.Done():
			return Page{}, fault.Wrap("intake.Read", Unsure, ctx.Err(), "the caller canceled the read")
		case <-changed:
		case <-i.Clock.After(remaining):
		}
	}
}

// identifiedResult is a result with the id of its item.
type identifiedResult struct {
	id ident.Item
	jobs.Result
}

// visibleJob returns a job, or nil if the organisation may not see it or it does not exist.
func visibleJob(state *jobs.State, organisation ident.Organisation, job ident.Job) *jobs.Job {
	if j := state.Jobs[job]; j != nil && access.Allows(organisation, j.Organisation) {
		return j
	}
	return nil
}

// resultsFrom returns the results from position from on and the number of the job's items;
// known is false if the organisation sees no such job.
func (i *Intake) resultsFrom(organisation ident.Organisation, job ident.Job, from int) (results []identifiedResult, total int, known bool) {
	i.Ledger.View(func(state *jobs.State) {
		j := visibleJob(state, organisation, job)
		if j == nil {
			return
		}
		known, total = true, len(j.Items)
		for n := max(from, 0); n < len(j.Results); n++ {
			results = append(results, identifiedResult{id: j.Items[j.Results[n].Index].ID, Result: j.Results[n]})
		}
	})
	return results, total, known
}

// readPage builds a page, counts it, and logs a decision if it fails or is slow: the caller
// may have left by then, and the error would reach nobody.
func (i *Intake) readPage(ctx context.Context, job ident.Job, from, total int, results []identifiedResult) (Page, error) {
	start := i.Clock.Mono()
	page, err := i.buildPage(ctx, from, total, results)
	latency := i.Clock.Mono() - start
	outcome, action := "given", trail.Hand
	switch {
	case ctx.Err() != nil:
		outcome, action = "caller left", trail.Refuse
	case err != nil:
		outcome, action = "failed", trail.Refuse
	}
	if i.Metrics != nil {
		i.Metrics.PageRead(outcome, latency, len(page.Results))
	}
	if action == trail.Refuse || latency >= slowPageThreshold {
		reason := fmt.Sprintf("results from %d on: %d of %d texts in %d ms, ledger %d ms old", from, len(page.Results), len(results), latency, i.Ledger.Age())
		if err != nil {
			reason += ": " + err.Error()
		}
		i.logDecision(string(job), action, "page "+outcome, reason)
	}
	return page, err
}

// buildPage returns the results whose texts can be read in time, up to maxPageBytes and at
// least one. It returns an Unsure error if the text of the first one can't be read.
func (i *Intake) buildPage(ctx context.Context, from, total int, results []identifiedResult) (Page, error) {
	page := Page{Total: total, Next: max(from, 0)}
	if len(results) == 0 {
		return page, nil
	}
	ctx, cancel := context.WithTimeout(ctx, firstTextTimeout.Duration())
	defer cancel()
	textSpans := make([][]jobs.Span, 0, len(results))
	for _, r := range results {
		textSpans = append(textSpans, r.Texts)
	}
	texts, err := i.Blobs.Texts(ctx, textSpans, maxPageBytes, partialPageTimeout)
	if err != nil {
		return Page{}, fault.Wrap("intake.Read", Unsure, err, "the text of item "+string(results[0].id))
	}
	size := 0
	for n, text := range texts {
		if len(page.Results) > 0 && size+len(text) > maxPageBytes {
			break
		}
		size += len(text)
		r := results[n]
		page.Results = append(page.Results, ItemResult{ID: r.id, State: r.Outcome, Text: text, Versions: r.Versions, Score: r.Score})
		page.Next++
	}
	return page, nil
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
