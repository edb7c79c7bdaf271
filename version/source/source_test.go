package source

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/httphead/httpheadtest"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

func startSource(t *testing.T, h http.HandlerFunc) wire.Source {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return wire.Source{Name: "origin", Address: srv.Listener.Addr().String()}
}

func TestContentReturnsRange(t *testing.T) {
	content := []byte("0123456789")
	src := startSource(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/models/a/content" {
			t.Errorf("got a request for path %s", r.URL.Path)
		}
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(content))
	})
	body, err := OpenContent(context.Background(), http.DefaultClient, src, "/models/a/", 3, 4)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = body.Close() }()
	if got, _ := io.ReadAll(body); string(got) != "3456" {
		t.Errorf("got %q", got)
	}
}

func TestContentRejectsOtherRange(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"whole": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("0123456789")) },
		"other": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Range", "bytes 0-3/10")
			w.WriteHeader(http.StatusPartialContent)
		},
		"missing": http.NotFound,
	} {
		if _, err := OpenContent(context.Background(), http.DefaultClient, startSource(t, h), "a", 3, 4); result.CodeOf(err) != result.SourceFailed {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestThrottledSourceReturnsRetryAfter(t *testing.T) {
	for header, want := range map[string]time.Duration{"7": 7 * time.Second, "": defaultRetryAfter, "x": defaultRetryAfter, "99999": maxRetryAfter} {
		src := startSource(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", header)
			w.WriteHeader(http.StatusTooManyRequests)
		})
		_, err := OpenContent(context.Background(), http.DefaultClient, src, "a", 0, 1)
		if result.CodeOf(err) != result.SourceThrottled || result.From(err).RetryAfter != want {
			t.Errorf("%q: %v, RetryAfter %v", header, err, result.From(err).RetryAfter)
		}
	}
}

func TestManifestIsValidated(t *testing.T) {
	good, err := json.Marshal(manifest.Build("v", []byte("weights"), 4))
	if err != nil {
		t.Fatal(err)
	}
	for name, body := range map[string]string{
		"invalid json": "<html>",
		"no chunks":    `{"version":"v","chunks":[]}`,
		"too long":     strings.Repeat(" ", maxManifestBytes+1),
	} {
		src := startSource(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		if _, err := ReadManifest(context.Background(), http.DefaultClient, src, "a"); result.CodeOf(err) != result.ManifestInvalid {
			t.Errorf("%s: %v", name, err)
		}
	}
	src := startSource(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(good) })
	if m, err := ReadManifest(context.Background(), http.DefaultClient, src, "a"); err != nil || m.Size() != 7 {
		t.Errorf("valid manifest: %v", err)
	}
}

// A manifest carries no digest, and a source may send it without framing.
func TestPartOfAManifestIsInvalid(t *testing.T) {
	whole, err := json.Marshal(manifest.Build("v", []byte("weights"), 4))
	if err != nil {
		t.Fatal(err)
	}
	for length := range len(whole) {
		src := startSource(t, httpheadtest.RawResponse("HTTP/1.1 200 OK\r\n\r\n"+string(whole[:length])).ServeHTTP)
		if _, err := ReadManifest(t.Context(), http.DefaultClient, src, "a"); result.CodeOf(err) != result.ManifestInvalid {
			t.Errorf("%q: %v", whole[:length], err)
		}
	}
}
