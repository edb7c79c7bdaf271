package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/waxwingpost/waxwingpost/connection/session"
)

// maxHolders bounds the servers that are remembered for one prefix.
const maxHolders = 4

// hints remember which servers reported a prefix as cached. Events come late
// and with gaps, so a hint only prefers a server; it never decides alone.
type hints struct {
	prefixes *lru.Cache[uint64, []string]
	// seen is the newest event taken in from each server's incarnation.
	seen map[string]seenEvent
}

type seenEvent struct {
	incarnation string
	seq         uint64
}

func newHints(size int) *hints {
	cache, err := lru.New[uint64, []string](size)
	if err != nil {
		panic(err)
	}
	return &hints{prefixes: cache, seen: make(map[string]seenEvent)}
}

// PrefixHash is the hash under which a cached prefix is remembered.
func PrefixHash(prefix string) uint64 { return xxhash.Sum64String(prefix) }

func (h *hints) observe(b *session.Backend) {
	events := b.Status.Engine.CacheEvents
	if len(events) == 0 {
		return
	}
	seen := h.seen[b.Name]
	if seen.incarnation != b.Incarnation {
		seen = seenEvent{incarnation: b.Incarnation}
	}
	for _, e := range events {
		if e.Seq <= seen.seq {
			continue
		}
		seen.seq = e.Seq
		h.apply(b.Name, PrefixHash(e.Prefix), e.Removed)
	}
	h.seen[b.Name] = seen
}

func (h *hints) apply(server string, prefix uint64, removed bool) {
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

func (h *hints) holders(prefix uint64) []string {
	servers, _ := h.prefixes.Get(prefix)
	return servers
}
