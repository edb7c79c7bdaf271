package controller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"net/http"
	"strconv"
	"testing"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
)

// All processes are killed at once: agents that were restarted need the digests of the
// version that their engines hold.
func TestDigestsSurviveTheRestartOfAllControlProcesses(t *testing.T) {
	settings := make([]platform.Settings, vms)
	stops := make([]func(), vms)
	for vm := range vms {
		settings[vm] = testSettings(t, vm, true)
		stops[vm] = startController(t, settings[vm])
	}
	callUntil(t, 0, http.MethodPost, platform.PathPutConfig, configuration(1, "/a/"), http.StatusOK)
	want := wire.PieceDigests{Model: "m", Version: 2, Digests: bytes.Repeat([]byte{7}, 3*sha256.Size)}
	callUntil(t, 0, http.MethodPost, platform.PathPutVersion, `{"model":"m","version":2}`, http.StatusOK)
	if err := follow(t, 0, wire.RoleAgent).Notify(wire.KindPieceDigests, want); err != nil {
		t.Fatal(err)
	}
	check := func() {
		t.Helper()
		for vm := range vms {
			agent := follow(t, vm, wire.RoleAgent)
			await(t, "the digests at control process "+strconv.Itoa(vm), func() bool {
				ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
				defer cancel()
				var got wire.PieceDigests
				err := agent.Call(ctx, wire.KindDigestsQuery, wire.DigestsQuery{Model: "m", Version: 2}, &got)
				return err == nil && got.Model == "m" && got.Version == 2 && bytes.Equal(got.Digests, want.Digests)
			})
		}
	}
	check()
	for vm := range vms {
		stops[vm]()
		settings[vm].FirstStart = false
	}
	for vm := range vms {
		startController(t, settings[vm])
	}
	check()
}
