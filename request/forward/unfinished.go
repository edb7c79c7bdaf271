package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/process/intake"
)

const (
	// defaultResponseBytes bounds the unfinished responses of a handler without a ledger of its
	// process.
	defaultResponseBytes = 64 << 20
	// unaccountedBytes is the size up to which a response is not accounted for.
	unaccountedBytes = 16 << 10
)

// errUnfinished is the error of an attempt whose response was ended for others.
var errUnfinished = errors.New("the response had not ended when the responses of all servers exceeded their memory")

// unfinished accounts for what one attempt holds of a response until that ends. It is used by
// the goroutine of the attempt, except that others may end it. A nil one accounts for nothing.
type unfinished struct {
	ledger *intake.Ledger
	now    func() time.Time
	// end makes the attempt fail, and record counts that.
	end, record func()

	// holder is nil until something is accounted for; size is that.
	holder *intake.Holder
	size   int
}

func (h *Handler) newUnfinished(cancel context.CancelFunc) unfinished {
	return unfinished{ledger: h.cfg.Responses, now: h.clock.Now, end: cancel, record: h.cfg.Unfinished}
}

// hold sets the size of what is held. It returns an error if that must be dropped.
func (u *unfinished) hold(size int) error {
	if u == nil || size <= unaccountedBytes && u.size == 0 {
		return nil
	}
	if u.holder == nil {
		u.holder = u.ledger.NewHolder(func() {
			u.record()
			u.end()
		})
	}
	change := int64(size - u.size)
	u.size = size
	if change <= 0 {
		u.holder.Pay(-change)
		return nil
	}
	if u.holder.Ended() {
		return errUnfinished
	}
	if !u.holder.Charge(change, u.now()) {
		u.record() // a holder that is ended by its own charge is not told
		return errUnfinished
	}
	return nil
}

// ended reports whether the response was ended for others.
func (u *unfinished) ended() bool { return u != nil && u.holder != nil && u.holder.Ended() }

// settle marks that the response has ended: it is not ended for others any more.
func (u *unfinished) settle() {
	if u.holder != nil {
		u.holder.Settle()
	}
}

// release ends the accounting.
func (u *unfinished) release() {
	if u.holder != nil {
		u.holder.Release()
	}
}
