// Package intake answers the callers of batch jobs: it takes jobs, lists their
// results, hands out the bodies of items, and ends jobs. What it says of a job comes
// from the ledger.
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
	// NotTaken means that nothing of the request has been or will be done.
	NotTaken Kind = "NotTaken"
	// Uncertain means that it may have been done; asking again is harmless.
	Uncertain Kind = "Uncertain"
	// Unknown means that there is no such job or item.
	Unknown Kind = "Unknown"
	// Unsure means that this instance can't tell at the moment.
	Unsure Kind = "Unsure"
	// Invalid means that the request itself is at fault.
	Invalid Kind = "Invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Submission is a batch job as its caller hands it in.
type Submission struct {
	Job          ident.Job
	Route        paths.Route
	Step         ident.Step
	Model        ident.Model
	MinVersion   ident.Version
	WantedGroups int
	Items        []work.Item
	// Organisation is whose job it is; empty if nobody's.
	Organisation ident.Organisation
}

// Ledger is the shared state as this package uses it.
type Ledger interface {
	View(read func(*jobs.State))
	Changed() <-chan struct{}
	Append(ctx context.Context, records ...jobs.Record) (ident.Offset, error)
	// Age is how long ago the state was last known to be current.
	Age() clock.Millis
}

// Blobs keeps bodies and texts.
type Blobs interface {
	PutBodies(ctx context.Context, job ident.Job, blobs [][]byte) ([]jobs.Span, error)
	Get(ctx context.Context, span jobs.Span) ([]byte, error)
	// Texts returns texts from the first one on: as many as are there when they have most
	// bytes, or when the term is over; without the first it waits until ctx ends.
	Texts(ctx context.Context, texts [][]jobs.Span, maxBytes int, timeout clock.Millis) ([]string, error)
}

// Decisions takes a line for each decision.
type Decisions interface {
	Add(d trail.Decision)
}

const (
	// maxPageBytes bounds the texts of one answer in bytes; the callers' protocol
	// allows 1 MB.
	maxPageBytes = 900 << 10
	// baseSubmitTimeout is how long the log may take to acknowledge a job before the
	// caller is told that the outcome is uncertain, beside the time for its bodies at
	// bodiesRate bytes a second: a log that is fifty times as slow as usual takes twice that.
	baseSubmitTimeout  = 2500 * clock.Millis(1)
	bodyBytesPerSecond = 4 << 20
	endTimeout         = 2500 * clock.Millis(1)
	// maxLedgerAge is the age of the ledger beyond which this instance does not say
	// that something is not there; the callers' protocol gives each instance 1 s to
	// learn of it.
	maxLedgerAge = 600 * clock.Millis(1)
	// partialPageTimeout is how long the texts of a page may take before what is there of them is
	// given, and pageMost how long the first one may take. Callers wait 1.5 s beyond the time
	// that they allow, and a page has to reach them, at times by way of another instance.
	partialPageTimeout = 400 * clock.Millis(1)
	firstTextTimeout   = 1200 * clock.Millis(1)
	// slowPageThreshold is the time of a page that is worth a line: a third of what callers wait
	// beyond the time that they allow.
	slowPageThreshold = 500 * clock.Millis(1)
)

// Intake answers the callers of batch jobs. Set the fields before use.
type Intake struct {
	Ledger Ledger
	Blobs  Blobs
	Clock  *clock.Clock
	Trail  Decisions
	// Metrics is told of each page; it may be nil.
	Metrics Metrics
}

// Metrics takes what became of pages of results.
type Metrics interface {
	// PageRead counts a page: its outcome, how long its texts took, and how many it has.
	PageRead(outcome string, latency clock.Millis, texts int)
}

// Submit makes a job durable. When it returns nil, all of the job is kept.
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

// submitTimeout returns how long a job may take to be kept. A time without regard for its size is
// too short for the largest at each try, and what was written is written anew.
func submitTimeout(s Submission) clock.Millis {
	bytes := 0
	for _, item := range s.Items {
		bytes += len(item.Body)
	}
	return baseSubmitTimeout + clock.Millis(bytes)*clock.Second/bodyBytesPerSecond
}

// storeBodies keeps the items and returns the acceptance that refers to them.
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
		// Bodies without an acceptance are never run, so this is a true refusal.
		return accept, fault.Wrap("intake.Submit", NotTaken, err, "job "+string(s.Job))
	}
	for n, item := range s.Items {
		accept.Items = append(accept.Items, jobs.ItemSpec{ID: item.ID, Group: item.Group, Expect: item.Expect, Body: spans[n]})
	}
	return accept, nil
}

// isAccepted tells whether a job of the caller's organisation has been accepted; one of
// another organisation keeps its id.
func (i *Intake) isAccepted(organisation ident.Organisation, job ident.Job) (bool, error) {
	known, seen := false, false
	i.Ledger.View(func(b *jobs.State) { known, seen = b.Jobs[job] != nil, visibleJob(b, organisation, job) != nil })
	if known && !seen {
		return false, fault.New("intake.Submit", Invalid, "job "+string(job)+" has an id that is taken")
	}
	return known, nil
}

// ItemResult is a result as callers read it.
type ItemResult struct {
	ID       ident.Item
	State    jobs.Outcome
	Text     string
	Versions []ident.Version
	Score    string
}

// Page is a part of a job's results.
type Page struct {
	Total   int
	Next    int
	Results []ItemResult
}

// Read returns the results of a job from a position on, waiting for one if
// there is none yet. For callers of other organisations the job does not exist.
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
				return Page{}, fault.New("intake.Read", Unsure, fmt.Sprintf("job %s from %d on; the ledger was last current %d ms ago", job, from, age))
			}
			return i.readPage(ctx, job, from, total, results)
		}
		select {
		case <-ctx.Done():
			return Page{}, fault.Wrap("intake.Read", Unsure, ctx.Err(), "the caller left")
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

// visibleJob returns a job if callers of an organisation may see it.
func visibleJob(state *jobs.State, organisation ident.Organisation, job ident.Job) *jobs.Job {
	if j := state.Jobs[job]; j != nil && access.Allows(organisation, j.Organisation) {
		return j
	}
	return nil
}

func (i *Intake) resultsFrom(organisation ident.Organisation, job ident.Job, from int) (results []identifiedResult, total int, known bool) {
	i.Ledger.View(func(b *jobs.State) {
		j := visibleJob(b, organisation, job)
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

// readPage returns a page, and leaves a line on one that fails or takes long: whoever
// waits for it may have left by then.
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

// notFoundError tells an unknown job from one that this instance may not know yet.
func (i *Intake) notFoundError(op string, job ident.Job) error {
	if i.Ledger.Age() > maxLedgerAge {
		return fault.New(op, Unsure, fmt.Sprintf("job %s; the ledger was last read %d ms ago", job, i.Ledger.Age()))
	}
	return fault.New(op, Unknown, "no job "+string(job))
}

// Body returns the body of an item.
func (i *Intake) Body(ctx context.Context, organisation ident.Organisation, job ident.Job, itemID ident.Item) ([]byte, error) {
	var span jobs.Span
	known, found := false, false
	i.Ledger.View(func(b *jobs.State) {
		j := visibleJob(b, organisation, job)
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
		return nil, fault.New("intake.Body", Unknown, "no item "+string(itemID)+" in job "+string(job))
	}
	data, err := i.Blobs.Get(ctx, span)
	if err != nil {
		return nil, fault.Wrap("intake.Body", Unsure, err, "the body of item "+string(itemID))
	}
	item, err := work.Decode(data)
	return item.Body, err
}

// End closes a job.
func (i *Intake) End(ctx context.Context, organisation ident.Organisation, job ident.Job) error {
	ended := false
	known := false
	i.Ledger.View(func(b *jobs.State) {
		if j := visibleJob(b, organisation, job); j != nil {
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
