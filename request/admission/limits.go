package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// Limits hold each account's rate and its requests in progress over all the
// services of an entry. Safe for concurrent use.
type Limits struct {
	clock clockwork.Clock

	// mu guards the field below.
	mu       sync.Mutex
	accounts map[string]*limit
}

type limit struct {
	perSecond float64
	limiter   *rate.Limiter
	running   atomic.Int64
}

// NewLimits returns an empty set.
func NewLimits(clock clockwork.Clock) *Limits {
	return &Limits{clock: clock, accounts: make(map[string]*limit)}
}

// Running returns the count of an account's requests in progress.
func (l *Limits) Running(account string) *atomic.Int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &l.get(account).running
}

func (l *Limits) get(account string) *limit {
	a := l.accounts[account]
	if a == nil {
		a = &limit{}
		l.accounts[account] = a
	}
	return a
}

// Take counts a request against the account's rate, or refuses it. A rate of
// zero is unlimited.
func (l *Limits) Take(account string, perSecond float64) error {
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
	return result.Refuse(result.RateExceeded, retry, "account %s exceeds %g requests a second", account, perSecond)
}
