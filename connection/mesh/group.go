package mesh

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Group maintains links to a set of processes that may change at any time. Each
// process is identified by its address. Not safe for concurrent use.
type Group struct {
	mesh *Mesh
	// stopDialing maps each address in the set to the function that stops dialing
	// it.
	stopDialing map[string]context.CancelFunc
	wg          sync.WaitGroup
}

// NewGroup returns an empty group.
func (m *Mesh) NewGroup() *Group {
	return &Group{mesh: m, stopDialing: map[string]context.CancelFunc{}}
}

// Set replaces the set of addresses. It dials new addresses until ctx ends or a
// later call omits them. It stops dialing addresses that are no longer in the
// set and closes the links dialed to them. dialDelay returns how long to wait
// for the peer to dial first; nil means no wait.
func (g *Group) Set(ctx context.Context, addresses []string, dialDelay func(address string) time.Duration) {
	for address, cancel := range g.stopDialing {
		if !slices.Contains(addresses, address) {
			cancel()
			delete(g.stopDialing, address)
		}
	}
	for _, address := range addresses {
		if g.stopDialing[address] != nil {
			continue
		}
		delay := time.Duration(0)
		if dialDelay != nil {
			delay = dialDelay(address)
		}
		linkCtx, cancel := context.WithCancel(ctx)
		g.stopDialing[address] = cancel
		g.wg.Go(func() { g.mesh.MaintainLink(linkCtx, address, address, delay) })
	}
}

// Contains reports whether the address is in the set.
func (g *Group) Contains(address string) bool { return g.stopDialing[address] != nil }

// Close stops dialing and waits until the links that the group dialed are closed.
func (g *Group) Close() {
	for _, cancel := range g.stopDialing {
		cancel()
	}
	g.wg.Wait()
}
