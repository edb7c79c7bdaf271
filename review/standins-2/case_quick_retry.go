package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	badGap   = 5 * time.Second // between two times at which the client asks
	badPath  = "/status/77/bad"
	maxAgain = 3 // retries that may reach engines after the time of grace
)

// quickRetry sends a request that may be repeated and that crashes the engines which run it. Its
// client asks again every few seconds, each time with one retry after a failure, as the sheet of
// the deployment has it.
func quickRetry(rec *record, bin string, trouble bool) verdict {
	w, err := newWorld(rec, bin, 5, 4)
	if err != nil {
		rec.line("%v", err)
		return couldNotRun
	}
	defer w.close()
	var seen arrivals
	for n := range 8 {
		e := w.newEngine(n+1, "booth", 6)
		e.answer = func(e *engine, i *incarnation, rw http.ResponseWriter, r *http.Request, _ []byte) {
			id := r.Header.Get("Request-Id")
			if r.URL.Path == badPath {
				seen.mu.Lock()
				seen.bad = append(seen.bad, time.Now())
				seen.mu.Unlock()
				rec.line("server %s is reached by %s, the bad request", i.id, id)
				if trouble {
					if !e.crash(i) {
						return
					}
					seen.mu.Lock()
					seen.crashes = append(seen.crashes, time.Now())
					n := len(seen.crashes)
					seen.mu.Unlock()
					rec.line("server %s crashes as it begins to run %s (crash %d)", i.id, id, n)
					time.AfterFunc(crashDown, func() { _ = e.start() })
					return
				}
			}
			select {
			case <-i.ended:
				panic(http.ErrAbortHandler)
			case <-time.After(30 * time.Millisecond):
			}
			rw.Header().Set("Signature", "s."+i.id+"."+id)
			_, _ = rw.Write([]byte(strings.Repeat("x", 800)))
		}
		if err := e.start(); err != nil {
			rec.line("%v", err)
			return couldNotRun
		}
	}
	if err := w.startAll(); err != nil {
		rec.line("%v", err)
		return couldNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	if _, ok := w.order(ctx, "configuration 1", "/-/Config.Put", config(1,
		[]map[string]any{route("r-1", "/status/", "safe", "booth", 2500, 150)}, []map[string]any{plainService("booth")})); !ok {
		return couldNotRun
	}
	time.Sleep(5 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	sound := map[int]int{}
	end := time.Now().Add(40 * time.Second)
	next := time.Now().Add(3 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		if time.Now().After(next) {
			next = next.Add(badGap)
			group.Go(func() {
				first := rand.IntN(len(w.entry))
				for attempt := range 2 {
					entry := (first + attempt) % len(w.entry)
					a := ask(context.Background(), w.front(entry), request{method: http.MethodGet, path: badPath, deadline: 2500 * time.Millisecond})
					rec.line("client: bad request %s at %s answered %d", a.id, w.entry[entry].name, a.status)
					if a.status == http.StatusOK || a.status == http.StatusServiceUnavailable {
						return // served, or told when to come back
					}
				}
			})
		}
		group.Go(func() {
			a := ask(context.Background(), w.front(n%len(w.entry)), request{method: http.MethodGet, path: fmt.Sprintf("/status/%d", n), deadline: 2500 * time.Millisecond})
			mu.Lock()
			defer mu.Unlock()
			sound[a.status]++
		})
		time.Sleep(149 * time.Millisecond) // 6.71 requests a second
	}
	group.Wait()
	rec.line("sound requests by status: %v", sound)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if !trouble {
		rec.line("the request reached engines %d times, none of them crashed", len(seen.bad))
		if len(seen.bad) == 0 || sound[http.StatusOK] == 0 {
			return couldNotRun
		}
		return held
	}
	if len(seen.crashes) < 3 {
		rec.line("%d crashes", len(seen.crashes))
		return held
	}
	from, late := seen.crashes[2].Add(contact), 0
	for _, at := range seen.bad {
		if at.After(from) {
			late++
		}
	}
	rec.line("%d crashes; the request reached engines %d times later than %v after the third, at most %d times it may", len(seen.crashes), late, contact, maxAgain)
	if late > maxAgain {
		return broken
	}
	return held
}
