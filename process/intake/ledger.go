package intake

import (
	"sync"
	"time"
)

// Ledger accounts for the bytes of one kind that a process holds. Over its limit it ends
// the holders that have held the most for the longest. It is safe for concurrent use.
type Ledger struct {
	limit int64
	// floor is the cost up to which a holder is never ended. All holders together exceed the
	// limit by at most floor for each.
	floor int64

	// mu guards the fields below and those of all holders. It is a leaf lock.
	mu      sync.Mutex
	used    int64
	holders map[*Holder]struct{}
}

// Holder is what one connection or request holds.
type Holder struct {
	ledger *Ledger
	// end closes the holder's connection. It is called without locks.
	end func()

	cost  int64
	since time.Time
	// open is set while more is expected. Only open holders are ended.
	open, ended bool
}

// NewLedger returns a ledger without holders.
func NewLedger(limit, floor int64) *Ledger {
	return &Ledger{limit: limit, floor: floor, holders: map[*Holder]struct{}{}}
}

// NewHolder returns a holder of nothing. end is called if it must be ended for others.
func (l *Ledger) NewHolder(end func()) *Holder { return &Holder{ledger: l, end: end} }

// Used returns the cost of all holders.
func (l *Ledger) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// Charge adds to the cost of a holder, which is open from its first charge on. Over the
// limit, holders are ended. It returns false if this holder was, now or before: then what
// it holds must be dropped.
func (h *Holder) Charge(cost int64, now time.Time) bool {
	ending, ok := h.charge(cost, now)
	for _, other := range ending {
		other.end()
	}
	return ok
}

func (h *Holder) charge(cost int64, now time.Time) (ending []*Holder, ok bool) {
	l := h.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.ended {
		return nil, false
	}
	if h.cost == 0 {
		h.since, h.open = now, true
		l.holders[h] = struct{}{}
	}
	h.cost += cost
	l.used += cost
	for l.used > l.limit {
		worst := l.worst(now)
		if worst == nil {
			return ending, true
		}
		worst.ended = true
		l.remove(worst)
		if worst == h {
			return ending, false
		}
		ending = append(ending, worst)
	}
	return ending, true
}

// worst returns the open holder above the floor with the greatest product of cost and
// time, or nil. It is called with mu held.
func (l *Ledger) worst(now time.Time) *Holder {
	var worst *Holder
	var most float64
	for h := range l.holders {
		if !h.open || h.cost <= l.floor {
			continue
		}
		// A holder that has just begun counts as a millisecond old, so that cost decides.
		if score := float64(h.cost) * float64(now.Sub(h.since)+time.Millisecond); worst == nil || score > most {
			worst, most = h, score
		}
	}
	return worst
}

// remove is called with mu held.
func (l *Ledger) remove(h *Holder) {
	l.used -= h.cost
	h.cost, h.open = 0, false
	delete(l.holders, h)
}

// Pay subtracts from the cost of a holder what it no longer holds. At zero it begins anew.
func (h *Holder) Pay(cost int64) {
	l := h.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	cost = min(cost, h.cost)
	h.cost -= cost
	l.used -= cost
	if h.cost == 0 {
		l.remove(h)
	}
}

// Settle marks that nothing more is expected: the holder's cost stays, and it is not ended
// for others. It returns false if the holder was ended before.
func (h *Holder) Settle() bool {
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	h.open = false
	return !h.ended
}

// Release sets the holder's cost to zero. It is open again at the next charge.
func (h *Holder) Release() {
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	h.ledger.remove(h)
}

// Ended reports whether the holder was ended for others.
func (h *Holder) Ended() bool {
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	return h.ended
}
