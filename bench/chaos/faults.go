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
	maxFaultInterval = 1500 * time.Millisecond
	maxDowntime      = 3 * time.Second
	maxFreeze        = 6 * time.Second
)

// faultInjector injects random faults one after the other, some before the system
// has recovered from the previous one.
type faultInjector struct {
	sys   *system
	rnd   *rand.Rand
	count int
	start time.Time
}

type fault struct {
	name string
	run  func(ctx context.Context) error
}

func (f *faultInjector) run(ctx context.Context, duration time.Duration) error {
	f.start = time.Now()
	for time.Since(f.start) < duration && ctx.Err() == nil {
		current := f.nextFault()
		f.count++
		fmt.Fprintf(f.sys.opts.Out, "%6.2fs %s\n", time.Since(f.start).Seconds(), current.name)
		if err := current.run(ctx); err != nil {
			return err
		}
		sleep(ctx, f.randomDuration(maxFaultInterval))
	}
	return ctx.Err()
}

func (f *faultInjector) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(f.rnd.Int64N(int64(limit)))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *faultInjector) nextFault() fault {
	entries := f.sys.cluster.Entries()
	entry := entries[f.rnd.IntN(len(entries))]
	agents := append([]*cluster.Process{f.sys.plainAgent}, f.sys.agents...)
	agent := agents[f.rnd.IntN(len(agents))]
	engine := f.sys.engines[f.rnd.IntN(len(f.sys.engines))]
	down, frozen := f.randomDuration(maxDowntime), f.randomDuration(maxFreeze)
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
		return fault{"lost disk of " + entry.Name, f.wipeDisk(entry)}
	}
}

func (f *faultInjector) restartAfter(p *cluster.Process, down time.Duration, stop func() error) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := stop(); err != nil {
			return err
		}
		sleep(ctx, down)
		return f.restart(ctx, p)
	}
}

// restart starts the process again and waits until it answers. A signal that
// arrives before the process has installed its handlers would terminate it.
func (f *faultInjector) restart(ctx context.Context, p *cluster.Process) error {
	if err := p.Restart(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	return cluster.Await(ctx, p.Name+" answers", func(ctx context.Context) error { return f.sys.cluster.Alive(ctx, p) })
}

func (f *faultInjector) terminate(p *cluster.Process) func() error {
	return func() error {
		if err := p.Terminate(); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
		defer cancel()
		return p.Wait(ctx)
	}
}

func (f *faultInjector) freeze(p *cluster.Process, frozen time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := p.Freeze(); err != nil {
			return err
		}
		sleep(ctx, frozen)
		return p.Resume()
	}
}

// wipeDisk deletes an entry's data once all replicas are healthy. The system does
// not guarantee to survive the loss of more than a minority of disks at once.
func (f *faultInjector) wipeDisk(p *cluster.Process) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := f.sys.awaitHealthy(ctx); err != nil {
			return err
		}
		if err := f.sys.awaitVoters(ctx); err != nil {
			return err
		}
		if err := p.Kill(); err != nil {
			return err
		}
		if err := os.RemoveAll(f.sys.cluster.DataDir(p.Name)); err != nil {
			return err
		}
		return f.restart(ctx, p)
	}
}

// awaitVoters waits until every entry sees three voters and is one of them.
func (s *system) awaitVoters(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	return cluster.Await(ctx, "three voters", func(ctx context.Context) error {
		for _, p := range s.cluster.Entries() {
			if err := s.checkThreeVoters(ctx, p); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *system) checkThreeVoters(ctx context.Context, p *cluster.Process) error {
	var state struct {
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
	if err := s.cluster.State(ctx, p, &state); err != nil {
		return err
	}
	voters, isVoter := 0, false
	for _, m := range state.Control.Core.Members {
		if m.Voter {
			voters++
			isVoter = isVoter || m.ID == state.Control.Core.ID
		}
	}
	if voters != 3 || !isVoter {
		return fmt.Errorf("%s sees %d voters, is a voter itself: %v", p.Name, voters, isVoter)
	}
	return nil
}
