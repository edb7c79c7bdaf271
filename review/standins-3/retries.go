package main

import (
	"fmt"
	"sync"
	"time"
)

// deadlyLookup is the path of a safe request that crashes engines.
const deadlyLookup = lookupPath + "batch"

// retries sends a safe request that crashes each engine as it begins to run it. Its client retries
// once after a failure, at another entry.
func retries(s *system, rec *record, trouble bool) error {
	_, entries, addresses, err := startAll(s)
	if err != nil {
		return err
	}
	f := &fleet{s: s, rec: rec, addresses: addresses, work: 150 * time.Millisecond}
	f.setUp = func(e *engine) { e.deadly = deadlyLookup }
	for n := range 10 {
		f.start(n, 0)
	}
	if err := serveSome(rec, addresses, entries); err != nil {
		return err
	}
	stop := make(chan struct{})
	var sound sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := range 12 {
		sound.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if a := send(rec, entries[i%len(entries)], submitHost, submitPath); a.status == 502 || a.status == 504 {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			}
		})
	}
	if trouble {
		for k := range 8 {
			for retry := range 2 {
				a := sendBody(rec, entries[(k+retry)%len(entries)], lookupHost, deadlyLookup, deadlyBody)
				if a.status == 200 {
					break
				}
			}
			time.Sleep(4 * time.Second)
		}
	} else {
		time.Sleep(4 * time.Second)
	}
	close(stop)
	sound.Wait()
	if f.err != nil {
		return f.err
	}
	late := f.lateCrashes()
	rec.add("%d sound unsafe requests got 502 or 504", lost)
	if late > 3 {
		return fmt.Errorf("%w: BUDGET: the request reached engines %d times later than contactMs after it had crashed the third; %d sound unsafe requests were lost", errBroken, late, lost)
	}
	return nil
}
