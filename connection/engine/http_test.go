package engine

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/httphead/httpheadtest"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/intake"
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

// newRawDriver returns a driver for a server that writes the same bytes to every request and
// closes the connection.
func newRawDriver(t *testing.T, text string) *HTTPDriver {
	t.Helper()
	server := httptest.NewServer(httpheadtest.RawResponse(text))
	t.Cleanup(server.Close)
	return NewHTTP(strings.TrimPrefix(server.URL, "http://"), intake.CheckHeads(&http.Transport{DialContext: (&net.Dialer{}).DialContext}), 5*time.Second)
}

// An order that is taken for refused, or for accepted, is not sent again or not checked.
func TestOrderWithABrokenResponseIsUnknown(t *testing.T) {
	for _, status := range []string{"200 OK", "409 Conflict", "422 Unprocessable"} {
		for _, rest := range []string{
			"\r\n\r\ndet", "\r\nContent-Length: 6\r\n\r\ndet", "\r\nContent-Length : 6\r\n\r\ndet", "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ndet\r\n",
			"\r\nA name: b\r\nContent-Length: 6\r\n\r\ndetail",
		} {
			if err := newRawDriver(t, "HTTP/1.1 "+status+rest).Load(t.Context(), LoadOrder{}); result.CodeOf(err) != result.EngineUnreadable {
				t.Errorf("%s%q: %v", status, rest, err)
			}
		}
	}
}

// A report without framing is whole if its JSON is.
func TestPartOfAReportIsUnreadable(t *testing.T) {
	const valid = `{"version":"v1","state":"ready","slots":4}`
	for length := range valid {
		if r, err := newRawDriver(t, "HTTP/1.1 200 OK\r\n\r\n"+valid[:length]).Report(t.Context()); result.CodeOf(err) != result.EngineUnreadable {
			t.Errorf("%q: %+v, %v", valid[:length], r, err)
		}
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
