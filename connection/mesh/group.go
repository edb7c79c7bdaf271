package mesh

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Group keeps links to a set of processes that changes with time; each is named
// by its address. Not safe for concurrent use.
type Group struct {
	mesh *Mesh
	kept map[string]context.CancelFunc
	wg   sync.WaitGroup
}

// NewGroup returns a group without processes.
func (m *Mesh) NewGroup() *Group {
	return &Group{mesh: m, kept: map[string]context.CancelFunc{}}
}

// Set dials the processes at these addresses until ctx ends or they are left out
// of a later call, and leaves all others. patience returns how long to wait for
// the other side to dial first; nil stands for not at all.
func (g *Group) Set(ctx context.Context, addresses []string, patience func(address string) time.Duration) {
	for address, cancel := range g.kept {
		if !slices.Contains(addresses, address) {
			cancel()
			delete(g.kept, address)
		}
	}
	for _, address := range addresses {
		if g.kept[address] != nil {
			continue
		}
		wait := time.Duration(0)
		if patience != nil {
			wait = patience(address)
		}
		linkCtx, cancel := context.WithCancel(ctx)
		g.kept[address] = cancel
		g.wg.Go(func() { g.mesh.Keep(linkCtx, address, address, wait) })
	}
}

// Keeps reports whether the process at an address is in the set.
func (g *Group) Keeps(address string) bool { return g.kept[address] != nil }

// Close leaves all processes and waits until their links are given up.
func (g *Group) Close() {
	for _, cancel := range g.kept {
		cancel()
	}
	g.wg.Wait()
}
