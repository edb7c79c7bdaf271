// Package retry bounds retries to a share of the live traffic, so that they
// can't add up to a flood when backend servers fail.
package retry

import "sync"

const (
	// reserve is how many retries are possible without earlier traffic.
	reserve = 10
	// maxTokens bounds what quiet times save up.
	maxTokens = 100
	// DefaultShare is used where the configuration states none.
	DefaultShare = 0.2
)

// Budget counts requests in and retries out. Safe for concurrent use.
type Budget struct {
	// mu guards the field below; it is a leaf.
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget with its reserve.
func NewBudget() *Budget { return &Budget{tokens: reserve} }

// Request adds the share of a retry that a request earns.
func (b *Budget) Request(share float64) {
	if share <= 0 {
		share = DefaultShare
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+share, maxTokens)
}

// Retry takes one retry, or reports that the budget is spent.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
