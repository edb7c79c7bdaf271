package api_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/httphead/httpheadtest"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// chatEngine streams numbered events. Its fields configure faults.
type chatEngine struct {
	events int
	delay  time.Duration
	// truncateAfter is the number of events after which a response is aborted. Only
	// the first remainingTruncations responses are aborted.
	truncateAfter        int
	remainingTruncations atomic.Int64
	// ignoreOffset makes it start at the first event when resumed.
	ignoreOffset bool
	// duplicate sends each event twice; skipEvent is the ID of an event that is
	// omitted; omitDone omits the final event.
	duplicate bool
	skipEvent int
	omitDone  bool
	mu        sync.Mutex
	started   int
	ended     int
	offsets   []int
}

func (e *chatEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	prompt := string(body)
	offset, _ := strconv.Atoi(r.Header.Get(wire.HeaderResumeOffset))
	e.mu.Lock()
	e.started++
	e.offsets = append(e.offsets, offset)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.ended++
		e.mu.Unlock()
	}()
	if e.ignoreOffset {
		offset = 0
	}
	w.Header().Set(wire.HeaderVersion, r.Header.Get(wire.HeaderVersion))
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	truncate := e.truncateAfter > 0 && e.remainingTruncations.Add(-1) >= 0
	for i := offset; i < e.events; i++ {
		if truncate && i-offset >= e.truncateAfter {
			panic(http.ErrAbortHandler)
		}
		if e.skipEvent > 0 && i == e.skipEvent {
			continue
		}
		for range 1 + btoi(e.duplicate) {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: {\"n\":%d,\"for\":%d}\n\n", i, i, len(prompt)); err != nil {
				return
			}
		}
		flusher.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.delay):
		}
	}
	if !e.omitDone {
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (e *chatEngine) counts() (started, ended int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started, e.ended
}

// readStream returns the event IDs, whether the final event is present and
// whether there is an error event.
func readStream(body string) (ids []int, done, failed bool) {
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		switch line := lines.Text(); {
		case strings.HasPrefix(line, "id: "):
			n, _ := strconv.Atoi(line[4:])
			ids = append(ids, n)
		case line == "data: [DONE]":
			done = true
		case line == "event: error":
			failed = true
		}
	}
	return ids, done, failed
}

func isComplete(ids []int, n int) bool {
	for i, id := range ids {
		if i != id {
			return false
		}
	}
	return len(ids) == n
}

func chat(e *testEntry, header ...string) clientResponse {
	return e.send(context.Background(), "POST", "/v1/chat/completions", chatBody("a letter", true), header...)
}

func TestStreamIsForwardedCompletely(t *testing.T) {
	f := newFleet(t, 1)
	f.addAgent("a1", "drafting", "v1", 4, &chatEngine{events: 20})
	got := chat(f.entries[0])
	ids, done, failed := readStream(got.body)
	if got.status != 200 || !isComplete(ids, 20) || !done || failed {
		t.Errorf("%+v", got)
	}
	if got.header.Get(wire.HeaderVersion) != "v1" || got.header.Get(wire.HeaderBackend) != "a1" {
		t.Errorf("unexpected headers: %v", got.header)
	}
	record, ok := f.entries[0].api.Explain(got.header.Get(wire.HeaderRequestID))
	if !ok {
		t.Errorf("no record of the request: %v", record)
	}
}

func TestStreamResumesOnAnotherEngine(t *testing.T) {
	f := newFleet(t, 1)
	var engines []*chatEngine
	for i := range 2 {
		e := &chatEngine{events: 20, truncateAfter: 7}
		e.remainingTruncations.Store(1)
		engines = append(engines, e)
		f.addAgent(fmt.Sprintf("a%d", i), "drafting", "v1", 4, e)
	}
	engines[1].remainingTruncations.Store(0)
	engines[1].truncateAfter = 0
	for range 4 {
		got := chat(f.entries[0])
		ids, done, failed := readStream(got.body)
		if !isComplete(ids, 20) || !done || failed {
			t.Errorf("event IDs %v, done=%v failed=%v", ids, done, failed)
		}
	}
	resumed := false
	for _, e := range engines {
		e.mu.Lock()
		for _, o := range e.offsets {
			resumed = resumed || o == 7
		}
		e.mu.Unlock()
	}
	if !resumed {
		t.Error("no stream was resumed at the expected offset")
	}
}

func TestStreamThatCannotBeCompletedEndsWithAnErrorEvent(t *testing.T) {
	for name, engine := range map[string]*chatEngine{
		"truncated on the only engine": {events: 20, truncateAfter: 5},
		"final event missing":          {events: 20, omitDone: true},
		"event omitted":                {events: 20, skipEvent: 9},
		"resume ignored":               {events: 20, truncateAfter: 5, ignoreOffset: true},
	} {
		t.Run(name, func(t *testing.T) {
			engine.remainingTruncations.Store(1 << 30)
			f := newFleet(t, 1)
			f.addAgent("a1", "drafting", "v1", 4, engine)
			if engine.ignoreOffset {
				f.addAgent("a2", "drafting", "v1", 4, engine)
			}
			got := chat(f.entries[0])
			ids, done, failed := readStream(got.body)
			if done || !failed || !isComplete(ids, len(ids)) {
				t.Errorf("event IDs %v, done=%v failed=%v: %+v", ids, done, failed, got)
			}
		})
	}
}

func TestDuplicateEventsAreForwardedOnce(t *testing.T) {
	f := newFleet(t, 1)
	f.addAgent("a1", "drafting", "v1", 4, &chatEngine{events: 20, duplicate: true})
	got := chat(f.entries[0])
	if ids, done, _ := readStream(got.body); !isComplete(ids, 20) || !done {
		t.Errorf("event IDs %v, done=%v", ids, done)
	}
}

func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	f := newFleet(t, 1)
	engine := &chatEngine{events: 100000, delay: time.Millisecond}
	a := f.addAgent("a1", "drafting", "v1", 4, engine)
	driver := &cancelRecorder{}
	f.startAgent(a, "2", driver)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan clientResponse, 1)
	go func() { done <- f.entries[0].send(ctx, "POST", "/v1/chat/completions", chatBody("x", true)) }()
	eventually(t, "the engine starts the request", func() bool { started, _ := engine.counts(); return started == 1 })
	cancel()
	<-done
	eventually(t, "the engine ends the request", func() bool { _, ended := engine.counts(); return ended == 1 })
	eventually(t, "the engine received the cancellation", func() bool { return driver.count() == 1 })
}

func TestSlowReaderAppliesBackpressure(t *testing.T) {
	f := newFleet(t, 1)
	engine := &floodEngine{}
	f.addAgent("a1", "drafting", "v1", 4, engine)
	req, _ := http.NewRequest(http.MethodPost, f.entries[0].server.URL+"/v1/chat/completions", strings.NewReader(chatBody("x", true)))
	req.Header.Set(wire.HeaderAccount, "kochi")
	resp, err := httpClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var before int64
	eventually(t, "the engine blocks on writing", func() bool {
		now := engine.sent.Load()
		stalled := now > 0 && now == before
		before = now
		if !stalled {
			time.Sleep(100 * time.Millisecond)
		}
		return stalled
	})
	if before > 64<<20 {
		t.Errorf("%d bytes are buffered for a reader that reads nothing", before)
	}
}

func TestStalledReaderIsDisconnectedAtDeadline(t *testing.T) {
	f := newFleet(t, 1)
	f.addAgent("a1", "drafting", "v1", 4, &floodEngine{})
	req, _ := http.NewRequest(http.MethodPost, f.entries[0].server.URL+"/v1/chat/completions", strings.NewReader(chatBody("x", true)))
	req.Header.Set(wire.HeaderAccount, "kochi")
	req.Header.Set(wire.HeaderDeadlineMs, "300")
	resp, err := httpClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	if err := f.entries[0].api.Drain(ctx); err != nil {
		t.Errorf("a caller that reads nothing still occupies the entry: %v", err)
	}
}

// floodEngine sends events as fast as they are read.
type floodEngine struct{ sent atomic.Int64 }

func (e *floodEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	pad := strings.Repeat("x", 8000)
	for i := 0; r.Context().Err() == nil; i++ {
		n, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, pad)
		if err != nil {
			return
		}
		e.sent.Add(int64(n))
	}
}

func TestTruncatedOrUndelimitedResponsesAreNotForwardedAsComplete(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	for name, raw := range map[string]string{
		"shorter than its length":       "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"long, shorter than its length": "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + long,
		"truncated chunk":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
		"chunks without a terminator":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"not delimited":                 "HTTP/1.1 200 OK\r\n\r\nabc",
		"longer than its length":        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabc",
		"longer than no length":         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nabc",
		"a spoilt length":               "HTTP/1.1 200 OK\r\nContent-Length : 10\r\n\r\nabc",
		"two lengths, one spoilt":       "HTTP/1.1 200 OK\r\nContent-Length : 10\r\nContent-Length: 3\r\n\r\nabc",
		"a blank in a name":             "HTTP/1.1 200 OK\r\nA name: b\r\nContent-Length: 3\r\n\r\nabc",
		"a folded line":                 "HTTP/1.1 200 OK\r\nX-A: b\r\n Content-Length: 10\r\nContent-Length: 3\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.addAgent("a1", "desk", "", 4, httpheadtest.RawResponse(raw))
			got := f.entries[0].send(context.Background(), "GET", "/status", "")
			if got.err == nil && (got.status < 300 || got.notRun()) {
				t.Errorf("%+v", got)
			}
		})
	}
}

func TestTruncatedResponseIsRetriedOnAnotherServer(t *testing.T) {
	f := newFleet(t, 1)
	f.addAgent("a1", "desk", "", 4, httpheadtest.RawResponse("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"))
	f.addAgent("a2", "desk", "", 4, newCountingService())
	for range 6 {
		if got := f.entries[0].send(context.Background(), "GET", "/status?q", ""); got.status != 200 || !strings.HasPrefix(got.body, "receipt") {
			t.Errorf("%+v", got)
		}
	}
}

// wrongIDTransport replaces the request ID of responses with another one.
type wrongIDTransport struct{ next http.RoundTripper }

func (c wrongIDTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.next.RoundTrip(r)
	if err == nil {
		resp.Header.Set(wire.HeaderRequestID, "another")
	}
	return resp, err
}

func TestResponseOfAnotherRequestIsNotForwarded(t *testing.T) {
	f := newFleet(t, 1)
	f.addAgent("a1", "desk", "", 4, newCountingService())
	f.entries[0].transport = wrongIDTransport{f.entries[0].transport}
	got := f.entries[0].send(context.Background(), "GET", "/status", "")
	if got.status == 200 || got.code != result.BackendFailed || got.notRun() {
		t.Errorf("%+v", got)
	}
}
