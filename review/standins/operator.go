package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// newHTTPClient returns a client for short calls. Each call has a connection of its
// own.
func newHTTPClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// call makes a call and returns the status, or 0 without an answer.
func call(timeout time.Duration, method, url string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := newHTTPClient(timeout).Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// put sends an operator's change to the control addresses in turn until one
// acknowledges it or the time is over. It returns whether it was acknowledged.
func (s *site) put(what, path string, body any, controls []string, limit time.Duration) bool {
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	for deadline, i := time.Now().Add(limit), 0; time.Now().Before(deadline); i++ {
		at := controls[i%len(controls)]
		status, _ := call(1200*time.Millisecond, http.MethodPost, "http://"+at+path, data)
		if status == http.StatusOK {
			s.note("operator: %s acknowledged by %s", what, at)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.note("operator: %s not acknowledged within %s", what, limit)
	return false
}

// readVersion reads the configuration at one control address and returns the status
// and the version.
func readVersion(at string) (int, int) {
	status, data := call(1500*time.Millisecond, http.MethodGet, "http://"+at+"/-/Config.Get", nil)
	var c struct {
		Version int `json:"version"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &c) != nil {
		return status, 0
	}
	return status, c.Version
}
