package node

import (
	"context"
	"time"

	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// stopTimeout bounds the time for which a stopping replica goes on in order to release
	// its vote: an election and two membership changes.
	stopTimeout = time.Second
	// transferTicks is the interval at which a stopping leader asks another voter to take
	// over.
	transferTicks = 4
)

// stop ends the replica after a planned stop of the process. It asks another voter to lead.
// If more replicas are left than the fault tolerance requires, it then also releases its
// vote, so that a VM that is replaced does not count as a voter until the leader finds it
// silent. The transport must work until then.
func (n *Node) stop(ctx context.Context, ticks <-chan time.Time) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.replica.core.TransferLeadership()
	if err := n.flush(ctx); err != nil || !n.hasSpareVote() {
		return err
	}
	started := n.clock.Now()
	timeout := n.clock.After(stopTimeout)
	replies := make(chan error, 1)
	requesting := false
	for tickCount := 1; ; {
		select {
		case <-timeout:
			n.log.Warn("vote not released before the stop", "took", n.clock.Since(started))
			return nil
		case err := <-replies:
			if err == nil {
				n.log.Info("vote released before the stop", "took", n.clock.Since(started))
				return nil
			}
			requesting = false
		case work := <-n.inbox:
			work(n.replica)
			n.processQueued()
		case <-ticks:
			n.processQueued()
			n.advanceClock()
			if tickCount++; tickCount%transferTicks == 0 {
				n.replica.core.TransferLeadership()
			}
		}
		if err := n.flush(ctx); err != nil {
			return err
		}
		if leader := n.Leader(); !requesting && n.replica.core.Role() != raft.Leader && leader != "" && leader != n.cfg.Name {
			requesting = true
			go func() { replies <- n.requestRelease(ctx, leader) }()
		}
	}
}

// hasSpareVote reports whether the cluster may have enough voters without this replica.
// The leader decides.
func (n *Node) hasSpareVote() bool {
	members := n.replica.core.Members()
	running := 0
	for _, m := range members {
		if !m.Volatile && !m.Released {
			running++
		}
	}
	self, ok := members.Get(n.replica.id.Replica)
	return ok && !self.Volatile && n.cfg.FaultTolerance > 0 && running > 2*n.cfg.FaultTolerance+1
}

// requestRelease asks the leader to take this replica's vote and waits until that is
// committed. After an error it pauses before it returns.
func (n *Node) requestRelease(ctx context.Context, leader string) error {
	request := n.localInfo()
	request.Release = true
	reply, err := n.queryPeer(ctx, leader, request)
	if err == nil && reply.Leader != reply.Name {
		err = result.New(result.NotLeader, "%s is not the leader", leader)
	}
	if err != nil {
		select {
		case <-ctx.Done():
		case <-n.clock.After(n.cfg.Tick):
		}
	}
	return err
}
