package frontend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// TestConnectionsAreCountedByTheirStateWhenTheyAreClosed closes one connection in
// each state.
func TestConnectionsAreCountedByTheirStateWhenTheyAreClosed(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, c := range map[string]struct {
		sent        string
		answered    bool
		closeCaller bool
	}{
		"by=entry,state=new":     {"", false, false},
		"by=entry,state=reading": {"GET / HTTP/1.1\r\nHo", false, false},
		"by=entry,state=serving": {request, false, false},
		"by=entry,state=idle":    {request, true, false},
		"by=entry,state=served":  {"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", true, false},
		"by=caller,state=idle":   {request, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			stats := newConnStats(scope)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			srv := &http.Server{ConnState: stats.connState, ConnContext: stats.connContext, Handler: stats.handler(http.HandlerFunc(
				func(w http.ResponseWriter, r *http.Request) {
					if c.answered {
						_, _ = w.Write([]byte("ok"))
						return
					}
					<-r.Context().Done()
				}))}
			go func() { _ = srv.Serve(stats.listener(l)) }()
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, c.sent)
			if c.answered {
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatal(err)
				}
				_ = resp.Body.Close()
			}
			time.Sleep(50 * time.Millisecond)
			if c.closeCaller {
				_ = conn.Close()
				time.Sleep(50 * time.Millisecond)
			}
			_ = srv.Close()
			time.Sleep(50 * time.Millisecond)
			key := "caller_connections_closed+" + name
			counters := scope.Snapshot().Counters()
			total := int64(0)
			for _, counter := range counters {
				total += counter.Value()
			}
			if counters[key] == nil || counters[key].Value() != 1 || total != 1 {
				t.Errorf("%s is not 1 of %d: %v", key, total, stats.LogValue())
			}
		})
	}
}
