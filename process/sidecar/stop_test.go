package sidecar

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/process/runtime"
)

// listenAgain reports whether another process could listen on an address.
func listenAgain(t *testing.T, address string) bool {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// Two agents of one engine would stage pieces between each other's loads and
// verifications.
func TestAddressIsHeldUntilLastCallToEngineHasEnded(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	stopping, lastCall, done := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	updater := func(ctx context.Context) { <-ctx.Done(); close(stopping); <-lastCall }
	unloader := func(ctx context.Context) { <-ctx.Done() }
	srv := runtime.NewServer(http.NotFoundHandler())
	go func() { done <- serveDuring(ctx, srv, l, updater, unloader) }()
	cancel()
	<-stopping
	for range 10 {
		if listenAgain(t, l.Addr().String()) {
			t.Fatal("the address is free while the engine is called")
		}
		time.Sleep(5 * time.Millisecond)
	}
	req, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String(), http.NoBody)
	if resp, err := http.DefaultClient.Do(req); err != nil {
		t.Errorf("request of another agent meanwhile: %v", err)
	} else {
		_ = resp.Body.Close()
	}
	close(lastCall)
	if err := <-done; err != nil {
		t.Errorf("stopped with %v", err)
	}
	if !listenAgain(t, l.Addr().String()) {
		t.Error("the address is in use after the end")
	}
}

func TestAgentEndsIfItsAddressCannotBeServed(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	untilDone := func(ctx context.Context) { <-ctx.Done() }
	if err := serveDuring(t.Context(), runtime.NewServer(http.NotFoundHandler()), l, untilDone); err == nil {
		t.Error("no error")
	}
}

func TestSecondAgentOfAnEngineDoesNotStart(t *testing.T) {
	second := newTestUpdater(t, &stagingEngine{}).sidecar
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := l.Addr().(*net.TCPAddr).Port
	second.settings.PeerPort = port
	if err := second.Run(t.Context()); err == nil {
		t.Error("a second agent runs at the same address")
	}
	_ = l.Close()
}
