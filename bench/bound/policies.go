package bound

import (
	"strconv"
	"time"

	"github.com/waxwingpost/waxwingpost/request/placement"
)

// RoundRobin sends each request to the next engine and refuses none.
type RoundRobin struct{ next int }

// Arrive implements Policy.
func (b *RoundRobin) Arrive(p *Player, r *Request) {
	b.next++
	p.Send(r, b.next%p.Engines())
}

// Began implements Policy.
func (*RoundRobin) Began(*Player, *Request) {}

// Done implements Policy.
func (*RoundRobin) Done(*Player, *Request) {}

// LeastLoad sends each request to the engine with the fewest, as one that sees
// all of them at once, and refuses none.
type LeastLoad struct{ RoundRobin }

// Arrive implements Policy.
func (*LeastLoad) Arrive(p *Player, r *Request) {
	best := 0
	for i := range p.Engines() {
		if p.Working(i) < p.Working(best) {
			best = i
		}
	}
	p.Send(r, best)
}

// Pools places requests as entries do: each by its own pool, with an equal share.
type Pools struct {
	site   *Site
	pools  []*placement.Pool
	leases map[*Request]*placement.Lease
}

// NewPools returns the policy for a site.
func NewPools(s *Site) *Pools {
	b := &Pools{site: s, leases: map[*Request]*placement.Lease{}}
	cfg := placement.Config{Zone: "z", ReadPerSecond: s.Engine.ReadPerSecond}
	var servers []placement.Server
	for i := range s.Engines {
		servers = append(servers, placement.Server{ID: strconv.Itoa(i), Address: strconv.Itoa(i), Zone: "z", Slots: s.Engine.Slots, Usable: true})
	}
	for range s.Entries {
		pool := placement.NewPool(cfg)
		pool.Update(wall(0), cfg, servers, 1/float64(s.Entries))
		b.pools = append(b.pools, pool)
	}
	return b
}

// wall turns virtual time into the time that pools take.
func wall(now time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(now) }

// Arrive implements Policy.
func (b *Pools) Arrive(p *Player, r *Request) {
	pool := b.pools[r.entry]
	now := wall(p.Now)
	late := p.Now-r.At > r.Class.Aim
	req := placement.Request{Prompt: r.Prompt, Aim: r.Class.Aim, Late: late}
	req.WaitUntil = pool.UsefulUntil(now, req)
	if late {
		req.WaitUntil = now.Add(lateWait)
	}
	if !late || pool.Waiting() == 0 {
		if l := pool.Take(now, req); l != nil {
			b.send(p, r, l)
			return
		}
	}
	w := &placement.Waiter{Req: req, Grant: func(l *placement.Lease) { b.send(p, r, l) }}
	if !pool.Wait(now, w) {
		p.Refuse(r, pool.ComeBackIn())
		return
	}
	p.At(p.Now+req.WaitUntil.Sub(now), func() {
		if pool.Withdraw(w) {
			p.Refuse(r, pool.ComeBackIn())
		}
	})
}

// lateWait is how long a request waits for a place that is late already; as in
// request/forward.
const lateWait = 40 * time.Millisecond

func (b *Pools) send(p *Player, r *Request, l *placement.Lease) {
	b.leases[r] = l
	to, _ := strconv.Atoi(l.Server.ID)
	p.Send(r, to)
}

// Began implements Policy.
func (b *Pools) Began(p *Player, r *Request) { b.pools[r.entry].Began(wall(p.Now), b.leases[r]) }

// Done implements Policy.
func (b *Pools) Done(p *Player, r *Request) {
	b.pools[r.entry].Done(wall(p.Now), b.leases[r], placement.Served)
	delete(b.leases, r)
}
