package placement

import (
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/request/serverlimit"
)

// newLimitedPool returns a pool whose servers name a limit, except for the first free ones.
func newLimitedPool(count, free int, perSecond float64) *Pool {
	limits := serverlimit.NewTable(func() float64 { return 0 })
	servers := makeServers(count, 16)
	for i := free; i < count; i++ {
		limits.Apply(servers[i].Incarnation(), serverlimit.Statement{Limit: perSecond, Named: true}, boottime.Instant{}.Add(time.Second))
	}
	cfg := engines
	cfg.Limits, cfg.Entries = limits, 1
	p := NewPool(cfg, &manualClock{now: ageAt(0)})
	p.Update(at(0), cfg, servers, 1)
	return p
}

func TestRequestsGoToOtherServersThanOneAtItsLimit(t *testing.T) {
	p := newLimitedPool(2, 1, 2)
	counts := map[string]int{}
	for i := range 100 {
		now := at(50 * i)
		l := p.TryAcquire(now, Request{PromptTokens: 100})
		if l == nil {
			t.Fatal("a request got no slot although a server without a limit is idle")
		}
		counts[l.Server.ID]++
		p.Release(now, l, Served)
	}
	if n := counts["s1"]; n < 5 || n > 11 {
		t.Errorf("the server with a limit of 2 a second got %d requests in 5 s", n)
	}
}

func TestRequestsBeyondAllLimitsAreRefusedAtOnceWithTheTimeUntilTheNext(t *testing.T) {
	p := newLimitedPool(1, 0, 0.5)
	var last *Lease
	for i := range 40 {
		if l := p.TryAcquire(at(100*i), Request{PromptTokens: 100}); l != nil {
			last = l
			p.Release(at(100*i), l, Served)
		}
	}
	if last == nil {
		t.Fatal("no request got a slot")
	}
	w := &Waiter{Request: Request{PromptTokens: 100, WaitUntil: at(4300)}, Grant: func(*Lease) {}}
	if p.Enqueue(at(4000), w) {
		t.Error("a request is queued that the limit does not allow in time")
	}
	if d := p.RetryAfter(); d < 2*time.Second {
		t.Errorf("Retry-After is %v, want about the time between two requests", d)
	}
}
