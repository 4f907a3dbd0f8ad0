// Package budget limits retries to a fraction of the requests, so that retries do not
// multiply the load during an outage.
package budget

import "sync"

const (
	// RetriesPerRequest is the fraction of a retry that each request adds to the budget.
	RetriesPerRequest = 0.1
	// MaxUnusedRetries bounds the retries that a budget saves up.
	MaxUnusedRetries = 10
)

// Budget is the retry budget of one class of callers for one service. The zero value
// allows one retry. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// spent is the retries taken minus those earned; a retry is allowed while it is 0 or less.
	spent float64
}

// Earn adds RetriesPerRequest to the budget. The caller calls it once per request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-RetriesPerRequest, 1-MaxUnusedRetries)
}

// Spend takes one retry from the budget. It returns false if none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent > 0 {
		return false
	}
	b.spent++
	return true
}
