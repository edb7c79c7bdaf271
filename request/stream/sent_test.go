package stream

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// TestRepeatedByTheTransportIsNotNeverSent breaks a kept connection once the
// request has run and refuses new ones. The transport sends a request without
// a body again by itself and then reports that it could not connect; the
// request was run all the same.
func TestRepeatedByTheTransportIsNotNeverSent(t *testing.T) {
	var runs atomic.Int32
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.URL.Path == "/first" {
			return
		}
		if err := server.Listener.Close(); err != nil {
			t.Error(err)
		}
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	transport := NewTransport()
	defer transport.CloseIdleConnections()
	client := Client{Transport: transport}
	get := func(path string) error {
		req, err := http.NewRequest(http.MethodGet, server.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err == nil {
			err = resp.Body.Close()
		}
		return err
	}
	if err := get("/first"); err != nil {
		t.Fatal(err)
	}
	err := get("/second")
	if err == nil || runs.Load() != 2 {
		t.Fatalf("err %v after %d runs", err, runs.Load())
	}
	if NeverSent(err) {
		t.Errorf("a request that ran is called never sent: %v", err)
	}
	if err := get("/third"); err == nil || !NeverSent(err) {
		t.Errorf("a refused connection is not called never sent: %v", err)
	}
}
