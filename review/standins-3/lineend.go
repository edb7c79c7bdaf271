package main

import (
	"fmt"
	"time"
)

// lineEnd sends one heartbeat of another writer about a sound engine. All its fields are true, but
// the id in the path was taken with the line end of a file.
func lineEnd(s *system, rec *record, trouble bool) error {
	_, entries, addresses, err := startAll(s)
	if err != nil {
		return err
	}
	engines, err := startBooth(s, rec, addresses)
	if err != nil {
		return err
	}
	if err := serveSome(rec, addresses, entries); err != nil {
		return err
	}
	if trouble {
		e := engines[0]
		beat := e.heartbeat()
		path := "/-/Instances.Heartbeat/" + e.id + "%0D%0A"
		rec.add("another writer sends POST %s with %v: answer %d", path, beat, post(addresses[0], path, beat))
	}
	for range 30 {
		burst(rec, entries, 1)
		time.Sleep(250 * time.Millisecond)
	}
	changed := 0
	for _, e := range engines {
		for _, r := range e.runs() {
			if r.method != "POST" || r.path != submitPath+r.id || r.body != bodyOf(r.id) {
				changed++
				rec.add("%s was run by %s with body %q, its client sent %q", r.id, r.engine, r.body, bodyOf(r.id))
			}
		}
	}
	if changed > 0 {
		return fmt.Errorf("%w: UNASKED: %d unsafe requests were run with another body than their clients sent", errBroken, changed)
	}
	return nil
}
