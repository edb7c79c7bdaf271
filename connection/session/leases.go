package session

import (
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// tokenBytes is the length of a token before hex encoding.
const tokenBytes = 16

// Leases holds the tokens that an agent issued with its heartbeats. The agent
// refuses a dispatch whose token's lease has expired. Thus an entry that was
// paused, or a dispatch delayed on a stalled link, can't start a request late.
// Safe for concurrent use.
type Leases struct {
	ttl   time.Duration
	clock clockwork.Clock

	// mu guards the fields below.
	mu     sync.Mutex
	rnd    *rand.Rand
	expiry map[string]time.Time
}

// NewLeases returns an empty set of tokens.
func NewLeases(cfg Config, clock clockwork.Clock, rnd *rand.Rand) *Leases {
	return &Leases{
		ttl:    cfg.withDefaults().LeaseTTL,
		clock:  clock,
		rnd:    rnd,
		expiry: make(map[string]time.Time),
	}
}

// Issue returns a new token and removes those whose lease has expired.
func (l *Leases) Issue() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for token, end := range l.expiry {
		if expired(now, end) {
			delete(l.expiry, token)
		}
	}
	token := l.newToken()
	l.expiry[token] = now.Add(l.ttl)
	return token
}

func (l *Leases) newToken() string {
	var raw [tokenBytes]byte
	for i := range raw {
		raw[i] = byte(l.rnd.Uint32())
	}
	return hex.EncodeToString(raw[:])
}

// Check returns a StaleLease refusal unless the token was issued and its lease has
// not expired.
func (l *Leases) Check(token string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	end, ok := l.expiry[token]
	if !ok || expired(l.clock.Now(), end) {
		return result.Refuse(result.StaleLease, 0, "token is unknown or its lease has expired")
	}
	return nil
}

// expired compares both the monotonic and the wall clock. The monotonic clock
// stops while a VM is suspended; a wall clock that jumps ahead only ends a lease
// early.
func expired(now, end time.Time) bool {
	return !now.Before(end) || !now.Round(0).Before(end.Round(0))
}
