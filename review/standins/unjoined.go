package main

import "time"

// runUnjoined replaces a core machine by one whose seeds do not include the leader, and
// long after that lets two machines lose their disks.
func runUnjoined(s *site) int {
	seeds := []string{s.control(11), s.control(12), s.control(13)}
	cores := map[int]*process{}
	var err error
	var all []string
	for n := 11; n <= 15; n++ {
		if cores[n], err = s.startCore(n, true, seeds); err != nil {
			s.note("%v", err)
			return exitNotRun
		}
		all = append(all, s.control(n))
	}
	if !s.put("configuration 1", "/-/Config.Put", smallConfig(1), all, 15*time.Second) {
		return exitNotRun
	}
	time.Sleep(8 * time.Second)
	if s.trouble {
		cores[15].kill()
		s.note("core-15 is gone for good")
		time.Sleep(2 * time.Second)
		// The operator's list lags by 3 s.
		later := []string{s.control(14), s.control(15), s.control(16)}
		if cores[16], err = s.startCore(16, false, later); err != nil {
			return exitNotRun
		}
		all = append(all[:4], s.control(16))
		time.Sleep(seconds("CAUGHT_UP", 15))
		status, version := readVersion(s.control(16))
		s.note("operator: core-16, 15 s after its start, answers a read with %d, version %d", status, version)
	}
	if !s.put("configuration 7", "/-/Config.Put", smallConfig(7), all, 8*time.Second) {
		return exitNotRun
	}
	if s.trouble {
		for _, n := range []int{11, 12} {
			cores[n].kill()
			if err := s.loseDisk(n); err != nil {
				return exitNotRun
			}
			s.note("core-%d killed, its disk is lost", n)
		}
		time.Sleep(time.Second)
		for _, n := range []int{11, 12} {
			if cores[n], err = s.startCore(n, false, []string{s.control(13), s.control(14), s.control(16)}); err != nil {
				return exitNotRun
			}
		}
	}
	return s.readBack(all, 7)
}

// readBack reads the configuration at all core machines, from 15 s on (recoverS is 12 s)
// for up to 20 s (contactMs is 3 s).
func (s *site) readBack(all []string, want int) int {
	time.Sleep(15 * time.Second)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		for _, at := range all {
			status, version := readVersion(at)
			s.note("operator: read at %s: status %d, version %d", at, status, version)
			switch {
			case version == want:
				return exitHeld
			case version != 0:
				return exitBroken
			}
		}
	}
	s.note("the acknowledged configuration %d did not come from any core machine", want)
	return exitBroken
}
