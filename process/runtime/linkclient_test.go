package runtime

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestDialTimeoutDoublesUntilSuccess(t *testing.T) {
	var timeouts []time.Duration
	up := false
	d := &linkDialer{failures: map[string]int{}, dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		deadline, ok := ctx.Deadline()
		if !ok {
			t.Fatal("dial has no deadline")
		}
		timeouts = append(timeouts, time.Until(deadline).Round(10*time.Millisecond))
		if up {
			return nil, nil
		}
		return nil, errors.New("no answer")
	}}
	for i := range 7 {
		up = i == 5
		_, err := d.dialContext(t.Context(), "tcp", "10.0.0.1:7000")
		if (err == nil) != up {
			t.Fatalf("dial %d: %v", i, err)
		}
	}
	want := []time.Duration{250, 500, 1000, 2000, 2000, 2000, 250}
	for i := range want {
		want[i] *= time.Millisecond
	}
	if !slices.Equal(timeouts, want) {
		t.Errorf("timeouts %v, want %v", timeouts, want)
	}
}
