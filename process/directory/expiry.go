package directory

import "time"

// Times before the expiry of a server's weights. A server that does nothing for a while first
// begins the requests that it has received, and reads the close of a connection or an order
// after that. So neither proves that a request will not begin, and all of them must reach the
// server so early that a whole silence fits in before the expiry.
const (
	// MaxSilence is how long a sound server may do nothing.
	MaxSilence = 1500 * time.Millisecond
	// WithdrawMargin is how long before the expiry requests that have not begun are
	// withdrawn, and the server is ordered to unload the weights. It includes the time in
	// which a close or an order arrives.
	WithdrawMargin = MaxSilence + 200*time.Millisecond
	// LastRequestMargin is how long before the expiry a server is chosen for a request for
	// the last time. The request has the difference to begin before it is withdrawn.
	LastRequestMargin = WithdrawMargin + 300*time.Millisecond
)
