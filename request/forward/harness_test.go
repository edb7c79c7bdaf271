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
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
)

// standIn is a backend server of the tests. It records what it was sent.
type standIn struct {
	*httptest.Server
	id string

	mu   sync.Mutex
	seen []*http.Request
	ran  []string
}

// answerFunc answers a request at a stand-in.
type answerFunc func(s *standIn, w http.ResponseWriter, r *http.Request)

func newStandIn(t *testing.T, id string, answer answerFunc) *standIn {
	t.Helper()
	s := &standIn{id: id}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A server notices that its caller left only once it has read the request.
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.mu.Lock()
		s.seen = append(s.seen, r)
		s.mu.Unlock()
		if want := r.Header.Get(platform.HeaderExpectServer); want != s.id {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		answer(s, w, r)
	}))
	t.Cleanup(s.Close)
	return s
}

// run records that the server ran a request and begins a signed answer.
func (s *standIn) run(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.ran = append(s.ran, r.Header.Get("Request-Id"))
	s.mu.Unlock()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Signature", "signed-by-"+s.id)
}

func (s *standIn) runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ran)
}

// plain answers with the request's body.
func plain(s *standIn, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.run(w, r)
	_, _ = fmt.Fprintf(w, "%s from %s", body, s.id)
}

// full refuses without running.
func full(_ *standIn, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// crash runs the request and closes the connection without an answer.
func crash(s *standIn, w http.ResponseWriter, r *http.Request) {
	s.run(w, r)
	panic(http.ErrAbortHandler)
}

// mute runs the request and never answers.
func mute(s *standIn, w http.ResponseWriter, r *http.Request) {
	s.run(w, r)
	<-r.Context().Done()
}

// events sends events from the last one that the caller has up to last, then
// breaks off after cut events, if that is above 0.
func events(last, cut int) answerFunc {
	return func(s *standIn, w http.ResponseWriter, r *http.Request) {
		s.run(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		for id := from + 1; id <= last; id++ {
			if cut > 0 && id > cut {
				_, _ = fmt.Fprintf(w, "id: %d\nda", id)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", id, id)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// wholeStream is what a caller must get of a stream with so many events.
func wholeStream(last int) string {
	var b strings.Builder
	for id := 1; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", id, id)
	}
	return b.String()
}

// entry is an entry of the tests before stand-ins of one service.
type entry struct {
	*httptest.Server
	handler *Handler
	ids     atomic.Int64
}

const testKey = "key-of-an-account"

func newEntry(t *testing.T, config *deployment.Config, standIns ...*standIn) *entry {
	t.Helper()
	if err := config.Validate(); err != nil {
		t.Fatal(err)
	}
	view := &feed.View{Config: config, Entries: 1, Servers: map[string][]directory.Entry{}}
	for _, s := range standIns {
		view.Servers["svc"] = append(view.Servers["svc"], directory.Entry{Server: directory.Server{
			ID: s.id, Service: "svc", Address: s.Listener.Addr().String(), Slots: 8, State: directory.Ready, Born: 1,
		}})
	}
	client := backend.New(backend.Config{Scope: tally.NoopScope})
	h := New(Config{
		RetryShare: 0.2, RetryAllowance: 100, RetryWindow: 10 * time.Second, VersionWithin: 8 * time.Second,
	}, func() *feed.View { return view }, client, clockwork.NewRealClock(), slog.New(slog.DiscardHandler), tally.NoopScope)
	h.Update(view)
	e := &entry{handler: h}
	e.Server = httptest.NewServer(h)
	t.Cleanup(e.Close)
	return e
}

// route returns a configuration with one route of a kind.
func route(kind deployment.Repeatability, timeout time.Duration) *deployment.Config {
	return &deployment.Config{
		Version: 1,
		Routes: []deployment.Route{{
			Name: "r", Host: "h.example", Prefix: "/p/", Kind: kind, Resumable: kind == deployment.Stream,
			Timeout: timeout, Aim: 400 * time.Millisecond, MaxServers: 2,
			Shares: []deployment.Share{{Service: "svc", Weight: 1}},
		}},
		Services: map[string]*deployment.Service{"svc": {Name: "svc"}},
		Accounts: []deployment.Account{{Name: "acc", Keys: []string{testKey}}},
	}
}

// ask sends a request to the entry and returns status, body and read error.
func (e *entry) ask(t *testing.T, change func(r *http.Request)) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.URL+"/p/x?q=1", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("Request-Id", fmt.Sprintf("id-%d", e.ids.Add(1)))
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("Deadline-Ms", "5000")
	if change != nil {
		change(r)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// total sums the runs at stand-ins.
func total(standIns ...*standIn) int {
	n := 0
	for _, s := range standIns {
		n += s.runs()
	}
	return n
}
