package stream

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// TestRequestResentByTransportIsNotReportedAsNeverSent aborts a kept-alive
// connection after the request has run and refuses new connections. The
// transport resends a request without a body and then reports that it could
// not connect, although the request was run.
func TestRequestResentByTransportIsNotReportedAsNeverSent(t *testing.T) {
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
		t.Errorf("a request that ran was reported as never sent: %v", err)
	}
	if err := get("/third"); err == nil || !NeverSent(err) {
		t.Errorf("a refused connection was not reported as never sent: %v", err)
	}
}
