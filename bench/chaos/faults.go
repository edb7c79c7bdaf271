package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
)

const (
	maxPause  = 1500 * time.Millisecond
	maxDown   = 3 * time.Second
	maxFrozen = 6 * time.Second
)

// schedule breaks one thing after the other, some before the last is mended.
type schedule struct {
	site  *site
	rnd   *rand.Rand
	count int
	start time.Time
}

type fault struct {
	name string
	run  func(ctx context.Context) error
}

func (f *schedule) run(ctx context.Context, duration time.Duration) error {
	f.start = time.Now()
	for time.Since(f.start) < duration && ctx.Err() == nil {
		next := f.pick()
		f.count++
		fmt.Fprintf(f.site.opts.Out, "%6.2fs %s\n", time.Since(f.start).Seconds(), next.name)
		if err := next.run(ctx); err != nil {
			return err
		}
		pause(ctx, f.upTo(maxPause))
	}
	return ctx.Err()
}

func (f *schedule) upTo(d time.Duration) time.Duration {
	return time.Duration(f.rnd.Int64N(int64(d)))
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *schedule) pick() fault {
	entries := f.site.cluster.Entries()
	entry := entries[f.rnd.IntN(len(entries))]
	agents := append([]*cluster.Process{f.site.deskAg}, f.site.agents...)
	agent := agents[f.rnd.IntN(len(agents))]
	engine := f.site.engines[f.rnd.IntN(len(f.site.engines))]
	down, frozen := f.upTo(maxDown), f.upTo(maxFrozen)
	switch f.rnd.IntN(8) {
	case 0:
		return fault{"kill " + entry.Name, f.restartAfter(entry, down, entry.Kill)}
	case 1:
		return fault{"kill " + agent.Name, f.restartAfter(agent, down, agent.Kill)}
	case 2:
		return fault{"freeze " + entry.Name, f.freeze(entry, frozen)}
	case 3:
		return fault{"freeze " + agent.Name, f.freeze(agent, frozen)}
	case 4:
		return fault{"freeze " + engine.Name, f.freeze(engine, frozen)}
	case 5:
		return fault{"planned stop of " + entry.Name, f.restartAfter(entry, down, f.terminate(entry))}
	case 6:
		return fault{"planned stop of " + agent.Name, f.restartAfter(agent, down, f.terminate(agent))}
	default:
		return fault{"lost disk of " + entry.Name, f.wipe(entry)}
	}
}

func (f *schedule) restartAfter(p *cluster.Process, down time.Duration, stop func() error) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := stop(); err != nil {
			return err
		}
		pause(ctx, down)
		return f.restart(ctx, p)
	}
}

// restart waits until the process answers: a signal that comes before it has
// installed its handlers would end it like any other program.
func (f *schedule) restart(ctx context.Context, p *cluster.Process) error {
	if err := p.Restart(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	return cluster.Await(ctx, p.Name+" answers", func(ctx context.Context) error { return f.site.cluster.Alive(ctx, p) })
}

func (f *schedule) terminate(p *cluster.Process) func() error {
	return func() error {
		if err := p.Terminate(); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		return p.Wait(ctx)
	}
}

func (f *schedule) freeze(p *cluster.Process, frozen time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := p.Stop(); err != nil {
			return err
		}
		pause(ctx, frozen)
		return p.Cont()
	}
}

// wipe loses an entry's disk once all replicas are whole: more than a minority
// of lost disks at once is beyond what can be promised.
func (f *schedule) wipe(p *cluster.Process) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := f.site.awaitWhole(ctx); err != nil {
			return err
		}
		if err := f.site.awaitVoters(ctx); err != nil {
			return err
		}
		if err := p.Kill(); err != nil {
			return err
		}
		if err := os.RemoveAll(f.site.cluster.DataDir(p.Name)); err != nil {
			return err
		}
		return f.restart(ctx, p)
	}
}

// awaitVoters waits until the control set has three caught-up voters.
func (s *site) awaitVoters(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	return cluster.Await(ctx, "three voters", func(ctx context.Context) error {
		for _, p := range s.cluster.Entries() {
			if err := s.hasThreeVoters(ctx, p); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *site) hasThreeVoters(ctx context.Context, p *cluster.Process) error {
	var dump struct {
		Control struct {
			Core struct {
				ID      string `json:"id"`
				Members []struct {
					ID    string `json:"id"`
					Voter bool   `json:"voter"`
				} `json:"members"`
			} `json:"core"`
		} `json:"control"`
	}
	if err := s.cluster.State(ctx, p, &dump); err != nil {
		return err
	}
	voters, own := 0, false
	for _, m := range dump.Control.Core.Members {
		if m.Voter {
			voters++
			own = own || m.ID == dump.Control.Core.ID
		}
	}
	if voters != 3 || !own {
		return fmt.Errorf("%s sees %d voters, itself among them: %v", p.Name, voters, own)
	}
	return nil
}
