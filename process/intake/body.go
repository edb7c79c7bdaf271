package intake

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// errNoMemory refuses a request whose body was being read.
var errNoMemory = result.Refuse(result.MemoryLimit, retryAfter, "the bodies of other requests need the memory")

type bodyKey struct{}

// LimitBodies returns a handler whose requests' bodies are accounted for as they are read,
// until the handler returns. Reading a body that was ended for others fails with a
// MemoryLimit error, and the connection is closed after the response.
func (g *Guard) LimitBodies(h http.Handler) http.Handler { return g.limitBodies(h, true) }

// LimitHeldBodies is like LimitBodies for a handler that passes bodies on. Only what is read
// after HoldBody is accounted for.
func (g *Guard) LimitHeldBodies(h http.Handler) http.Handler { return g.limitBodies(h, false) }

func (g *Guard) limitBodies(h http.Handler, held bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			h.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, guard: g}
		b.held.Store(held)
		b.holder = g.bodies.NewHolder(func() {
			g.record(closedBodies)
			_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // wakes a reader
		})
		defer b.holder.Release()
		// net/http looks at the body of its own request to decide what to do with an unread
		// rest, such as one that awaits a 100 Continue. Only the copy gets another body.
		r = r.WithContext(context.WithValue(r.Context(), bodyKey{}, b))
		r.Body = b
		h.ServeHTTP(w, r)
	})
}

// HoldBody accounts for what is read from now on of the body of the request with the
// context.
func HoldBody(ctx context.Context) {
	if b, ok := ctx.Value(bodyKey{}).(*body); ok {
		b.held.Store(true)
	}
}

type body struct {
	io.ReadCloser
	guard  *Guard
	holder *Holder
	held   atomic.Bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.held.Load() {
		return n, err
	}
	if b.holder.Ended() {
		return 0, errNoMemory
	}
	if n > 0 && !b.holder.Charge(bodyCost*int64(n), b.guard.clock.Now()) {
		b.guard.record(closedBodies)
		return 0, errNoMemory
	}
	if err == io.EOF && !b.holder.Settle() {
		return 0, errNoMemory
	}
	return n, err
}
