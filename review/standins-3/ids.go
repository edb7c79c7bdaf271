package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// events is the number of events of a stream, and idStep the difference of the ids of two events:
// an event holds five tokens, and its id is the number of tokens so far.
const (
	events = 10
	idStep = 5
)

// streamIDs stops an entry as planned while it passes on streams whose ids increase by five.
func streamIDs(s *system, rec *record, trouble bool) error {
	_, entries, addresses, err := startAll(s)
	if err != nil {
		return err
	}
	if _, err := startBooth(s, rec, addresses); err != nil {
		return err
	}
	for i := range 3 {
		e, err := startEngine(rec, addresses, fmt.Sprintf("i-55e2c0d%d", i), draftService, s.ip(111+i), "colombo-a", 16, 60*time.Millisecond)
		if err != nil {
			return err
		}
		e.step, e.events = idStep, events
	}
	if err := serveSome(rec, addresses, entries); err != nil {
		return err
	}
	stopped := entries[0]
	if trouble {
		stopped.signal(syscall.SIGTERM)
	}
	term := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	cut, complete := 0, 0
	for range 12 {
		wg.Go(func() {
			a := sendPrompt(rec, stopped, "5c1e07a2:800")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == 200 && a.err == nil && strings.Count(a.body, "data:") == events:
				complete++
			case a.status == 200 && a.err != nil:
				cut++
				rec.add("the connection of %s ended %.0f ms after the signal without a complete answer: %v", a.id, float64(time.Since(term).Milliseconds()), a.err)
			}
		})
	}
	wg.Wait()
	rec.add("%d streams complete, %d cut", complete, cut)
	if trouble && cut > 0 {
		return fmt.Errorf("%w: LOST: %d requests that were passed on to sound engines ended without a complete answer around a planned stop", errBroken, cut)
	}
	return nil
}
