package stream

import (
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// TestRefusalWithUnreadBodyKeepsTheConnection refuses requests without reading
// their bodies; the server must not panic because of the unread part.
func TestRefusalWithUnreadBodyKeepsTheConnection(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		EnableEarlyResponse(w)
		w.WriteHeader(http.StatusServiceUnavailable)
		DrainRequestBody(r)
	}))
	var mu sync.Mutex
	var logged strings.Builder
	server.Config.ErrorLog = log.New(writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return logged.Write(p)
	}), "", 0)
	server.Start()
	defer server.Close()
	transport := NewTransport()
	defer transport.CloseIdleConnections()
	client := Client{Transport: transport}
	for range 50 {
		req, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader(strings.Repeat("x", 500)))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if err := resp.Body.Close(); err != nil {
			t.Fatal(err)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if logged.Len() > 0 {
		t.Errorf("the server logged %s", logged.String()[:200])
	}
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
