package session

import (
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// tokenBytes is the length of a token before its encoding.
const tokenBytes = 16

// Leases are the tokens that an agent issued with its heartbeats. A dispatch
// that carries a token past its lease is refused, so that an entry which was
// frozen, or bytes that sat in a stalled link, start nothing late. Safe for
// concurrent use.
type Leases struct {
	ttl   time.Duration
	clock clockwork.Clock

	// mu guards the fields below.
	mu      sync.Mutex
	rnd     *rand.Rand
	expires map[string]time.Time
}

// NewLeases returns a set without tokens.
func NewLeases(cfg Config, clock clockwork.Clock, rnd *rand.Rand) *Leases {
	return &Leases{
		ttl:     cfg.withDefaults().LeaseTTL,
		clock:   clock,
		rnd:     rnd,
		expires: make(map[string]time.Time),
	}
}

// Issue returns a new token and forgets those whose lease has ended.
func (l *Leases) Issue() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for token, end := range l.expires {
		if ended(now, end) {
			delete(l.expires, token)
		}
	}
	token := l.newToken()
	l.expires[token] = now.Add(l.ttl)
	return token
}

func (l *Leases) newToken() string {
	var raw [tokenBytes]byte
	for i := range raw {
		raw[i] = byte(l.rnd.Uint32())
	}
	return hex.EncodeToString(raw[:])
}

// Check returns a StaleLease refusal unless the token's lease is running.
func (l *Leases) Check(token string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	end, ok := l.expires[token]
	if !ok || ended(l.clock.Now(), end) {
		return result.Refuse(result.StaleLease, 0, "the token is unknown or past its lease")
	}
	return nil
}

// ended compares both the monotonic and the wall clock: the monotonic clock
// stands still while a VM is suspended, and a wall clock that leaps ahead
// only ends a lease early.
func ended(now, end time.Time) bool {
	return !now.Before(end) || !now.Round(0).Before(end.Round(0))
}
