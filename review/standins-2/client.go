package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	tenant    = "bozi300"
	tenantKey = "jnbanfqasnmgkcuyj8pj"
	host      = "hulo84.example"
)

// route returns a route of a configuration.
func route(name, prefix, kind, service string, timeout, target int) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "type": kind, "timeoutMs": timeout, "latencyTargetMs": target, "priority": 1,
		"service": service, "maxAttempts": 2, "public": false,
	}
	if kind == "stream" {
		r["sticky"], r["resumable"], r["itlTargetMs"] = true, true, 400
	}
	return r
}

// plainService and modelService return services of a configuration.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false}
}

func modelService(name, model string, slots int) map[string]any {
	s := plainService(name)
	s["maxConns"] = 284
	s["engine"] = map[string]any{
		"slots": slots, "kvCapacity": 1180000, "kvTokenBytes": 163840, "linkMbps": 400000.0, "stride": 5,
		"models": []map[string]any{{"name": model, "pace": 1.0, "loadS": 4.0, "warmS": 0.3}}, "sizeMb": 266000.0,
		"step_ms": 8.87, "per_seq_ms": 0.0388, "context_per_k": 0.0227, "read_per_s": 19100.0, "pairs_per_m": 1.47, "chunk": 2048,
		"report_lag_ms": 200.0, "usual": map[string]any{"prompt": 977, "answer": 94}, "layers": 16,
	}
	return s
}

func config(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{tenantKey}, "priority": 1}},
	}
}

// request is one client attempt.
type request struct {
	method, path string
	header       map[string]string
	body         string
	deadline     time.Duration
}

// answer is what a client got; status 0 means no answer.
type answer struct {
	id       string
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
}

var (
	lastID  atomic.Int64
	idStart = time.Now().UnixNano() & 0xffffffff
)

func newID() string { return fmt.Sprintf("%08x%08x", idStart, lastID.Add(1)) }

// ask sends a request on a new connection and reads the whole answer.
func ask(ctx context.Context, address string, q request) (a answer) {
	a.id = newID()
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.deadline))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", q.method, q.path, host, a.id, q.deadline.Milliseconds(), tenantKey)
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if q.method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n")
	}
	b.WriteString("\r\n" + q.body)
	if _, a.err = conn.Write(b.Bytes()); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = resp.StatusCode, resp.Header
	a.body, a.err = io.ReadAll(resp.Body)
	a.complete = a.err == nil
	return a
}
