// Package guess predicts the length of answers in tokens from the lengths of earlier
// answers to prompts of the same family.
package guess

import (
	"strings"
	"sync"

	"croftmoor.dev/kernel/ident"
)

const (
	// smoothing is the weight of a new length in the moving average.
	smoothing = 0.2
	// familySeparator ends the prefix of a prompt that names its family.
	familySeparator = "|"
	// defaultFamilyBytes is the prefix length used for a prompt without a separator.
	defaultFamilyBytes = 32
	// maxFamilies bounds byFamily; with more entries, the next Observe clears it.
	maxFamilies = 4096
)

// Estimator keeps a moving average of answer lengths for each family and for all prompts.
// The zero value is ready to use; mu guards the fields.
type Estimator struct {
	mu          sync.Mutex
	byFamily    map[string]float64
	overallMean float64
}

// Family returns the prefix of a prompt that identifies its family.
func Family(prompt string) string {
	if head, _, ok := strings.Cut(prompt, familySeparator); ok {
		return head
	}
	return prompt[:min(len(prompt), defaultFamilyBytes)]
}

// Observe records the length of a finished answer.
func (e *Estimator) Observe(prompt string, length ident.Tokens) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byFamily == nil || len(e.byFamily) > maxFamilies {
		e.byFamily = map[string]float64{}
	}
	family := Family(prompt)
	e.byFamily[family] = movingAverage(e.byFamily[family], float64(length))
	e.overallMean = movingAverage(e.overallMean, float64(length))
}

// Estimate returns the expected length of an answer: the mean of its family, else the
// mean of all answers, else 0.
func (e *Estimator) Estimate(prompt string) ident.Tokens {
	e.mu.Lock()
	defer e.mu.Unlock()
	if mean, ok := e.byFamily[Family(prompt)]; ok {
		return ident.Tokens(mean)
	}
	return ident.Tokens(e.overallMean)
}

func movingAverage(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean*(1-smoothing) + value*smoothing
}
