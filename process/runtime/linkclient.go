package runtime

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/waxwingpost/waxwingpost/process/intake"
)

const (
	// initialDialTimeout is the timeout of the first attempt to connect to a process.
	// A machine that is down does not answer, and TCP retransmits a SYN only after
	// 1 s. A round trip between regions of the platform takes 4 ms.
	initialDialTimeout = 250 * time.Millisecond
	// maxDialTimeout is the maximum timeout. The timeout doubles with each failure,
	// because queueing on a slow link may delay a packet for seconds.
	maxDialTimeout = 2 * time.Second
)

// LinkClient returns an HTTP client for opening links between processes of a
// deployment.
func LinkClient() *http.Client {
	d := &linkDialer{dial: (&net.Dialer{}).DialContext, failures: map[string]int{}}
	return &http.Client{Transport: intake.CheckHeads(&http.Transport{DialContext: d.dialContext, DisableCompression: true})}
}

// linkDialer dials with a timeout that grows with consecutive failures.
type linkDialer struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	// mu guards failures, the number of consecutive failures by address. No other
	// lock is acquired while it is held.
	mu       sync.Mutex
	failures map[string]int
}

func (d *linkDialer) dialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout(address))
	defer cancel()
	c, err := d.dial(ctx, network, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.failures[address]++
		return nil, err
	}
	delete(d.failures, address)
	return c, nil
}

func (d *linkDialer) timeout(address string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	timeout := initialDialTimeout
	for range min(d.failures[address], 8) {
		timeout = min(2*timeout, maxDialTimeout)
	}
	return timeout
}
