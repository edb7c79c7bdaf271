// Command standins2 holds the stand-ins of the cases of the second review. Each case starts the
// programs of the system as processes on loopback addresses, plays clients, servers and the
// operator, and judges what they have seen. It exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

type verdict int

const (
	held verdict = iota
	broken
	couldNotRun
)

var cases = map[string]func(rec *record, bin string, trouble bool) verdict{
	"first-start": firstStart,
	"long-prompt": longPrompt,
	"quick-retry": quickRetry,
	"founders":    founders,
	"born":        born,
	"end-moved":   endMoved,
	"removed":     removed,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE BINARY RECORD")
		os.Exit(int(couldNotRun))
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(couldNotRun))
	}
	// A signal must not leave processes behind: they end with this one.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-stop; os.Exit(int(couldNotRun)) }()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption: %v", os.Args[1], trouble)
	v := cases[os.Args[1]](rec, os.Args[2], trouble)
	rec.line("verdict: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[v])
	rec.close()
	os.Exit(int(v))
}
