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
func (l *Estimator) Observe(prompt string, length ident.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byFamily == nil || len(l.byFamily) > maxFamilies {
		l.byFamily = map[string]float64{}
	}
	family := Family(prompt)
	l.byFamily[family] = movingAverage(l.byFamily[family], float64(length))
	l.overallMean = movingAverage(l.overallMean, float64(length))
}

// Estimate returns the expected length of an answer: the mean of its family, else the
// mean of all answers, else 0.
func (l *Estimator) Estimate(prompt string) ident.Tokens {
	l.mu.Lock()
	defer l.mu.Unlock()
	if mean, ok := l.byFamily[Family(prompt)]; ok {
		return ident.Tokens(mean)
	}
	return ident.Tokens(l.overallMean)
}

func movingAverage(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean*(1-smoothing) + value*smoothing
}
