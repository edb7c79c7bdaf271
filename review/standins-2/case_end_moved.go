package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	answerEvents = 21 // events of an answer, as the sheet has them
	eventTokens  = 5
	usualGap     = 50 * time.Millisecond
	slowFactor   = 2.5 // of a server that reads long prompts between its tokens
	slowTime     = 2500 * time.Millisecond
	streamTime   = 4500 * time.Millisecond // timeoutMs and the clients' deadline
	grace        = 8 * time.Second         // graceS
)

// cut is a stream that a client has not got to its end.
type cut struct {
	id        string
	entry     int
	sent, end time.Time
	events    int
}

// endMoved stops the entries one after the other as planned, while clients read streams over kept
// connections. The servers complete every stream that they are left to; one after the other
// makes tokens more slowly for a while.
func endMoved(rec *record, bin string, trouble bool) verdict {
	w, err := newWorld(rec, bin, 5, 2)
	if err != nil {
		rec.line("%v", err)
		return couldNotRun
	}
	defer w.close()
	var slow [2]atomic.Int64 // the servers that are slow now
	var mu sync.Mutex
	history := map[string][]string{}
	finished := map[string]bool{} // requests whose answer a server has completed
	note := func(id, format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		history[id] = append(history[id], fmt.Sprintf("%.3f s %s", rec.at(), fmt.Sprintf(format, args...)))
	}
	const servers = 7
	for n := range servers {
		e := w.newEngine(n+1, "assist", 16)
		e.models = []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}
		e.answer = func(_ *engine, i *incarnation, rw http.ResponseWriter, r *http.Request, _ []byte) {
			id := r.Header.Get("Request-Id")
			from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			note(id, "%s runs it after event %d", i.id, from)
			rw.Header().Set("Content-Type", "text/event-stream")
			rw.Header().Set("Signature", "s."+i.id+"."+id)
			time.Sleep(70 * time.Millisecond) // reads the prompt
			for event := from + 1; event <= answerEvents; event++ {
				gap := usualGap
				if slow[0].Load() == int64(n) || slow[1].Load() == int64(n) {
					gap = time.Duration(slowFactor * float64(usualGap))
				}
				select {
				case <-r.Context().Done():
					note(id, "%s is left before event %d", i.id, event)
					return
				case <-time.After(gap):
				}
				if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", event, strings.Repeat("x", 20)); err != nil {
					return
				}
				_ = http.NewResponseController(rw).Flush()
			}
			note(id, "%s has sent the last event", i.id)
			mu.Lock()
			finished[id] = true
			mu.Unlock()
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
		[]map[string]any{route("r-1", "/draft/", "stream", "assist", int(streamTime.Milliseconds()), 500)}, []map[string]any{modelService("assist", model, 16)})); !ok {
		return couldNotRun
	}
	time.Sleep(5 * time.Second)
	begun := time.Now()
	end := begun.Add(56 * time.Second)
	type planned struct {
		entry int
		at    time.Time // of SIGTERM
	}
	var stops []planned
	var inRotation [2]atomic.Bool
	inRotation[0].Store(true)
	inRotation[1].Store(true)
	var group sync.WaitGroup
	group.Go(func() {
		for time.Now().Before(end) {
			perm := rand.Perm(servers)
			slow[0].Store(int64(perm[0]))
			slow[1].Store(int64(perm[1]))
			time.Sleep(slowTime)
		}
	})
	if trouble {
		group.Go(func() {
			for stop := range 4 {
				n := stop % len(w.entry)
				m := w.entry[n]
				time.Sleep(time.Until(begun.Add(time.Duration(8+12*stop) * time.Second)))
				mu.Lock()
				stops = append(stops, planned{n, time.Now()})
				mu.Unlock()
				m.signal(syscall.SIGTERM)
				// The platform asks each second whether the machine is ready.
				time.AfterFunc(2*time.Second, func() { inRotation[n].Store(false) })
				select {
				case <-m.done:
				case <-time.After(grace):
					m.kill()
				}
				_ = m.start(false)
				time.Sleep(2 * time.Second)
				inRotation[n].Store(true)
			}
		})
	}
	var cuts []cut
	counts := map[string]int{}
	for client := range 90 {
		group.Go(func() {
			entry := client % len(w.entry)
			var conn net.Conn
			var br *bufio.Reader
			for time.Now().Before(end) {
				if conn == nil {
					entry = client % len(w.entry)
					if !inRotation[entry].Load() {
						entry = 1 - entry
					}
					c, err := net.DialTimeout("tcp", w.front(entry), time.Second)
					if err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
					conn, br = c, bufio.NewReader(c)
				}
				// The estimate is accurate at the median but often far off.
				hint := int(answerEvents * eventTokens * []float64{0.5, 0.8, 1, 1.25, 2, 2.3}[rand.IntN(6)])
				id := newID()
				c := cut{id: id, entry: entry, sent: time.Now()}
				_ = conn.SetDeadline(time.Now().Add(streamTime + time.Second))
				body := "draft " + id
				fmt.Fprintf(conn, "POST /draft/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nModel: %s\r\nToken-Count: 300,260\r\nLength-Hint: %d\r\nPrompt-Prefix: 5c1e07a2:40,%s:260\r\nContent-Length: %d\r\n\r\n%s",
					id, host, id, streamTime.Milliseconds(), tenantKey, model, hint, id, len(body), body)
				resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodPost})
				what := "no answer"
				if err == nil {
					var data []byte
					data, err = io.ReadAll(resp.Body)
					c.events = strings.Count(string(data), "id: ")
					what = strconv.Itoa(resp.StatusCode)
					if err != nil {
						what += " cut"
					}
				}
				c.end = time.Now()
				mu.Lock()
				counts[what]++
				if err != nil {
					cuts = append(cuts, c)
				}
				mu.Unlock()
				if err != nil || resp.Close {
					_ = conn.Close()
					conn = nil
				}
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	rec.line("answers: %v", counts)
	counted, others := 0, 0
	for _, c := range cuts {
		if len(history[c.id]) == 0 || c.end.Sub(c.sent) > streamTime-100*time.Millisecond {
			continue // it wasn't passed on, or its time was over
		}
		what := ""
		for _, stop := range stops {
			if since := c.end.Sub(stop.at); stop.entry == c.entry && since >= 0 && since < grace*5/6 && c.sent.Before(stop.at.Add(3*time.Second)) {
				what = fmt.Sprintf("%.2f s after SIGTERM of %s", since.Seconds(), w.entry[c.entry].name)
			}
		}
		if what == "" {
			others++
			what = "without planned work"
		} else {
			counted++
		}
		rec.line("cut %s, %.2f s after it was sent, with %d of %d events; complete at a server: %v; request %s: %s",
			what, c.end.Sub(c.sent).Seconds(), c.events, answerEvents, finished[c.id], c.id, strings.Join(history[c.id], "; "))
	}
	rec.line("%d streams that a server had were cut around a planned stop of their machine; %d more at other times", counted, others)
	if counts["200"] == 0 {
		return couldNotRun
	}
	if counted > 0 {
		return broken
	}
	return held
}
