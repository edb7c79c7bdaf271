package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Routes of the configuration.
const (
	submitHost, submitPath = "jepu9.example", "/lepu270/"
	staffHost, staffPath   = "voka93.example", "/filo73/"
	boothService           = "huvo11a"
	staffService           = "kafi81c"
	lookupHost, lookupPath = "jepu9.example", "/moza41/"
	draftHost, draftPath   = "hulo84.example", "/xapu221/"
	draftService           = "wuno96b"
	draftKey               = "jnbanfqasnmgkcuyj8pj"
)

// moreRoutes is the number of further routes of each configuration.
var moreRoutes int

// config returns a configuration with three services.
func config(version int) map[string]any {
	route := func(name, host, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "type": kind, "timeoutMs": 2500, "latencyTargetMs": 150,
			"priority": 2, "service": service, "maxAttempts": 1, "public": true, "sticky": false, "resumable": false,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 49, "protocol": "h1", "tls": false}
	}
	lookup := route("r-lookup", lookupHost, lookupPath, "safe", boothService)
	lookup["maxAttempts"] = 2
	draft := route("r-draft", draftHost, draftPath, "stream", draftService)
	draft["sticky"], draft["public"] = true, false
	draft["timeoutMs"], draft["latencyTargetMs"], draft["itlTargetMs"], draft["maxAttempts"], draft["resumable"] = 6000, 500, 400, 2, true
	routes := []any{lookup, route("r-submit", submitHost, submitPath, "unsafe", boothService), route("r-staff", staffHost, staffPath, "unsafe", staffService), draft}
	for range moreRoutes {
		routes = append(routes, route(fmt.Sprintf("r-%08x", rand.Uint32()), fmt.Sprintf("h%08x.example", rand.Uint32()), fmt.Sprintf("/p%08x/", rand.Uint32()), "unsafe", boothService))
	}
	return map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []any{service(boothService), service(staffService), service(draftService)},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "bozi300", "apiKeys": []string{draftKey}, "priority": 1}},
	}
}

// putConfig sends a configuration until it is acknowledged or the time is over.
func putConfig(rec *record, controls []string, version int, within time.Duration) bool {
	deadline := time.Now().Add(within)
	tries := 0
	for time.Now().Before(deadline) {
		for _, c := range controls {
			tries++
			status := post(c, "/-/Config.Put", config(version))
			if status == http.StatusOK {
				rec.add("configuration %d acknowledged by %s after %d calls", version, c, tries)
				return true
			}
			if status >= 400 && status < 500 {
				rec.add("configuration %d refused by %s with %d", version, c, status)
				return false
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	rec.add("configuration %d not acknowledged in %v, %d calls", version, within, tries)
	return false
}

var nextID atomic.Int64

// answer is what a client got.
type answer struct {
	id, body, signature string
	status              int
	err                 error
	sent                time.Time
}

// bodyOf returns the body of the request with an id.
func bodyOf(id string) string { return "order=" + id + "&copies=1" }

// client sends requests on connections that it keeps.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// send sends one request to an entry.
func send(rec *record, entry *machine, host, path string) answer {
	id := newID()
	return sendAs(rec, entry, host, path+id, id, bodyOf(id))
}

// sendBody sends one request with a path, a query and a body.
func sendBody(rec *record, entry *machine, host, target, body string) answer {
	return sendAs(rec, entry, host, target, newID(), body)
}

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2a00000+nextID.Add(1)) }

// sendPrompt asks for a stream with a prompt.
func sendPrompt(rec *record, entry *machine, prefix string) answer {
	id := newID()
	return sendAs(rec, entry, draftHost, draftPath+id, id, bodyOf(id), "Authorization", "Bearer "+draftKey,
		"Model", "daka510000", "Token-Count", "850,50", "Prompt-Prefix", prefix+","+id[8:]+":10")
}

// sendAs sends one request, with more headers as names and values.
func sendAs(rec *record, entry *machine, host, target, id, body string, headers ...string) answer {
	a := answer{id: id, sent: time.Now()}
	deadline := 2500 * time.Millisecond
	if host == draftHost {
		deadline = 6 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.address(frontPort)+target, strings.NewReader(body))
	req.Host = host
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	rec.add("client sends %s to %s: POST %s%s %q", a.id, entry.name, host, target, headers)
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		rec.add("client gets no answer to %s: %v", a.id, err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	a.status, a.body, a.signature, a.err = resp.StatusCode, string(got), resp.Header.Get("Signature"), err
	rec.add("client gets %d to %s, signature %q, body %q", a.status, a.id, a.signature, a.body)
	return a
}

// awaitReady waits until the entry says that it is ready.
func awaitReady(m *machine, within time.Duration) bool {
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		resp, err := caller.Get("http://" + m.address(readyPort) + "/-/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
