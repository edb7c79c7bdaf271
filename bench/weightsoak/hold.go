package weightsoak

import (
	"context"
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
	"github.com/waxwingpost/waxwingpost/bench/fakes"
)

const (
	// maxHold is the longest time for which an order is held back until an event.
	maxHold = 15 * time.Second
	// acceptMargin is the time for which an agent stays frozen after its order was accepted.
	acceptMargin = 800 * time.Millisecond
)

// heldOrder returns the order that a fault holds back.
func (j *injector) heldOrder(ctx context.Context, agent *cluster.Process, f Fault) fakes.HeldOrder {
	o := fakes.HeldOrder{Pieces: []int{f.Piece}, Hold: maxHold, Until: f.Until}
	killAgent := func() { j.group.Go(func() { j.killAndRestart(ctx, agent, f.After, 0) }) }
	switch f.Kind {
	case HoldFreeze:
		frozen := f.Duration
		if f.Until == fakes.AfterHold {
			o.Part, o.Hold = true, f.Duration
			perLayer := j.weights.Pieces / j.weights.Layers
			o.Pieces = []int{perLayer + f.Piece%perLayer}
			frozen += acceptMargin
		}
		o.Received = func() {
			j.freeze(ctx, frozen, agent)
			sleep(ctx, signalTime)
		}
		o.Repaired = killAgent
	case HoldKill, HoldFence:
		if f.Kind == HoldKill {
			o.Pieces = []int{j.weights.Pieces - 2, j.weights.Pieces - 1}
		}
		o.Empty = true
		o.Received = func() {
			_ = agent.Kill()
			j.group.Go(func() { j.restartAfter(ctx, agent, f.Duration) })
		}
		if f.Kind == HoldFence || f.Until == fakes.AfterRead {
			o.Repaired = killAgent
		}
	default:
		o.Pieces, o.Until = nil, fakes.AfterNewer
		o.NewerStaged = func(answer func()) {
			j.freeze(ctx, f.Duration, j.platform.Controls()...)
			sleep(ctx, signalTime)
			answer()
		}
	}
	return o
}

// freeze freezes processes at once and resumes them later.
func (j *injector) freeze(ctx context.Context, duration time.Duration, processes ...*cluster.Process) {
	for _, p := range processes {
		if p.Freeze() != nil {
			continue
		}
		j.group.Go(func() {
			sleep(ctx, duration)
			_ = p.Resume()
		})
	}
}

// killAll kills all agents and control processes, and starts them after a time.
func (j *injector) killAll(ctx context.Context, down time.Duration) {
	for _, p := range slices.Concat(j.platform.Agents(), j.platform.Controls()) {
		j.group.Go(func() { j.killAndRestart(ctx, p, down, 0) })
	}
}
