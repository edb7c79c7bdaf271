package main

import "time"

// runThreeReplaced replaces three core machines as planned, the new ones first, and long
// after that lets one machine lose its disk.
func runThreeReplaced(s *site) int {
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
		for n := 16; n <= 18; n++ {
			if cores[n], err = s.startCore(n, false, seeds); err != nil {
				return exitNotRun
			}
		}
		// catchUpS is 4 s.
		time.Sleep(seconds("CAUGHT_UP", 8))
		for n := 16; n <= 18; n++ {
			status, version := readVersion(s.control(n))
			s.note("operator: core-%d answers a read with %d, version %d", n, status, version)
		}
		for _, old := range []int{13, 14, 15} {
			took, err := cores[old].stop(8 * time.Second)
			s.note("core-%d removed for good by SIGTERM, it took %s, %v", old, took.Round(time.Millisecond), err)
			time.Sleep(time.Second)
		}
		all = []string{s.control(11), s.control(12), s.control(16), s.control(17), s.control(18)}
		time.Sleep(seconds("PAUSE", 15))
	}
	if !s.put("configuration 7", "/-/Config.Put", smallConfig(7), all, 8*time.Second) {
		return exitNotRun
	}
	if s.trouble {
		cores[11].kill()
		if err := s.loseDisk(11); err != nil {
			return exitNotRun
		}
		s.note("core-11 killed, its disk is lost")
		time.Sleep(time.Second)
		if cores[11], err = s.startCore(11, false, []string{s.control(12), s.control(16), s.control(17)}); err != nil {
			return exitNotRun
		}
	}
	return s.readBack(all, 7)
}
