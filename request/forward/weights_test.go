package forward

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
)

// weightsEntry returns an entry whose servers are listed with version 3 of a model. Its
// requests go to the first server until that is excluded.
func weightsEntry(t *testing.T, kind deployment.Repeatability, fakes ...*fakeServer) (*testEntry, *syncBuffer, tally.TestScope) {
	t.Helper()
	config := testConfig(kind, testTimeout)
	config.Routes[0].Generation = true
	config.Services["svc"].Engine = &deployment.Engine{Models: []string{"m"}, Slots: 8, ReadPerSecond: 1000, Step: time.Millisecond}
	e := newTestEntry(t, config, fakes...)
	for i := range fakes {
		record := &e.handler.View().Servers["svc"][i]
		record.Born, record.Held = int64(1764895600100+i), []directory.ModelVersion{{Model: "m", Version: 3}}
	}
	logged, scope := e.observe()
	return e, logged, scope
}

// withVersion lets a server name a version of weights in the header of its response.
func withVersion(version string, respond respondFunc) respondFunc {
	return func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.HeaderWeightsVersion, version)
		respond(s, w, r)
	}
}

// changeVersion streams five events of which some name a version.
func changeVersion(changes map[int]int) respondFunc {
	return func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		s.startResponse(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		for id := 1; id <= 5; id++ {
			if version := changes[id]; version != 0 {
				_, _ = fmt.Fprintf(w, "%s: %d\n", platform.FieldWeightsVersion, version)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", id, id)
		}
	}
}

func TestLineOfARequestNamesIncarnationAndWeightsOfItsServer(t *testing.T) {
	for name, c := range map[string]struct {
		kind    deployment.Repeatability
		respond respondFunc
		want    string
		// wantUnexpected is the number of requests that are counted as run on another version
		// than expected.
		wantUnexpected int64
	}{
		"stream": {
			deployment.Stream, withVersion("3", streamEvents(5, 0)),
			`msg="request served" id=id-1 |attempts="[{Server:s1 Born:1764895600100 Expected:3 Answered:3 Events:5}]"`, 0,
		},
		"plain": {
			deployment.Repeatable, withVersion("3", echo),
			`msg="request served" id=id-1 |attempts="[{Server:s1 Born:1764895600100 Expected:3 Answered:3 Events:0}]"`, 0,
		},
		"newer version than expected": {
			deployment.Stream, withVersion("4", streamEvents(5, 0)),
			`msg="request served" id=id-1 |attempts="[{Server:s1 Born:1764895600100 Expected:3 Answered:4 Events:5}]"`, 1,
		},
		"version changes within the stream": {
			deployment.Stream, withVersion("3", changeVersion(map[int]int{2: 4, 4: 5})),
			`msg="request served" id=id-1 |attempts="[{Server:s1 Born:1764895600100 Expected:3 Answered:3,4@2,5@4 Events:5}]"`, 1,
		},
		"version named by an event alone": {
			deployment.Stream, changeVersion(map[int]int{1: 3}),
			`msg="request served" id=id-1 |attempts="[{Server:s1 Born:1764895600100 Expected:3 Answered:3@1 Events:5}]"`, 0,
		},
		"no version": {
			deployment.Stream, streamEvents(5, 0),
			`msg="request served" id=id-1 |attempts="[{Server:s1 Born:1764895600100 Expected:3 Answered:none Events:5}]"`, 0,
		},
		"header that is no version": {
			deployment.Stream, withVersion("3} {Server:x", streamEvents(5, 0)),
			`msg="request served" id=id-1 |attempts="[{Server:s1 Born:1764895600100 Expected:3 Answered:none Events:5}]"`, 0,
		},
		"failed": {
			deployment.Unrepeatable, withVersion("3", respondWith(http.StatusInternalServerError, "text/plain", "x")),
			`msg="request failed" id=id-1 |attempts="[{Server:s1 Born:1764895600100 Expected:3 Answered:3 Events:0}]"|code=3008`, 0,
		},
		"broken off": {
			deployment.Stream, withVersion("4", streamEvents(5, 2)),
			`msg="request failed" id=id-1 |attempts="[{Server:s1 Born:1764895600100 Expected:3 Answered:4 Events:2}]"|code=3009`, 1,
		},
		"refused with another version": {
			deployment.Unrepeatable, withVersion("4", refuseBusy),
			`msg="request failed" id=id-1 |attempts="[{Server:s1 Born:1764895600100 Expected:3 Answered:4 Events:0}]"|code=3004`, 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			e, logged, scope := weightsEntry(t, c.kind, newFakeServer(t, "s1", c.respond))
			_, _, _ = e.send(t, nil)
			requireLine(t, logged, c.want)
			if n := scope.Snapshot().Counters()["requests.weights_unexpected+"].Value(); n != c.wantUnexpected {
				t.Errorf("%d requests counted as run on another version, want %d", n, c.wantUnexpected)
			}
		})
	}
}

// requireLine waits for a line that contains all parts, which are separated by bars.
func requireLine(t *testing.T, logged *syncBuffer, parts string) {
	t.Helper()
	for range 200 {
		for line := range strings.Lines(logged.String()) {
			found := true
			for _, p := range strings.Split(parts, "|") {
				found = found && strings.Contains(line, p)
			}
			if found {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("no line with %q in\n%s", parts, logged)
}

// The events of a resumed stream come from several servers: the caller's first ones from the
// first server.
func TestLineOfAResumedStreamNamesEachServerWithItsEvents(t *testing.T) {
	s1 := newFakeServer(t, "s1", withVersion("3", resumedWith(withVersion("4", streamEvents(6, 0)))))
	s2 := newFakeServer(t, "s2", withVersion("3", resumedWith(withVersion("4", streamEvents(6, 0)))))
	e, logged, _ := weightsEntry(t, deployment.Stream, s1, s2)
	_, body, err := e.send(t, nil)
	if err != nil || body != expectedStream(6) {
		t.Fatalf("got body %q, error %v", body, err)
	}
	first, second := "s1 Born:1764895600100", "s2 Born:1764895600101"
	if s2.runCount() > 0 && strings.Contains(logged.String(), "servers=\"[s2 s1]\"") {
		first, second = second, first
	}
	requireLine(t, logged, `msg="request served" id=id-1 |attempts="[{Server:`+first+` Expected:3 Answered:3 Events:3} {Server:`+second+` Expected:3 Answered:4 Events:3}]"`)
}

// The agent's verification may reach the entry before a heartbeat with the version.
func TestLineOfARequestNamesTheVerifiedVersion(t *testing.T) {
	e, logged, scope := weightsEntry(t, deployment.Stream, newFakeServer(t, "s1", withVersion("4", streamEvents(5, 0))))
	view := *e.handler.View()
	view.Servers["svc"][0].Verified = []directory.Verification{{Model: "m", Version: 4}}
	e.handler.Update(&view)
	_, _, _ = e.send(t, func(r *http.Request) { r.Header.Set(platform.HeaderModel, "m") })
	requireLine(t, logged, `msg="request served" id=id-1 |attempts="[{Server:s1 Born:1764895600100 Expected:4 Answered:4 Events:5}]"`)
	if n := scope.Snapshot().Counters()["requests.weights_unexpected+"].Value(); n != 0 {
		t.Errorf("%d requests counted as run on another version", n)
	}
}

func TestLineOfARequestWithoutWeightsNamesNoVersions(t *testing.T) {
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), newFakeServer(t, "s1", echo))
	logged, _ := e.observe()
	_, _, _ = e.send(t, nil)
	requireLine(t, logged, `msg="request served" id=id-1 |servers=[s1]`)
	if strings.Contains(logged.String(), "attempts=") {
		t.Errorf("logged %s", logged)
	}
}

func TestLineOfARequestHasABoundedNumberOfVersions(t *testing.T) {
	var trace versionTrace
	trace.recordHeader("1")
	for id := range 100 {
		trace.recordEvent(fmt.Appendf(nil, "%s: %d\nid: %d\ndata: x\n\n", platform.FieldWeightsVersion, id+2, id+1), int64(id+1))
	}
	if want := "1,2@1,3@2,4@3,5@4,6@5,7@6,8@7"; trace.text != want {
		t.Errorf("got %q, want %q", trace.text, want)
	}
}

// BenchmarkLogRequest measures the line of a request that one server answered.
func BenchmarkLogRequest(b *testing.B) {
	h := New(Config{}, nil, clockwork.NewRealClock(), boottime.System(), slog.New(slog.NewTextHandler(io.Discard, nil)), tally.NoopScope)
	cr := &callerRequest{id: "9c41d07be2a35f68", start: time.Now(), service: "svc", triedServers: []string{"i-56708a44"}, eventsSent: 94}
	cr.tried = []triedServer{{Server: "i-56708a44", Born: 1764895600100, Expected: 3, Answered: "3", Events: 94}}
	for b.Loop() {
		h.logRequest(cr, http.StatusOK, nil)
	}
}
