// Package retry limits retries to a share of the live traffic, so that they don't
// multiply the load when backend servers fail.
package retry

import "sync"

const (
	// initialTokens is the number of retries allowed before any request.
	initialTokens = 10
	// maxTokens bounds the retries that can accumulate.
	maxTokens = 100
	// DefaultShare is the share of a retry earned per request if the configuration
	// sets none.
	DefaultShare = 0.2
)

// Budget is a token bucket: requests add tokens and each retry takes one. Safe for
// concurrent use.
type Budget struct {
	// mu guards the field below; it is a leaf.
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget with the initial tokens.
func NewBudget() *Budget { return &Budget{tokens: initialTokens} }

// RecordRequest adds the tokens of one request. DefaultShare replaces a share that is
// not positive.
func (b *Budget) RecordRequest(share float64) {
	if share <= 0 {
		share = DefaultShare
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+share, maxTokens)
}

// TryRetry takes one token, or returns false if the budget is spent.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
