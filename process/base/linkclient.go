package base

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// firstDialLimit bounds the first attempt to connect to a process. A machine
	// that is down answers nothing, and the opening packet of a connection is sent
	// again after a second only; a round trip between regions of the platform takes
	// 4 ms.
	firstDialLimit = 250 * time.Millisecond
	// lastDialLimit is what the limit grows to, doubling with each failure: the
	// queue of a narrow link may hold a packet up for seconds.
	lastDialLimit = 2 * time.Second
)

// LinkClient returns the client that links between processes of a deployment
// are dialed with.
func LinkClient() *http.Client {
	d := &linkDialer{dial: (&net.Dialer{}).DialContext, failures: map[string]int{}}
	return &http.Client{Transport: &http.Transport{DialContext: d.connect, DisableCompression: true}}
}

// linkDialer connects with a limit that depends on the failures before.
type linkDialer struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	// mu guards failures, those in a row by address; it is a leaf.
	mu       sync.Mutex
	failures map[string]int
}

func (d *linkDialer) connect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.limit(address))
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

func (d *linkDialer) limit(address string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := firstDialLimit
	for range min(d.failures[address], 8) {
		limit = min(2*limit, lastDialLimit)
	}
	return limit
}
