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
	// Bound is how many versions a sample may be behind at hand-over.
	Bound ident.Version
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
	// handed tells that the sample was in an answer to a pull. Whether the
	// trainer has it is only known from its next pull of the step.
	handed bool
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

// Ledger is the slots of one step. It has no lock of its own.
type Ledger struct {
	Spec  Spec
	Waste Waste
	// StaleDropped counts samples and attempts dropped for staleness.
	StaleDropped int

	slots   []slotState
	order   []ident.Slot
	newest  ident.Version
	missing int
	running int
	held    int
}

// Open returns a ledger in which the slots of have are held by the trainer.
// Expect predicts lengths, and the policy orders the slots by them.
func Open(spec Spec, have Set, expect func(prompt string) ident.Tokens, policy place.Policy) *Ledger {
	l := &Ledger{Spec: spec, slots: make([]slotState, spec.Slots())}
	order := make([]place.Slot, len(l.slots))
	for i := range l.slots {
		order[i] = place.Slot{Index: ident.Slot(i), Expected: expect(spec.Prompt(ident.Slot(i)))}
	}
	l.missing = len(l.slots)
	slices.SortFunc(order, policy.Compare)
	for _, slot := range order {
		l.order = append(l.order, slot.Index)
	}
	l.hold(have)
	return l
}

// Counts returns how many slots are missing, running, ready and held.
func (l *Ledger) Counts() (missing, running, ready, held int) {
	return l.missing, l.running, len(l.slots) - l.missing - l.running - l.held, l.held
}

// Missing returns how many slots have no attempt running.
func (l *Ledger) Missing() int {
	return l.missing
}

// Running returns how many slots have an attempt running.
func (l *Ledger) Running() int {
	return l.running
}

// Complete tells whether the trainer holds every slot.
func (l *Ledger) Complete() bool {
	return l.held == len(l.slots)
}

// Next starts an attempt at the most urgent missing slot.
func (l *Ledger) Next() (Attempt, bool) {
	if l.missing == 0 {
		return Attempt{}, false
	}
	for _, slot := range l.order {
		s := &l.slots[slot]
		if s.phase != missing {
			continue
		}
		l.move(s, running)
		s.attempt++
		s.tokens = 0
		s.oldest = 0
		return Attempt{Slot: slot, Number: s.attempt, Prompt: l.Spec.Prompt(slot)}, true
	}
	return Attempt{}, false
}

// Progress notes how far an attempt is and the oldest version in it. It
// reports false when the attempt is no longer wanted and must be cancelled.
func (l *Ledger) Progress(a Attempt, tokens ident.Tokens, oldest ident.Version) bool {
	s, ok := l.current(a)
	if !ok {
		return false
	}
	s.tokens = tokens
	s.oldest = oldest
	if l.tooOld(oldest) {
		l.dropStale(s)
		return false
	}
	return true
}

// Fill puts the attempt's sample into its slot. It reports false for an
// attempt that is no longer wanted; its tokens are counted as waste.
func (l *Ledger) Fill(a Attempt, sample *Sample) bool {
	s, ok := l.current(a)
	if !ok {
		l.Waste.Late += count(sample.Spans)
		return false
	}
	s.tokens = count(sample.Spans)
	if l.tooOld(sample.Oldest()) {
		l.dropStale(s)
		return false
	}
	s.sample = sample
	l.move(s, ready)
	return true
}

// Put fills a missing slot with a sample that another owner of the step made.
func (l *Ledger) Put(sample *Sample) {
	if sample.Slot < 0 || int(sample.Slot) >= len(l.slots) || l.tooOld(sample.Oldest()) {
		return
	}
	s := &l.slots[sample.Slot]
	if s.phase != missing {
		return
	}
	s.sample = sample
	s.tokens = count(sample.Spans)
	l.move(s, ready)
}

// Leave returns what a next owner needs: the slots that the trainer holds and
// the samples that are ready.
func (l *Ledger) Leave() (have Set, samples []*Sample) {
	for i := range l.slots {
		switch s := &l.slots[i]; s.phase {
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
func (l *Ledger) Fail(a Attempt) {
	s, ok := l.current(a)
	if !ok {
		return
	}
	l.Waste.Failed += s.tokens
	l.move(s, missing)
}

// SetBound puts a changed staleness bound in force.
func (l *Ledger) SetBound(bound ident.Version) {
	l.Spec.Bound = bound
}

// Publish notes the newest version that the trainer has published and drops
// what is too old by now. Running attempts learn it from Progress.
func (l *Ledger) Publish(version ident.Version) {
	l.newest = max(l.newest, version)
	for i := range l.slots {
		if s := &l.slots[i]; !s.handed {
			l.dropIfOld(s)
		}
	}
}

func (l *Ledger) dropIfOld(s *slotState) {
	if s.phase == ready && l.tooOld(s.sample.Oldest()) {
		l.dropStale(s)
	}
}

// Hand returns up to limit ready samples for a trainer that holds the slots of
// have and has published version. It is the last check of the staleness bound.
func (l *Ledger) Hand(have Set, version ident.Version, limit int) []*Sample {
	l.Publish(version)
	l.hold(have)
	var samples []*Sample
	for i := range l.slots {
		s := &l.slots[i]
		l.dropIfOld(s)
		if s.phase == ready && len(samples) < limit {
			samples = append(samples, s.sample)
			s.handed = true
		}
	}
	return samples
}

// hold notes the slots that the trainer says it holds. What the trainer holds
// is held, whoever made it.
func (l *Ledger) hold(have Set) {
	for i := range l.slots {
		s := &l.slots[i]
		if !have.Has(ident.Slot(i)) || s.phase == held {
			continue
		}
		if s.phase == running {
			s.attempt++
		}
		s.sample = nil
		l.move(s, held)
	}
}

func (l *Ledger) tooOld(oldest ident.Version) bool {
	return l.newest-oldest > l.Spec.Bound
}

func (l *Ledger) dropStale(s *slotState) {
	l.Waste.Stale += s.tokens
	l.StaleDropped++
	s.sample = nil
	s.handed = false
	s.attempt++
	l.move(s, missing)
}

func (l *Ledger) current(a Attempt) (*slotState, bool) {
	s := &l.slots[a.Slot]
	return s, s.phase == running && s.attempt == a.Number
}

func (l *Ledger) move(s *slotState, to phase) {
	l.tally(s.phase, -1)
	l.tally(to, 1)
	s.phase = to
}

func (l *Ledger) tally(p phase, by int) {
	switch p {
	case missing:
		l.missing += by
	case running:
		l.running += by
	case held:
		l.held += by
	case ready:
	}
}

func count(spans []Span) ident.Tokens {
	var sum ident.Tokens
	for _, span := range spans {
		sum += span.Tokens
	}
	return sum
}
