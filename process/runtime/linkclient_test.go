package runtime

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestDialTimeoutDoublesUntilSuccess(t *testing.T) {
	want := []time.Duration{250, 500, 1000, 2000, 2000, 2000, 250}
	var called time.Time
	dials, up := 0, false
	d := &linkDialer{failures: map[string]int{}, dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		deadline, ok := ctx.Deadline()
		if !ok {
			t.Fatal("dial has no deadline")
		}
		// The timeout began after the call and before now, however long this goroutine did not run.
		timeout := want[dials] * time.Millisecond
		if begun := deadline.Add(-timeout); begun.Before(called) || begun.After(time.Now()) {
			t.Errorf("dial %d: timeout between %v and %v, want %v", dials, time.Until(deadline), deadline.Sub(called), timeout)
		}
		dials++
		if up {
			return nil, nil
		}
		return nil, errors.New("no answer")
	}}
	for i := range want {
		up, called = i == 5, time.Now()
		_, err := d.dialContext(t.Context(), "tcp", "10.0.0.1:7000")
		if (err == nil) != up {
			t.Fatalf("dial %d: %v", i, err)
		}
	}
	if dials != len(want) {
		t.Errorf("%d dials, want %d", dials, len(want))
	}
}
