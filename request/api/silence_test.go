package api

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/session"
	"github.com/waxwingpost/waxwingpost/connection/wire"
)

func sendHeartbeat(t *testing.T, table *session.Table, seq uint64) *session.Backend {
	t.Helper()
	status := wire.AgentStatus{Name: "a", Service: "s", Seq: seq}
	table.Heartbeat("a", "i", wire.Heartbeat{Seq: seq, Token: "t", Status: status})
	b, _ := table.Lookup("a", "i")
	if b == nil {
		t.Fatal("the agent has no session")
	}
	return b
}

func startWatch(t *testing.T) (clock *clockwork.FakeClock, table *session.Table, w *silenceDetector, ctx context.Context) {
	t.Helper()
	clock = clockwork.NewFakeClock()
	table = session.New(session.Config{}, clock, nil)
	if err := table.Open(wire.Hello{Name: "a", Incarnation: "i", Service: "s"}); err != nil {
		t.Fatal(err)
	}
	w = newSilenceDetector(table, clock)
	w.armed = true // only the checks made by the test
	ctx, _ = w.start(context.Background(), sendHeartbeat(t, table, 1))
	return clock, table, w, ctx
}

// advance advances the clock in steps of the watch interval and checks on time
// after each.
func advance(clock *clockwork.FakeClock, w *silenceDetector, d time.Duration) {
	for range d / watchInterval {
		clock.Advance(watchInterval)
		w.cancelSilent(clock.Now(), 0)
	}
}

func TestExchangeWithSilentAgentIsCanceled(t *testing.T) {
	clock, table, w, ctx := startWatch(t)
	advance(clock, w, table.HeartbeatTimeout()+watchInterval)
	if ctx.Err() == nil {
		t.Error("the exchange was not canceled")
	}
}

func TestPauseOfThisProcessCancelsNoExchange(t *testing.T) {
	clock, table, w, ctx := startWatch(t)
	// The process is frozen; the agent's heartbeats are queued in the socket.
	const pause = time.Minute
	clock.Advance(pause)
	w.cancelSilent(clock.Now(), pause)
	if ctx.Err() != nil {
		t.Fatal("a pause of this process canceled the exchange")
	}
	sendHeartbeat(t, table, 2)
	advance(clock, w, table.HeartbeatTimeout()-watchInterval)
	if ctx.Err() != nil {
		t.Error("the exchange was canceled although the agent sent a heartbeat")
	}
	advance(clock, w, 3*watchInterval)
	if ctx.Err() == nil {
		t.Error("the agent is silent and the exchange was not canceled")
	}
}
