package api_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/waxwingpost/waxwingpost/connection/session"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/api"

	"github.com/jonboulle/clockwork"
)

func TestUnsyncedEntryRefusesWithNotSynced(t *testing.T) {
	clock := clockwork.NewRealClock()
	synced := false
	a := api.New(api.Deps{
		Config:   func() (*config.Config, uint64) { return &config.Config{}, 0 },
		Sessions: session.New(session.Config{}, clock, nil),
		Clock:    clock,
		Synced:   func() bool { return synced },
	})
	post := func() *http.Response {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, wire.PathChat, http.NoBody)
		r.Header.Set(wire.HeaderAccount, "stewards")
		a.ServeHTTP(w, r)
		return w.Result()
	}
	got := post()
	if got.StatusCode != http.StatusServiceUnavailable || got.Header.Get(wire.HeaderCode) != "3025" {
		t.Errorf("status %d code %s, want 503 and %d", got.StatusCode, got.Header.Get(wire.HeaderCode), result.NotSynced)
	}
	if got.Header.Get(wire.HeaderRan) != result.NotRun.String() || got.Header.Get(wire.HeaderRetryAfter) == "" {
		t.Errorf("unexpected headers: %v", got.Header)
	}
	synced = true
	if got := post(); got.StatusCode != http.StatusForbidden {
		t.Errorf("status %d once synced", got.StatusCode)
	}
}
