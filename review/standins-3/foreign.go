package main

import (
	"fmt"
	"strings"
	"time"
)

// foreignHeartbeat sends one heartbeat of another writer, with fields missing, that names a sound
// engine of one service as one of another service.
func foreignHeartbeat(s *system, rec *record, trouble bool) error {
	_, entries, addresses, err := startAll(s)
	if err != nil {
		return err
	}
	if _, err := startBooth(s, rec, addresses); err != nil {
		return err
	}
	staff, err := startEngine(rec, addresses, "i-03bd6e20", staffService, s.ip(111), "colombo-a", 8, 30*time.Millisecond)
	if err != nil {
		return err
	}
	if err := serveSome(rec, addresses, entries); err != nil {
		return err
	}
	for _, e := range entries {
		send(rec, e, staffHost, staffPath)
	}
	if trouble {
		beat := map[string]any{
			"service": boothService, "addr": staff.addr, "slots": staff.slots, "state": "ready", "seq": 1, "born": time.Now().UnixMilli(),
		}
		status := post(addresses[0], "/-/Instances.Heartbeat/"+staff.id, beat)
		rec.add("another writer sends a heartbeat without zone, version and coldLeftMs about %s as of %s: answer %d", staff.id, boothService, status)
	}
	time.Sleep(500 * time.Millisecond)
	burst(rec, entries, 10)
	wrong := 0
	for _, r := range staff.runs() {
		if strings.HasPrefix(r.path, submitPath) {
			wrong++
			rec.add("%s of the route to %s was run by %s of %s", r.id, boothService, r.engine, r.service)
		}
	}
	if wrong > 0 {
		return fmt.Errorf("%w: ROUTE: %d requests of the route to %s were run by %s", errBroken, wrong, boothService, staffService)
	}
	return nil
}
