// Command rig plays the scripted cases of the third review: it starts the project's programs as
// separate processes on loopback addresses, with stand-ins for clients, servers and the operator.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// errBroken is the error of a case in which a rule was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(s *system, rec *record, trouble bool) error{
	"foreign":  foreignHeartbeat,
	"drain":    foreignDrain,
	"line-end": lineEnd,
	"deadly":   deadly,
	"part":     deadlyPart,
	"retries":  retries,
	"stale":    staleRead,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	rec := &record{start: time.Now(), path: filepath.Join(folder, "record.txt")}
	defer rec.save()
	s, err := newSystem(rec)
	if err != nil {
		rec.add("the case could not run: %v", err)
		return failed
	}
	defer s.close()
	defer watchdog(s, rec).Stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", name, trouble)
	switch err := cases[name](s, rec, trouble); {
	case err == nil:
		rec.add("the rule held")
		return held
	case errors.Is(err, errBroken):
		rec.add("%v", err)
		return broken
	default:
		rec.add("the case could not run: %v", err)
		return failed
	}
}

// maxTime bounds a case: it ends before the 120 seconds that it may take.
const maxTime = 112 * time.Second

// watchdog ends a case that takes too long or is interrupted, with all its processes.
func watchdog(s *system, rec *record) *time.Timer {
	end := func(why string) {
		rec.add("the case could not run to its end: %s", why)
		s.close()
		rec.save()
		os.Exit(failed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { end((<-signals).String()) }()
	return time.AfterFunc(maxTime, func() { end("time") })
}

// startAll starts five control processes and two entries within 0.3 s of each other.
func startAll(s *system) (controls, entries []*machine, addresses []string, err error) {
	for i := range 5 {
		m := s.control(i)
		controls = append(controls, m)
		addresses = append(addresses, m.address(controlPort))
	}
	for i := range 2 {
		entries = append(entries, s.entry(i))
	}
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return nil, nil, nil, err
		}
	}
	return controls, entries, addresses, nil
}
