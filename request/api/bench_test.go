package api_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/waxwingpost/waxwingpost/connection/wire"
)

// benchmarkChat measures sequential completions. The difference between the two
// benchmarks is the overhead of entry and agent.
func benchmarkChat(b *testing.B, viaEntry bool) {
	f := newFleet(&testing.T{}, 1)
	defer f.close()
	engine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		w.(http.Flusher).Flush()
		_, _ = io.WriteString(w, "id: 0\ndata: {}\n\ndata: [DONE]\n\n")
	})
	a := f.addAgent("a1", "drafting", "v1", 64, engine)
	url := a.backend.URL
	if viaEntry {
		url = f.entries[0].server.URL
	}
	body := []byte(chatBody("a letter", true))
	b.ReportAllocs()
	for b.Loop() {
		req, _ := http.NewRequest(http.MethodPost, url+wire.PathChat, bytes.NewReader(body))
		req.Header.Set(wire.HeaderAccount, "kochi")
		resp, err := httpClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

func BenchmarkChatDirect(b *testing.B)   { benchmarkChat(b, false) }
func BenchmarkChatViaEntry(b *testing.B) { benchmarkChat(b, true) }
