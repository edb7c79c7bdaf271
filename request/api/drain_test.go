package api_test

import (
	"context"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// startStreams opens n streams and waits until the engine has started all of
// them.
func startStreams(t *testing.T, f *fleet, engine *chatEngine, n int) chan clientResponse {
	t.Helper()
	done := make(chan clientResponse, n)
	for range n {
		go func() { done <- chat(f.entries[0]) }()
	}
	eventually(t, "all streams have started", func() bool { started, _ := engine.counts(); return started == n })
	return done
}

func checkStreams(t *testing.T, done chan clientResponse, n, events int) {
	t.Helper()
	for range n {
		got := <-done
		if ids, ended, failed := readStream(got.body); !isComplete(ids, events) || !ended || failed {
			t.Errorf("a stream was truncated: %d events, done=%v failed=%v, ends in %q", len(ids), ended, failed, got.body[max(0, len(got.body)-300):])
		}
	}
}

func TestEntryDrainCompletesStreamsAndRefusesNewRequests(t *testing.T) {
	f := newFleet(t, 1)
	engine := &chatEngine{events: 60, delay: 5 * time.Millisecond}
	f.addAgent("a1", "drafting", "v1", 8, engine)
	done := startStreams(t, f, engine, 5)
	drained := make(chan error, 1)
	go func() { drained <- f.entries[0].api.Drain(context.Background()) }()
	eventually(t, "new requests are refused", func() bool {
		got := f.entries[0].send(context.Background(), "POST", "/v1/chat/completions", "{}")
		return got.code == result.Draining && got.notRun() && got.retryAfter != ""
	})
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if _, ended := engine.counts(); ended != 5 {
		t.Errorf("drain returned when %d of 5 streams had ended", ended)
	}
	checkStreams(t, done, 5, 60)
}

func TestAgentDrainCompletesStreamsAndRefusesNewRequests(t *testing.T) {
	f := newFleet(t, 1)
	engine := &chatEngine{events: 60, delay: 5 * time.Millisecond}
	a := f.addAgent("a1", "drafting", "v1", 8, engine)
	done := startStreams(t, f, engine, 5)
	drained := make(chan error, 1)
	go func() { drained <- a.runner.Drain(context.Background()) }()
	// The entry does not know about the drain yet: the agent itself must
	// refuse.
	eventually(t, "new requests are refused", func() bool {
		got := chat(f.entries[0], wire.HeaderDeadlineMs, "1000")
		return got.notRun() && got.code == result.Draining
	})
	a.draining.Store(true)
	eventually(t, "the entry stops routing to the agent", func() bool {
		return chat(f.entries[0]).code == result.NoBackend
	})
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if _, ended := engine.counts(); ended != 5 {
		t.Errorf("drain returned when %d of 5 streams had ended", ended)
	}
	checkStreams(t, done, 5, 60)
	if started, _ := engine.counts(); started != 5 {
		t.Errorf("%d runs for 5 requests", started)
	}
}
