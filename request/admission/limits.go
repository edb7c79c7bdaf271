package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// Limits holds the rate limit of each account and its requests in progress at all
// services of an entry. Safe for concurrent use.
type Limits struct {
	clock clockwork.Clock

	// mu guards the field below.
	mu       sync.Mutex
	accounts map[string]*accountLimit
}

// accountLimit is the state of one account.
type accountLimit struct {
	perSecond float64
	limiter   *rate.Limiter
	running   atomic.Int64
}

// NewLimits returns limits without accounts.
func NewLimits(clock clockwork.Clock) *Limits {
	return &Limits{clock: clock, accounts: make(map[string]*accountLimit)}
}

// Running returns the counter of an account's requests in progress.
func (l *Limits) Running(account string) *atomic.Int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &l.get(account).running
}

// get returns the state of an account and creates it on first use. The caller holds
// mu.
func (l *Limits) get(account string) *accountLimit {
	a := l.accounts[account]
	if a == nil {
		a = &accountLimit{}
		l.accounts[account] = a
	}
	return a
}

// Allow counts a request against the account's limit in requests per second, or
// returns a refusal with the code RateExceeded. Zero means no limit.
func (l *Limits) Allow(account string, perSecond float64) error {
	if perSecond <= 0 {
		return nil
	}
	l.mu.Lock()
	a := l.get(account)
	if a.limiter == nil || a.perSecond != perSecond {
		a.perSecond = perSecond
		a.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	limiter := a.limiter
	l.mu.Unlock()
	now := l.clock.Now()
	if limiter.AllowN(now, 1) {
		return nil
	}
	retry := time.Duration(float64(time.Second) / perSecond)
	return result.Refuse(result.RateExceeded, retry, "account %s exceeds %g requests per second", account, perSecond)
}
