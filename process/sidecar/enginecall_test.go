package sidecar

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/waxwingpost/waxwingpost/connection/httphead/httpheadtest"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

// newRawEngineTest returns the updater of an agent that has version 2, and whose engine writes
// the same bytes to every request and closes the connection.
func newRawEngineTest(t *testing.T, text string) *updater {
	t.Helper()
	u := newTestUpdater(t, httpheadtest.RawResponse(text))
	addVersion(t, u, 2)
	return u
}

// An order that is taken for refused may be executed later.
func TestOrderWithABrokenRefusalIsUnknown(t *testing.T) {
	for _, rest := range []string{
		"\r\n\r\nst", "\r\nContent-Length: 5\r\n\r\nst", "\r\nContent-Length : 5\r\n\r\nst", "\r\nContent-Length: 0\r\n\r\nstale",
		"\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nst\r\n", "\r\nA name: b\r\nContent-Length: 5\r\n\r\nstale",
	} {
		for _, status := range []int{http.StatusNotFound, http.StatusConflict, http.StatusServiceUnavailable} {
			u := newRawEngineTest(t, fmt.Sprintf("HTTP/1.1 %d No%s", status, rest))
			if err := u.postOrder(t.Context(), stagingBorn, []byte("{}")); result.CodeOf(err) != result.EngineUnreadable {
				t.Errorf("status %d, %q: %v", status, rest, err)
			}
		}
	}
}

// A part of a staged piece is no corrupt one, and a refusal that was cut off no missing one.
func TestReadBackThatMayBeCutOffIsNotRead(t *testing.T) {
	key, whole := pieces.Key{Model: "m", Version: 2}, string(stagingPiece(2, 1))
	for _, text := range []string{"HTTP/1.1 200 OK\r\n\r\n" + whole[:3], "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 404 Not Found\r\n\r\nno"} {
		if staged, err := newRawEngineTest(t, text).stagedDigest(t.Context(), key, 1); result.CodeOf(err) != result.EngineUnreadable {
			t.Errorf("%q: read as %x, %v", text, staged, err)
		}
	}
	if _, err := newRawEngineTest(t, "HTTP/1.1 200 OK\r\n\r\n"+whole).stagedDigest(t.Context(), key, 1); err != nil {
		t.Errorf("a whole piece without framing: %v", err)
	}
}

// A report has no digest, and needs no framing: a part of a JSON object does not decode.
func TestPartOfAReportIsNotRead(t *testing.T) {
	const whole = `{"models":[{"name":"m","version":2}],"busy":false,"born":9,"seq":1}`
	for length := range whole {
		if r, err := newRawEngineTest(t, "HTTP/1.1 200 OK\r\n\r\n"+whole[:length]).engineReport(t.Context()); err == nil {
			t.Errorf("%q: read as %+v", whole[:length], r)
		}
	}
	if _, err := newRawEngineTest(t, "HTTP/1.1 200 OK\r\n\r\n"+whole).engineReport(t.Context()); err != nil {
		t.Error(err)
	}
}
