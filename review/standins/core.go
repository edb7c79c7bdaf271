package main

import (
	"os"
	"strconv"
	"time"
)

// seconds returns a time from the environment, for other runs of the same case.
func seconds(name string, def float64) time.Duration {
	if v, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		def = v
	}
	return time.Duration(def * float64(time.Second))
}

// runReplacedCore replaces a core machine as planned and then lets two machines lose
// their disks.
func runReplacedCore(s *site) int {
	seeds := []string{s.control(11), s.control(12), s.control(13)}
	cores := map[int]*process{}
	var err error
	for n := 11; n <= 15; n++ {
		if cores[n], err = s.startCore(n, true, seeds); err != nil {
			s.note("%v", err)
			return exitNotRun
		}
	}
	all := append([]string{}, seeds...)
	all = append(all, s.control(14), s.control(15))
	if !s.put("configuration 1", "/-/Config.Put", smallConfig(1), all, 15*time.Second) {
		return exitNotRun
	}
	time.Sleep(8 * time.Second)
	old, successor := 15, 16
	if s.trouble {
		if cores[successor], err = s.startCore(successor, false, seeds); err != nil {
			return exitNotRun
		}
		// catchUpS is 4 s.
		time.Sleep(seconds("CAUGHT_UP", 6))
		status, version := readVersion(s.control(successor))
		s.note("operator: the successor answers a read with %d, version %d", status, version)
		took, err := cores[old].stop(8 * time.Second)
		s.note("core-%d removed for good by SIGTERM, it took %s, %v", old, took.Round(time.Millisecond), err)
		delete(cores, old)
		all = append(all[:4], s.control(successor))
		time.Sleep(seconds("PAUSE", 0.5))
		if hold := seconds("HOLD", 0); hold > 0 {
			// One of the two machines is down for a while before it turns out that its disk
			// is lost.
			cores[11].kill()
			s.note("core-11 is down")
			time.Sleep(hold)
		}
	}
	if !s.put("configuration 7", "/-/Config.Put", smallConfig(7), all, 8*time.Second) {
		return exitNotRun
	}
	if s.trouble || os.Getenv("WIPE") == "1" {
		for _, n := range []int{11, 12} {
			cores[n].kill()
			if err := s.loseDisk(n); err != nil {
				return exitNotRun
			}
			s.note("core-%d killed, its disk is lost", n)
		}
		time.Sleep(time.Second)
		for _, n := range []int{11, 12} {
			if cores[n], err = s.startCore(n, false, seeds); err != nil {
				return exitNotRun
			}
		}
	}
	return s.readBack(all, 7)
}
