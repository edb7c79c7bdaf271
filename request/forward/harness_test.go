package forward

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
)

// fakeServer is a backend server that records the requests it receives.
type fakeServer struct {
	*httptest.Server
	id string

	mu       sync.Mutex
	received []*http.Request
	executed []string
}

// respondFunc answers a request at a fake server.
type respondFunc func(s *fakeServer, w http.ResponseWriter, r *http.Request)

func newFakeServer(t *testing.T, id string, respond respondFunc) *fakeServer {
	t.Helper()
	s := &fakeServer{id: id}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// net/http detects a closed connection only once the request body is read.
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.mu.Lock()
		s.received = append(s.received, r)
		s.mu.Unlock()
		if want := r.Header.Get(platform.HeaderExpectServer); want != s.id {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		respond(s, w, r)
	}))
	t.Cleanup(s.Close)
	return s
}

// startResponse records that the server ran a request and sets the header of a
// signed response.
func (s *fakeServer) startResponse(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.executed = append(s.executed, r.Header.Get("Request-Id"))
	s.mu.Unlock()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Signature", "signed-by-"+s.id)
}

func (s *fakeServer) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.executed)
}

// echo responds with the request's body and the server's ID.
func echo(s *fakeServer, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.startResponse(w, r)
	_, _ = fmt.Fprintf(w, "%s from %s", body, s.id)
}

// refuseBusy refuses the request without running it.
func refuseBusy(_ *fakeServer, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// crash runs the request and closes the connection without a response.
func crash(s *fakeServer, w http.ResponseWriter, r *http.Request) {
	s.startResponse(w, r)
	panic(http.ErrAbortHandler)
}

// hang runs the request and never responds.
func hang(s *fakeServer, w http.ResponseWriter, r *http.Request) {
	s.startResponse(w, r)
	<-r.Context().Done()
}

// streamEvents sends the events after the last one that the caller has, up to the
// event last. If truncateAfter is positive, the stream is truncated after that event.
func streamEvents(last, truncateAfter int) respondFunc {
	return func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		s.startResponse(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		for id := from + 1; id <= last; id++ {
			if truncateAfter > 0 && id > truncateAfter {
				_, _ = fmt.Fprintf(w, "id: %d\nda", id)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", id, id)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// expectedStream returns the complete stream up to the event last.
func expectedStream(last int) string {
	var b strings.Builder
	for id := 1; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", id, id)
	}
	return b.String()
}

// testEntry is an entry whose service runs on fake servers.
type testEntry struct {
	*httptest.Server
	handler *Handler
	ids     atomic.Int64
}

const testKey = "key-of-an-account"

func newTestEntry(t *testing.T, config *deployment.Config, fakes ...*fakeServer) *testEntry {
	t.Helper()
	if err := config.Validate(); err != nil {
		t.Fatal(err)
	}
	view := &feed.View{Config: config, Entries: 1, Servers: map[string][]directory.Record{}}
	for _, s := range fakes {
		view.Servers["svc"] = append(view.Servers["svc"], directory.Record{Server: directory.Server{
			ID: s.id, Service: "svc", Address: s.Listener.Addr().String(), Slots: 8, State: directory.Ready, Born: 1,
		}})
	}
	client := backend.New(backend.Config{Scope: tally.NoopScope})
	h := New(Config{
		RetryShare: 0.2, RetryAllowance: 100, RetryWindow: 10 * time.Second, OldVersionGrace: 8 * time.Second,
	}, client, clockwork.NewRealClock(), boottime.System(), slog.New(slog.DiscardHandler), tally.NoopScope)
	h.Update(view)
	e := &testEntry{handler: h}
	e.Server = httptest.NewServer(h)
	t.Cleanup(e.Close)
	return e
}

// useAgeClock replaces the clock of the ages of versions, which the client of the backend
// servers shares.
func (e *testEntry) useAgeClock(c boottime.Clock) {
	e.handler.ageClock = c
	e.handler.client = backend.New(backend.Config{AgeClock: c, Scope: tally.NoopScope})
}

// testConfig returns a configuration with one route of the given kind.
func testConfig(kind deployment.Repeatability, timeout time.Duration) *deployment.Config {
	return &deployment.Config{
		Version: 1,
		Routes: []deployment.Route{{
			Name: "r", Host: "h.example", Prefix: "/p/", Kind: kind, Resumable: kind == deployment.Stream,
			Timeout: timeout, Aim: 400 * time.Millisecond, MaxPause: 400 * time.Millisecond, MaxServers: 2,
			Shares: []deployment.Share{{Service: "svc", Weight: 1}},
		}},
		Services: map[string]*deployment.Service{"svc": {Name: "svc"}},
		Accounts: []deployment.Account{{Name: "acc", Keys: []string{testKey}}},
	}
}

// send sends a request to the entry and returns the response, its body and the
// error of the request or of reading the body.
func (e *testEntry) send(t *testing.T, modify func(r *http.Request)) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.URL+"/p/x?q=1", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("Request-Id", fmt.Sprintf("id-%d", e.ids.Add(1)))
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("Deadline-Ms", "5000")
	if modify != nil {
		modify(r)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// totalRuns sums the requests run by the fake servers.
func totalRuns(fakes ...*fakeServer) int {
	n := 0
	for _, s := range fakes {
		n += s.runCount()
	}
	return n
}

// relistFirst sends requests in rounds. After each the directory drops the first server and
// lists it again.
func (e *testEntry) relistFirst(t *testing.T, rounds int) {
	t.Helper()
	listed := e.handler.View()
	without := *listed
	without.Servers = map[string][]directory.Record{"svc": listed.Servers["svc"][1:]}
	for range rounds {
		for range 4 {
			_, _, _ = e.send(t, nil)
		}
		e.handler.Update(&without)
		e.handler.Update(listed)
	}
}
