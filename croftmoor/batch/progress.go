package batch

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/toggle"
	"croftmoor.dev/kernel/trail"
)

const (
	// savePeriod is the pause between two times that the progress of a run is
	// kept, and keepEvents the least progress that is worth it: what is lost with
	// an instance or an engine is at most about so much.
	savePeriod = 800 * clock.Millis(1)
	minSaveEvents = 8
)

// progress is what has been made of a text. The run that makes it and the
// keeping of it in the background share what mu guards.
type progress struct {
	runner *Runner
	claim  claimed

	events   int
	versions []ident.Version
	complete    bool

	mu sync.Mutex
	// unsaved is the data of the events that are not kept yet.
	unsaved   []string
	saved    jobs.Partial
	saving bool
	lastSave    clock.Millis
	group   conc.WaitGroup
}

func (p *progress) add(e Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unsaved = append(p.unsaved, e.Data)
	p.events++
	if !slices.Contains(p.versions, e.Version) {
		p.versions = append(p.versions, e.Version)
	}
}

// takeUnsaved returns what is to be kept next and what the kept text will then be; mu
// is held.
func (p *progress) takeUnsaved() (text []byte, next jobs.Partial) {
	text = []byte(strings.Join(p.unsaved, "\n"))
	p.unsaved = nil
	return text, jobs.Partial{Events: p.events, Versions: slices.Clone(p.versions), Complete: p.complete}
}

// saveIfDue keeps the progress in the background now and then, so that another
// instance can go on from there.
func (p *progress) saveIfDue(ctx context.Context) {
	now := p.runner.Clock.Mono()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.runner.Without.Enabled(toggle.Progress) || p.saving || now-p.lastSave < savePeriod || len(p.unsaved) < minSaveEvents {
		return
	}
	p.saving, p.lastSave = true, now
	text, next := p.takeUnsaved()
	p.group.Go(func() {
		err := p.savePart(ctx, text, next)
		if err == nil {
			_, err = p.runner.Ledger.Append(ctx, jobs.SavePartial{Job: p.claim.key.Job, By: p.runner.Self, Index: p.claim.key.Index, Partial: p.savedPartial()})
		}
		if err != nil && ctx.Err() == nil {
			p.runner.Trail.Add(trail.Decision{ID: string(p.claim.item.ID), Action: trail.Hold, Choice: "progress not kept", Reason: err.Error()})
		}
		p.mu.Lock()
		p.saving = false
		p.mu.Unlock()
	})
}

// savePart writes a part of the text and notes where it lies. A part that could
// not be written is put back, so that it goes with the next one.
func (p *progress) savePart(ctx context.Context, text []byte, next jobs.Partial) error {
	span, err := p.runner.Blobs.PutText(ctx, p.claim.key.Job, text)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.unsaved = append([]string{string(text)}, p.unsaved...)
		return err
	}
	next.Texts = append(slices.Clone(p.saved.Texts), span)
	p.saved = next
	return nil
}

func (p *progress) savedPartial() jobs.Partial {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.saved
}

// saveAll keeps what is not kept yet and returns the whole of it.
func (p *progress) saveAll(ctx context.Context) (jobs.Partial, error) {
	p.group.Wait()
	p.mu.Lock()
	missing := len(p.unsaved) > 0
	text, next := p.takeUnsaved()
	p.mu.Unlock()
	var err error
	if missing {
		err = p.savePart(ctx, text, next)
	}
	saved := p.savedPartial()
	saved.Complete = p.complete && err == nil
	return saved, err
}
