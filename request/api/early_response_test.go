package api_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/request/api"
)

// earlyResponseEngine sends its first event after it has read readFirst bytes
// of the request body, and the other events after it has read all bodySize
// bytes.
type earlyResponseEngine struct {
	readFirst int64
	bodySize  int64
}

func (e *earlyResponseEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	_ = rc.EnableFullDuplex()
	head, _ := io.CopyN(io.Discard, r.Body, e.readFirst)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 0\ndata: {}\n\n")
	_ = rc.Flush()
	rest, err := io.Copy(io.Discard, r.Body)
	if err != nil || head+rest != e.bodySize {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "id: 1\ndata: {}\n\ndata: [DONE]\n\n")
}

func TestResponseStartedBeforeRequestBodyEndsIsNotTruncated(t *testing.T) {
	f := newFleet(t, 1)
	body := fmt.Sprintf(`{"model":"drafting","stream":true,"messages":[{"role":"user","content":"%s"}]}`,
		strings.Repeat("x", 2*api.DefaultBufferedBodyBytes))
	f.addAgent("a1", "drafting", "v1", 4, &earlyResponseEngine{readFirst: api.DefaultBufferedBodyBytes, bodySize: int64(len(body))})
	pipe, in := io.Pipe()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.entries[0].server.URL+wire.PathChat, pipe)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(wire.HeaderAccount, "kochi")
	first := api.DefaultBufferedBodyBytes + 1
	go func() { _, _ = io.WriteString(in, body[:first]) }()
	resp, err := httpClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	// The response has started; only now is the rest of the request body sent.
	go func() {
		_, _ = io.WriteString(in, body[first:])
		_ = in.Close()
	}()
	text, err := io.ReadAll(resp.Body)
	ids, done, failed := readStream(string(text))
	if err != nil || !isComplete(ids, 2) || !done || failed {
		t.Errorf("status %d, %d events, done=%v failed=%v, %v: %s", resp.StatusCode, len(ids), done, failed, err, text)
	}
}
