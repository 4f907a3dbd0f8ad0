// Package steps keeps the slots of a trainer's step: which samples are still to
// be made, are being made, are ready, and were handed over.
//
// The trainer itself is the durable holder of its progress: every pull names
// the slots that it holds. An instance that takes over a step learns from the
// pull what is missing, and a pull repeated after a lost answer, at whichever
// instance, gets the same slots again and never one that the trainer holds.
// Nothing about samples goes to the platform's log.
package steps

import (
	"slices"

	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/place"
)

// Span is a run of tokens that one weight version produced.
type Span struct {
	Version ident.Version
	Tokens  ident.Tokens
}

// Sample is one graded answer.
type Sample struct {
	ID     string
	Slot   ident.Slot
	Prompt string
	Text   string
	// Spans names the versions in the order of the tokens.
	Spans  []Span
	Reward float64
}

// Oldest returns the oldest version that took part in the sample.
func (s *Sample) Oldest() ident.Version {
	oldest := ident.Version(0)
	for i, span := range s.Spans {
		if i == 0 || span.Version < oldest {
			oldest = span.Version
		}
	}
	return oldest
}

// Spec is what a trainer asks of a step.
type Spec struct {
	Trainer   ident.Trainer
	Step      ident.Step
	Prompts   []string
	GroupSize int
	MaxTokens ident.Tokens
	// StalenessBound is how many versions a sample may be behind at hand-over.
	StalenessBound ident.Version
}

// Slots returns how many samples the step needs.
func (s *Spec) Slots() int {
	return len(s.Prompts) * s.GroupSize
}

// Prompt returns the prompt of a slot.
func (s *Spec) Prompt(slot ident.Slot) string {
	return s.Prompts[int(slot)/s.GroupSize]
}

type phase uint8

const (
	missing phase = iota
	running
	ready
	held
)

type slotState struct {
	phase   phase
	attempt int32
	oldest  ident.Version
	tokens  ident.Tokens
	sample  *Sample
	// handedOver tells that the sample was in an answer to a pull. Whether the
	// trainer has it is only known from its next pull of the step.
	handedOver bool
}

// Attempt is one try at filling a slot.
type Attempt struct {
	Slot   ident.Slot
	Number int32
	Prompt string
}

// Waste counts generated tokens that no trainer got.
type Waste struct {
	Stale  ident.Tokens
	Failed ident.Tokens
	Late   ident.Tokens
}

// Tracker is the slots of one step. It has no lock of its own.
type Tracker struct {
	Spec  Spec
	Waste Waste
	// StaleDropped counts samples and attempts dropped for staleness.
	StaleDropped int

	slots         []slotState
	startOrder    []ident.Slot
	newestVersion ident.Version
	missing       int
	running       int
	held          int
}

// New returns a ledger in which the slots of have are held by the trainer.
// Expect predicts lengths, and the policy orders the slots by them.
func New(spec Spec, have Set, expectedTokens func(prompt string) ident.Tokens, policy place.Policy) *Tracker {
	l := &Tracker{Spec: spec, slots: make([]slotState, spec.Slots())}
	order := make([]place.Slot, len(l.slots))
	for i := range l.slots {
		order[i] = place.Slot{Index: ident.Slot(i), Expect: expectedTokens(spec.Prompt(ident.Slot(i)))}
	}
	l.missing = len(l.slots)
	slices.SortFunc(order, policy.Compare)
	for _, slot := range order {
		l.startOrder = append(l.startOrder, slot.Index)
	}
	l.markHeld(have)
	return l
}

// Counts returns how many slots are missing, running, ready and held.
func (t *Tracker) Counts() (missing, running, ready, held int) {
	return t.missing, t.running, len(t.slots) - t.missing - t.running - t.held, t.held
}

// Missing returns how many slots have no attempt running.
func (t *Tracker) Missing() int {
	return t.missing
}

// Running returns how many slots have an attempt running.
func (t *Tracker) Running() int {
	return t.running
}

// Complete tells whether the trainer holds every slot.
func (t *Tracker) Complete() bool {
	return t.held == len(t.slots)
}

// Next starts an attempt at the most urgent missing slot.
func (t *Tracker) Next() (Attempt, bool) {
	if t.missing == 0 {
		return Attempt{}, false
	}
	for _, slot := range t.startOrder {
		s := &t.slots[slot]
		if s.phase != missing {
			continue
		}
		t.setPhase(s, running)
		s.attempt++
		s.tokens = 0
		s.oldest = 0
		return Attempt{Slot: slot, Number: s.attempt, Prompt: t.Spec.Prompt(slot)}, true
	}
	return Attempt{}, false
}

// Progress notes how far an attempt is and the oldest version in it. It
// reports false when the attempt is no longer wanted and must be cancelled.
func (t *Tracker) Progress(a Attempt, tokens ident.Tokens, oldest ident.Version) bool {
	s, ok := t.runningSlot(a)
	if !ok {
		return false
	}
	s.tokens = tokens
	s.oldest = oldest
	if t.isStale(oldest) {
		t.dropStale(s)
		return false
	}
	return true
}

// Fill puts the attempt's sample into its slot. It reports false for an
// attempt that is no longer wanted; its tokens are counted as waste.
func (t *Tracker) Fill(a Attempt, sample *Sample) bool {
	s, ok := t.runningSlot(a)
	if !ok {
		t.Waste.Late += sumTokens(sample.Spans)
		return false
	}
	s.tokens = sumTokens(sample.Spans)
	if t.isStale(sample.Oldest()) {
		t.dropStale(s)
		return false
	}
	s.sample = sample
	t.setPhase(s, ready)
	return true
}

// ImportSample fills a missing slot with a sample that another owner of the step made.
func (t *Tracker) ImportSample(sample *Sample) {
	if sample.Slot < 0 || int(sample.Slot) >= len(t.slots) || t.isStale(sample.Oldest()) {
		return
	}
	s := &t.slots[sample.Slot]
	if s.phase != missing {
		return
	}
	s.sample = sample
	s.tokens = sumTokens(sample.Spans)
	t.setPhase(s, ready)
}

// Export returns what a next owner needs: the slots that the trainer holds and
// the samples that are ready.
func (t *Tracker) Export() (have Set, samples []*Sample) {
	for i := range t.slots {
		switch s := &t.slots[i]; s.phase {
		case held:
			have.Add(ident.Slot(i))
		case ready:
			samples = append(samples, s.sample)
		case missing, running:
		}
	}
	return have, samples
}

// Fail makes the attempt's slot missing again.
func (t *Tracker) Fail(a Attempt) {
	s, ok := t.runningSlot(a)
	if !ok {
		return
	}
	t.Waste.Failed += s.tokens
	t.setPhase(s, missing)
}

// SetStalenessBound puts a changed staleness bound in force.
func (t *Tracker) SetStalenessBound(bound ident.Version) {
	t.Spec.StalenessBound = bound
}

// ObserveVersion notes the newest version that the trainer has published and drops
// what is too old by now. Running attempts learn it from Progress.
func (t *Tracker) ObserveVersion(version ident.Version) {
	t.newestVersion = max(t.newestVersion, version)
	for i := range t.slots {
		if s := &t.slots[i]; !s.handedOver {
			t.dropIfStale(s)
		}
	}
}

func (t *Tracker) dropIfStale(s *slotState) {
	if s.phase == ready && t.isStale(s.sample.Oldest()) {
		t.dropStale(s)
	}
}

// HandOver returns up to limit ready samples for a trainer that holds the slots of
// have and has published version. It is the last check of the staleness bound.
func (t *Tracker) HandOver(have Set, version ident.Version, limit int) []*Sample {
	t.ObserveVersion(version)
	t.markHeld(have)
	var samples []*Sample
	for i := range t.slots {
		s := &t.slots[i]
		t.dropIfStale(s)
		if s.phase == ready && len(samples) < limit {
			samples = append(samples, s.sample)
			s.handedOver = true
		}
	}
	return samples
}

// markHeld notes the slots that the trainer says it holds. What the trainer holds
// is held, whoever made it.
func (t *Tracker) markHeld(have Set) {
	for i := range t.slots {
		s := &t.slots[i]
		if !have.Has(ident.Slot(i)) || s.phase == held {
			continue
		}
		if s.phase == running {
			s.attempt++
		}
		s.sample = nil
		t.setPhase(s, held)
	}
}

func (t *Tracker) isStale(oldest ident.Version) bool {
	return t.newestVersion-oldest > t.Spec.StalenessBound
}

func (t *Tracker) dropStale(s *slotState) {
	t.Waste.Stale += s.tokens
	t.StaleDropped++
	s.sample = nil
	s.handedOver = false
	s.attempt++
	t.setPhase(s, missing)
}

func (t *Tracker) runningSlot(a Attempt) (*slotState, bool) {
	s := &t.slots[a.Slot]
	return s, s.phase == running && s.attempt == a.Number
}

func (t *Tracker) setPhase(s *slotState, to phase) {
	t.adjustCount(s.phase, -1)
	t.adjustCount(to, 1)
	s.phase = to
}

func (t *Tracker) adjustCount(p phase, by int) {
	switch p {
	case missing:
		t.missing += by
	case running:
		t.running += by
	case held:
		t.held += by
	case ready:
	}
}

func sumTokens(spans []Span) ident.Tokens {
	var sum ident.Tokens
	for _, span := range spans {
		sum += span.Tokens
	}
	return sum
}
