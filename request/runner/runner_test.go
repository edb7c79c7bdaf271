package runner

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/session"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/atmostonce"
)

// plainServiceGate admits requests without a version only.
type plainServiceGate struct{}

func (plainServiceGate) Admit(version string) (func(), error) {
	if version != "" {
		return nil, result.New(result.VersionMismatch, "no version is served")
	}
	return func() {}, nil
}

// testRunner is a Runner with an HTTP server and a backend that counts its
// runs.
type testRunner struct {
	runner *Runner
	leases *session.Leases
	runs   atomic.Int64
	server *httptest.Server
}

func newTestRunner(t *testing.T, cfg Config) *testRunner {
	t.Helper()
	r := &testRunner{}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		n := r.runs.Add(1)
		time.Sleep(5 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "%s run %d", body, n)
	}))
	clock := clockwork.NewRealClock()
	r.leases = session.NewLeases(session.Config{}, clock, rand.New(rand.NewPCG(1, 1)))
	cfg.Agent = wire.Hello{Name: "a1", Incarnation: "i1"}
	cfg.Backend = strings.TrimPrefix(backend.URL, "http://")
	r.runner = New(cfg, Deps{Leases: r.leases, Gate: plainServiceGate{}, Clock: clock})
	r.server = httptest.NewServer(r.runner)
	t.Cleanup(func() { r.server.Close(); backend.Close() })
	return r
}

func (r *testRunner) dispatch(t *testing.T, setHeaders func(h http.Header)) (status int, ran, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, r.server.URL+wire.PathDispatch+"/filings", strings.NewReader("letter"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(wire.HeaderToken, r.leases.Issue())
	req.Header.Set(wire.HeaderIncarnation, "i1")
	req.Header.Set(wire.HeaderAccount, "kochi")
	req.Header.Set(wire.HeaderIdempotencyKey, "k1")
	if setHeaders != nil {
		setHeaders(req.Header)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get(wire.HeaderRan), string(text)
}

func withAttempt(n string) func(http.Header) {
	return func(h http.Header) { h.Set(wire.HeaderAttempt, n) }
}

func TestConcurrentCopiesOfADispatchRunOnce(t *testing.T) {
	r := newTestRunner(t, Config{})
	var group sync.WaitGroup
	var answered atomic.Int64
	for range 20 {
		group.Go(func() {
			status, ran, body := r.dispatch(t, withAttempt("1"))
			if status == 200 {
				answered.Add(1)
			} else if ran == result.NotRun.String() {
				t.Errorf("a copy of a running call was reported as not run: %s", body)
			}
		})
	}
	group.Wait()
	if r.runs.Load() != 1 || answered.Load() != 1 {
		t.Errorf("%d runs and %d successful responses, want 1 of each", r.runs.Load(), answered.Load())
	}
	if status, _, _ := r.dispatch(t, withAttempt("2")); status == 200 || r.runs.Load() != 1 {
		t.Errorf("another attempt of a call that ran: status %d, %d runs", status, r.runs.Load())
	}
}

func TestRefusedAttemptIsTombstoned(t *testing.T) {
	r := newTestRunner(t, Config{})
	refused := func(h http.Header) { withAttempt("1")(h); h.Set(wire.HeaderToken, "old") }
	if _, ran, _ := r.dispatch(t, refused); ran != result.NotRun.String() {
		t.Errorf("stale token: %q", ran)
	}
	if _, ran, _ := r.dispatch(t, withAttempt("1")); ran != result.NotRun.String() || r.runs.Load() != 0 {
		t.Errorf("later copy of the dispatch: %q, %d runs", ran, r.runs.Load())
	}
}

func TestRefusalsAreReportedAsNotRun(t *testing.T) {
	r := newTestRunner(t, Config{})
	for name, setHeaders := range map[string]func(http.Header){
		"incarnation": func(h http.Header) { h.Set(wire.HeaderIncarnation, "i0") },
		"no token":    func(h http.Header) { h.Del(wire.HeaderToken) },
		"version":     func(h http.Header) { h.Set(wire.HeaderVersion, "v9") },
	} {
		if status, ran, _ := r.dispatch(t, setHeaders); status == 200 || ran != result.NotRun.String() {
			t.Errorf("%s: status %d, ran %q", name, status, ran)
		}
	}
	if r.runs.Load() != 0 {
		t.Errorf("the backend ran %d requests", r.runs.Load())
	}
}

func TestFullTableRefusesUntilRetentionEnds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := atmostonce.NewTable(atmostonce.TableConfig{MaxRecords: 2, MaxKeptBytes: 10, Retention: time.Hour}, clock)
	for _, key := range []string{"a", "b"} {
		if _, err := table.Tombstone(atmostonce.ID{Key: key, Attempt: 1}); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := table.Begin(atmostonce.ID{Key: "c", Attempt: 1}); result.CodeOf(err) != result.QueueFull {
		t.Errorf("full table: %v", err)
	}
	clock.Advance(2 * time.Hour)
	if run, _, err := table.Begin(atmostonce.ID{Key: "c", Attempt: 1}); err != nil || run == nil {
		t.Errorf("after the retention period: %v", err)
	}
}
