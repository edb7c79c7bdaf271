package main

import "time"

// runRot lets a staged piece turn bad after the agent has verified it, while a load of
// the previous version waits for the slow engine's requests.
func runRot(s *site) int {
	// One engine of seven is slow, and one of its 64 pieces turns bad.
	f, err := startFleet(s, 5, 2, 7)
	if err != nil {
		s.note("%v", err)
		return exitNotRun
	}
	e := f.engines[0]
	stop := make(chan struct{})
	defer close(stop)
	// 150 tokens are 30 events; the mean of the deployment's longest kind is 21, the most 52.
	go f.clients.run(stop, 25*time.Millisecond, 150)
	time.Sleep(4 * time.Second)
	if _, ok := s.nameVersion(f.origin, 2, f.controls); !ok {
		return exitNotRun
	}
	if !waitFor(8*time.Second, func() bool { return e.hasStaged(2) }) {
		s.note("version 2 was not staged")
		return exitNotRun
	}
	if s.trouble {
		e.setPace(5)
		// srv_slow: 5 times for 6.5 s at most.
		time.AfterFunc(6500*time.Millisecond, func() { e.setPace(1) })
	}
	if !waitFor(5*time.Second, func() bool { return e.accepted(2) }) {
		s.note("no load order of version 2")
		return exitNotRun
	}
	if _, ok := s.nameVersion(f.origin, 3, f.controls); !ok {
		return exitNotRun
	}
	named := time.Now()
	if s.trouble {
		// The agent stages version 3, reads it back and waits for the engine.
		if !waitFor(6*time.Second, func() bool { return e.hasStaged(3) && e.quietFor(100*time.Millisecond) }) {
			s.note("version 3 was not staged in time")
			return exitNotRun
		}
		s.note("the agent has read back all pieces of version 3, %.1f s after it was named", time.Since(named).Seconds())
		e.rot(17)
	}
	waitFor(20*time.Second, func() bool { return e.eventsOf(3) > 20 })
	f.clients.noteSeconds()
	e.mu.Lock()
	defer e.mu.Unlock()
	s.note("engine %s: events by version: %v; made with spoilt layers: %d", e.id, e.events, e.spoiltEvents)
	switch {
	case e.spoiltEvents > 0:
		return exitBroken
	case e.events[3] == 0:
		s.note("version 3 was never used")
		return exitNotRun
	default:
		return exitHeld
	}
}

// waitFor waits until a condition holds, and reports whether it did within limit.
func waitFor(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func (e *engine) accepted(version int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.acceptedAt[version].IsZero()
}

func (e *engine) eventsOf(version int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.events[version]
}

// hasStaged reports whether all staged pieces are those of a version.
func (e *engine) hasStaged(version int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.check(version, 0, layerCount, time.Now())) == 0
}

// quietFor reports whether no staged piece was read for a time.
func (e *engine) quietFor(d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.lastRead) > d
}

// setPace makes the engine slow, or normal again with 1.
func (e *engine) setPace(x float64) {
	e.mu.Lock()
	e.pace = x
	e.mu.Unlock()
	e.s.note("engine %s: work takes %g times as long", e.id, x)
}
