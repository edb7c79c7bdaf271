package forward

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/backend"
)

const (
	// endCheckDelay is the time between two checks of an address. A server that ends may
	// accept connections for a moment after it has closed others.
	endCheckDelay = 100 * time.Millisecond
	// endChecks is the number of checks after a broken connection.
	endChecks = 2
	// endCheckTimeout bounds one check.
	endCheckTimeout = time.Second
)

// checkEnded finds out whether the address of a server that has broken off a request refuses
// connections. A server that runs one request at a time breaks off only that, and this entry
// sends it no other one for a while.
func (h *Handler) checkEnded(server, address string) {
	for i := range endChecks {
		if i > 0 {
			h.clock.Sleep(endCheckDelay)
		}
		ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
		refusal := checkRefused(ctx, h.client, address)
		cancel()
		if refusal != nil {
			h.suspects.confirmEnd(server, refusal)
			return
		}
	}
}

// checkRefused returns the error of an address that refuses connections, or nil. A connection
// that fails otherwise shows nothing: its packets may have been lost.
func checkRefused(ctx context.Context, client *backend.Client, address string) error {
	if err := client.Check(ctx, address); errors.Is(err, syscall.ECONNREFUSED) {
		return err
	}
	return nil
}
