package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

func TestCheckContentDetectsPartialAndMixedWeights(t *testing.T) {
	a, b := Content("a", 4096), Content("b", 4096)
	if name, err := CheckContent(a); err != nil || name != "a" {
		t.Fatalf("%q %v", name, err)
	}
	mixed := append(bytes.Clone(a[:2048]), b[2048:]...)
	for name, data := range map[string][]byte{"partial": a[:4000], "mixed": mixed, "empty": nil} {
		if _, err := CheckContent(data); err == nil {
			t.Errorf("no error for %s weights", name)
		}
	}
}

func TestCheckAnswerDetectsFaults(t *testing.T) {
	text := strings.Join(answerTokens("കത്ത്", "v1", 30), "")
	if a, err := CheckAnswer("കത്ത്", text); err != nil || a.Version != "v1" || a.Tokens != 30 {
		t.Fatalf("%+v %v", a, err)
	}
	if _, err := CheckAnswer("other", text); !errors.Is(err, ErrWrongPrompt) {
		t.Errorf("wrong prompt: %v", err)
	}
	if _, err := CheckAnswer("കത്ത്", text[:len(text)-9]); !errors.Is(err, ErrTruncated) {
		t.Errorf("truncated: %v", err)
	}
	if _, err := CheckAnswer("കത്ത്", strings.Replace(text, "അത് ", "", 1)); !errors.Is(err, ErrCorrupt) {
		t.Errorf("corrupt: %v", err)
	}
}

// startEngine starts an engine and returns it with its driver, an order that loads
// v1, and the engine's URL.
func startEngine(t *testing.T, cfg EngineConfig) (*Engine, *engine.HTTPDriver, engine.LoadOrder, string) {
	t.Helper()
	e := NewEngine(cfg)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	path := filepath.Join(t.TempDir(), "v1")
	content := Content("v1", 4096)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	order := engine.LoadOrder{
		Fence: control.Fence{Term: 1, Index: 7}, Version: "v1", Path: path,
		Digest: manifest.Build("v1", content, 1024).Digest(),
	}
	return e, engine.NewHTTP(address, nil, 5*time.Second), order, server.URL
}

func awaitReady(t *testing.T, d *engine.HTTPDriver) engine.Report {
	t.Helper()
	for range 500 {
		r, err := d.Report(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if r.State == engine.StateReady {
			return r
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the engine did not become ready")
	return engine.Report{}
}

func postChat(t *testing.T, url, prompt string, stream bool) (*http.Response, error) {
	t.Helper()
	body, err := json.Marshal(ChatRequest{Model: "m", Messages: []Message{{Role: "user", Content: prompt}}, Stream: stream, MaxTokens: 5})
	if err != nil {
		t.Fatal(err)
	}
	return http.Post(url+"/v1/chat/completions", "application/json", bytes.NewReader(body))
}

func TestEngineLoadsAndAnswers(t *testing.T) {
	e, d, order, url := startEngine(t, EngineConfig{LoadTime: 20 * time.Millisecond, ReportLag: 20 * time.Millisecond})
	if resp, err := postChat(t, url, "x", false); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("before the load: %v %v", resp, err)
	}
	if err := d.Load(context.Background(), order); err != nil {
		t.Fatal(err)
	}
	if r := awaitReady(t, d); r.Version != "v1" || r.Digest != order.Digest || r.Fence != 7 {
		t.Fatalf("report %+v", r)
	}
	resp, err := postChat(t, url, "hello", false)
	if err != nil {
		t.Fatal(err)
	}
	var answer completion
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	if _, err := CheckAnswer("hello", answer.Choices[0].Message.Content); err != nil {
		t.Error(err)
	}
	resp, err = postChat(t, url, "hello", true)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasSuffix(string(data), doneEvent) || strings.Count(string(data), "id: ") != 7 {
		t.Errorf("stream %q %v", data, err)
	}
	stats := e.Stats()
	if stats.Completed != 2 || stats.RequestsWhileNotReady != 1 || stats.BadLoads != 0 || stats.PrefixHits != 1 {
		t.Errorf("stats %+v", stats)
	}
}

func TestEngineRefusesStaleFences(t *testing.T) {
	for _, ignored := range []bool{false, true} {
		e, d, order, _ := startEngine(t, EngineConfig{FencingIgnored: ignored})
		if err := d.Load(context.Background(), order); err != nil {
			t.Fatal(err)
		}
		order.Fence.Index = 6
		err := d.Load(context.Background(), order)
		if ignored != (err == nil) || !ignored && result.CodeOf(err) != result.StaleFence {
			t.Errorf("ignored=%v: %v", ignored, err)
		}
		if e.Stats().StaleOrders != 1 {
			t.Errorf("stats %+v", e.Stats())
		}
	}
}

func TestEngineRefusesPartialWeights(t *testing.T) {
	e, d, order, _ := startEngine(t, EngineConfig{})
	if err := os.Truncate(order.Path, 3000); err != nil {
		t.Fatal(err)
	}
	if err := d.Load(context.Background(), order); err != nil {
		t.Fatal(err)
	}
	for range 500 {
		if e.Stats().BadLoads == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the engine did not count a load of partial weights")
}

func TestOriginServesRangesAndThrottles(t *testing.T) {
	o := NewOrigin(OriginConfig{Versions: map[string]int{"m/v1": 100_000}, ChunkBytes: 32 << 10})
	server := httptest.NewServer(o)
	defer server.Close()
	m := o.Manifest("m/v1")
	fetch := func() (int, manifest.Digest) {
		req, _ := http.NewRequest(http.MethodGet, server.URL+"/m/v1/content", nil)
		req.Header.Set("Range", "bytes=32768-65535")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		data, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, manifest.Sum(data)
	}
	if status, digest := fetch(); status != http.StatusPartialContent || digest != m.Chunks[1].Digest {
		t.Errorf("status %d", status)
	}
	o.SetMode(OriginMode{CorruptShare: 1})
	if _, digest := fetch(); digest == m.Chunks[1].Digest {
		t.Error("the chunk is not corrupted")
	}
	o.SetMode(OriginMode{Throttle: true})
	if status, _ := fetch(); status != http.StatusTooManyRequests {
		t.Errorf("status %d", status)
	}
	if s := o.Stats(); s.ContentBytes != 65536 || s.Throttled != 1 {
		t.Errorf("stats %+v", s)
	}
}

func TestPlainCountsRunsByKey(t *testing.T) {
	p := NewPlain(PlainConfig{AnswerBytes: 100})
	for range 2 {
		r := httptest.NewRequest(http.MethodPost, "/filings", strings.NewReader("x"))
		r.Header.Set("Idempotency-Key", "k")
		p.ServeHTTP(httptest.NewRecorder(), r)
	}
	if s := p.Stats(); s.Runs["k"] != 2 || s.Calls != 2 {
		t.Errorf("stats %+v", s)
	}
}
