package link

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/wire"
)

// lineWriter delivers what is written to it, line by line.
type lineWriter chan string

func (w lineWriter) Write(p []byte) (int, error) {
	w <- string(p)
	return len(p), nil
}

// panicking is a handler that panics.
type panicking struct{}

func (panicking) Notify(*Conn, wire.Kind, cbor.RawMessage) { panic("notify") }

func (panicking) Call(context.Context, *Conn, wire.Kind, cbor.RawMessage) (any, error) {
	panic("call")
}

func TestPanicOfAHandlerClosesItsLinkOnly(t *testing.T) {
	for name, send := range map[string]func(c *Conn) error{
		"notify": func(c *Conn) error { return c.Notify(wire.KindHeartbeat, wire.Heartbeat{}) },
		"call": func(c *Conn) error {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			if err := c.Call(ctx, wire.KindFence, wire.FenceQuery{}, nil); err == nil {
				t.Error("a call whose handler panicked succeeded")
			}
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			logged := make(lineWriter, 1)
			stats := &Stats{}
			mux := http.NewServeMux()
			mux.Handle(Path, &Acceptor{
				Self: hello("server"), Open: acceptAll, Handler: panicking{}, Stats: stats, Log: slog.New(slog.NewTextHandler(logged, nil)),
			})
			srv := httptest.NewServer(mux)
			t.Cleanup(srv.Close)
			address := strings.TrimPrefix(srv.URL, "http://")
			other, err := dial(t, address, "")
			if err != nil {
				t.Fatal(err)
			}
			c, err := dial(t, address, "")
			if err != nil {
				t.Fatal(err)
			}
			if err := send(c); err != nil {
				t.Fatal(err)
			}
			select {
			case <-c.Done():
			case <-time.After(testTimeout):
				t.Fatal("the link stays open")
			}
			if other.ctx.Err() != nil {
				t.Error("another link was closed")
			}
			if n := stats.Read().Panics; n != 1 {
				t.Errorf("%d panics counted", n)
			}
			if text := <-logged; !strings.Contains(text, "peer=client") || !strings.Contains(text, "panic_test.go") {
				t.Errorf("logged %q", text)
			}
		})
	}
}
