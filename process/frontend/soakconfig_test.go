package frontend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
)

// operator changes the configuration at random.
type operator struct {
	rng     *rand.Rand
	version uint64
	// The fields below are the configuration.
	moving          string
	weights         [2]float64
	timeout         time.Duration
	coming, leaving bool
	secondKey       bool
	bodyLimit       int64
	idle            time.Duration
}

const (
	// plainTimeout is the timeout of all routes but those under /timed.
	plainTimeout = 3 * time.Second
	// minTimed is the shortest timeout of those.
	minTimed = 900 * time.Millisecond
	// smallLimit is the lowest limit on the size of a body.
	smallLimit = 64 << 10
)

// allowedServices lists the services that some configuration allows for a path.
var allowedServices = map[string]string{
	"/safe/": "a", "/once/": "ab", "/stream/": "s", "/once-stream/": "s", "/moving/": "ab", "/timed/": "a",
	"/timed-stream/": "s", "/coming/": "b", "/leaving/": "c", "/leaving-stream/": "c",
}

func newOperator(rng *rand.Rand) *operator {
	return &operator{
		rng: rng, moving: "a", weights: [2]float64{1, 1}, timeout: plainTimeout, coming: true, leaving: true, secondKey: true,
		bodyLimit: 1 << 20, idle: 15 * time.Second,
	}
}

// change applies a random change.
func (o *operator) change() {
	switch o.rng.IntN(8) {
	case 0:
		o.timeout = minTimed + time.Duration(o.rng.IntN(2000))*time.Millisecond
	case 1:
		o.moving = string("ab"[o.rng.IntN(2)])
	case 2:
		o.weights = [2]float64{o.rng.Float64(), 0.01 + o.rng.Float64()}
	case 3:
		o.coming = !o.coming
	case 4, 5:
		o.leaving = !o.leaving
	case 6:
		o.secondKey = !o.secondKey
	default:
		o.bodyLimit = []int64{smallLimit, 1 << 20}[o.rng.IntN(2)]
		o.idle = time.Duration(1+o.rng.IntN(30)) * time.Second
	}
}

// config returns a new version of the configuration.
func (o *operator) config() *deployment.Config {
	o.version++
	c := &deployment.Config{
		Version: o.version,
		Services: map[string]*deployment.Service{
			"a": {Name: "a"}, "b": {Name: "b"},
			"s": {Name: "s", Engine: soakEngine()},
		},
		Accounts: []deployment.Account{{Name: "first", Keys: []string{"key1"}}, {Name: "second"}},
		Limits:   deployment.Limits{BodyBytes: o.bodyLimit, IdleTimeout: o.idle},
	}
	if o.secondKey {
		c.Accounts[1].Keys = []string{"key2"}
	}
	add := func(path string, kind deployment.Repeatability, timeout time.Duration, shares ...deployment.Share) {
		c.Routes = append(c.Routes, deployment.Route{
			Name: path, Host: "h.example", Prefix: path, Kind: kind, Resumable: path != "/once-stream/", Generation: kind == deployment.Stream,
			Timeout: timeout, Aim: 400 * time.Millisecond, MaxPause: 400 * time.Millisecond, MaxServers: 2, Shares: shares,
		})
	}
	share := func(service string, weight float64) deployment.Share {
		return deployment.Share{Service: service, Weight: weight}
	}
	add("/safe/", deployment.Repeatable, plainTimeout, share("a", 1))
	add("/once/", deployment.Unrepeatable, plainTimeout, share("a", o.weights[0]), share("b", o.weights[1]))
	add("/stream/", deployment.Stream, plainTimeout, share("s", 1))
	add("/once-stream/", deployment.Stream, plainTimeout, share("s", 1))
	add("/moving/", deployment.Repeatable, plainTimeout, share(o.moving, 1))
	add("/timed/", deployment.Unrepeatable, o.timeout, share("a", 1))
	add("/timed-stream/", deployment.Stream, o.timeout, share("s", 1))
	if o.coming {
		add("/coming/", deployment.Repeatable, plainTimeout, share("b", 1))
	}
	if o.leaving {
		c.Services["c"] = &deployment.Service{Name: "c", Engine: soakEngine()}
		c.Services["c"].Engine.Slots = 1
		add("/leaving/", deployment.Unrepeatable, plainTimeout, share("c", 1))
		add("/leaving-stream/", deployment.Stream, plainTimeout, share("c", 1))
	}
	return c
}

// soakEngine describes an engine whose weights need no version.
func soakEngine() *deployment.Engine {
	return &deployment.Engine{Slots: 6, ReadPerSecond: 20000, Step: 9 * time.Millisecond, UsualAnswer: 60}
}

// view returns a view of the configuration and of the servers.
func (o *operator) view(servers []*soakServer) (*feed.View, error) {
	v := &feed.View{Config: o.config(), Entries: 1, Servers: map[string][]directory.Record{}}
	for _, s := range servers {
		if record := s.record(); record.State != directory.Gone {
			v.Servers[record.Service] = append(v.Servers[record.Service], record)
		}
	}
	return v, v.Config.Validate()
}

// disturb changes the servers and the configuration until ctx ends, and publishes a
// view after each change.
func (o *operator) disturb(ctx context.Context, servers []*soakServer, publish func(*feed.View)) error {
	generation := 0
	for ctx.Err() == nil {
		time.Sleep(time.Duration(20+o.rng.IntN(130)) * time.Millisecond)
		s := servers[o.rng.IntN(len(servers))]
		switch o.rng.IntN(12) {
		case 0, 1, 2, 3:
			s.disturb()
		case 4:
			generation++
			if err := o.replace(s, generation, publish, servers); err != nil {
				return err
			}
		case 5:
			s.mu.Lock()
			s.state = directory.Draining + directory.Ready - s.state
			s.mu.Unlock()
		default:
			o.change()
		}
		v, err := o.view(servers)
		if err != nil {
			return err
		}
		publish(v)
	}
	return nil
}

// replace ends a server. Another one takes its address, sometimes of another service.
func (o *operator) replace(s *soakServer, generation int, publish func(*feed.View), servers []*soakServer) error {
	s.mu.Lock()
	service := s.service
	s.mu.Unlock()
	s.stop()
	time.Sleep(time.Duration(o.rng.IntN(60)) * time.Millisecond)
	if o.rng.IntN(2) == 0 {
		v, err := o.view(servers)
		if err != nil {
			return err
		}
		publish(v)
	}
	if service != "c" && o.rng.IntN(4) == 0 {
		service = string("abs"[o.rng.IntN(3)])
	}
	return s.start(fmt.Sprintf("%s-%d", service, generation+100), service)
}
