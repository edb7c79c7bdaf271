package api_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/httphead/httpheadtest"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// concurrencyCounter is a service that tracks its concurrent requests.
type concurrencyCounter struct {
	running, peak, runs atomic.Int64
	hold                time.Duration
}

func (c *concurrencyCounter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.runs.Add(1)
	n := c.running.Add(1)
	defer c.running.Add(-1)
	for peak := c.peak.Load(); n > peak && !c.peak.CompareAndSwap(peak, n); peak = c.peak.Load() {
	}
	time.Sleep(c.hold)
	_, _ = fmt.Fprint(w, "ok")
}

// TestRequestsRefusedByFullAgentsGoToOtherAgents routes requests with the same
// prefix through three entries that don't know about each other's load. No server
// may exceed its slots.
func TestRequestsRefusedByFullAgentsGoToOtherAgents(t *testing.T) {
	const slots, servers, requests = 3, 4, 9
	f := newFleet(t, 3)
	var services []*concurrencyCounter
	for i := range servers {
		s := &concurrencyCounter{hold: 100 * time.Millisecond}
		services = append(services, s)
		a := f.addAgent(fmt.Sprintf("a%d", i), "drafting", "v1", slots, s)
		// No status report after the first: the entries don't learn of the load
		// that the others place.
		a.heartbeatsOff.Store(true)
	}
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			if got := f.entries[i%3].send(context.Background(), "POST", "/v1/chat/completions", chatBody("x", false)); got.status != 200 {
				t.Errorf("%+v", got)
			}
		})
	}
	group.Wait()
	for i, s := range services {
		if n := s.peak.Load(); n > slots {
			t.Errorf("server %d ran %d requests at once on %d slots", i, n, slots)
		}
	}
}

// TestMixedFailuresAreNotReportedAsNotRun has one server truncate its response
// after the run and the next one refuse. The request must not be reported as not
// run.
func TestMixedFailuresAreNotReportedAsNotRun(t *testing.T) {
	f := newFleet(t, 1)
	breaking := httpheadtest.RawResponse("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
	f.addAgent("a1", "desk", "", 4, breaking)
	refusing := f.addAgent("far-a2", "desk", "", 4, breaking)
	refusing.runner.StartDrain()
	// Few enough requests to stay within the retry budget.
	for range 3 {
		if got := f.entries[0].send(context.Background(), "GET", "/status", ""); got.notRun() {
			t.Fatalf("%+v", got)
		}
	}
}

func TestUnroutableRequestsAreReportedAsNotRun(t *testing.T) {
	f := newFleet(t, 1)
	f.addAgent("a1", "desk", "", 4, newCountingService())
	e := f.entries[0]
	for name, test := range map[string]struct {
		method, path, body string
		header             []string
		code               result.Code
	}{
		"account":  {"GET", "/status", "", []string{wire.HeaderAccount, "nobody"}, result.UnknownAccount},
		"path":     {"GET", "/nothing", "", nil, result.UnknownService},
		"model":    {"POST", "/v1/chat/completions", `{"model":"x"}`, nil, result.UnknownService},
		"no model": {"POST", "/v1/chat/completions", `{}`, nil, result.BadRequest},
		"no JSON":  {"POST", "/v1/chat/completions", `{`, nil, result.BadRequest},
		"priority": {"GET", "/status", "", []string{wire.HeaderPriority, "x"}, result.BadRequest},
		"deadline": {"GET", "/status", "", []string{wire.HeaderDeadlineMs, "-5"}, result.BadRequest},
		"key":      {"POST", "/filings", "", []string{wire.HeaderIdempotencyKey, strings.Repeat("k", 300)}, result.BadRequest},
		"backend":  {"POST", "/v1/chat/completions", chatBody("x", false), nil, result.NoBackend},
	} {
		got := e.send(context.Background(), test.method, test.path, test.body, test.header...)
		if got.code != test.code || !got.notRun() {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

func TestLargeBodiesAreStreamed(t *testing.T) {
	f := newFleet(t, 1)
	service := newCountingService()
	f.addAgent("a1", "desk", "", 4, service)
	f.entries[0].cfg.Services["desk"].Routes[1] = config.Route{Method: "POST", Path: "/status", Repeatable: true}
	body := strings.Repeat("x", 3<<20)
	got := f.entries[0].send(context.Background(), "POST", "/status", body)
	if got.status != 200 || service.count(body) != 1 {
		t.Errorf("status %d, %d runs", got.status, service.count(body))
	}
	if got := postFiling(f.entries[0], "k", body); got.code != result.BadRequest || !got.notRun() {
		t.Errorf("a non-repeatable call with a large body: %+v", got)
	}
}
