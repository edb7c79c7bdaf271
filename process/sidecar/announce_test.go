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
	"github.com/waxwingpost/waxwingpost/process/base"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/obs"
)

// newTestKeeper returns the keeper of an agent beside an engine.
func newTestKeeper(t *testing.T, engine http.Handler) *keeper {
	t.Helper()
	srv := httptest.NewServer(engine)
	t.Cleanup(srv.Close)
	set := platform.Settings{
		VM: "side-1", IP: "127.0.0.1", Zone: "z", BackendAddress: srv.Listener.Addr().String(), BackendService: "s",
	}
	return New(set, &base.Base{
		Auth: link.Authenticator{Open: true}, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler),
		Scope: tally.NoopScope, Stats: &link.Stats{}, Dump: &obs.State{},
	}).keeper
}

func TestEngineIsDescribedAsItWouldItself(t *testing.T) {
	status := http.StatusOK
	k := newTestKeeper(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			t.Errorf("asked for %s", r.URL.Path)
		}
		w.Header().Set(platform.HeaderServer, "i-1")
		w.WriteHeader(status)
	}))
	service := &deployment.Service{Name: "s", HealthPath: "/health"}
	report := platform.EngineReport{Born: 9, Held: []directory.Weights{{Model: "m", Version: 2}}}
	got, err := k.self(t.Context(), service, report)
	want := directory.Server{
		ID: "i-1", Service: "s", Address: k.s.set.BackendAddress, Zone: "z", State: directory.Ready, Born: 9,
		Engine: true, Held: report.Held,
	}
	if err != nil || !got.EqualIgnoringSeq(&want) {
		t.Errorf("described as %+v, %v", got, err)
	}
	status = http.StatusServiceUnavailable
	if _, err := k.self(t.Context(), service, report); err == nil {
		t.Error("an engine that leaves is announced")
	}
}
