package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a model engine beside an agent.
type engine struct {
	s        *site
	id       string
	address  string
	born     int64
	controls []string

	mu sync.Mutex
	// version is the version of the weights that it holds whole, 0 for none.
	version int
	// layers are the layers that it holds, from and target exclusive.
	from, target int
	orders       int
	busy         bool
	seq          int
	running      int
	idle         chan struct{}
	// pace is over 1 while the engine is slow.
	pace   float64
	staged map[int][]byte
	// badSince holds since when staged pieces are spoilt.
	badSince map[int]time.Time
	// spoilt lists the pieces that were spoilt for over 3 s when the held version was
	// taken.
	spoilt []string
	// lastRead is when a staged piece was last read by the agent.
	lastRead time.Time
	// acceptedAt holds when a load order of a version was accepted.
	acceptedAt map[int]time.Time
	// tokens counts events by version; spoiltEvents those made with spoilt layers.
	events       map[int]int
	spoiltEvents int
}

// startEngine starts an engine that holds version 1, which is also staged.
func (s *site) startEngine(n int, controls []string) (*engine, error) {
	e := &engine{
		s: s, id: fmt.Sprintf("i-%d", n), address: fmt.Sprintf("%s:%d", s.ip(n), portEngine), born: time.Now().UnixMilli(),
		controls: controls, version: 1, target: layerCount, pace: 1, staged: map[int][]byte{}, badSince: map[int]time.Time{},
		acceptedAt: map[int]time.Time{}, events: map[int]int{},
	}
	for num := range pieceCount {
		e.staged[num] = piece(1, num)
	}
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, e) }()
	go e.beat()
	return e, nil
}

// state returns what the engine says of itself. The caller holds mu.
func (e *engine) state() object {
	models := []object{}
	layers := object{"from": 0, "target": 0, "version": 0}
	if e.version > 0 {
		models = append(models, object{"name": modelName, "version": e.version, "adapters": []string{}})
		layers = object{"from": e.from, "target": e.target, "version": e.version}
	}
	return object{"phase": "both", "models": models, "layers": layers, "born": e.born}
}

// beat sends heartbeats.
func (e *engine) beat() {
	for i := 0; ; i++ {
		e.mu.Lock()
		e.seq++
		body := e.state()
		body["service"], body["addr"], body["zone"], body["version"] = "drafter", e.address, "zone-a", "v1"
		body["slots"], body["state"], body["coldLeftMs"], body["seq"] = 16, "ready", 0, e.seq
		e.mu.Unlock()
		data, _ := json.Marshal(body)
		for j := range e.controls {
			at := e.controls[(i+j)%len(e.controls)]
			if status, _ := call(time.Second, http.MethodPost, "http://"+at+"/-/Instances.Heartbeat/"+e.id, data); status >= 200 && status < 300 {
				break
			}
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Instance", e.id)
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/-/report":
		e.report(w)
	case r.URL.Path == "/-/order":
		e.order(w, r)
	case strings.HasPrefix(r.URL.Path, "/-/stage-"):
		e.stage(w, r)
	default:
		e.request(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	body := e.state()
	body["busy"], body["seq"], body["queued"], body["running"] = e.busy, e.orders, 0, e.running
	body["kvUsed"], body["kvTotal"], body["handles"], body["pace"] = 0, 1180000*layerCount, 0, e.pace
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// stage stores and returns staged pieces.
func (e *engine) stage(w http.ResponseWriter, r *http.Request) {
	num, err := strconv.Atoi(r.URL.Query().Get("num"))
	if err != nil {
		http.Error(w, "no number", http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPut {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.staged[num] = data
		delete(e.badSince, num)
		e.mu.Unlock()
		w.WriteHeader(http.StatusOK)
		return
	}
	e.mu.Lock()
	data := e.staged[num]
	e.lastRead = time.Now()
	e.mu.Unlock()
	if data == nil {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

// rot spoils a staged piece.
func (e *engine) rot(num int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data := bytes.Clone(e.staged[num])
	data[100] ^= 0x40
	e.staged[num] = data
	e.badSince[num] = time.Now()
	e.s.note("engine %s: staged piece %d turns bad", e.id, num)
}

// order accepts load orders.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op      string `json:"op"`
		Model   string `json:"model"`
		Version int    `json:"version"`
		From    int    `json:"from"`
		Target  int    `json:"target"`
		Expect  *int   `json:"expect"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "start" || o.Model != modelName {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if o.Target == 0 {
		o.Target = layerCount
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy || o.Expect != nil && *o.Expect != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case e.version == o.Version && e.from == o.From && e.target == o.Target:
		w.WriteHeader(http.StatusOK)
		return
	}
	e.orders++
	e.busy = true
	now := time.Now()
	e.acceptedAt[o.Version] = now
	// The staged data is taken as it is now.
	var spoilt []string
	if e.version != o.Version {
		spoilt = e.check(o.Version, o.From, o.Target, now)
	} else {
		spoilt = e.spoilt
	}
	e.s.note("engine %s: order accepted: version %d, layers %d to %d, %d requests running; spoilt for over 3 s: %v", e.id, o.Version, o.From, o.Target, e.running, spoilt)
	w.WriteHeader(http.StatusAccepted)
	idle := make(chan struct{})
	if e.running == 0 {
		close(idle)
	} else {
		e.idle = idle
	}
	go func() {
		<-idle
		e.mu.Lock()
		e.version, e.from, e.target = 0, 0, 0
		e.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		e.mu.Lock()
		e.version, e.from, e.target, e.spoilt, e.busy = o.Version, o.From, o.Target, spoilt, false
		e.mu.Unlock()
		e.s.note("engine %s: holds layers %d to %d of version %d", e.id, o.From, o.Target, o.Version)
	}()
}

// check returns the staged pieces that a load of layers of a version takes although they
// were spoilt, missing or of another version for over 3 s. The caller holds mu.
func (e *engine) check(version, from, target int, now time.Time) []string {
	var spoilt []string
	for num := from * pieceCount / layerCount; num < (target*pieceCount+layerCount-1)/layerCount; num++ {
		sum := sha256.Sum256(e.staged[num])
		if hex.EncodeToString(sum[:]) == digestsOf(version)[num] {
			continue
		}
		since, known := e.badSince[num]
		if known && now.Sub(since) <= 3*time.Second {
			continue
		}
		text := fmt.Sprintf("piece %d", num)
		if known {
			text += fmt.Sprintf(" (bad for %.1f s)", now.Sub(since).Seconds())
		}
		spoilt = append(spoilt, text)
	}
	return spoilt
}

// begin takes a request in, or returns why not.
func (e *engine) begin(r *http.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := r.Header.Get("Expect-Instance")
	switch {
	case expected != "" && expected != e.id, e.version == 0, e.from != 0 || e.target != layerCount:
		return http.StatusMisdirectedRequest
	case e.busy || e.running >= 16:
		return http.StatusServiceUnavailable
	}
	e.running++
	return 0
}

func (e *engine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if e.running == 0 && e.idle != nil {
		close(e.idle)
		e.idle = nil
	}
}

// request answers a request with a stream of events.
func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if status := e.begin(r); status != 0 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer e.finish()
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()
	w.Header().Set("Signature", e.id+"."+id)
	w.Header().Set("Weights-Version", fmt.Sprint(version))
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, output, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.Atoi(output)
	for event := first + 1; event <= max(tokens/5, 1); event++ {
		e.mu.Lock()
		step := time.Duration(5 * 9 * e.pace * float64(time.Millisecond))
		e.mu.Unlock()
		select {
		case <-time.After(step):
		case <-r.Context().Done():
			return
		}
		e.mu.Lock()
		e.events[version]++
		if len(e.spoilt) > 0 {
			if e.spoiltEvents == 0 {
				e.s.note("engine %s: event %d of request %s is made with version %d, which was taken with spoilt pieces: %v", e.id, event, id, version, e.spoilt)
			}
			e.spoiltEvents++
		}
		e.mu.Unlock()
		fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", event, id, event)
		_ = http.NewResponseController(w).Flush()
	}
}
