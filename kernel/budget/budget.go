// Package budget limits retries to a share of the requests, so that a fault
// does not multiply the load.
package budget

import "sync"

const (
	// RetriesPerRequest is how many retries each request earns.
	RetriesPerRequest = 0.1
	// MaxSaved bounds the saved retries.
	MaxSaved = 10
)

// Budget is one caller class's retries towards one service. The zero value
// holds one retry; its state is guarded by mu.
type Budget struct {
	mu    sync.Mutex
	spent float64
}

// Earn counts a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-RetriesPerRequest, 1-MaxSaved)
}

// Spend takes one retry if there is one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent > 0 {
		return false
	}
	b.spent++
	return true
}
