package api_test

import (
	"bytes"
	"context"
	"encoding/json"
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

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/connection/session"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/api"
	"github.com/waxwingpost/waxwingpost/request/once"
	"github.com/waxwingpost/waxwingpost/request/runner"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

// testConfig is the fleet's configuration of these tests.
func testConfig() *config.Config {
	return &config.Config{
		Versions: map[string]config.Version{"v1": {Model: "letters"}},
		Services: map[string]config.Service{
			"drafting": {Kind: config.ServiceEngine, Version: "v1"},
			"desk": {Kind: config.ServicePlain, Routes: []config.Route{
				{Method: "POST", Path: "/filings"},
				{Method: "GET", Path: "/status", Repeatable: true},
				{Method: "GET", Path: "/receipts"},
			}},
		},
		Accounts:   map[string]config.Account{"kochi": {Share: 1}, "thrissur": {Share: 1}},
		Priorities: map[string]int{"compliance": 10, "guidance": 0},
		Requests:   config.Requests{DefaultDeadline: 10 * time.Second},
	}
}

// step names a point in the course of a call at which a test interferes.
type step string

const (
	beforeReserve  step = "before reserve"
	afterReserve   step = "after reserve"
	beforeDispatch step = "before dispatch"
	afterDispatch  step = "after dispatch"
	beforeRecord   step = "before record"
	afterRecord    step = "after record"
)

var steps = []step{beforeReserve, afterReserve, beforeDispatch, afterDispatch, beforeRecord, afterRecord}

// testEntry is an entry with its faults.
type testEntry struct {
	name   string
	api    *api.API
	table  *session.Table
	server *httptest.Server
	cfg    *config.Config
	ledger *ledger
	cut    atomic.Bool
	// stale makes the local copy of the control state know no calls.
	stale atomic.Bool
	dead  atomic.Bool
	// hook is called at each step.
	hook atomic.Pointer[func(step)]
	rt   http.RoundTripper
	stop chan struct{}
}

var errDead = result.New(result.NoQuorum, "the process is dead")

func (e *testEntry) at(s step) {
	if h := e.hook.Load(); h != nil {
		(*h)(s)
	}
}

// Propose implements control.Store.
func (e *testEntry) Propose(ctx context.Context, cmd control.Command) (control.Result, error) {
	before, after := beforeRecord, afterRecord
	if cmd.Reserve != nil {
		before, after = beforeReserve, afterReserve
	}
	e.at(before)
	e.halt()
	if e.cut.Load() {
		// Nothing comes back over a cut network.
		<-ctx.Done()
		return control.Result{}, errDead
	}
	if e.dead.Load() {
		return control.Result{}, errDead
	}
	res := e.ledger.apply(cmd)
	e.at(after)
	e.halt()
	if e.dead.Load() {
		return control.Result{}, errDead
	}
	return res, nil
}

func (e *testEntry) call(account, key string) (control.Call, bool) {
	if e.stale.Load() {
		return control.Call{}, false
	}
	return e.ledger.call(account, key)
}

func (e *testEntry) Barrier(context.Context) error { return nil }
func (e *testEntry) InQuorum() bool                { return !e.cut.Load() }
func (e *testEntry) IsLeader() bool                { return false }

// RoundTrip implements http.RoundTripper towards agents.
func (e *testEntry) RoundTrip(r *http.Request) (*http.Response, error) {
	isDispatch := strings.HasPrefix(r.URL.Path, wire.PathDispatch)
	if isDispatch {
		e.at(beforeDispatch)
	}
	e.halt()
	if e.dead.Load() {
		return nil, errDead
	}
	resp, err := e.rt.RoundTrip(r)
	if isDispatch {
		e.at(afterDispatch)
	}
	e.halt()
	if e.dead.Load() {
		if err == nil {
			_ = resp.Body.Close()
		}
		return nil, errDead
	}
	return resp, err
}

// halt holds a dead process where it is until the test ends.
func (e *testEntry) halt() {
	if e.dead.Load() {
		<-e.stop
	}
}

// kill makes the entry act as if it was killed: nothing leaves it any more.
func (e *testEntry) kill() {
	e.dead.Store(true)
	go e.server.CloseClientConnections()
}

// testAgent is an agent beside a backend server.
type testAgent struct {
	name    string
	service string
	version string
	slots   int
	runner  *runner.Runner
	leases  *session.Leases
	hello   wire.Hello
	backend *httptest.Server
	server  *httptest.Server
	// frozen makes the agent take requests and not act on them.
	mu       sync.Mutex
	thaw     chan struct{}
	seq      uint64
	silent   atomic.Bool
	leaveNow atomic.Bool
}

// gate lets one version through.
type gate string

func (g gate) Enter(version string) (func(), error) {
	if version != string(g) {
		return nil, result.Refuse(result.VersionMismatch, 0, "%s is served", string(g))
	}
	return func() {}, nil
}

// cancels records what the engine was told to cancel.
type cancels struct {
	engine.Driver
	mu  sync.Mutex
	ids []string
}

func (c *cancels) Cancel(_ context.Context, id string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids = append(c.ids, id)
	return nil
}

func (c *cancels) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ids)
}

// fleet is entries and agents in one process.
type fleet struct {
	t       *testing.T
	ledger  *ledger
	entries []*testEntry
	agents  []*testAgent
	session session.Config
	once    once.Config
	stop    chan struct{}
}

const beat = 10 * time.Millisecond

func newFleet(t *testing.T, entries int) *fleet {
	t.Helper()
	return newFleetWith(t, entries, func(*fleet) {})
}

func newFleetWith(t *testing.T, entries int, set func(*fleet)) *fleet {
	t.Helper()
	f := &fleet{
		t: t, ledger: newLedger(), stop: make(chan struct{}),
		session: session.Config{HeartbeatInterval: beat, MissedHeartbeats: 20, LeaseTTL: 250 * time.Millisecond},
		once: once.Config{
			AskTimeout: 200 * time.Millisecond, AskWindow: 300 * time.Millisecond,
			ResendGrace: 20 * time.Millisecond, ResendWait: 500 * time.Millisecond,
		},
	}
	set(f)
	for i := range entries {
		f.addEntry(fmt.Sprintf("entry-%d", i+1))
	}
	t.Cleanup(f.close)
	return f
}

func (f *fleet) addEntry(name string) {
	clock := clockwork.NewRealClock()
	e := &testEntry{
		name: name, cfg: testConfig(), ledger: f.ledger, stop: f.stop, rt: stream.NewTransport(),
		table: session.New(f.session, clock, nil),
	}
	e.api = api.New(api.Deps{
		Settings: api.Config{Once: f.once},
		Config:   func() (*config.Config, uint64) { return e.cfg, 1 },
		Sessions: e.table, Store: e, Calls: e.call, Transport: e, Clock: clock,
		Self: wire.Hello{Name: name, Incarnation: name + "-inc", Zone: "z1", Region: "r1"},
		Rand: rand.New(rand.NewPCG(1, 1)),
	})
	e.server = httptest.NewServer(e.api)
	f.entries = append(f.entries, e)
}

// addAgent starts an agent beside a backend server.
func (f *fleet) addAgent(name, service, version string, slots int, backend http.Handler) *testAgent {
	a := &testAgent{name: name, service: service, version: version, slots: slots}
	a.backend = httptest.NewServer(backend)
	a.server = httptest.NewServer(http.HandlerFunc(a.serve))
	f.agents = append(f.agents, a)
	f.startAgent(a, "1", nil)
	go f.beats(a)
	return a
}

// startAgent starts an incarnation of the agent.
func (f *fleet) startAgent(a *testAgent, incarnation string, driver engine.Driver) {
	clock := clockwork.NewRealClock()
	a.mu.Lock()
	defer a.mu.Unlock()
	zone := "z1"
	if strings.HasPrefix(a.name, "far-") {
		zone = "z2"
	}
	a.hello = wire.Hello{
		Name: a.name, Incarnation: a.name + "-" + incarnation, Zone: zone, Region: "r1",
		Address: strings.TrimPrefix(a.server.URL, "http://"), Service: a.service,
	}
	a.leases = session.NewLeases(f.session, clock, rand.New(rand.NewPCG(2, 2)))
	a.runner = runner.New(runner.Config{Agent: a.hello, Backend: strings.TrimPrefix(a.backend.URL, "http://")}, runner.Deps{
		Leases: a.leases, Gate: gate(a.version), Driver: driver, Clock: clock,
	})
	for _, e := range f.entries {
		e.table.Leave(a.name, a.name+"-0")
		if err := e.table.Open(a.hello); err != nil {
			e.table.Leave(a.name, strings.TrimSuffix(a.hello.Incarnation, incarnation)+previous(incarnation))
			_ = e.table.Open(a.hello)
		}
	}
	a.beatLocked(f)
}

func previous(incarnation string) string { return string(incarnation[0] - 1) }

func (f *fleet) beats(a *testAgent) {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
			if !a.silent.Load() {
				a.mu.Lock()
				a.beatLocked(f)
				a.mu.Unlock()
			}
		}
	}
}

func (a *testAgent) beatLocked(f *fleet) {
	a.seq++
	status := wire.AgentStatus{
		Service: a.service, Serving: a.version, InFlight: a.runner.InFlight(), Seq: a.seq,
		Engine: engine.Report{Slots: a.slots}, Draining: a.leaveNow.Load(),
	}
	hb := wire.Heartbeat{Seq: a.seq, Token: a.leases.Issue(), Status: status}
	for _, e := range f.entries {
		e.table.Heartbeat(a.name, a.hello.Incarnation, hb)
	}
}

func (a *testAgent) serve(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	thaw := a.thaw
	a.mu.Unlock()
	if thaw != nil {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		<-thaw
	}
	a.mu.Lock()
	serve := a.runner
	a.mu.Unlock()
	serve.ServeHTTP(w, r)
}

// freeze makes the agent act as if it was stopped; thawing lets it go on with
// what it has in hand.
func (a *testAgent) freeze() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.thaw = make(chan struct{})
	a.silent.Store(true)
}

func (a *testAgent) unfreeze() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.thaw)
	a.thaw = nil
	a.silent.Store(false)
}

func (f *fleet) close() {
	close(f.stop)
	for _, e := range f.entries {
		e.server.CloseClientConnections()
		e.server.Close()
	}
	for _, a := range f.agents {
		a.mu.Lock()
		if a.thaw != nil {
			close(a.thaw)
			a.thaw = nil
		}
		a.mu.Unlock()
		a.server.CloseClientConnections()
		a.server.Close()
		a.backend.CloseClientConnections()
		a.backend.Close()
	}
}

// reply is what a caller learned.
type reply struct {
	status int
	code   result.Code
	ran    string
	retry  string
	body   string
	header http.Header
	err    error
}

func (r reply) notRun() bool { return r.err == nil && r.ran == result.NotRun.String() }

var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// send makes one caller's request. It never repeats it by itself.
func (e *testEntry) send(ctx context.Context, method, path, body string, header ...string) reply {
	req, err := http.NewRequestWithContext(ctx, method, e.server.URL+path, onlyReader{strings.NewReader(body)})
	if err != nil {
		return reply{err: err}
	}
	req.ContentLength = int64(len(body))
	if body == "" {
		req.Body = http.NoBody
	}
	req.Header.Set(wire.HeaderAccount, "kochi")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := callers.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	out := reply{status: resp.StatusCode, ran: resp.Header.Get(wire.HeaderRan), body: string(text), header: resp.Header, err: err}
	out.retry = resp.Header.Get(wire.HeaderRetryAfter)
	_, _ = fmt.Sscan(resp.Header.Get(wire.HeaderCode), &out.code)
	return out
}

type onlyReader struct{ io.Reader }

// filings is a plain service that counts the runs of each body.
type filings struct {
	mu   sync.Mutex
	runs map[string]int
	// before is called within a run before it is answered.
	before func(body string)
	abort  atomic.Bool
}

func newFilings() *filings { return &filings{runs: make(map[string]int)} }

func (s *filings) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	body := string(raw) + r.URL.RawQuery
	s.mu.Lock()
	s.runs[body]++
	run := s.runs[body]
	before := s.before
	s.mu.Unlock()
	if before != nil {
		before(body)
	}
	if s.abort.Load() {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "receipt for %s run %d", body, run)
}

func (s *filings) count(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// chatBody is a completion request.
func chatBody(prompt string, streamed bool) string {
	raw, _ := json.Marshal(map[string]any{
		"model": "letters", "stream": streamed,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return string(raw)
}

func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("awaited in vain: %s", what)
}
