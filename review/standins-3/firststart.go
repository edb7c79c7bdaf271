package main

import (
	"fmt"
	"time"
)

// firstStart kills one of the three seeds in the first moment of the first start and starts it
// again two seconds later. Nothing is ever served after that.
func firstStart(s *system, rec *record, trouble bool) error {
	controls, entries, addresses, err := startAll(s, "core-3")
	if err != nil {
		return err
	}
	killed := controls[2]
	if trouble {
		time.Sleep(40 * time.Millisecond)
		killed.kill()
	}
	if _, err := startBooth(s, rec, addresses); err != nil {
		return err
	}
	if trouble {
		time.Sleep(2 * time.Second)
		// The whole system does not start for the first time now.
		killed.firstStart = false
		if err := killed.start(); err != nil {
			return err
		}
	}
	back := time.Now()
	acknowledged := putConfig(rec, addresses, 7, 60*time.Second)
	served, sent := 0, 0
	for _, a := range burst(rec, entries, 10) {
		sent++
		if a.err == nil && a.status == 200 {
			served++
		}
	}
	rec.add("%d of %d requests served up to %.1f s after all machines were back", served, sent, time.Since(back).Seconds())
	if served == 0 {
		return fmt.Errorf("%w: Fault: no request is served, configuration acknowledged: %v", errBroken, acknowledged)
	}
	return nil
}
