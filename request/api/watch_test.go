package api

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/session"
	"github.com/waxwingpost/waxwingpost/connection/wire"
)

func heardAgent(t *testing.T, table *session.Table, seq uint64) *session.Backend {
	t.Helper()
	status := wire.AgentStatus{Name: "a", Service: "s", Seq: seq}
	table.Heartbeat("a", "i", wire.Heartbeat{Seq: seq, Token: "t", Status: status})
	b, _ := table.Lookup("a", "i")
	if b == nil {
		t.Fatal("the agent has no session")
	}
	return b
}

func watched(t *testing.T) (clock *clockwork.FakeClock, table *session.Table, w *watcher, ctx context.Context) {
	t.Helper()
	clock = clockwork.NewFakeClock()
	table = session.New(session.Config{}, clock, nil)
	if err := table.Open(wire.Hello{Name: "a", Incarnation: "i", Service: "s"}); err != nil {
		t.Fatal(err)
	}
	w = newWatcher(table, clock)
	w.armed = true // no look but those of the test
	ctx, _ = w.start(context.Background(), heardAgent(t, table, 1))
	return clock, table, w, ctx
}

// advance lets time pass in steps of the watch interval, on time.
func advance(clock *clockwork.FakeClock, w *watcher, d time.Duration) {
	for range d / watchInterval {
		clock.Advance(watchInterval)
		w.endSilent(clock.Now(), 0)
	}
}

func TestExchangeWithASilentAgentEnds(t *testing.T) {
	clock, table, w, ctx := watched(t)
	advance(clock, w, table.SilentAfter()+watchInterval)
	if ctx.Err() == nil {
		t.Error("the exchange goes on")
	}
}

func TestOwnPauseEndsNoExchange(t *testing.T) {
	clock, table, w, ctx := watched(t)
	// The process is frozen; the agent's heartbeats wait in the socket.
	const pause = time.Minute
	clock.Advance(pause)
	w.endSilent(clock.Now(), pause)
	if ctx.Err() != nil {
		t.Fatal("a pause of the entry itself ended the exchange")
	}
	heardAgent(t, table, 2)
	advance(clock, w, table.SilentAfter()-watchInterval)
	if ctx.Err() != nil {
		t.Error("the agent was heard of and the exchange ended all the same")
	}
	advance(clock, w, 3*watchInterval)
	if ctx.Err() == nil {
		t.Error("the agent fell silent and the exchange goes on")
	}
}
