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
	// savePeriod is the least time between two saves of a run's progress in the
	// background, and minSaveEvents the least number of events that are worth one. An
	// instance or engine that fails loses about that much.
	savePeriod    = 800 * clock.Millis(1)
	minSaveEvents = 8
)

// progress is the text that a run has made so far. The run and the background save share
// the fields below mu, which guards them.
type progress struct {
	runner *Runner
	claim  claimed

	events       int
	versions     []ident.Version
	textComplete bool

	mu sync.Mutex
	// unsaved is the data of the events that are not saved yet.
	unsaved  []string
	saved    jobs.Partial
	saving   bool
	lastSave clock.Millis
	group    conc.WaitGroup
}

// add appends an event to the text.
func (p *progress) add(e Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unsaved = append(p.unsaved, e.Data)
	p.events++
	if !slices.Contains(p.versions, e.Version) {
		p.versions = append(p.versions, e.Version)
	}
}

// takeUnsaved empties unsaved. It returns the text that was in it, and the Partial, without
// Texts, that describes the saved text once this text is added. The caller holds mu.
func (p *progress) takeUnsaved() (text []byte, next jobs.Partial) {
	text = []byte(strings.Join(p.unsaved, "\n"))
	p.unsaved = nil
	return text, jobs.Partial{Events: p.events, Versions: slices.Clone(p.versions), Complete: p.textComplete}
}

// saveIfDue saves the progress in the background if savePeriod and minSaveEvents allow,
// for another instance to continue from.
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

// savePart stores a part of the text and adds its span to saved. If that fails it puts
// the part back into unsaved.
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

// beginAnew drops the text that was made so far. The ledger keeps what is saved of it until a
// save of the new text replaces it.
func (p *progress) beginAnew() {
	p.group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events, p.versions, p.unsaved, p.saved = 0, nil, nil, jobs.Partial{}
}

// made returns what the run has made so far, without the texts.
func (p *progress) made() jobs.Partial {
	return jobs.Partial{Events: p.events, Versions: p.versions}
}

func (p *progress) savedPartial() jobs.Partial {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.saved
}

// saveAll waits for the background save, saves the rest, and returns all that is saved.
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
	saved.Complete = p.textComplete && err == nil
	return saved, err
}
