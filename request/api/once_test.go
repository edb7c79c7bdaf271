package api_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

func file(e *testEntry, key, body string) reply {
	return e.send(context.Background(), "POST", "/filings", body, wire.HeaderKey, key)
}

func TestCallRunsOnceAndResendsGetTheRecordedAnswer(t *testing.T) {
	f := newFleet(t, 3)
	service := newFilings()
	f.addAgent("a1", "desk", "", 8, service)
	first := file(f.entries[0], "k1", "letter")
	if first.err != nil || first.status != 200 || first.body != "receipt for letter run 1" {
		t.Fatalf("first: %+v", first)
	}
	for _, e := range f.entries {
		if again := file(e, "k1", "letter"); again.body != first.body || again.ran != "ran" {
			t.Errorf("resend through %s: %+v", e.name, again)
		}
	}
	if n := service.count("letter"); n != 1 {
		t.Errorf("%d runs", n)
	}
	if other := file(f.entries[1], "k1", "another letter"); other.code != result.KeyReused || !other.notRun() {
		t.Errorf("same key, other body: %+v", other)
	}
	if n := service.count("another letter"); n != 0 {
		t.Errorf("the refused body ran %d times", n)
	}
}

func TestCutOffEntryRefusesAtOnce(t *testing.T) {
	f := newFleet(t, 1)
	service := newFilings()
	f.addAgent("a1", "desk", "", 8, service)
	f.entries[0].cut.Store(true)
	start := time.Now()
	got := file(f.entries[0], "k1", "letter")
	if got.code != result.CutOff || !got.notRun() || got.retry == "" {
		t.Errorf("cut off: %+v", got)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("the refusal took %s", took)
	}
	if status := f.entries[0].send(context.Background(), "GET", "/status", ""); status.status != 200 {
		t.Errorf("repeatable call while cut off: %+v", status)
	}
	if n := service.count("letter"); n != 0 {
		t.Errorf("%d runs", n)
	}
}

// TestEntryKilledAtEveryStep kills the entry at each step between reserve and
// answer and resends through another one.
func TestEntryKilledAtEveryStep(t *testing.T) {
	for _, s := range steps {
		t.Run(string(s), func(t *testing.T) {
			f := newFleet(t, 2)
			service := newFilings()
			f.addAgent("a1", "desk", "", 8, service)
			f.addAgent("a2", "desk", "", 8, service)
			victim := f.entries[0]
			var once sync.Once
			hook := func(at step) {
				if at == s {
					once.Do(victim.kill)
				}
			}
			victim.hook.Store(&hook)
			first := file(victim, "k1", "letter")
			if first.err == nil && first.status == 200 {
				t.Fatalf("the killed entry answered: %+v", first)
			}
			got := resend(t, f.entries[1], "k1", "letter")
			if got.status != 200 || got.body != "receipt for letter run 1" {
				t.Errorf("resend: %+v", got)
			}
			if n := service.count("letter"); n != 1 {
				t.Errorf("%d runs", n)
			}
		})
	}
}

// resend repeats a call under its key until it is decided.
func resend(t *testing.T, e *testEntry, key, body string) reply {
	t.Helper()
	for range 100 {
		got := file(e, key, body)
		if got.err == nil && got.code != result.InProgress && got.code != result.CutOff {
			return got
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("never decided")
	return reply{}
}

func TestAgentRestartedWithTheCallInHandGivesUnknownForGood(t *testing.T) {
	f := newFleet(t, 2)
	service := newFilings()
	a := f.addAgent("a1", "desk", "", 8, service)
	inRun, goOn := make(chan struct{}), make(chan struct{})
	service.before = func(string) { close(inRun); <-goOn }
	done := make(chan reply, 1)
	go func() { done <- file(f.entries[0], "k1", "letter") }()
	<-inRun
	f.startAgent(a, "2", nil)
	a.server.CloseClientConnections()
	close(goOn)
	service.mu.Lock()
	service.before = nil
	service.mu.Unlock()
	if got := <-done; got.code != result.OutcomeUnknown || got.ran != result.RanUnknown.String() {
		t.Errorf("caller: %+v", got)
	}
	for _, e := range f.entries {
		if got := resend(t, e, "k1", "letter"); got.code != result.OutcomeUnknown {
			t.Errorf("resend through %s: %+v", e.name, got)
		}
	}
	if n := service.count("letter"); n != 1 {
		t.Errorf("%d runs", n)
	}
}

func TestEngineLostWithTheCallInHandGivesUnknown(t *testing.T) {
	f := newFleet(t, 2)
	service := newFilings()
	f.addAgent("a1", "desk", "", 8, service)
	service.abort.Store(true)
	if got := file(f.entries[0], "k1", "letter"); got.code != result.OutcomeUnknown {
		t.Errorf("caller: %+v", got)
	}
	service.abort.Store(false)
	if got := resend(t, f.entries[1], "k1", "letter"); got.code != result.OutcomeUnknown {
		t.Errorf("resend: %+v", got)
	}
	if n := service.count("letter"); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// TestFrozenAgentStartsNothingLate freezes the agent with the dispatch in
// hand, past its lease. The dispatch is refused when the agent wakes up.
func TestFrozenAgentStartsNothingLate(t *testing.T) {
	f := newFleet(t, 2)
	service := newFilings()
	a := f.addAgent("a1", "desk", "", 8, service)
	a.freeze()
	done := make(chan reply, 1)
	go func() { done <- file(f.entries[0], "k1", "letter") }()
	got := <-done
	if got.notRun() || got.status == 200 {
		t.Errorf("caller of a frozen agent: %+v", got)
	}
	time.Sleep(2 * f.session.LeaseTTL)
	a.unfreeze()
	if again := resend(t, f.entries[1], "k1", "letter"); again.code != result.OutcomeUnknown {
		t.Errorf("resend: %+v", again)
	}
	if n := service.count("letter"); n != 0 {
		t.Errorf("%d late runs", n)
	}
}

func TestDispatchDelayedPastTheLeaseIsNotRun(t *testing.T) {
	f := newFleet(t, 1)
	service := newFilings()
	f.addAgent("a1", "desk", "", 8, service)
	hook := func(at step) {
		if at == beforeDispatch {
			time.Sleep(2 * f.session.LeaseTTL)
		}
	}
	f.entries[0].hook.Store(&hook)
	got := file(f.entries[0], "k1", "letter")
	if got.code != result.StaleLease || !got.notRun() {
		t.Errorf("delayed dispatch: %+v", got)
	}
	if n := service.count("letter"); n != 0 {
		t.Errorf("%d late runs", n)
	}
}

func TestAnswerIsGivenThoughItCannotBeRecorded(t *testing.T) {
	f := newFleet(t, 2)
	service := newFilings()
	f.addAgent("a1", "desk", "", 8, service)
	e := f.entries[0]
	hook := func(at step) {
		if at == beforeRecord {
			e.cut.Store(true)
		}
	}
	e.hook.Store(&hook)
	got := file(e, "k1", "letter")
	if got.status != 200 || got.body != "receipt for letter run 1" {
		t.Fatalf("caller: %+v", got)
	}
	e.hook.Store(nil)
	e.cut.Store(false)
	eventually(t, "the record follows", func() bool {
		c, ok := f.ledger.call("kochi", "k1")
		return ok && c.Verdict == "ran"
	})
}

func TestBodylessCallIsNotReplayedByTheTransport(t *testing.T) {
	f := newFleet(t, 1)
	service := newFilings()
	f.addAgent("a1", "desk", "", 8, service)
	// A kept connection that the service closes after a run makes net/http
	// send a GET again on another connection.
	if got := f.entries[0].send(context.Background(), "GET", "/status", ""); got.status != 200 {
		t.Fatalf("%+v", got)
	}
	service.abort.Store(true)
	for i := range 5 {
		query := fmt.Sprintf("n=%d", i)
		_ = f.entries[0].send(context.Background(), "GET", "/receipts?"+query, "", wire.HeaderKey, query)
		if n := service.count(query); n > 1 {
			t.Errorf("%s ran %d times", query, n)
		}
	}
}

func TestResendThroughAStaleEntryGetsTheRecordedAnswer(t *testing.T) {
	f := newFleet(t, 2)
	service := newFilings()
	f.addAgent("a1", "desk", "", 8, service)
	f.addAgent("a2", "desk", "", 8, service)
	first := file(f.entries[0], "k1", "letter")
	f.entries[1].stale.Store(true)
	for range 4 {
		if again := file(f.entries[1], "k1", "letter"); again.body != first.body || again.status != 200 {
			t.Errorf("resend: %+v", again)
		}
	}
	if n := service.count("letter"); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// TestTombstoneStopsADispatchUnderWay holds a dispatch in the network while a
// resend through another entry resolves the attempt. The dispatch arrives
// within its lease and must not run.
func TestTombstoneStopsADispatchUnderWay(t *testing.T) {
	f := newFleetWith(t, 2, func(f *fleet) { f.session.LeaseTTL = time.Minute })
	service := newFilings()
	f.addAgent("a1", "desk", "", 8, service)
	f.addAgent("a2", "desk", "", 8, service)
	held, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	hook := func(at step) {
		if at == beforeDispatch {
			once.Do(func() { close(held); <-release })
		}
	}
	f.entries[0].hook.Store(&hook)
	first := make(chan reply, 1)
	go func() { first <- file(f.entries[0], "k1", "letter") }()
	<-held
	call, _ := f.ledger.call("kochi", "k1")
	for _, a := range f.agents {
		// The second attempt shall go to the other agent.
		a.leaveNow.Store(a.name == call.Reserve.Agent)
	}
	eventually(t, "the agent leaves", func() bool { return len(f.entries[1].table.Backends("desk")) == 1 })
	if got := resend(t, f.entries[1], "k1", "letter"); got.status != 200 {
		t.Errorf("resend: %+v", got)
	}
	close(release)
	if got := <-first; got.notRun() {
		t.Errorf("the first caller is told that a call which ran did not: %+v", got)
	}
	if n := service.count("letter"); n != 1 {
		t.Errorf("%d runs", n)
	}
}
