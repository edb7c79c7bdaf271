package telemetry

import (
	"encoding/json"
	"net/http"
	"sync"
)

// State collects the parts of a process's state dump. It is safe for concurrent
// use.
type State struct {
	mu    sync.Mutex
	parts map[string]func() any
}

// Add registers a part under a name. The function part must return a value that
// can be encoded as JSON and must not block for long.
func (s *State) Add(name string, part func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts == nil {
		s.parts = make(map[string]func() any)
	}
	s.parts[name] = part
}

// Dump returns every part by name.
func (s *State) Dump() map[string]any {
	s.mu.Lock()
	parts := make(map[string]func() any, len(s.parts))
	for name, part := range s.parts {
		parts[name] = part
	}
	s.mu.Unlock()
	dump := make(map[string]any, len(parts))
	for name, part := range parts {
		dump[name] = part()
	}
	return dump
}

// ServeHTTP writes the dump as JSON.
func (s *State) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(s.Dump())
}
