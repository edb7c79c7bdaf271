package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in for a server of a service. Each start is an incarnation with an id of
// its own. It beats to the control processes and answers requests as the pages say.
type engine struct {
	w       *world
	name    string
	service string
	address string
	slots   int
	// answer runs a request. It is called by a goroutine of the request. It may return without
	// an answer, which breaks off the connection.
	answer func(e *engine, i *incarnation, w http.ResponseWriter, r *http.Request, body []byte)
	// models is set for model engines.
	models []map[string]any
	// keepID is set if the server starts again under its id. clock is how far the clock of its
	// machine is ahead.
	keepID bool
	clock  time.Duration
	// leaving is set once the server leaves.
	leaving bool

	mu      sync.Mutex
	starts  int
	current *incarnation
}

type incarnation struct {
	id     string
	born   int64
	seq    atomic.Int64
	server *http.Server
	ended  chan struct{}
}

func (w *world) newEngine(n int, service string, slots int) *engine {
	return &engine{w: w, name: fmt.Sprintf("%s-%d", service, n), service: service, address: w.address(firstEngine+n, w.ports.control+5), slots: slots}
}

func (e *engine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	if e.starts == 0 || !e.keepID {
		e.starts++
	}
	i := &incarnation{id: fmt.Sprintf("i-%s-%d", e.name, e.starts), born: time.Now().Add(e.clock).UnixMilli(), ended: make(chan struct{})}
	i.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(i, w, r) })}
	e.current = i
	go func() { _ = i.server.Serve(l) }()
	go e.beat(i)
	e.w.rec.line("server %s starts at %s, born %d", i.id, e.address, i.born)
	return nil
}

// crash ends the incarnation at once: its port refuses connections, and all connections break.
func (e *engine) crash(i *incarnation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != i {
		return false
	}
	e.current = nil
	close(i.ended)
	_ = i.server.Close()
	return true
}

// alive reports whether the incarnation has not ended.
func (e *engine) alive(i *incarnation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current == i
}

func (e *engine) beat(i *incarnation) {
	for seq := 1; ; seq++ {
		e.mu.Lock()
		leaving := e.leaving
		e.mu.Unlock()
		if leaving {
			return
		}
		i.seq.Store(int64(seq))
		body := map[string]any{
			"service": e.service, "addr": e.address, "zone": "zone-a", "version": "v1", "slots": e.slots, "state": "ready",
			"coldLeftMs": 0, "seq": seq, "born": i.born,
		}
		if e.models != nil {
			body["phase"], body["models"] = "both", e.models
		}
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		for n := range e.w.control {
			if status, _ := e.w.send(http.MethodPost, (seq+n)%len(e.w.control), "/-/Instances.Heartbeat/"+i.id, data); status/100 == 2 {
				break
			}
		}
		select {
		case <-i.ended:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// drain reports that the server drains to one control process after the other until one
// acknowledges it, and returns when that was. The server goes on serving.
func (e *engine) drain() (time.Time, bool) {
	e.mu.Lock()
	e.leaving = true
	i := e.current
	e.mu.Unlock()
	for n := range 20 {
		data, err := json.Marshal(map[string]any{
			"service": e.service, "addr": e.address, "zone": "zone-a", "version": "v1", "slots": e.slots, "state": "draining",
			"coldLeftMs": 0, "seq": i.seq.Load() + 1 + int64(n), "born": i.born,
		})
		if err != nil {
			panic(err)
		}
		control := n % len(e.w.control)
		status, _ := e.w.send(http.MethodPost, control, "/-/Instances.Heartbeat/"+i.id, data)
		e.w.rec.line("server %s reports to %s that it drains: answer %d", i.id, e.w.control[control].name, status)
		if status/100 == 2 {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}

func (e *engine) serve(i *incarnation, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Instance", i.id)
		return
	case r.Header.Get("Request-Id") == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if want := r.Header.Get("Expect-Instance"); want != "" && want != i.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.answer(e, i, w, r, body)
}

// stream sends events numbered from the one after Last-Event-Id up to count.
func stream(w http.ResponseWriter, r *http.Request, i *incarnation, count int, gap time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Signature", "s."+i.id+"."+r.Header.Get("Request-Id"))
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= count; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-i.ended:
			panic(http.ErrAbortHandler)
		case <-time.After(gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 20)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
