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

// earlyEngine sends its first event once it has read a part of the request,
// and the rest once it has read its end.
type earlyEngine struct {
	part int64
	size int64
}

func (e *earlyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	head, _ := io.CopyN(io.Discard, r.Body, e.part)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 0\ndata: {}\n\n")
	_ = control.Flush()
	rest, err := io.Copy(io.Discard, r.Body)
	if err != nil || head+rest != e.size {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "id: 1\ndata: {}\n\ndata: [DONE]\n\n")
}

func TestAnswerThatBeginsBeforeTheRequestEndsIsNotCut(t *testing.T) {
	f := newFleet(t, 1)
	body := fmt.Sprintf(`{"model":"drafting","stream":true,"messages":[{"role":"user","content":"%s"}]}`,
		strings.Repeat("x", 2*api.DefaultHeadBytes))
	f.addAgent("a1", "drafting", "v1", 4, &earlyEngine{part: api.DefaultHeadBytes, size: int64(len(body))})
	pipe, in := io.Pipe()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.entries[0].server.URL+wire.PathChat, pipe)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(wire.HeaderAccount, "kochi")
	first := api.DefaultHeadBytes + 1
	go func() { _, _ = io.WriteString(in, body[:first]) }()
	resp, err := callers.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	// The answer has begun; only now does the request end.
	go func() {
		_, _ = io.WriteString(in, body[first:])
		_ = in.Close()
	}()
	text, err := io.ReadAll(resp.Body)
	ids, done, failed := readStream(string(text))
	if err != nil || !isWhole(ids, 2) || !done || failed {
		t.Errorf("status %d, %d events, done=%v failed=%v, %v: %s", resp.StatusCode, len(ids), done, failed, err, text)
	}
}
