// Package guess predicts how long answers get, per family of prompts, from the
// lengths seen so far.
package guess

import (
	"strings"
	"sync"

	"croftmoor.dev/kernel/ident"
)

const (
	// smoothing weighs a new length against the mean so far.
	smoothing = 0.2
	// familyMark ends the part of a prompt that names its family.
	familyMark = "|"
	// familyBytes is the length of the family part of a prompt without a mark.
	familyBytes = 32
	maxFamilies = 4096
)

// Lengths learns lengths. The zero value is ready; its state is guarded by mu.
type Lengths struct {
	mu       sync.Mutex
	byFamily map[string]float64
	overall  float64
}

// Family returns the part of the prompt that is taken to tell its kind.
func Family(prompt string) string {
	if head, _, ok := strings.Cut(prompt, familyMark); ok {
		return head
	}
	return prompt[:min(len(prompt), familyBytes)]
}

// Seen notes the length of a finished answer.
func (l *Lengths) Seen(prompt string, length ident.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byFamily == nil || len(l.byFamily) > maxFamilies {
		l.byFamily = map[string]float64{}
	}
	family := Family(prompt)
	l.byFamily[family] = blend(l.byFamily[family], float64(length))
	l.overall = blend(l.overall, float64(length))
}

// Expect returns the expected length of an answer; 0 if nothing was seen yet.
func (l *Lengths) Expect(prompt string) ident.Tokens {
	l.mu.Lock()
	defer l.mu.Unlock()
	if mean, ok := l.byFamily[Family(prompt)]; ok {
		return ident.Tokens(mean)
	}
	return ident.Tokens(l.overall)
}

func blend(mean, seen float64) float64 {
	if mean == 0 {
		return seen
	}
	return mean*(1-smoothing) + seen*smoothing
}
