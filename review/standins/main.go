package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun bounds a case.
const maxRun = 115 * time.Second

var cases = map[string]func(*site) int{
	"unjoined":       runUnjoined,
	"replaced-core":  runReplacedCore,
	"three-replaced": runThreeReplaced,
	"rot":            runRot,
	"manifest":       runManifest,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER, in the project's folder")
		os.Exit(exitNotRun)
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() { done <- cases[os.Args[1]](s) }()
	status := exitNotRun
	select {
	case status = <-done:
	case <-stop:
		s.note("stopped by a signal")
	case <-time.After(maxRun):
		s.note("not done in %s", maxRun)
	}
	s.note("%s", map[int]string{exitHeld: "the rule held", exitBroken: "the rule was broken", exitNotRun: "the case could not run"}[status])
	s.end()
	os.Exit(status)
}
