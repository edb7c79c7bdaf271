package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/waxwingpost/waxwingpost/connection/session"
)

// maxHolders bounds the number of servers remembered for one prefix.
const maxHolders = 4

// hints records which servers reported a prefix as cached. Cache events are delayed
// and may be lost, so a hint makes a server preferred but is never decisive alone.
type hints struct {
	prefixes *lru.Cache[uint64, []string]
	// lastEvents is the newest event applied from each server.
	lastEvents map[string]lastEvent
}

// lastEvent identifies an event by the server's incarnation and sequence number.
type lastEvent struct {
	incarnation string
	seq         uint64
}

func newHints(size int) *hints {
	cache, err := lru.New[uint64, []string](size)
	if err != nil {
		panic(err)
	}
	return &hints{prefixes: cache, lastEvents: make(map[string]lastEvent)}
}

// PrefixHash returns the hash that identifies a prefix.
func PrefixHash(prefix string) uint64 { return xxhash.Sum64String(prefix) }

// applyEvents applies the cache events of a report that were not applied before.
func (h *hints) applyEvents(b *session.Backend) {
	events := b.Status.Engine.CacheEvents
	if len(events) == 0 {
		return
	}
	last := h.lastEvents[b.Name]
	if last.incarnation != b.Incarnation {
		last = lastEvent{incarnation: b.Incarnation}
	}
	for _, e := range events {
		if e.Seq <= last.seq {
			continue
		}
		last.seq = e.Seq
		h.update(b.Name, PrefixHash(e.Prefix), e.Removed)
	}
	h.lastEvents[b.Name] = last
}

// update adds a server to the holders of a prefix, or removes it.
func (h *hints) update(server string, prefix uint64, removed bool) {
	old, _ := h.prefixes.Get(prefix)
	next := slices.DeleteFunc(slices.Clone(old), func(s string) bool { return s == server })
	if !removed {
		next = append(next, server)
	}
	if len(next) > maxHolders {
		next = next[len(next)-maxHolders:]
	}
	if len(next) == 0 {
		h.prefixes.Remove(prefix)
		return
	}
	h.prefixes.Add(prefix, next)
}

// holders returns the servers that reported the prefix as cached.
func (h *hints) holders(prefix uint64) []string {
	servers, _ := h.prefixes.Get(prefix)
	return servers
}
