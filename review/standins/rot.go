package main

import (
	"os"
	"syscall"
	"time"
)

// runRot lets a staged piece turn bad after the agent has read it back, while the agent
// stands still before it orders the load. HOW=slow plays the other form.
func runRot(s *site) int {
	if os.Getenv("HOW") == "slow" {
		return runRotSlow(s)
	}
	// One agent of nine stands still, and one of 64 pieces at one engine turns bad.
	const sides = 9
	f, err := startFleet(s, 5, 2, sides)
	if err != nil {
		s.note("%v", err)
		return exitNotRun
	}
	stop := make(chan struct{})
	defer close(stop)
	go f.clients.run(stop, 25*time.Millisecond, 105)
	time.Sleep(4 * time.Second)
	// The loads are spread over up to 3 s; the last address comes last.
	e, side := f.engines[sides-1], f.sides[firstSide+sides-1]
	if _, ok := s.nameVersion(f.origin, 2, f.controls); !ok {
		return exitNotRun
	}
	named := time.Now()
	if s.trouble {
		if !waitFor(8*time.Second, func() bool { return e.hasStaged(2) && e.quietFor(100*time.Millisecond) }) || e.accepted(2) {
			s.note("version 2 was not staged in time")
			return exitNotRun
		}
		s.note("%s has read back all pieces of version 2, %.1f s after it was named", side.name, time.Since(named).Seconds())
		// node_freeze on side: 4 s.
		_ = side.signal(syscall.SIGSTOP)
		s.note("%s stands still", side.name)
		time.Sleep(200 * time.Millisecond)
		e.rot(17)
		time.Sleep(3800 * time.Millisecond)
		_ = side.signal(syscall.SIGCONT)
		s.note("%s goes on", side.name)
	}
	waitFor(15*time.Second, func() bool { return e.eventsOf(2) > 20 })
	return f.judgeWhole(e, 2)
}

// runRotSlow lets a staged piece turn bad after the agent has read it back, while a load of
// the previous version waits for the slow engine's requests.
func runRotSlow(s *site) int {
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
	return f.judgeWhole(e, 3)
}

// judgeWhole reports whether an engine has made events with spoilt layers. It must have
// used the version.
func (f *fleet) judgeWhole(e *engine, version int) int {
	f.clients.noteSeconds()
	e.mu.Lock()
	defer e.mu.Unlock()
	f.note("engine %s: events by version: %v; made with spoilt layers: %d", e.id, e.events, e.spoiltEvents)
	switch {
	case e.spoiltEvents > 0:
		return exitBroken
	case e.events[version] == 0:
		f.note("version %d was never used", version)
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
