package frontend

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/waxwingpost/waxwingpost/process/directory"
)

// ledger records what the fake servers did with each request.
type ledger struct {
	mu      sync.Mutex
	entries map[string]*ledgerEntry
}

// ledgerEntry is what the fake servers did with one request.
type ledgerEntry struct {
	// passedOn counts the servers that read the whole request, ran those that ran it.
	passedOn, ran int
	// brokeOff is set if a server broke off its connection.
	brokeOff bool
	services []string
	history  []string
}

func (l *ledger) record(id, what string, change func(e *ledgerEntry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil {
		e = &ledgerEntry{}
		l.entries[id] = e
	}
	if change != nil {
		change(e)
	}
	e.history = append(e.history, time.Now().Format("05.000 ")+what)
}

func (l *ledger) get(id string) ledgerEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		return *e
	}
	return ledgerEntry{}
}

// soakServer is a fake backend server at one address. A new incarnation may serve
// another service.
type soakServer struct {
	ledger  *ledger
	address string

	mu          sync.Mutex
	rng         *rand.Rand
	id, service string
	state       directory.State
	born        int64
	http        *http.Server
	silentUntil time.Time
	// refuse, breakOff and fail are the probabilities of a refusal, of a broken
	// connection and of an error response; pace stretches the work.
	refuse, breakOff, fail, pace float64
	working                      map[string]int
}

// start serves a new incarnation until stop.
func (s *soakServer) start(id, service string) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = l.Addr().String()
	s.id, s.service, s.state, s.born = id, service, directory.Ready, time.Now().UnixMilli()
	s.refuse, s.breakOff, s.fail, s.pace, s.working = 0, 0, 0, 1, map[string]int{}
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(id, service, w, r) })}
	go func(srv *http.Server) { _ = srv.Serve(l) }(s.http)
	return nil
}

// stop breaks off all connections and requests.
func (s *soakServer) stop() {
	s.mu.Lock()
	srv := s.http
	for id := range s.working {
		s.ledger.record(id, s.id+" stops", func(e *ledgerEntry) { e.brokeOff = true })
	}
	s.state = directory.Gone
	s.mu.Unlock()
	_ = srv.Close()
}

func (s *soakServer) record() directory.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return directory.Record{Server: directory.Server{
		ID: s.id, Service: s.service, Address: s.address, Slots: 6, State: s.state, Born: s.born, Zone: "z1",
	}}
}

func (s *soakServer) roll() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// rest waits for d, and as long as the server is silent. It reports whether the
// request is still wanted.
func (s *soakServer) rest(ctx context.Context, d time.Duration) bool {
	s.mu.Lock()
	until := time.Now().Add(time.Duration(float64(d) * s.pace))
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.silentUntil.After(until) {
			until = s.silentUntil
		}
		s.mu.Unlock()
		left := time.Until(until)
		if left <= 0 {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(min(left, 50*time.Millisecond)):
		}
	}
}

func (s *soakServer) serve(self, service string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	id := r.Header.Get("Request-Id")
	if err != nil {
		return
	}
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != self {
		s.ledger.record(id, self+" misdirected", nil)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.ledger.record(id, "at "+self, func(e *ledgerEntry) { e.passedOn++ })
	s.track(id, 1)
	defer s.track(id, -1)
	s.mu.Lock()
	refuse, breakOff, fail := s.refuse, s.breakOff, s.fail
	stopping := s.id != self || s.state == directory.Gone
	s.mu.Unlock()
	if stopping {
		s.ledger.record(id, self+" is stopping", func(e *ledgerEntry) { e.brokeOff = true })
	}
	switch {
	case !s.rest(r.Context(), time.Millisecond):
		return
	case s.roll() < refuse:
		s.ledger.record(id, self+" refuses", nil)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case s.roll() < breakOff/3:
		s.breakConnection(self, id)
	}
	s.ledger.record(id, self+" runs", func(e *ledgerEntry) { e.ran++; e.services = append(e.services, service) })
	if s.roll() < breakOff/3 {
		s.breakConnection(self, id)
	}
	w.Header().Set("Signature", "signed-by-"+self)
	if strings.Contains(r.URL.Path, "stream") {
		s.stream(self, id, breakOff, w, r)
		return
	}
	if !s.rest(r.Context(), time.Duration(s.roll()*40)*time.Millisecond) {
		return
	}
	if s.roll() < fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.answer(id, string(body), w)
}

// answer sends a short response with its length, or a long one in chunks or with its
// length.
func (s *soakServer) answer(id, body string, w http.ResponseWriter) {
	text := plainAnswer(id, len(body))
	if s.roll() < 0.5 {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	_, _ = io.WriteString(w, text)
	s.ledger.record(id, "answered", nil)
}

// plainAnswer returns the response body to a plain request.
func plainAnswer(id string, bodyLength int) string {
	text := fmt.Sprintf("%s %d ", id, bodyLength)
	if strings.HasSuffix(id, "7") {
		return text + strings.Repeat("x", 300<<10)
	}
	return text + strings.Repeat("x", 800)
}

// stream sends the events after the last one that the caller has.
func (s *soakServer) stream(self, id string, breakOff float64, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for event := from + 1; event <= streamLength(id); event++ {
		if !s.rest(r.Context(), time.Duration(10+s.roll()*60)*time.Millisecond) {
			s.ledger.record(id, fmt.Sprintf("%s is left by the entry before event %d", self, event), nil)
			return
		}
		if s.roll() < breakOff/20 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", event)
			_ = http.NewResponseController(w).Flush()
			s.breakConnection(self, id)
		}
		_, _ = io.WriteString(w, eventText(id, event))
		_ = http.NewResponseController(w).Flush()
	}
	s.ledger.record(id, "stream complete", nil)
}

// streamLength returns the number of events of a request's stream.
func streamLength(id string) int { return 3 + int(id[len(id)-1])%16 }

func eventText(id string, event int) string {
	return fmt.Sprintf("id: %d\ndata: %s event %d\n\n", event, id, event)
}

func (s *soakServer) breakConnection(self, id string) {
	s.ledger.record(id, self+" breaks off", func(e *ledgerEntry) { e.brokeOff = true })
	panic(http.ErrAbortHandler)
}

func (s *soakServer) track(id string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.working[id] += n; s.working[id] <= 0 {
		delete(s.working, id)
	}
}

// disturb changes the server's behavior at random.
func (s *soakServer) disturb() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse, s.breakOff, s.fail, s.pace = 0, 0, 0, 1
	switch s.rng.IntN(9) {
	case 0, 1, 2:
		s.silentUntil = time.Now().Add(time.Duration(500+s.rng.IntN(2000)) * time.Millisecond)
	case 3:
		s.refuse = 0.5
	case 4:
		s.breakOff = 0.5
	case 5:
		s.fail = 0.4
	case 6:
		s.pace = 4
	default:
	}
}
