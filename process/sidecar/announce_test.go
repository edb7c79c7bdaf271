package sidecar

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/runtime"
	"github.com/waxwingpost/waxwingpost/process/telemetry"
)

// newTestUpdater returns the updater of an agent on the VM of an engine.
func newTestUpdater(t *testing.T, engine http.Handler) *updater {
	t.Helper()
	srv := httptest.NewServer(engine)
	t.Cleanup(srv.Close)
	settings := platform.Settings{
		VM: "side-1", IP: "127.0.0.1", Zone: "z", BackendAddress: srv.Listener.Addr().String(), BackendService: "s",
	}
	return New(settings, &runtime.Runtime{
		Auth: link.Authenticator{AllowAll: true}, Clock: clockwork.NewRealClock(), AgeClock: boottime.System(), Log: slog.New(slog.DiscardHandler),
		Scope: tally.NoopScope, Stats: &link.Stats{}, Dump: &telemetry.State{},
	}).updater
}

func TestEngineIsDescribedLikeItsOwnHeartbeat(t *testing.T) {
	status := http.StatusOK
	u := newTestUpdater(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			t.Errorf("unexpected request for %s", r.URL.Path)
		}
		w.Header().Set(platform.HeaderServer, "i-1")
		w.WriteHeader(status)
	}))
	service := &deployment.Service{Name: "s", HealthPath: "/health"}
	report := platform.EngineReport{Born: 9, Held: []directory.ModelVersion{{Model: "m", Version: 2}}}
	got, err := u.describeEngine(t.Context(), service, report)
	want := directory.Server{
		ID: "i-1", Service: "s", Address: u.sidecar.settings.BackendAddress, Zone: "z", State: directory.Ready, Born: 9,
		Engine: true, Held: report.Held,
	}
	if err != nil || !got.EqualIgnoringSeq(&want) {
		t.Errorf("described as %+v, %v", got, err)
	}
	status = http.StatusServiceUnavailable
	if _, err := u.describeEngine(t.Context(), service, report); err == nil {
		t.Error("an engine that fails its health check was described")
	}
}
