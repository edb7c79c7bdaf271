package controller

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// updateRecorder is a link handler that keeps the servers and verifications of a control
// process's updates.
type updateRecorder struct {
	mu    sync.Mutex
	table *directory.Table
}

func (r *updateRecorder) Notify(_ *link.Conn, _ wire.Kind, body cbor.RawMessage) {
	var update wire.Update
	if cbor.Unmarshal(body, &update) == nil {
		r.apply(update)
	}
}

func (r *updateRecorder) Call(context.Context, *link.Conn, wire.Kind, cbor.RawMessage) (any, error) {
	return nil, result.New(result.BadMessage, "not served")
}

func (r *updateRecorder) apply(update wire.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range update.Servers {
		r.table.Update(s, 0)
	}
	for _, s := range update.Engines {
		for _, v := range s.Verifications() {
			r.table.Verify(v, 0)
		}
	}
	for _, v := range update.Verified {
		r.table.Verify(v, 0)
	}
}

// verified returns the verified version of model m at the server i-1.
func (r *updateRecorder) verified() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.table.Get("i-1")
	if record == nil {
		return 0
	}
	snapshot := r.table.Snapshot(record)
	return snapshot.VerifiedVersion("m")
}

// followOnly follows one control process alone, as an entry.
func followOnly(t *testing.T, vm int) *updateRecorder {
	t.Helper()
	r := &updateRecorder{table: directory.NewTable()}
	dialer := &link.Dialer{Auth: link.Authenticator{AllowAll: true}, Handler: r, Self: func() wire.Hello {
		return wire.Hello{Name: "entry-" + strconv.Itoa(vm), Role: wire.RoleEntry}
	}}
	var c *link.Conn
	await(t, "the listener", func() bool {
		var err error
		c, err = dialer.Dial(t.Context(), net.JoinHostPort(ip(vm), strconv.Itoa(peerPort)))
		return err == nil
	})
	t.Cleanup(c.Close)
	var update wire.Update
	if err := c.Call(t.Context(), wire.KindFollow, wire.FollowRequest{}, &update); err != nil {
		t.Fatal(err)
	}
	r.apply(update)
	return r
}

// The entries have a link to one control process each, and the agent to one of them.
func TestVerificationReachesEntriesWithoutLinkToTheAgentsControlProcess(t *testing.T) {
	settings := make([]platform.Settings, vms)
	stops := make([]func(), vms)
	for vm := range vms {
		settings[vm] = testSettings(t, vm, true)
		stops[vm] = startController(t, settings[vm])
	}
	callUntil(t, 0, http.MethodPost, platform.PathPutConfig, configuration(1, "/a/"), http.StatusOK)
	for vm := range vms {
		text := `{"service":"s","addr":"10.0.0.1:1","state":"ready","seq":` + strconv.Itoa(vm+1) + `,"born":9,"slots":4,"models":[{"name":"m","version":2}]}`
		callUntil(t, vm, http.MethodPost, platform.PathHeartbeat+"i-1", text, http.StatusOK)
	}
	var entries []*updateRecorder
	for vm := range vms {
		entries = append(entries, followOnly(t, vm))
	}
	agent := follow(t, 0, wire.RoleAgent)
	check := func(want int) {
		t.Helper()
		for vm, entry := range entries {
			await(t, "the change at control process "+strconv.Itoa(vm), func() bool { return entry.verified() == want })
		}
	}
	check(0)
	state := wire.EngineState{Address: "10.0.0.1:1", Born: 9, Held: []directory.ModelVersion{{Model: "m", Version: 2}}, Checked: 1}
	if err := agent.Notify(wire.KindEngine, state); err != nil {
		t.Fatal(err)
	}
	check(2)
	// A control process that starts anew has its peers' verifications.
	stops[2]()
	settings[2].FirstStart = false
	startController(t, settings[2])
	await(t, "the verification from a peer", func() bool { return followOnly(t, 2).verified() == 2 })
	entries[2] = followOnly(t, 2)
	// The server unloads the weights; another control process receives that.
	text := `{"service":"s","addr":"10.0.0.1:1","state":"ready","seq":9,"born":9,"slots":4,"models":[]}`
	callUntil(t, 1, http.MethodPost, platform.PathHeartbeat+"i-1", text, http.StatusOK)
	check(0)
}
