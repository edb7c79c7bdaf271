package feed

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/boottime"
)

// slowControl is a control process that answers after a delay.
type slowControl struct {
	delay   time.Duration
	follows atomic.Int64
}

// Notify implements link.Handler.
func (c *slowControl) Notify(*link.Conn, wire.Kind, cbor.RawMessage) {}

// Call implements link.Handler.
func (c *slowControl) Call(_ context.Context, _ *link.Conn, kind wire.Kind, _ cbor.RawMessage) (any, error) {
	if kind != wire.KindFollow {
		return wire.ConfigDocument{}, nil
	}
	c.follows.Add(1)
	update := wire.Update{
		Revision: 1, Weights: map[string]int{"m": 2}, Published: map[string][]int{"m": {2}},
		Ages: map[string][]wire.VersionAge{"m": {{Version: 2}}},
	}
	time.Sleep(c.delay)
	return update, nil
}

func TestControlProcessThatIsSilentForASecondIsFollowed(t *testing.T) {
	control := &slowControl{delay: time.Second}
	mux := http.NewServeMux()
	srv := httptest.NewServer(mux)
	defer srv.Close()
	address := srv.Listener.Addr().String()
	auth := link.Authenticator{AllowAll: true}
	mux.Handle(link.Path, &link.Acceptor{
		Auth: auth, Handler: control, Self: func() wire.Hello { return wire.Hello{Name: address, Role: wire.RoleControl} },
		Open: func(*link.Conn) (func(), error) { return nil, nil },
	})
	clock, ageClock := clockwork.NewRealClock(), boottime.System()
	dialer := &link.Dialer{Auth: auth, Self: func() wire.Hello { return wire.Hello{Name: "e", Role: wire.RoleEntry} }}
	f := NewFollower(FollowerConfig{Seeds: []string{address}}, dialer, clock, ageClock, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	started := ageClock.Now()
	go func() { f.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	for deadline := time.Now().Add(4 * time.Second); f.View().Weights["m"].Newest() != 2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("nothing was learned from %d calls", control.follows.Load())
		}
	}
	if n := control.follows.Load(); n != 1 {
		t.Errorf("%d calls to follow, want 1", n)
	}
	// The ages were those at some time during the call.
	if until, _ := f.View().Weights["m"].UsableUntil(1, time.Minute); until.Sub(started) > time.Minute+control.delay/2 {
		t.Errorf("version 1 is usable for %v from the start of the call, want a minute", until.Sub(started))
	}
}
