package feed

import (
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/directory"
)

// loadState returns an agent's report that the engine is ordered to load version 2 of model
// m, and what it holds before.
func loadState(born, checked int64, held []directory.ModelVersion) wire.EngineState {
	return wire.EngineState{
		Address: engineAddress, Born: born, Loading: true, Held: held, Checked: checked, Loads: []directory.ModelVersion{{Model: "m", Version: 2}},
	}
}

// An engine starts again under its ID, and its first heartbeats are late. Its agent reports
// that it loads weights: those that were verified are no longer held.
func TestLoadOfALaterIncarnationEndsTheVerification(t *testing.T) {
	h := verificationHub()
	f := newTestFollower(clockwork.NewFakeClock())
	h.Heartbeat(engineHeartbeat(1, 1, 2))
	h.UpdateEngine(verifiedState(1, 2, 1))
	f.apply(h.FullState())
	load := loadState(2, 2, nil)
	h.UpdateEngine(load)
	f.apply(wire.Update{Engines: []wire.EngineState{load}})
	f.apply(h.FullState())
	if got := verifiedInView(f); got != 0 {
		t.Errorf("version %d of an incarnation that has ended counts as verified while the next one loads", got)
	}
}

// All control processes restart, and so does the agent; a staged piece has become corrupt
// since the load, so that the agent drops the weights and loads the version again. An entry
// that runs on must not use the new load because of the earlier verification.
func TestLoadAfterARestartOfControlProcessesEndsTheVerification(t *testing.T) {
	f := newTestFollower(clockwork.NewFakeClock())
	h := verificationHub()
	h.Heartbeat(engineHeartbeat(1, 1, 2))
	h.UpdateEngine(verifiedState(1, 2, 1))
	f.apply(h.FullState())

	restarted := verificationHub()
	restarted.Heartbeat(engineHeartbeat(1, 2, 2))
	f.apply(restarted.FullState())
	drop := loadState(1, 2, engineHeartbeat(1, 2, 2).Held)
	restarted.UpdateEngine(drop)
	load := loadState(1, 3, nil)
	restarted.UpdateEngine(load)
	f.apply(wire.Update{Engines: []wire.EngineState{drop, load}})
	restarted.Heartbeat(engineHeartbeat(1, 3, 0))
	f.apply(restarted.FullState())
	restarted.Heartbeat(engineHeartbeat(1, 4, 2))
	f.apply(restarted.FullState())
	servers := f.View().Servers["s"]
	if got := verifiedInView(f); got != 0 {
		t.Errorf("version %d counts as verified after it was loaded again, loading until %v", got, servers[0].LoadingUntil)
	}
}

// The control process of the agent has restarted and does not know the verification yet when
// the agent, which has restarted as well, drops the weights and loads the version again.
func TestLoadThatPeersHearOfEndsTheirVerification(t *testing.T) {
	h, restarted := verificationHub(), verificationHub()
	h.Heartbeat(engineHeartbeat(1, 1, 2))
	h.UpdateEngine(verifiedState(1, 2, 1))
	restarted.Heartbeat(engineHeartbeat(1, 2, 2))
	load := loadState(1, 3, nil)
	restarted.UpdateEngine(load)
	h.ApplyPeerUpdate(wire.Update{Engines: []wire.EngineState{load}})
	restarted.ApplyPeerUpdate(h.FullState())
	f := newTestFollower(clockwork.NewFakeClock())
	for name, control := range map[string]*Hub{"peer": h, "restarted": restarted} {
		f.apply(control.FullState())
		if got := verifiedInView(f); got != 0 {
			t.Errorf("%s: version %d counts as verified while it is loaded again", name, got)
		}
	}
}
