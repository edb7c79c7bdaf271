package bound

import (
	"strconv"
	"time"

	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

// RoundRobin sends each request to the next engine and refuses none of them.
type RoundRobin struct{ next int }

// Arrive implements Policy.
func (b *RoundRobin) Arrive(p *Sim, r *Request) {
	b.next++
	p.Send(r, b.next%p.Engines())
}

// Started implements Policy.
func (*RoundRobin) Started(*Sim, *Request) {}

// Done implements Policy.
func (*RoundRobin) Done(*Sim, *Request) {}

// LeastLoad sends each request to the engine with the fewest requests in flight,
// using a global view of all engines, and refuses none of them.
type LeastLoad struct{ RoundRobin }

// Arrive implements Policy.
func (*LeastLoad) Arrive(p *Sim, r *Request) {
	best := 0
	for i := range p.Engines() {
		if p.InFlight(i) < p.InFlight(best) {
			best = i
		}
	}
	p.Send(r, best)
}

// Pools places requests as entries do: each entry has its own pool with an equal
// share of the engines.
type Pools struct {
	site   *Site
	pools  []*placement.Pool
	leases map[*Request]*placement.Lease
}

// NewPools returns the Pools policy for a site.
func NewPools(s *Site) *Pools {
	b := &Pools{site: s, leases: map[*Request]*placement.Lease{}}
	cfg := placement.Config{Zone: "z", ReadPerSecond: s.Engine.ReadPerSecond}
	var servers []placement.Server
	for i := range s.Engines {
		servers = append(servers, placement.Server{ID: strconv.Itoa(i), Address: strconv.Itoa(i), Zone: "z", Slots: s.Engine.Slots, Usable: true})
	}
	for range s.Entries {
		pool := placement.NewPool(cfg, boottime.System())
		pool.Update(wall(0), cfg, servers, 1/float64(s.Entries))
		b.pools = append(b.pools, pool)
	}
	return b
}

// wall converts virtual time to the wall-clock time that a pool expects.
func wall(now time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(now) }

// Arrive implements Policy.
func (b *Pools) Arrive(p *Sim, r *Request) {
	pool := b.pools[r.entry]
	now := wall(p.Now)
	late := p.Now-r.At > r.Class.FirstEventTarget
	req := placement.Request{PromptTokens: r.Prompt, LatencyTarget: r.Class.FirstEventTarget, Late: late}
	req.WaitUntil = pool.WaitDeadline(now, req)
	if late {
		req.WaitUntil = now.Add(lateMaxWait)
	}
	if !late || pool.Waiting() == 0 {
		if lease := pool.TryAcquire(now, req); lease != nil {
			b.dispatch(p, r, lease)
			return
		}
	}
	w := &placement.Waiter{Request: req, Grant: func(lease *placement.Lease) { b.dispatch(p, r, lease) }}
	if !pool.Enqueue(now, w) {
		p.Refuse(r, pool.RetryAfter())
		return
	}
	p.Schedule(p.Now+req.WaitUntil.Sub(now), func() {
		if pool.Dequeue(w) {
			p.Refuse(r, pool.RetryAfter())
		}
	})
}

// lateMaxWait is how long a request that is already late waits for a slot. It is
// the same as in request/forward.
const lateMaxWait = 40 * time.Millisecond

func (b *Pools) dispatch(p *Sim, r *Request, lease *placement.Lease) {
	b.leases[r] = lease
	engine, _ := strconv.Atoi(lease.Server.ID)
	p.Send(r, engine)
}

// Started implements Policy.
func (b *Pools) Started(p *Sim, r *Request) { b.pools[r.entry].OnFirstEvent(wall(p.Now), b.leases[r]) }

// Done implements Policy.
func (b *Pools) Done(p *Sim, r *Request) {
	b.pools[r.entry].Release(wall(p.Now), b.leases[r], placement.Served)
	delete(b.leases, r)
}
