package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/waxwingpost/waxwingpost/process/deployment"
)

// respondWith sends a signed response with the given status, content type and body.
func respondWith(status int, contentType, body string) respondFunc {
	return func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		s.startResponse(w, r)
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

const errorHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\noops\n\n"

// resumedWith lets every server break off a new stream after three events, and answer one
// that is resumed with respond.
func resumedWith(respond respondFunc) respondFunc {
	return func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			streamEvents(6, 3)(s, w, r)
			return
		}
		respond(s, w, r)
	}
}

// A stream that broke off after its first events continues with whole events, or its
// connection is aborted: it never contains the error of the next server, and never ends as if
// it were complete.
func TestErrorOfTheNextServerNeverEntersAStream(t *testing.T) {
	for name, respond := range map[string]respondFunc{
		"a rejection with text":           respondWith(http.StatusBadRequest, "text/plain", "bad request\n\nno such event\n\n"),
		"a rejection with JSON":           respondWith(http.StatusNotFound, "application/json", `{"error":"gone"}`),
		"a rejection without a body":      respondWith(http.StatusBadRequest, "text/plain", ""),
		"a rejection as an event stream":  respondWith(http.StatusConflict, "text/event-stream", "id: 4\ndata: conflict\n\n"),
		"an error with text":              respondWith(http.StatusInternalServerError, "text/plain", "oops\n\n"),
		"an error without a body":         respondWith(http.StatusBadGateway, "text/plain", ""),
		"a plain success":                 respondWith(http.StatusOK, "text/plain", "id: 4\ndata: event 4\n\n"),
		"an empty stream":                 respondWith(http.StatusOK, "text/event-stream", ""),
		"a stream of blank lines":         respondWith(http.StatusOK, "text/event-stream", "\n\n\n\n"),
		"a stream of an error's head":     respondWith(http.StatusOK, "text/event-stream", errorHead),
		"a stream of an error's text":     respondWith(http.StatusOK, "text/event-stream", "Internal Server Error\n\n"),
		"an event within an error's head": respondWith(http.StatusOK, "text/event-stream", "HTTP/1.1 500 Oops\nid: 4\ndata: x\n\n"),
		"only events that were sent":      respondWith(http.StatusOK, "text/event-stream", expectedStream(3)),
		"a refusal":                       refuseBusy,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s1, s2 := newFakeServer(t, "s1", resumedWith(respond)), newFakeServer(t, "s2", resumedWith(respond))
			e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), s1, s2)
			if _, body, err := e.send(t, nil); err == nil || body != expectedStream(3) {
				t.Errorf("got error %v and body %q", err, body)
			}
		})
	}
}

// A server that writes an error into its own stream has broken it off. The stream goes on
// with the next event of another server.
func TestErrorWithinAStreamIsNotForwarded(t *testing.T) {
	for name, inserted := range map[string]string{
		"head and text": errorHead,
		"text":          "upstream connect error\n\n",
		"JSON":          `{"error":{"code":503}}` + "\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			respond := func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last-Event-Id") != "" {
					streamEvents(6, 0)(s, w, r)
					return
				}
				s.startResponse(w, r)
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = fmt.Fprint(w, expectedStream(3), inserted)
			}
			e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), newFakeServer(t, "s1", respond), newFakeServer(t, "s2", respond))
			if _, body, err := e.send(t, nil); err != nil || body != expectedStream(6) {
				t.Errorf("got error %v and body %q", err, body)
			}
		})
	}
}

// Before the first event, an error of a server is its whole answer.
func TestErrorBeforeTheFirstEventIsForwardedWhole(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusNotFound, http.StatusInternalServerError} {
		for _, body := range []string{"", "no blank line", "with\n\nblank lines\n\n"} {
			t.Run(fmt.Sprintf("status %d, body %q", status, body), func(t *testing.T) {
				t.Parallel()
				e := newTestEntry(t, testConfig(deployment.Stream, testTimeout), newFakeServer(t, "s1", respondWith(status, "text/plain", body)))
				resp, got, err := e.send(t, nil)
				if err != nil || resp.StatusCode != status || got != body || !strings.HasPrefix(resp.Header.Get("Signature"), "signed-by") {
					t.Errorf("got response %v, body %q, error %v", resp, got, err)
				}
			})
		}
	}
}

func TestEventsWithoutIDsAreForwardedIfTheyAreEvents(t *testing.T) {
	for text, want := range map[string]bool{
		": comment\n\n":                                true,
		"weights-version: 3\nid: 7\ndata: x\n\n":       true,
		"event: ping\ndata: x\n\n":                     true,
		"data\n\n":                                     true,
		"\n\n":                                         true,
		"\r\n\r\n":                                     true,
		"HTTP/1.1 200 OK\n\n":                          false,
		"Content-Type: text/plain\n\n":                 false,
		"id: 7\ndata: x\nHTTP/1.1 200 OK\n\n":          false,
		"error: overloaded\n\n":                        false,
		"{\"error\":\"x\"}\n\n":                        false,
		"weights-version: 3\nContent-Length: 4\n\n":    false,
		"<html>\n\n":                                   false,
		"some text without a colon\n\n":                false,
		"id: 7\nsome-later-field: x\ndata: x\n\n":      true,
		"id: 7\nSome-Header: x\ndata: x\n\n":           false,
		"id: 7\n" + strings.Repeat("x", 1000) + "\n\n": false,
	} {
		_, hasID, _ := eventID([]byte(text))
		if got := wellFormed([]byte(text), hasID); got != want {
			t.Errorf("%.60q: well-formed %v, want %v", text, got, want)
		}
	}
}
