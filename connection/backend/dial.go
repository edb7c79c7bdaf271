package backend

import (
	"context"
	"net"
	"time"
)

// redialAfter is how long a connection may take to open before a second one is tried as well.
// VMs of the platform answer within 12 ms. A lost SYN or SYN-ACK is sent again only after a
// second, which is longer than dialTimeout and than the latency targets.
const redialAfter = 80 * time.Millisecond

type dialResult struct {
	conn net.Conn
	err  error
}

// dial opens a connection within dialTimeout. If the first attempt has no result after
// redialAfter, a second one is made, and the first connection that opens is used.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	results := make(chan dialResult, 2)
	attempt := func() {
		conn, err := c.dialer.DialContext(ctx, "tcp", address)
		results <- dialResult{conn, err}
	}
	go attempt()
	pending, again := 1, time.NewTimer(redialAfter)
	defer again.Stop()
	defer func() {
		if pending > 0 {
			go closeLater(results, pending)
		}
	}()
	for {
		select {
		case r := <-results:
			if pending--; r.err == nil || pending == 0 || ctx.Err() == nil {
				return r.conn, r.err
			}
		case <-again.C:
			c.redials.Inc(1)
			pending++
			go attempt()
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
	}
}

// closeLater closes the connections of attempts that were not needed.
func closeLater(results <-chan dialResult, pending int) {
	for range pending {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}
