package forward

import (
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/process/deployment"
)

// blockedWriter blocks every Write until it is closed.
type blockedWriter chan struct{}

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w
	return len(p), nil
}

// Answers at their deadline were late because each was sent after its line of the log, which a loaded machine delays.
func TestAnswerDoesNotWaitForTheLog(t *testing.T) {
	for name, c := range map[string]struct {
		respond respondFunc
		path    string
		status  int
	}{
		"success":      {echo, "/p/x", http.StatusOK},
		"refusal":      {echo, "/nothing", http.StatusNotFound},
		"server error": {fail, "/p/x", http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry(t, testConfig(deployment.Unrepeatable, 5*time.Second), newFakeServer(t, "s1", c.respond))
			blocked := make(blockedWriter)
			e.handler.log = slog.New(slog.NewTextHandler(blocked, nil))
			type answer struct {
				status int
				err    error
			}
			got := make(chan answer, 1)
			go func() {
				resp, _, err := e.send(t, func(r *http.Request) { r.URL.Path = c.path })
				a := answer{err: err}
				if resp != nil {
					a.status = resp.StatusCode
				}
				got <- a
			}()
			select {
			case a := <-got:
				if a.err != nil || a.status != c.status {
					t.Errorf("status %d, error %v", a.status, a.err)
				}
				close(blocked)
			case <-time.After(10 * time.Second):
				t.Error("no answer while the log is blocked")
				close(blocked)
				<-got
			}
		})
	}
}

// fail responds with a signed error.
func fail(s *fakeServer, w http.ResponseWriter, r *http.Request) {
	s.startResponse(w, r)
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "failed")
}
