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

func postFiling(e *testEntry, key, body string) clientResponse {
	return e.send(context.Background(), "POST", "/filings", body, wire.HeaderIdempotencyKey, key)
}

func TestCallRunsOnceAndResendsGetTheRecordedAnswer(t *testing.T) {
	f := newFleet(t, 3)
	service := newCountingService()
	f.addAgent("a1", "desk", "", 8, service)
	first := postFiling(f.entries[0], "k1", "letter")
	if first.err != nil || first.status != 200 || first.body != "receipt for letter run 1" {
		t.Fatalf("first request: %+v", first)
	}
	for _, e := range f.entries {
		if again := postFiling(e, "k1", "letter"); again.body != first.body || again.ran != "ran" {
			t.Errorf("resend through %s: %+v", e.name, again)
		}
	}
	if n := service.count("letter"); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
	if other := postFiling(f.entries[1], "k1", "another letter"); other.code != result.KeyReused || !other.notRun() {
		t.Errorf("same key with a different body: %+v", other)
	}
	if n := service.count("another letter"); n != 0 {
		t.Errorf("the refused body ran %d times", n)
	}
}

func TestPartitionedEntryRefusesImmediately(t *testing.T) {
	f := newFleet(t, 1)
	service := newCountingService()
	f.addAgent("a1", "desk", "", 8, service)
	f.entries[0].partitioned.Store(true)
	start := time.Now()
	got := postFiling(f.entries[0], "k1", "letter")
	if got.code != result.CutOff || !got.notRun() || got.retryAfter == "" {
		t.Errorf("partitioned: %+v", got)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("the refusal took %s", took)
	}
	if status := f.entries[0].send(context.Background(), "GET", "/status", ""); status.status != 200 {
		t.Errorf("repeatable call while partitioned: %+v", status)
	}
	if n := service.count("letter"); n != 0 {
		t.Errorf("the call ran %d times", n)
	}
}

// TestEntryKilledAtEachStage kills the entry at each stage between reservation
// and response, and resends the call through another entry.
func TestEntryKilledAtEachStage(t *testing.T) {
	for _, s := range callStages {
		t.Run(string(s), func(t *testing.T) {
			f := newFleet(t, 2)
			service := newCountingService()
			f.addAgent("a1", "desk", "", 8, service)
			f.addAgent("a2", "desk", "", 8, service)
			victim := f.entries[0]
			var once sync.Once
			hook := func(at callStage) {
				if at == s {
					once.Do(victim.kill)
				}
			}
			victim.onStage.Store(&hook)
			first := postFiling(victim, "k1", "letter")
			if first.err == nil && first.status == 200 {
				t.Fatalf("the killed entry responded: %+v", first)
			}
			got := resendUntilDecided(t, f.entries[1], "k1", "letter")
			if got.status != 200 || got.body != "receipt for letter run 1" {
				t.Errorf("resend: %+v", got)
			}
			if n := service.count("letter"); n != 1 {
				t.Errorf("the call ran %d times", n)
			}
		})
	}
}

// resendUntilDecided resends a call with its key until its outcome is known.
func resendUntilDecided(t *testing.T, e *testEntry, key, body string) clientResponse {
	t.Helper()
	for range 100 {
		got := postFiling(e, key, body)
		if got.err == nil && got.code != result.InProgress && got.code != result.CutOff {
			return got
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the call got no final outcome")
	return clientResponse{}
}

func TestAgentRestartDuringCallRecordsUnknownOutcome(t *testing.T) {
	f := newFleet(t, 2)
	service := newCountingService()
	a := f.addAgent("a1", "desk", "", 8, service)
	runStarted, finishRun := make(chan struct{}), make(chan struct{})
	service.onRun = func(string) { close(runStarted); <-finishRun }
	done := make(chan clientResponse, 1)
	go func() { done <- postFiling(f.entries[0], "k1", "letter") }()
	<-runStarted
	f.startAgent(a, "2", nil)
	a.server.CloseClientConnections()
	close(finishRun)
	service.mu.Lock()
	service.onRun = nil
	service.mu.Unlock()
	if got := <-done; got.code != result.OutcomeUnknown || got.ran != result.RanUnknown.String() {
		t.Errorf("response to the caller: %+v", got)
	}
	for _, e := range f.entries {
		if got := resendUntilDecided(t, e, "k1", "letter"); got.code != result.OutcomeUnknown {
			t.Errorf("resend through %s: %+v", e.name, got)
		}
	}
	if n := service.count("letter"); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}

func TestBackendFailureDuringCallRecordsUnknownOutcome(t *testing.T) {
	f := newFleet(t, 2)
	service := newCountingService()
	f.addAgent("a1", "desk", "", 8, service)
	service.abort.Store(true)
	if got := postFiling(f.entries[0], "k1", "letter"); got.code != result.OutcomeUnknown {
		t.Errorf("response to the caller: %+v", got)
	}
	service.abort.Store(false)
	if got := resendUntilDecided(t, f.entries[1], "k1", "letter"); got.code != result.OutcomeUnknown {
		t.Errorf("resend: %+v", got)
	}
	if n := service.count("letter"); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}

// TestFrozenAgentRefusesDispatchAfterLeaseExpiry freezes an agent that has
// received a dispatch until its lease has expired. The agent must refuse the
// dispatch when it resumes.
func TestFrozenAgentRefusesDispatchAfterLeaseExpiry(t *testing.T) {
	f := newFleet(t, 2)
	service := newCountingService()
	a := f.addAgent("a1", "desk", "", 8, service)
	a.freeze()
	done := make(chan clientResponse, 1)
	go func() { done <- postFiling(f.entries[0], "k1", "letter") }()
	got := <-done
	if got.notRun() || got.status == 200 {
		t.Errorf("response while the agent is frozen: %+v", got)
	}
	time.Sleep(2 * f.session.LeaseTTL)
	a.unfreeze()
	if again := resendUntilDecided(t, f.entries[1], "k1", "letter"); again.code != result.OutcomeUnknown {
		t.Errorf("resend: %+v", again)
	}
	if n := service.count("letter"); n != 0 {
		t.Errorf("%d runs after the lease had expired", n)
	}
}

func TestDispatchDelayedPastTheLeaseIsNotRun(t *testing.T) {
	f := newFleet(t, 1)
	service := newCountingService()
	f.addAgent("a1", "desk", "", 8, service)
	hook := func(at callStage) {
		if at == beforeDispatch {
			time.Sleep(2 * f.session.LeaseTTL)
		}
	}
	f.entries[0].onStage.Store(&hook)
	got := postFiling(f.entries[0], "k1", "letter")
	if got.code != result.StaleLease || !got.notRun() {
		t.Errorf("delayed dispatch: %+v", got)
	}
	if n := service.count("letter"); n != 0 {
		t.Errorf("%d runs after the lease had expired", n)
	}
}

// A repeatable call that a busy entry sent after its token's lease was refused with 3015, though newer tokens had come.
func TestRepeatableDispatchDelayedPastTheLeaseIsSentAgainWithANewerToken(t *testing.T) {
	f := newFleet(t, 1)
	service := newCountingService()
	f.addAgent("a1", "desk", "", 8, service)
	var delayed sync.Once
	hook := func(at callStage) {
		if at == beforeDispatch {
			delayed.Do(func() { time.Sleep(2 * f.session.LeaseTTL) })
		}
	}
	f.entries[0].onStage.Store(&hook)
	if got := f.entries[0].send(context.Background(), "GET", "/status", ""); got.status != 200 {
		t.Errorf("delayed dispatch: %+v", got)
	}
	if n := service.count(""); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}

func TestAnswerIsReturnedWhenRecordingFails(t *testing.T) {
	f := newFleet(t, 2)
	service := newCountingService()
	f.addAgent("a1", "desk", "", 8, service)
	e := f.entries[0]
	hook := func(at callStage) {
		if at == beforeRecord {
			e.partitioned.Store(true)
		}
	}
	e.onStage.Store(&hook)
	got := postFiling(e, "k1", "letter")
	if got.status != 200 || got.body != "receipt for letter run 1" {
		t.Fatalf("response to the caller: %+v", got)
	}
	e.onStage.Store(nil)
	e.partitioned.Store(false)
	eventually(t, "the outcome is recorded", func() bool {
		c, ok := f.state.call("kochi", "k1")
		return ok && c.Verdict == "ran"
	})
}

func TestBodylessCallIsNotReplayedByTheTransport(t *testing.T) {
	f := newFleet(t, 1)
	service := newCountingService()
	f.addAgent("a1", "desk", "", 8, service)
	// If the service closes a kept-alive connection after a run, net/http
	// resends a GET on another connection.
	if got := f.entries[0].send(context.Background(), "GET", "/status", ""); got.status != 200 {
		t.Fatalf("%+v", got)
	}
	service.abort.Store(true)
	for i := range 5 {
		query := fmt.Sprintf("n=%d", i)
		_ = f.entries[0].send(context.Background(), "GET", "/receipts?"+query, "", wire.HeaderIdempotencyKey, query)
		if n := service.count(query); n > 1 {
			t.Errorf("%s ran %d times", query, n)
		}
	}
}

func TestResendThroughAStaleEntryGetsTheRecordedAnswer(t *testing.T) {
	f := newFleet(t, 2)
	service := newCountingService()
	f.addAgent("a1", "desk", "", 8, service)
	f.addAgent("a2", "desk", "", 8, service)
	first := postFiling(f.entries[0], "k1", "letter")
	f.entries[1].staleReads.Store(true)
	for range 4 {
		if again := postFiling(f.entries[1], "k1", "letter"); again.body != first.body || again.status != 200 {
			t.Errorf("resend: %+v", again)
		}
	}
	if n := service.count("letter"); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}

// TestTombstoneBlocksDelayedDispatch delays a dispatch in the network while a
// resend through another entry resolves the attempt. The dispatch then arrives
// within its lease and must not run.
func TestTombstoneBlocksDelayedDispatch(t *testing.T) {
	f := newFleetWith(t, 2, func(f *fleet) { f.session.LeaseTTL = time.Minute })
	service := newCountingService()
	f.addAgent("a1", "desk", "", 8, service)
	f.addAgent("a2", "desk", "", 8, service)
	held, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	hook := func(at callStage) {
		if at == beforeDispatch {
			once.Do(func() { close(held); <-release })
		}
	}
	f.entries[0].onStage.Store(&hook)
	first := make(chan clientResponse, 1)
	go func() { first <- postFiling(f.entries[0], "k1", "letter") }()
	<-held
	call, _ := f.state.call("kochi", "k1")
	for _, a := range f.agents {
		// The second attempt must go to the other agent.
		a.draining.Store(a.name == call.Reserve.Agent)
	}
	eventually(t, "the entry stops routing to the agent", func() bool { return len(f.entries[1].sessions.Backends("desk")) == 1 })
	if got := resendUntilDecided(t, f.entries[1], "k1", "letter"); got.status != 200 {
		t.Errorf("resend: %+v", got)
	}
	close(release)
	if got := <-first; got.notRun() {
		t.Errorf("the first caller got the result not-run although the call ran: %+v", got)
	}
	if n := service.count("letter"); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}
