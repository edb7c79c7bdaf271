package fakes

import (
	"slices"

	"github.com/waxwingpost/waxwingpost/connection/engine"
)

const (
	// maxEvents is the maximum number of cache events in a report.
	maxEvents = 32
	// Every event whose sequence number is a multiple of lostEventInterval is omitted
	// from the reports, as if it were lost.
	lostEventInterval = 7
)

// prefixCache is the engine's LRU cache of prompt prefixes. Its keys are sorted from
// the least to the most recently used.
type prefixCache struct {
	limit  int
	keys   []string
	seq    uint64
	events []engine.CacheEvent
}

// access marks a prefix as used, caches it, and reports whether it was cached
// before.
func (p *prefixCache) access(key string) bool {
	if i := slices.Index(p.keys, key); i >= 0 {
		p.keys = append(slices.Delete(p.keys, i, i+1), key)
		return true
	}
	p.keys = append(p.keys, key)
	p.addEvent(key, false)
	if len(p.keys) > p.limit {
		p.addEvent(p.keys[0], true)
		p.keys = p.keys[1:]
	}
	return false
}

func (p *prefixCache) clear() {
	for _, key := range p.keys {
		p.addEvent(key, true)
	}
	p.keys = nil
}

// addEvent adds an event, except for those that are omitted.
func (p *prefixCache) addEvent(key string, removed bool) {
	p.seq++
	if p.seq%lostEventInterval == 0 {
		return
	}
	p.events = append(p.events, engine.CacheEvent{Seq: p.seq, Prefix: key, Removed: removed})
	if len(p.events) > maxEvents {
		p.events = p.events[len(p.events)-maxEvents:]
	}
}

func (p *prefixCache) recentEvents() []engine.CacheEvent { return slices.Clone(p.events) }
