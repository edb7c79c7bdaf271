package main

import (
	"fmt"
	"time"
)

const (
	// soundPrompt and deadlyPrompt share the first and the third part; the second one of
	// deadlyPrompt crashes engines.
	soundPrompt  = "5c1e07a2:40,91bd3f06:300,e4402b7d:500"
	deadlyPrompt = "5c1e07a2:40,0badc0de:300,e4402b7d:500"
	deadlyID     = "0badc0de"
)

// deadlyPart sends prompts with a part that crashes engines, and sound ones of the same caller and
// route that share the other parts.
func deadlyPart(s *system, rec *record, trouble bool) error {
	_, entries, addresses, err := startAll(s)
	if err != nil {
		return err
	}
	f := &fleet{s: s, rec: rec, addresses: addresses, service: draftService, work: 30 * time.Millisecond}
	f.setUp = func(e *engine) {
		e.step, e.events, e.deadlyPart = 1, 10, deadlyID
	}
	for n := range 8 {
		f.start(n, 0)
	}
	if _, err := startEngine(rec, addresses, "i-55e2c0d0", boothService, s.ip(120), "colombo-a", 64, 30*time.Millisecond); err != nil {
		return err
	}
	if err := serveSome(rec, addresses, entries); err != nil {
		return err
	}
	sound := func(n int, pause time.Duration) (begun int) {
		for i := range n {
			if a := sendPrompt(rec, entries[i%len(entries)], soundPrompt); a.status == 200 {
				begun++
			}
			time.Sleep(pause)
		}
		return begun
	}
	before := sound(24, 600*time.Millisecond)
	time.Sleep(time.Second)
	stop := make(chan struct{})
	if trouble {
		for i := range 5 {
			sendPrompt(rec, entries[i%len(entries)], deadlyPrompt)
			time.Sleep(100 * time.Millisecond)
		}
		go func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(1500 * time.Millisecond):
				}
				sendPrompt(rec, entries[i%len(entries)], deadlyPrompt)
			}
		}()
	}
	time.Sleep(2 * contactMs)
	after := sound(24, 600*time.Millisecond)
	close(stop)
	if f.err != nil {
		return f.err
	}
	at := f.crashes.times()
	for i, t := range at {
		rec.add("crash %d at %.3f s", i+1, t.Sub(rec.start).Seconds())
	}
	rec.add("%d of 24 sound requests began at the first attempt before, %d of 24 later than 2 x contactMs after the fifth crash", before, after)
	if 2*after < before {
		return fmt.Errorf("%w: LOST: sound requests begin less than half as often as before", errBroken)
	}
	return nil
}
