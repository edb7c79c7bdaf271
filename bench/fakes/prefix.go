package fakes

import (
	"slices"

	"github.com/waxwingpost/waxwingpost/connection/engine"
)

const (
	// keptEvents is how many cache events a report carries.
	keptEvents = 32
	// lostEvent is the distance of the events that are never told.
	lostEvent = 7
)

// prefixCache is the engine's cache of prompt prefixes, least recently used
// first.
type prefixCache struct {
	limit  int
	keys   []string
	seq    uint64
	events []engine.CacheEvent
}

// use notes the use of a prefix and reports whether it was cached.
func (p *prefixCache) use(key string) bool {
	if i := slices.Index(p.keys, key); i >= 0 {
		p.keys = append(slices.Delete(p.keys, i, i+1), key)
		return true
	}
	p.keys = append(p.keys, key)
	p.tell(key, false)
	if len(p.keys) > p.limit {
		p.tell(p.keys[0], true)
		p.keys = p.keys[1:]
	}
	return false
}

func (p *prefixCache) clear() {
	for _, key := range p.keys {
		p.tell(key, true)
	}
	p.keys = nil
}

// tell adds an event; one in a few is lost.
func (p *prefixCache) tell(key string, removed bool) {
	p.seq++
	if p.seq%lostEvent == 0 {
		return
	}
	p.events = append(p.events, engine.CacheEvent{Seq: p.seq, Prefix: key, Removed: removed})
	if len(p.events) > keptEvents {
		p.events = p.events[len(p.events)-keptEvents:]
	}
}

func (p *prefixCache) recent() []engine.CacheEvent { return slices.Clone(p.events) }
