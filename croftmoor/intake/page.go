package intake

import (
	"context"
	"fmt"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/trail"
)

const (
	// maxPageBytes bounds the texts of a page, unless its first text alone is longer; the
	// callers' protocol allows 1 MB.
	maxPageBytes = 900 << 10
	// partialPageTimeout is the time after which a page has only the texts that have been
	// read, and firstTextTimeout bounds the wait for the first text. Callers wait 1.5 s longer
	// than the wait that they ask for; the page must reach them within this time, also
	// through another instance.
	partialPageTimeout = 400 * clock.Millis(1)
	firstTextTimeout   = 1200 * clock.Millis(1)
	// slowPageThreshold is the latency at which a page is written to the decision log: a third
	// of what callers wait beyond the wait that they ask for.
	slowPageThreshold = 500 * clock.Millis(1)
)

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
