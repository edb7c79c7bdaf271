package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	model      = "daka510000"
	badPart    = "dead00beef"
	crashDown  = 3 * time.Second
	maxReached = 3 // requests with the part that may reach engines after the time of grace
)

// arrivals counts the requests that reached engines, and the crashes.
type arrivals struct {
	mu      sync.Mutex
	crashes []time.Time
	bad     []time.Time
}

// longPrompt sends prompts of sessions with many shared parts. One part, which is not the last,
// crashes each engine that begins to write an answer on it.
func longPrompt(rec *record, bin string, trouble bool) verdict {
	position := 18 // of the bad part, from 1; 17 shared parts go before it
	if n, err := strconv.Atoi(os.Getenv("POSITION")); err == nil {
		position = n
	}
	w, err := newWorld(rec, bin, 5, 2)
	if err != nil {
		rec.line("%v", err)
		return couldNotRun
	}
	defer w.close()
	var seen arrivals
	for n := range 8 {
		e := w.newEngine(n+1, "assist", 16)
		e.models = []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}
		e.answer = func(e *engine, i *incarnation, rw http.ResponseWriter, r *http.Request, _ []byte) {
			id := r.Header.Get("Request-Id")
			bad := strings.Contains(r.Header.Get("Prompt-Prefix"), badPart+":")
			if bad {
				seen.mu.Lock()
				seen.bad = append(seen.bad, time.Now())
				seen.mu.Unlock()
				rec.line("server %s is reached by %s, with the bad part", i.id, id)
			}
			if bad && trouble {
				time.Sleep(80 * time.Millisecond) // reads the prompt
				if !e.crash(i) {
					return
				}
				seen.mu.Lock()
				seen.crashes = append(seen.crashes, time.Now())
				n := len(seen.crashes)
				seen.mu.Unlock()
				rec.line("server %s crashes as it begins to write the answer to %s (crash %d)", i.id, id, n)
				time.AfterFunc(crashDown, func() { _ = e.start() })
				return
			}
			time.Sleep(80 * time.Millisecond)
			stream(rw, r, i, 8, 40*time.Millisecond)
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
		[]map[string]any{route("r-1", "/draft/", "stream", "assist", 6000, 500)}, []map[string]any{modelService("assist", model, 16)})); !ok {
		return couldNotRun
	}
	time.Sleep(5 * time.Second)

	// prompt returns the parts of a prompt: shared ones, perhaps the bad one, and its own.
	prompt := func(bad bool) string {
		var parts []string
		for n := 1; n < position; n++ {
			parts = append(parts, fmt.Sprintf("5c1e07%02x:40", n))
		}
		if bad {
			parts = append(parts, badPart+":40")
		}
		return strings.Join(append(parts, newID()+":40"), ",")
	}
	send := func(entry int, bad bool) answer {
		id := newID()
		return ask(context.Background(), w.front(entry%len(w.entry)), request{
			method: http.MethodPost, path: "/draft/" + id, body: "draft " + id, deadline: 6 * time.Second,
			header: map[string]string{"Model": model, "Token-Count": fmt.Sprintf("%d,40", 40*position), "Prompt-Prefix": prompt(bad), "Content-Type": "text/plain"},
		})
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	sound := map[int]int{}
	end := time.Now().Add(25 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		bad := n%30 == 15
		group.Add(1)
		go func() {
			defer group.Done()
			a := send(n, bad)
			if bad {
				rec.line("client: %s with the bad part answered %d, complete %v", a.id, a.status, a.complete)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sound[a.status]++
		}()
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	rec.line("sound requests by status: %v", sound)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if !trouble {
		rec.line("%d requests with the part reached engines, none of them crashed", len(seen.bad))
		if len(seen.bad) == 0 || sound[http.StatusOK] == 0 {
			return couldNotRun
		}
		return held
	}
	if len(seen.crashes) < 5 {
		rec.line("%d crashes", len(seen.crashes))
		return held
	}
	from, late := seen.crashes[4].Add(contact), 0
	for _, at := range seen.bad {
		if at.After(from) {
			late++
		}
	}
	rec.line("%d crashes; %d requests with the bad part reached engines later than %v after the fifth, at most %d may", len(seen.crashes), late, contact, maxReached)
	if late > maxReached {
		return broken
	}
	return held
}
