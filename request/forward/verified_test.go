package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
)

// An engine's heartbeat names a version as soon as it is loaded, from whichever pieces were
// staged then. Requests must wait until the agent has read the pieces back.
func TestServerGetsRequestsOnlyOnceItsWeightsAreVerified(t *testing.T) {
	s := newFakeServer(t, "s1", echo)
	config := testConfig(deployment.Repeatable, testTimeout)
	config.Services["svc"].Engine = &deployment.Engine{Models: []string{"m"}, Slots: 8, ReadPerSecond: 1000, Step: time.Millisecond, Pieces: 64}
	e := newTestEntry(t, config)
	table := directory.NewTable()
	heartbeat := func(born int64, seq uint64, version int) {
		report := directory.Server{
			ID: "s1", Service: "svc", Address: s.Listener.Addr().String(), Slots: 8, State: directory.Ready, Born: born, Seq: seq,
			Engine: true, Held: []directory.ModelVersion{{Model: "m", Version: version}},
		}
		table.EndVerifications(report)
		table.Update(report, 0)
	}
	verify := func(born int64, version int, checked int64) {
		table.Verify(directory.Verification{Address: s.Listener.Addr().String(), Born: born, Model: "m", Version: version, Checked: checked}, 0)
	}
	for _, step := range []struct {
		name string
		do   func()
		want int
	}{
		{"heartbeat names a version", func() { heartbeat(1, 1, 1) }, http.StatusServiceUnavailable},
		{"verified", func() { verify(1, 1, 1) }, http.StatusOK},
		{"heartbeat names the next version", func() { heartbeat(1, 2, 2) }, http.StatusServiceUnavailable},
		{"the earlier version is verified again", func() { verify(1, 1, 2) }, http.StatusServiceUnavailable},
		{"the next version is verified", func() { verify(1, 2, 3) }, http.StatusOK},
		{"restarted with the same ID", func() { heartbeat(2, 1, 2) }, http.StatusServiceUnavailable},
		{"late verification of the earlier incarnation", func() { verify(1, 2, 4) }, http.StatusServiceUnavailable},
		{"the incarnation is verified", func() { verify(2, 2, 5) }, http.StatusOK},
	} {
		step.do()
		view := *e.handler.View()
		view.Servers = map[string][]directory.Record{"svc": {table.Snapshot(table.Get("s1"))}}
		e.handler.Update(&view)
		before := s.receivedCount()
		resp, body, err := e.send(t, func(r *http.Request) { r.Header.Set("Deadline-Ms", "300") })
		if err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		received := s.receivedCount() - before
		if resp.StatusCode != step.want || (received > 0) != (step.want == http.StatusOK) {
			t.Errorf("%s: status %d (%s), the server got %d requests; want status %d", step.name, resp.StatusCode, body, received, step.want)
		}
	}
}

// An engine may accept the order to load the next version seconds after its agent has sent
// it, and hold it before any entry learns that.
func TestRequestNamesTheVersionThatWasVerified(t *testing.T) {
	held := "2"
	s := newFakeServer(t, "s1", func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderExpectVersion) != held {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		echo(s, w, r)
	})
	config := testConfig(deployment.Repeatable, testTimeout)
	config.Services["svc"].Engine = &deployment.Engine{Models: []string{"m"}, Slots: 8, ReadPerSecond: 1000, Step: time.Millisecond, Pieces: 64}
	config.Routes[0].Generation = true
	e := newTestEntry(t, config)
	view := *e.handler.View()
	view.Servers = map[string][]directory.Record{"svc": {{
		Server:   directory.Server{ID: "s1", Service: "svc", Address: s.Listener.Addr().String(), Slots: 8, State: directory.Ready, Engine: true, Held: []directory.ModelVersion{{Model: "m", Version: 2}}},
		Verified: []directory.Verification{{Model: "m", Version: 2}},
	}}}
	e.handler.Update(&view)
	for _, c := range []struct {
		held string
		want int
	}{{"2", http.StatusOK}, {"3", http.StatusServiceUnavailable}} {
		held = c.held
		resp, body, err := e.send(t, func(r *http.Request) {
			r.Header.Set("Deadline-Ms", "300")
			r.Header.Set(platform.HeaderModel, "m")
		})
		if err != nil || resp.StatusCode != c.want {
			t.Errorf("the server holds version %s: status %v (%s), %v; want %d", c.held, resp.StatusCode, body, err, c.want)
		}
	}
}

func TestAllHeldWeightsMustBeVerified(t *testing.T) {
	clock := clockwork.NewFakeClock()
	sc := newScheduler(Config{OldVersionGrace: 8 * time.Second}, clock, boottime.NewFake(clock))
	weights := func(m, n int) []directory.ModelVersion {
		return []directory.ModelVersion{{Model: "m", Version: m}, {Model: "n", Version: n}}
	}
	for name, c := range map[string]struct {
		pieces         int
		held, verified []directory.ModelVersion
		want           bool
	}{
		"none verified":             {64, weights(2, 3), nil, false},
		"both verified":             {64, weights(2, 3), weights(2, 3), true},
		"one of two":                {64, weights(2, 3), weights(2, 0)[:1], false},
		"older version verified":    {64, weights(2, 3), weights(2, 2), false},
		"report older than that":    {64, weights(1, 3), weights(2, 3), true},
		"one not held":              {64, weights(2, 0), weights(2, 3), false},
		"no pieces, none verified":  {0, weights(2, 3), nil, true},
		"no pieces, other verified": {0, weights(2, 3), weights(1, 1), true},
	} {
		var verified []directory.Verification
		for _, w := range c.verified {
			verified = append(verified, directory.Verification{Model: w.Model, Version: w.Version})
		}
		service := &deployment.Service{Name: "s", Engine: &deployment.Engine{Slots: 8, Models: []string{"m", "n"}, Pieces: c.pieces}}
		sc.view = &feed.View{Servers: map[string][]directory.Record{"s": {{
			Server: directory.Server{ID: "a", State: directory.Ready, Held: c.held}, Verified: verified,
		}}}}
		if got := sc.poolServers(service, clock.Now()); len(got) != 1 || got[0].Usable != c.want {
			t.Errorf("%s: %+v, want usable %v", name, got, c.want)
		}
	}
}

// An engine restarts under its ID, its heartbeats are late, and its agent reports that it loads.
func TestServerThatRestartedAndLoadsGetsNoRequests(t *testing.T) {
	s := newFakeServer(t, "s1", echo)
	config := testConfig(deployment.Repeatable, testTimeout)
	config.Services["svc"].Engine = &deployment.Engine{Models: []string{"m"}, Slots: 8, ReadPerSecond: 1000, Step: time.Millisecond, Pieces: 64}
	e := newTestEntry(t, config)
	table := directory.NewTable()
	address := s.Listener.Addr().String()
	held := []directory.ModelVersion{{Model: "m", Version: 3}}
	table.Update(directory.Server{ID: "s1", Service: "svc", Address: address, Slots: 8, State: directory.Ready, Born: 1, Seq: 1, Engine: true, Held: held}, 0)
	table.Verify(directory.Verification{Address: address, Born: 1, Model: "m", Version: 3, Checked: 1}, 0)
	table.Verify(directory.Verification{Address: address, Born: 2, Model: "m", Version: 3, Checked: 2, Ended: true}, 0)
	table.UpdateEngine(address, 2, true, nil, 0)
	view := *e.handler.View()
	view.Servers = map[string][]directory.Record{"svc": {table.Snapshot(table.Get("s1"))}}
	e.handler.Update(&view)
	before := s.receivedCount()
	resp, _, err := e.send(t, func(r *http.Request) { r.Header.Set("Deadline-Ms", "300") })
	if err != nil {
		t.Fatal(err)
	}
	if n := s.receivedCount() - before; n > 0 {
		t.Errorf("status %d, the server got %d requests", resp.StatusCode, n)
	}
}
