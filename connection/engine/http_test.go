package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// newFixedDriver returns a driver for a server that sends the same response to
// every request.
func newFixedDriver(t *testing.T, status int, body string) *HTTPDriver {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return NewHTTP(strings.TrimPrefix(server.URL, "http://"), nil, 5*time.Second)
}

func TestOrderStatusMapsToResultCode(t *testing.T) {
	cases := map[int]result.Code{
		http.StatusOK: result.OK, http.StatusAccepted: result.OK,
		http.StatusConflict:            result.StaleFence,
		http.StatusUnprocessableEntity: result.EngineRefused, http.StatusFound: result.EngineRefused,
		// With these statuses it is unknown whether the engine accepted the order.
		http.StatusInternalServerError: result.EngineUnreadable, http.StatusGatewayTimeout: result.EngineUnreadable,
	}
	for status, want := range cases {
		d := newFixedDriver(t, status, "detail")
		ctx, fence := context.Background(), control.Fence{Index: 1}
		for name, err := range map[string]error{
			"load": d.Load(ctx, LoadOrder{}), "unload": d.Unload(ctx, fence, "v1"),
			"drain": d.Drain(ctx, fence), "cancel": d.Cancel(ctx, "r1"),
		} {
			if got := result.CodeOf(err); got != want {
				t.Errorf("%s with status %d: code %d, want %d", name, status, got, want)
			}
		}
	}
	unreachable := NewHTTP("127.0.0.1:1", nil, time.Second)
	if got := result.CodeOf(unreachable.Load(context.Background(), LoadOrder{})); got != result.EngineUnreadable {
		t.Errorf("unreachable engine: code %d", got)
	}
}

func TestInvalidReportIsUnreadable(t *testing.T) {
	valid := `{"version":"v1","state":"ready","slots":4}`
	if r, err := newFixedDriver(t, http.StatusOK, valid).Report(context.Background()); err != nil || r.Version != "v1" || r.Slots != 4 {
		t.Errorf("report %+v, %v", r, err)
	}
	for _, body := range []string{"", valid[:20], `{"state":"dancing"}`, `{"state":"ready","digest":"blake3:00"}`, `[]`} {
		if _, err := newFixedDriver(t, http.StatusOK, body).Report(context.Background()); result.CodeOf(err) != result.EngineUnreadable {
			t.Errorf("report %q: %v", body, err)
		}
	}
	if _, err := newFixedDriver(t, http.StatusBadGateway, valid).Report(context.Background()); result.CodeOf(err) != result.EngineUnreadable {
		t.Errorf("status 502: %v", err)
	}
}
