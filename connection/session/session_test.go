package session

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

func hello(name, incarnation string) wire.Hello {
	return wire.Hello{Name: name, Incarnation: incarnation, Service: "drafting", Zone: "z1", Address: "127.0.0.1:1"}
}

func heartbeat(seq uint64) wire.Heartbeat {
	return wire.Heartbeat{Seq: seq, Token: "t", Status: wire.AgentStatus{Seq: seq, Serving: "v1"}}
}

func newTable() (*Table, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(Config{}, clock, nil), clock
}

func TestAgentIsSilentWithinThreeSeconds(t *testing.T) {
	table, clock := newTable()
	if err := table.Open(hello("a", "1")); err != nil {
		t.Fatal(err)
	}
	table.Heartbeat("a", "1", heartbeat(1))
	if n := len(table.Backends("drafting")); n != 1 {
		t.Fatalf("%d backends", n)
	}
	clock.Advance(DefaultMissedHeartbeats*DefaultHeartbeatInterval - time.Millisecond)
	if n := len(table.Backends("drafting")); n != 1 {
		t.Errorf("%d backends before two heartbeats are missed", n)
	}
	clock.Advance(3*time.Second - DefaultMissedHeartbeats*DefaultHeartbeatInterval)
	if n := len(table.Backends("drafting")); n != 0 {
		t.Errorf("%d backends after 3 s of silence", n)
	}
	table.Heartbeat("a", "1", heartbeat(1))
	if n := len(table.Backends("drafting")); n != 0 {
		t.Error("a duplicate heartbeat renewed the session")
	}
	table.Heartbeat("a", "1", heartbeat(2))
	if n := len(table.Backends("drafting")); n != 1 {
		t.Error("a new heartbeat did not renew the session")
	}
}

func TestNameBelongsToOneIncarnationUntilHeartbeatTimeout(t *testing.T) {
	table, clock := newTable()
	_ = table.Open(hello("a", "1"))
	table.Heartbeat("a", "1", heartbeat(1))
	if err := table.Open(hello("a", "2")); result.CodeOf(err) != result.NameTaken {
		t.Errorf("open by another incarnation while the session is live: %v", err)
	}
	table.MarkLinkLost("a", "1")
	if len(table.Backends("drafting")) != 0 {
		t.Error("an agent whose link was lost gets work")
	}
	if err := table.Open(hello("a", "2")); result.CodeOf(err) != result.NameTaken {
		t.Errorf("open by another incarnation after the link was lost: %v", err)
	}
	table.Heartbeat("a", "2", heartbeat(9))
	if len(table.Backends("drafting")) != 0 {
		t.Error("a heartbeat of an incarnation without a session was accepted")
	}
	clock.Advance(table.HeartbeatTimeout())
	if err := table.Open(hello("a", "2")); err != nil {
		t.Errorf("open by another incarnation after the heartbeat timeout: %v", err)
	}
	table.Heartbeat("a", "1", heartbeat(10))
	if len(table.Backends("drafting")) != 0 {
		t.Error("a heartbeat of the replaced incarnation was accepted")
	}
	if _, replaced := table.Lookup("a", "1"); !replaced {
		t.Error("the former incarnation is not reported as replaced")
	}
}

func TestLeaveReleasesNameAndStopsNewWorkAtOnce(t *testing.T) {
	table, clock := newTable()
	_ = table.Open(hello("a", "1"))
	table.Heartbeat("a", "1", heartbeat(1))
	table.Leave("a", "1")
	table.Heartbeat("a", "1", heartbeat(2))
	if len(table.Backends("drafting")) != 0 {
		t.Error("an agent that left gets work")
	}
	clock.Advance(time.Minute)
	if table.Silent("a", "1") {
		t.Error("an agent that announced its stop counts as silent")
	}
	if err := table.Open(hello("a", "2")); err != nil {
		t.Errorf("the name is still held: %v", err)
	}
}

func TestTokenIsAcceptedOnlyDuringItsLease(t *testing.T) {
	clock := clockwork.NewFakeClock()
	leases := NewLeases(Config{}, clock, rand.New(rand.NewPCG(1, 1)))
	token := leases.Issue()
	clock.Advance(DefaultLeaseTTL - time.Millisecond)
	if err := leases.Check(token); err != nil {
		t.Errorf("within the lease: %v", err)
	}
	clock.Advance(time.Millisecond)
	if err := result.From(leases.Check(token)); err == nil || err.Code != result.StaleLease || err.Ran != result.NotRun {
		t.Errorf("after the lease: %v", err)
	}
	if leases.Check("") == nil || leases.Check("made up") == nil {
		t.Error("an unknown token was accepted")
	}
}
