package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	contactMs = 3000 * time.Millisecond
	// deadlyPath and deadlyBody are those of the request that crashes engines.
	deadlyPath = submitPath + "batch"
	deadlyBody = "order=all&copies=0"
	// backAfter is how long an engine is down after a crash.
	backAfter = 2500 * time.Millisecond
)

// crashes collects the times at which engines crashed.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
}

func (c *crashes) times() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.at...)
}

// fleet keeps engines running: one that has crashed is back after some seconds as a new one.
type fleet struct {
	s         *system
	rec       *record
	addresses []string
	crashes   crashes
	// service is that of the engines, by default boothService.
	service string
	// work is the time of a request, or of an event of a stream.
	work time.Duration
	// setUp, if not nil, sets what an engine is like.
	setUp func(*engine)

	mu      sync.Mutex
	engines []*engine
	err     error
}

func (f *fleet) start(n, generation int) {
	id := fmt.Sprintf("i-7f3a91c%d%02d", n, generation)
	service := boothService
	if f.service != "" {
		service = f.service
	}
	e, err := startEngine(f.rec, f.addresses, id, service, f.s.ip(101+n), "colombo-a", 6, f.work)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.err = err
		return
	}
	if f.setUp == nil {
		e.deadly = deadlyPath
	} else {
		f.setUp(e)
	}
	e.onCrash = func() {
		f.crashes.add()
		time.AfterFunc(backAfter, func() { f.start(n, generation+1) })
	}
	f.engines = append(f.engines, e)
}

// lateCrashes records the crashes and returns how many of them came later than contactMs after the
// third.
func (f *fleet) lateCrashes() (late int) {
	at := f.crashes.times()
	for i, t := range at {
		f.rec.add("crash %d at %.3f s", i+1, t.Sub(f.rec.start).Seconds())
		if i >= 3 && t.After(at[2].Add(contactMs)) {
			late++
		}
	}
	f.rec.add("%d engines crashed, %d of them later than contactMs after the third", len(at), late)
	return late
}

// deadly sends a request that crashes each engine that begins to run it, again and again, with the
// same path, caller and body. Its query is another one each time.
func deadly(s *system, rec *record, trouble bool) error {
	_, entries, addresses, err := startAll(s)
	if err != nil {
		return err
	}
	f := &fleet{s: s, rec: rec, addresses: addresses, work: 150 * time.Millisecond}
	for n := range 4 {
		f.start(n, 0)
	}
	if err := serveSome(rec, addresses, entries); err != nil {
		return err
	}
	stop := make(chan struct{})
	var sound sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := range 6 {
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
		for k := range 22 {
			query := fmt.Sprintf("?sent=%d", time.Now().UnixMilli())
			if os.Getenv("SAMEQUERY") != "" {
				query = "?sent=1"
			}
			sendBody(rec, entries[k%len(entries)], submitHost, deadlyPath+query, deadlyBody)
			time.Sleep(1500 * time.Millisecond)
		}
	}
	close(stop)
	sound.Wait()
	if f.err != nil {
		return f.err
	}
	late := f.lateCrashes()
	rec.add("%d sound unsafe requests got 502 or 504", lost)
	if late > 3 {
		return fmt.Errorf("%w: BUDGET: the request reached engines in %d retries later than contactMs after it had crashed the third; %d sound unsafe requests were lost", errBroken, late, lost)
	}
	return nil
}
