package controller

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/base"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/obs"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// The control processes of a test listen on addresses of their own, as on VMs.
const (
	vms          = 3
	operatorPort = 18460
	peerPort     = 18470
	// patience bounds the waits; a cluster is ready within a second or two.
	patience = 20 * time.Second
)

func testBase() *base.Base {
	return &base.Base{
		Auth: link.Authenticator{Open: true}, Clock: clockwork.NewRealClock(),
		Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Stats: &link.Stats{}, Dump: &obs.State{},
	}
}

func ip(vm int) string { return fmt.Sprintf("127.0.81.%d", vm+1) }

func settings(t *testing.T, vm int, first bool) platform.Settings {
	t.Helper()
	set := platform.Settings{
		VM: fmt.Sprint("core-", vm), IP: ip(vm), PeerPort: peerPort, FirstStart: first, DataDir: t.TempDir(), Tolerance: 1,
		OperatorAddress: net.JoinHostPort(ip(vm), fmt.Sprint(operatorPort)),
	}
	for seed := range vms {
		set.Seeds = append(set.Seeds, net.JoinHostPort(ip(seed), fmt.Sprint(operatorPort)))
	}
	return set
}

// start runs a control process until the test ends or stop is called.
func start(t *testing.T, set platform.Settings) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c := New(set, testBase())
	ended := make(chan error, 1)
	go func() { ended <- c.run(ctx) }()
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			cancel()
			if err := <-ended; err != nil {
				t.Errorf("%s: %v", set.VM, err)
			}
		}
	}
	t.Cleanup(stop)
	return stop
}

func call(t *testing.T, vm int, method, path, body string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	url := "http://" + net.JoinHostPort(ip(vm), fmt.Sprint(operatorPort)) + path
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// until repeats a call until it has the wanted status.
func until(t *testing.T, vm int, method, path, body string, want int) string {
	t.Helper()
	deadline := time.Now().Add(patience)
	for {
		status, text := call(t, vm, method, path, body)
		if status == want {
			return text
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s %s at %d: status %d, want %d: %s", method, path, vm, status, want, text)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// The platform's own documents are in files: their names are not the project's.
var (
	//go:embed testdata/configuration.json
	configurationFormat string
	//go:embed testdata/unknown-service.json
	unknownService string
)

func configuration(version int, prefix string) string {
	return fmt.Sprintf(configurationFormat, version, prefix)
}

func TestConfigurationsAreDurableAndNeverGoBack(t *testing.T) {
	var sets []platform.Settings
	var stops []func()
	for vm := range vms {
		sets = append(sets, settings(t, vm, true))
		stops = append(stops, start(t, sets[vm]))
	}
	until(t, 0, http.MethodPost, platform.PathPutConfig, configuration(7, "/seven/"), http.StatusOK)
	for vm := range vms {
		if got := until(t, vm, http.MethodGet, platform.PathGetConfig, "", http.StatusOK); got != configuration(7, "/seven/") {
			t.Errorf("%d reads %s", vm, got)
		}
	}
	// Resent, older and raced changes are acknowledged and change nothing.
	for _, text := range []string{configuration(7, "/seven/"), configuration(5, "/five/"), configuration(7, "/other/")} {
		until(t, 1, http.MethodPost, platform.PathPutConfig, text, http.StatusOK)
	}
	for _, text := range []string{`{"version":9`, configuration(9, "noslash"), unknownService} {
		if status, _ := call(t, 2, http.MethodPost, platform.PathPutConfig, text); status != http.StatusBadRequest {
			t.Errorf("status %d for %s", status, text)
		}
	}
	until(t, 2, http.MethodPost, platform.PathPutVersion, `{"model":"m","version":2}`, http.StatusOK)
	// All stop and start again with what their disks hold.
	for _, stop := range stops {
		stop()
	}
	for vm := range vms {
		sets[vm].FirstStart = false
		start(t, sets[vm])
	}
	if got := until(t, 2, http.MethodGet, platform.PathGetConfig, "", http.StatusOK); got != configuration(7, "/seven/") {
		t.Errorf("after the restart: %s", got)
	}
}

func TestReadsWithoutAQuorumAreRefused(t *testing.T) {
	stops := make([]func(), vms)
	for vm := range vms {
		stops[vm] = start(t, settings(t, vm, true))
	}
	until(t, 0, http.MethodPost, platform.PathPutConfig, configuration(1, "/a/"), http.StatusOK)
	stops[1]()
	stops[2]()
	until(t, 0, http.MethodGet, platform.PathGetConfig, "", http.StatusServiceUnavailable)
	if status, _ := call(t, 0, http.MethodPost, platform.PathPutConfig, configuration(2, "/b/")); status != http.StatusServiceUnavailable {
		t.Errorf("a change without a quorum has status %d", status)
	}
}

func TestEmptyDiskNeverFoundsACluster(t *testing.T) {
	for vm := range vms {
		start(t, settings(t, vm, false))
	}
	time.Sleep(time.Second) // a cluster would be founded by then
	if status, _ := call(t, 0, http.MethodPost, platform.PathPutConfig, configuration(1, "/a/")); status != http.StatusServiceUnavailable {
		t.Errorf("status %d from processes that lost everything", status)
	}
}

func TestFollowersHearOfServersConfigurationsAndVersions(t *testing.T) {
	for vm := range vms {
		start(t, settings(t, vm, true))
	}
	set := settings(t, 0, true)
	dialer := &link.Dialer{Auth: link.Authenticator{Open: true}, Self: func() wire.Hello {
		return wire.Hello{Name: "entry-1", Role: wire.RoleEntry}
	}}
	follower := feed.NewFollower(feed.FollowerConfig{
		Seeds: feed.PeerAddresses(&set),
	}, dialer, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	go follower.Run(t.Context())
	until(t, 0, http.MethodPost, platform.PathPutConfig, configuration(3, "/c/"), http.StatusOK)
	until(t, 1, http.MethodPost, platform.PathPutVersion, `{"model":"m","version":4}`, http.StatusOK)
	beat := func(state string, seq int) string {
		text, _ := json.Marshal(map[string]any{"service": "s", "addr": "10.0.0.1:1", "state": state, "seq": seq, "born": 9, "slots": 4})
		return string(text)
	}
	until(t, 2, http.MethodPost, platform.PathHeartbeat+"i-1", beat("ready", 1), http.StatusOK)
	await(t, "everything", func() bool {
		v := follower.View()
		return v.Config != nil && v.Config.Version == 3 && v.Weights["m"].Newest() == 4 && len(v.Servers["s"]) == 1
	})
	agent := &link.Dialer{Auth: link.Authenticator{Open: true}, Handler: newsOf{}, Self: func() wire.Hello {
		return wire.Hello{Name: "agent-1", Role: wire.RoleAgent}
	}}
	c, err := agent.Dial(t.Context(), set.PeerAddress(ip(1)))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for id, born := range map[string]int64{"i-1": 8, "i-3": 1} {
		announced := directory.Server{ID: id, Service: "s", Address: "10.0.0." + id[2:] + ":1", State: directory.Ready, Born: born}
		if err := c.Notify(wire.KindServer, announced); err != nil {
			t.Fatal(err)
		}
	}
	await(t, "the announced server", func() bool { return len(follower.View().Servers["s"]) == 2 })
	if first := follower.View().Servers["s"][0]; first.ID != "i-1" || first.Born != 9 {
		t.Errorf("an announcement replaced what the server said later: %+v", first)
	}
	until(t, 1, http.MethodPost, platform.PathLeave+"i-3", "", http.StatusOK)
	if status, _ := call(t, 0, http.MethodPost, platform.PathHeartbeat+"i-2", `{"service":"s"`); status != http.StatusBadRequest {
		t.Errorf("an unreadable heartbeat has status %d", status)
	}
	until(t, 0, http.MethodPost, platform.PathHeartbeat+"i-1", beat("draining", 2), http.StatusOK)
	await(t, "the drain", func() bool { return follower.View().Servers["s"][0].State == directory.Draining })
	until(t, 1, http.MethodPost, platform.PathLeave+"i-1", "", http.StatusOK)
	await(t, "the leave", func() bool { return len(follower.View().Servers["s"]) == 0 })
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the follower never heard of %s", what)
		}
	}
}

// newsOf gathers the signs of life that a follower is sent.
type newsOf struct{ alive chan string }

func (n newsOf) Notify(_ *link.Conn, _ wire.Kind, body cbor.RawMessage) {
	var news wire.News
	if cbor.Unmarshal(body, &news) != nil {
		return
	}
	for _, id := range news.Alive {
		select {
		case n.alive <- id:
		default:
		}
	}
}

func (n newsOf) Call(context.Context, *link.Conn, wire.Kind, cbor.RawMessage) (any, error) {
	return nil, result.New(result.BadMessage, "not served")
}

// A follower forgets servers of which it hears nothing for long, also an agent.
func TestFollowersHearThatServersAreAlive(t *testing.T) {
	for vm := range vms {
		start(t, settings(t, vm, true))
	}
	text := `{"service":"s","addr":"10.0.0.1:1","state":"ready","seq":1,"born":9,"slots":4}`
	until(t, 0, http.MethodPost, platform.PathHeartbeat+"i-1", text, http.StatusOK)
	roles := map[string]bool{wire.RoleEntry: false, wire.RoleAgent: true}
	heard := map[string]chan string{}
	for role, relay := range roles {
		handler := newsOf{alive: make(chan string, 1)}
		dialer := &link.Dialer{Auth: link.Authenticator{Open: true}, Handler: handler, Self: func() wire.Hello {
			return wire.Hello{Name: role, Role: role}
		}}
		c, err := dialer.Dial(t.Context(), net.JoinHostPort(ip(0), fmt.Sprint(peerPort)))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if err := c.Call(t.Context(), wire.KindFollow, wire.Follow{Relay: relay}, nil); err != nil {
			t.Fatal(err)
		}
		heard[role] = handler.alive
	}
	// The same heartbeat again: nothing has changed but that the server lives.
	until(t, 0, http.MethodPost, platform.PathHeartbeat+"i-1", text, http.StatusOK)
	late := time.After(feed.AliveInterval + 4*feed.TickInterval)
	for role := range roles {
		select {
		case id := <-heard[role]:
			if id != "i-1" {
				t.Errorf("%s heard of %s", role, id)
			}
		case <-late:
			t.Fatalf("%s does not hear that the server is alive", role)
		}
	}
}

func TestAgentLeavesAControlProcessThatLacksTheConfiguration(t *testing.T) {
	var stops []func()
	for vm := range vms {
		stops = append(stops, start(t, settings(t, vm, true)))
	}
	until(t, 0, http.MethodPost, platform.PathPutConfig, configuration(3, "/c/"), http.StatusOK)
	stops[2]()
	empty := settings(t, 2, false)
	// It does not find the others, and so stays without the configuration.
	empty.Seeds = []string{net.JoinHostPort(ip(8), fmt.Sprint(operatorPort))}
	start(t, empty)
	set := settings(t, 0, true)
	dialer := &link.Dialer{Auth: link.Authenticator{Open: true}, Self: func() wire.Hello {
		return wire.Hello{Name: "agent-1", Role: wire.RoleAgent}
	}}
	follower := feed.NewFollower(feed.FollowerConfig{
		Seeds: []string{set.PeerAddress(ip(2))}, Relay: true, LazyConfig: true,
	}, dialer, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	go follower.Run(t.Context())
	// The link may be given up again at once.
	for i := 0; i < 100 && follower.Links() == 0; i++ {
		time.Sleep(10 * time.Millisecond)
	}
	follower.AddControls([]string{set.PeerAddress(ip(0)), set.PeerAddress(ip(1))})
	await(t, "the configuration", func() bool { return follower.View().Config != nil })
}
