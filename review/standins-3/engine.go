package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// engine is a sound server of a service without weights. It follows the pages: it runs what it
// is sent once, refuses requests that expect another instance, tells its load and says in all
// answers when it leaves.
type engine struct {
	rec      *record
	controls []string
	id       string
	service  string
	addr     string
	zone     string
	born     int64
	slots    int
	work     time.Duration
	// step is the difference of the ids of two events of a stream, 0 for a service without
	// streams, and events the number of events.
	step, events int
	// deadly is the path of the request that crashes the engine when it begins to run it, and
	// onCrash is called then.
	deadly  string
	onCrash func()
	// deadlyPart is the part of a prompt on which the engine crashes when it begins to write.
	deadlyPart string

	mu       sync.Mutex
	seq      int
	state    string
	leaving  bool
	running  int
	ran      []run
	server   *http.Server
	stop     chan struct{}
	stopOnce sync.Once
}

// run is one request that an engine has begun to work on.
type run struct {
	id, method, path, body, engine, service string
	at                                      time.Time
}

func startEngine(rec *record, controls []string, id, service, ip, zone string, slots int, work time.Duration) (*engine, error) {
	e := &engine{
		rec: rec, controls: controls, id: id, service: service, addr: fmt.Sprintf("%s:%d", ip, enginePort), zone: zone,
		born: time.Now().UnixMilli(), slots: slots, work: work, state: "ready", stop: make(chan struct{}),
	}
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(l) }()
	go e.beat()
	return e, nil
}

// exit ends the engine as an exit of its process does.
func (e *engine) exit() {
	e.stopOnce.Do(func() { close(e.stop) })
	_ = e.server.Close()
	e.rec.add("engine %s has exited", e.id)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	received, _ := io.ReadAll(r.Body)
	h := w.Header()
	id := r.Header.Get("Request-Id")
	e.mu.Lock()
	if id != "" {
		h.Set("Request-Id", id)
	}
	if e.leaving {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/healthz" {
		h.Set("Instance", e.id)
		status := http.StatusOK
		if e.leaving {
			status = http.StatusServiceUnavailable
		}
		e.mu.Unlock()
		w.WriteHeader(status)
		return
	}
	refuse := 0
	switch expected := r.Header.Get("Expect-Instance"); {
	case expected != "" && expected != e.id:
		refuse = http.StatusMisdirectedRequest
	case id == "":
		refuse = http.StatusBadRequest
	case e.running >= e.slots:
		refuse = http.StatusServiceUnavailable
	}
	h.Set("Load", fmt.Sprintf("%d,0,%d", e.running, e.slots))
	if refuse > 0 {
		e.mu.Unlock()
		h.Set("Not-Executed", "1")
		w.WriteHeader(refuse)
		return
	}
	if e.deadly != "" && r.URL.Path == e.deadly {
		e.ran = append(e.ran, run{id: id, method: r.Method, path: r.RequestURI, body: string(received), engine: e.id, service: e.service, at: time.Now()})
		e.mu.Unlock()
		e.rec.add("engine %s begins to run %s %s %s and crashes", e.id, id, r.Method, r.RequestURI)
		e.stopOnce.Do(func() { close(e.stop) })
		go func() { _ = e.server.Close() }()
		e.onCrash()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	e.running++
	e.ran = append(e.ran, run{id: id, method: r.Method, path: r.RequestURI, body: string(received), engine: e.id, service: e.service, at: time.Now()})
	e.mu.Unlock()
	e.rec.add("engine %s of %s runs %s %s %s with body %q", e.id, e.service, id, r.Method, r.RequestURI, received)
	if e.deadlyPart != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), e.deadlyPart+":") {
		time.Sleep(e.work)
		e.rec.add("engine %s begins to write on %s and crashes", e.id, e.deadlyPart)
		e.stopOnce.Do(func() { close(e.stop) })
		go func() { _ = e.server.Close() }()
		e.onCrash()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if e.step > 0 {
		e.stream(w, r, id)
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
		return
	}
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		e.rec.add("engine %s: %s was broken off", e.id, id)
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	body := fmt.Sprintf("%s by %s of %s", id, e.id, e.service)
	h.Set("Signature", "sig."+id+"."+e.id)
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// runs returns what the engine has run.
func (e *engine) runs() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.ran...)
}

// heartbeat returns the next heartbeat.
func (e *engine) heartbeat() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	return map[string]any{
		"service": e.service, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": e.state,
		"coldLeftMs": 0, "seq": e.seq, "born": e.born,
	}
}

// beat sends heartbeats until the engine exits.
func (e *engine) beat() {
	for {
		e.report()
		select {
		case <-e.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// report sends one heartbeat, to the next control process if one does not acknowledge it.
func (e *engine) report() bool {
	body := e.heartbeat()
	for _, c := range e.controls {
		if post(c, "/-/Instances.Heartbeat/"+e.id, body) == http.StatusOK {
			return true
		}
	}
	return false
}

// drain reports draining until that is acknowledged, and returns the time of the acknowledgement.
func (e *engine) drain() time.Time {
	e.mu.Lock()
	e.state, e.leaving = "draining", true
	e.mu.Unlock()
	for !e.report() {
		time.Sleep(100 * time.Millisecond)
	}
	e.rec.add("engine %s reported draining, acknowledged", e.id)
	return time.Now()
}

var caller = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends a JSON body and returns the status, 0 without an answer.
func post(address, path string, body any) int {
	data, ok := body.([]byte)
	if !ok {
		data, _ = json.Marshal(body)
	}
	resp, err := caller.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// stream answers with a series of events with increasing ids, after that in Last-Event-Id.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	after := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
	h := w.Header()
	h.Set("Signature", "sig."+id+"."+e.id)
	h.Set("Content-Type", "text/event-stream")
	for n := 1; n <= e.events; n++ {
		if n*e.step <= after {
			continue
		}
		select {
		case <-time.After(e.work):
		case <-r.Context().Done():
			e.rec.add("engine %s: the stream of %s was broken off by its caller before event %d", e.id, id, n*e.step)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n*e.step, n, id)
		w.(http.Flusher).Flush()
	}
}
