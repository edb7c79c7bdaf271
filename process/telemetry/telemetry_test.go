package telemetry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

func TestMetricsAreServedUnderTheirNames(t *testing.T) {
	scope, handler, closer := NewMetrics("entry-1")
	scope.SubScope("api").Counter("requests").Inc(3)
	scope.Timer("wait").Record(time.Millisecond)
	if err := closer.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, wire.PathMetrics, nil))
	if body := w.Body.String(); !strings.Contains(body, `waxwingpost_api_requests{process="entry-1"} 3`) {
		t.Errorf("counter is missing:\n%s", body)
	}
}

func TestLogWritesOneLinePerEvent(t *testing.T) {
	var out bytes.Buffer
	log, err := NewLogger(&out, "info", "entry-1")
	if err != nil {
		t.Fatal(err)
	}
	log.Info("edit accepted", "file", "a b.yaml", "revision", 3)
	line := out.String()
	if strings.Count(line, "\n") != 1 || !strings.Contains(line, `process=entry-1 file="a b.yaml" revision=3`) {
		t.Errorf("got %q", line)
	}
}

func TestStateDumpContainsEveryPart(t *testing.T) {
	var s State
	s.Add("one", func() any { return 1 })
	s.Add("two", func() any { return []string{"x"} })
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, wire.PathState, nil))
	if body := w.Body.String(); !strings.Contains(body, `"one": 1`) || !strings.Contains(body, `"two"`) {
		t.Errorf("got %s", body)
	}
}

func TestUnknownExplainQueryIsNotFound(t *testing.T) {
	h := ExplainHandler(func(string) (any, error) { return nil, result.New(result.NotFound, "x") })
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, wire.PathExplain+"?q=revision:9", nil))
	if w.Code != 404 {
		t.Errorf("status %d", w.Code)
	}
}

func TestErrorsAreLoggedWithoutStack(t *testing.T) {
	var out bytes.Buffer
	log, err := NewLogger(&out, "info", "p")
	if err != nil {
		t.Fatal(err)
	}
	log.Info("event", "error", errors.Wrap(errors.New("inner"), "outer"))
	if line := out.String(); !strings.Contains(line, `error="outer: inner"`) || strings.Contains(line, "telemetry_test.go") {
		t.Errorf("logged %q", line)
	}
}
