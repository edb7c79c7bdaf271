package forward

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/placement"
	"github.com/waxwingpost/waxwingpost/request/retry"
)

const (
	// demandWeight is the weight of the last half second in the demand.
	demandWeight = 0.3
	// budgetCaution is the part of the shared retry budget that entries use
	// together: what they know of each other lags.
	budgetCaution = 0.7
)

// counter is what the desk keeps of one service.
type counter struct {
	pool   *placement.Pool
	budget *retry.Window
	// offered sums the server time asked for since the last call of demand.
	offered float64
	demand  float64
}

// desk guards the pools of all services.
type desk struct {
	cfg   Config
	clock clockwork.Clock

	mu   sync.Mutex
	view *feed.View
	// viewed is when the view was taken in.
	viewed   time.Time
	services map[string]*counter
	asked    time.Time
}

func newDesk(cfg Config, clock clockwork.Clock) *desk {
	return &desk{cfg: cfg, clock: clock, view: &feed.View{}, services: map[string]*counter{}, asked: clock.Now()}
}

func (d *desk) update(v *feed.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view, d.viewed = v, d.clock.Now()
	d.refresh()
}

// refresh brings the pools up to date. The caller holds the lock.
func (d *desk) refresh() {
	if d.view.Config == nil {
		return
	}
	now := d.clock.Now()
	for name, s := range d.view.Config.Services {
		c := d.counter(name, now)
		entries := max(d.view.Entries, 1)
		c.budget.Share = d.cfg.RetryShare * budgetCaution
		c.budget.Allowance = d.cfg.RetryAllowance * budgetCaution / float64(entries)
		c.pool.Update(now, poolConfig(d.cfg.Zone, s), d.servers(s, now), d.share(name, c))
	}
}

func (d *desk) counter(service string, now time.Time) *counter {
	c := d.services[service]
	if c == nil {
		c = &counter{
			pool:   placement.NewPool(placement.Config{Zone: d.cfg.Zone}),
			budget: retry.NewWindow(d.cfg.RetryWindow, now),
		}
		d.services[service] = c
	}
	return c
}

func poolConfig(zone string, s *deployment.Service) placement.Config {
	cfg := placement.Config{Zone: zone}
	if e := s.Engine; e != nil {
		cfg.ReadPerSecond = e.ReadPerSecond
	}
	return cfg
}

// share returns the part of a service's servers that this entry may fill.
func (d *desk) share(service string, c *counter) float64 {
	total := d.view.Demand[service]
	if total <= 0 || c.demand <= 0 {
		return 1 / float64(max(d.view.Entries, 1))
	}
	return min(c.demand/max(total, c.demand), 1)
}

// servers returns the servers of a service as the pool takes them.
func (d *desk) servers(s *deployment.Service, now time.Time) []placement.Server {
	var servers []placement.Server
	for i := range d.view.Servers[s.Name] {
		e := &d.view.Servers[s.Name][i]
		slots := e.Slots
		if slots == 0 && s.Engine != nil {
			slots = s.Engine.Slots
		}
		held, until := d.weights(s, e)
		loading := e.LoadingUntil > d.view.At+now.Sub(d.viewed)
		servers = append(servers, placement.Server{
			ID: e.ID, Address: e.Address, Zone: e.Zone, Slots: slots, WeightsUntil: until,
			Usable: e.State == directory.Ready && held && !loading,
		})
	}
	return servers
}

// weights reports whether a server holds the weights of all models of its
// service, and until when they may be used; zero is without end.
func (d *desk) weights(s *deployment.Service, e *directory.Entry) (held bool, until time.Time) {
	if s.Engine == nil {
		return true, time.Time{}
	}
	for _, model := range s.Engine.Models {
		version := e.Holds(model)
		if version == 0 {
			return false, until
		}
		end, never := d.view.Weights[model].UsableUntil(version, d.cfg.VersionWithin)
		switch {
		case never:
		case end.IsZero():
			return false, until
		case until.IsZero() || end.Before(until):
			until = end
		}
	}
	return true, until
}

// offer counts the server time that a request asks for.
func (d *desk) offer(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counter(j.service, j.start)
	c.budget.RecordRequest(j.start)
	if !j.late {
		c.offered += d.cost(j)
	}
}

// cost is the time, in seconds, that a request takes of a server.
func (d *desk) cost(j *job) float64 {
	s := d.view.Config.Services[j.service]
	if s == nil || s.Engine == nil || s.Engine.ReadPerSecond <= 0 {
		return 1
	}
	e := s.Engine
	return float64(j.tokens.Prompt)/e.ReadPerSecond + float64(j.output(e))*e.Step.Seconds()/float64(max(e.Slots, 1))
}

// output is the number of tokens that a request is expected to produce.
func (j *job) output(e *deployment.Engine) int {
	n := j.tokens.Expected
	if n <= 0 {
		n = e.UsualAnswer
	}
	if j.tokens.Most > 0 {
		n = min(n, j.tokens.Most)
	}
	return n
}

// demand returns what was asked of each service lately, and updates shares.
func (d *desk) demand() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	span := max(now.Sub(d.asked).Seconds(), 0.01)
	d.asked = now
	told := map[string]float64{}
	for name, c := range d.services {
		c.demand += demandWeight * (c.offered/span - c.demand)
		c.offered = 0
		if c.demand > 0.01 {
			told[name] = c.demand
		}
	}
	d.refresh()
	return told
}

func (d *desk) pumpAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, c := range d.services {
		c.pool.DispatchWaiting(now)
	}
}

// repeat takes one repeated send out of the budget of a service.
func (d *desk) repeat(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	return d.counter(service, now).budget.TryRetry(now)
}

func (d *desk) began(service string, l *placement.Lease) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.counter(service, now).pool.Began(now, l)
}

func (d *desk) done(service string, l *placement.Lease, o placement.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.counter(service, now).pool.Done(now, l, o)
}

// place finds a server for a request, at once or by waiting until waitUntil. A
// zero time stands for as long as the answer can still be on time.
func (d *desk) place(ctx context.Context, j *job, waitUntil time.Time) (*placement.Lease, error) {
	granted := make(chan *placement.Lease, 1)
	now := d.clock.Now()
	d.mu.Lock()
	c := d.counter(j.service, now)
	req := placement.Request{
		Prompt: j.tokens.Prompt, Aim: j.eventAim(), WaitUntil: waitUntil, Late: j.late || now.Sub(j.start) > j.route.Aim,
		Started: j.events > 0, Priority: j.priority(), Exclude: j.tried,
	}
	if waitUntil.IsZero() {
		req.WaitUntil = c.pool.UsefulUntil(j.start, req)
		waitUntil = req.WaitUntil
	}
	if c.pool.Waiting() == 0 || !j.late || req.Started {
		if l := c.pool.Take(now, req); l != nil {
			d.mu.Unlock()
			return l, nil
		}
	}
	waiter := &placement.Waiter{Req: req, Grant: func(l *placement.Lease) { granted <- l }}
	waits := c.pool.Wait(now, waiter)
	usable, comeBack := c.pool.HasUsable(now), c.pool.ComeBackIn()
	d.mu.Unlock()
	if !waits {
		return nil, refusal(usable, comeBack)
	}
	timer := d.clock.NewTimer(waitUntil.Sub(now))
	defer timer.Stop()
	select {
	case l := <-granted:
		j.waited += d.clock.Since(now)
		return l, nil
	case <-timer.Chan():
	case <-ctx.Done():
	}
	j.waited += d.clock.Since(now)
	d.mu.Lock()
	withdrawn := c.pool.Withdraw(waiter)
	comeBack = c.pool.ComeBackIn()
	d.mu.Unlock()
	if !withdrawn {
		return <-granted, nil
	}
	return nil, refusal(true, comeBack)
}

func refusal(usable bool, comeBack time.Duration) error {
	if !usable {
		return result.Refuse(result.NoBackend, comeBack, "no backend server can run the request")
	}
	return result.Refuse(result.QueueFull, comeBack, "no place is free in time")
}

// eventAim is the time within which the first event is on time; 0 where the
// answer is no stream.
func (j *job) eventAim() time.Duration {
	if j.route.Kind != deployment.Stream {
		return 0
	}
	return j.route.Aim
}

func (j *job) priority() int {
	if j.account != nil && j.account.HasPriority {
		return j.account.Priority
	}
	return j.route.Priority
}

// dump describes the pools for the state dump.
func (d *desk) dump() any {
	type pool struct {
		Own, Budget, Waiting int
		Demand, Share        float64
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	pools := map[string]pool{}
	for name, c := range d.services {
		own, budget := c.pool.Load()
		pools[name] = pool{Own: own, Budget: budget, Waiting: c.pool.Waiting(), Demand: c.demand, Share: d.share(name, c)}
	}
	return pools
}
