package main

import (
	"os"
	"time"
)

// runManifest lets the origin's first manifest of a new version arrive with one digit
// changed, after a final fault.
func runManifest(s *site) int {
	const cores, edges, sides = 5, 1, 3
	f, err := startFleet(s, cores, edges, sides)
	if err != nil {
		s.note("%v", err)
		return exitNotRun
	}
	stop := make(chan struct{})
	defer close(stop)
	go f.clients.run(stop, 100*time.Millisecond, 70)
	before := int(s.since()) + 1
	time.Sleep(8 * time.Second)
	fault := int(s.since())
	kill := os.Getenv("FAULT") != "0" // FAULT=0 leaves out the final fault
	if !kill && s.trouble {
		f.origin.mu.Lock()
		f.origin.corrupt = 1
		f.origin.mu.Unlock()
	}
	if _, ok := s.nameVersion(f.origin, 2, f.controls); !ok {
		return exitNotRun
	}
	if kill {
		f.killAll()
		time.Sleep(700 * time.Millisecond)
		if s.trouble {
			f.origin.mu.Lock()
			f.origin.corrupt = 1
			f.origin.mu.Unlock()
		}
		if err := f.startProcesses(cores, edges, sides, false); err != nil {
			return exitNotRun
		}
	}
	back := int(s.since()) + 1
	// recoverS is 12 s.
	time.Sleep(12*time.Second + 20*time.Second + 7*time.Second)
	f.clients.noteSeconds()
	sent1, served1, _, _ := f.clients.totals(before, fault-1)
	sent2, served2, refused2, failed2 := f.clients.totals(back+12, back+12+20)
	s.note("before the final fault: sent %d, served %d", sent1, served1)
	s.note("later than 12 s after all machines were back: sent %d, served %d, refused %d, failed %d", sent2, served2, refused2, failed2)
	for _, e := range f.engines {
		e.mu.Lock()
		s.note("engine %s holds version %d, layers %d to %d, after %d orders", e.id, e.version, e.from, e.target, e.orders)
		e.mu.Unlock()
	}
	s.note("pieces of version 2 sent by the origin: %d", f.origin.sentOf(2))
	switch {
	case 4*served1 < sent1 || sent2 == 0:
		return exitNotRun
	case 4*served2 < sent2:
		return exitBroken
	default:
		return exitHeld
	}
}
