package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	drainBound = 2 * time.Second // drainMs
	clockStep  = 3200 * time.Millisecond
)

// born starts a server while the clock of its machine is ahead. The clock steps back, and the
// server crashes and starts again under its id, with an earlier start than before. Later it
// reports that it drains, goes on serving for some seconds, deregisters and exits.
func born(rec *record, bin string, trouble bool) verdict {
	w, err := newWorld(rec, bin, 5, 2)
	if err != nil {
		rec.line("%v", err)
		return couldNotRun
	}
	defer w.close()
	type arrival struct {
		id string
		at time.Time
	}
	var mu sync.Mutex
	reached := map[string][]arrival{}
	answerWith := func(e *engine, i *incarnation, rw http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get("Request-Id")
		mu.Lock()
		reached[e.name] = append(reached[e.name], arrival{id, time.Now()})
		leaving := e.leaving
		mu.Unlock()
		rec.line("server %s (%s) runs %s", e.name, i.id, id)
		if leaving {
			rw.Header().Set("Server-Leaving", "1")
		}
		rw.Header().Set("Signature", "s."+i.id+"."+id)
		_, _ = rw.Write([]byte(strings.Repeat("x", 800)))
	}
	leaver, other := w.newEngine(1, "staff", 8), w.newEngine(2, "staff", 8)
	leaver.answer, other.answer, leaver.keepID = answerWith, answerWith, true
	if err := w.startAll(); err != nil {
		rec.line("%v", err)
		return couldNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	if _, ok := w.order(ctx, "configuration 1", "/-/Config.Put", config(1,
		[]map[string]any{route("r-1", "/status/", "safe", "staff", 2500, 150)}, []map[string]any{plainService("staff")})); !ok {
		return couldNotRun
	}
	time.Sleep(4 * time.Second)
	if trouble {
		leaver.clock = clockStep
		rec.line("the clock of %s's machine is %v ahead", leaver.name, clockStep)
	}
	if leaver.start() != nil || other.start() != nil {
		return couldNotRun
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		leaver.clock = 0
		rec.line("the clock of %s's machine steps back", leaver.name)
		leaver.crash(leaver.current)
		rec.line("server %s crashes", leaver.name)
		time.Sleep(500 * time.Millisecond)
		if leaver.start() != nil {
			return couldNotRun
		}
	}
	// Both serve some requests, and nothing is disrupted any more.
	for n := range 20 {
		a := ask(context.Background(), w.front(n%2), request{method: http.MethodGet, path: "/status/1", deadline: 2500 * time.Millisecond})
		rec.line("client: %s answered %d", a.id, a.status)
		time.Sleep(300 * time.Millisecond)
	}
	acknowledged, ok := leaver.drain()
	if !ok {
		rec.line("no control process has acknowledged that %s drains", leaver.name)
		return couldNotRun
	}
	rec.line("%s has an acknowledgement that it drains; it may be sent requests for %v", leaver.name, drainBound)
	time.Sleep(time.Until(acknowledged.Add(drainBound + 500*time.Millisecond)))
	sent := map[string]bool{}
	for n := range 20 {
		a := ask(context.Background(), w.front(n%2), request{method: http.MethodGet, path: "/status/2", deadline: 2500 * time.Millisecond})
		sent[a.id] = true
		rec.line("client: %s answered %d", a.id, a.status)
		time.Sleep(100 * time.Millisecond)
	}
	late := 0
	mu.Lock()
	for _, r := range reached[leaver.name] {
		if sent[r.id] && r.at.Sub(acknowledged) > drainBound {
			rec.line("%s reached %s %.2f s after the acknowledgement", r.id, leaver.name, r.at.Sub(acknowledged).Seconds())
			late++
		}
	}
	mu.Unlock()
	rec.line("%d requests reached %s later than %v after a machine in touch had acknowledged that it drains", late, leaver.name, drainBound)
	if late > 0 {
		return broken
	}
	return held
}
