package node

import (
	"context"
	"sync"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// bootstrapOrJoin retries until this replica has bootstrapped or joined a
// cluster, or ctx ends.
func (n *Node) bootstrapOrJoin(ctx context.Context) error {
	names := n.peerNames()
	for ctx.Err() == nil {
		self := n.localInfo()
		action, id, err := chooseStartAction(self, n.queryPeers(ctx, names, self), len(names))
		if err != nil {
			n.log.Warn("bootstrap or join failed", "code", int(result.CodeOf(err)), "error", err)
		}
		if action != startWait && ctx.Err() == nil {
			n.log.Info("bootstrapping or joining cluster", "cluster", id.Cluster, "founds", action == startBootstrap)
			if err := persistClusterIdentity(n.cfg, id); err != nil {
				return err
			}
			return n.openReplica(id)
		}
		select {
		case <-ctx.Done():
		case <-n.clock.After(n.cfg.RetryInterval):
		}
	}
	return nil
}

// peerNames returns the names of all other entries, without duplicates.
func (n *Node) peerNames() []string {
	seen := map[string]bool{n.cfg.Name: true}
	var names []string
	for _, list := range [][]string{n.cfg.Peers, n.cfg.Bootstrap, n.MemberNames()} {
		for _, name := range list {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	return names
}

// MemberNames returns the VM names of all members known to this replica,
// including its own.
func (n *Node) MemberNames() []string {
	var names []string
	for _, m := range n.currentStatus().core.Members {
		names = append(names, m.Name)
	}
	return names
}

// localInfo returns the information that this replica sends about itself.
func (n *Node) localInfo() replicaInfo {
	s := n.currentStatus()
	return replicaInfo{
		Name: n.cfg.Name, Replica: s.identity.Replica, Cluster: s.identity.Cluster,
		Volatile: n.cfg.diskless(), Bootstrap: n.cfg.Bootstrap,
		InitialMembers: s.identity.InitialMembers, Leader: s.leader,
	}
}

// queryPeers requests the replica information of all named entries in parallel
// and returns the replies received before the timeout.
func (n *Node) queryPeers(ctx context.Context, names []string, self replicaInfo) []replicaInfo {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	var mu sync.Mutex
	var replies []replicaInfo
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() {
			var reply replicaInfo
			if err := n.transport.Call(ctx, name, wire.KindBootstrap, self, &reply); err != nil {
				n.log.Debug("query entry failed", "entry", name, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	wg.Wait()
	return replies
}

// requestJoinIfIsolated asks the leader to add this replica if it has not heard
// from a leader for an election timeout. Voters do so too, because they may
// have been removed while they were down.
func (n *Node) requestJoinIfIsolated(ctx context.Context) {
	if n.joining {
		return
	}
	ticks, known := n.replica.core.TicksSinceContact()
	if known && ticks < n.cfg.ElectionTicks {
		return
	}
	n.joining = true
	request := n.localInfo()
	request.Join = true
	go func() {
		n.join(ctx, request)
		_ = n.submit(ctx, func(*replica) { n.joining = false })
	}()
}

// join sends the request to one entry after the other, and to each leader that
// they name, until the leader has accepted it.
func (n *Node) join(ctx context.Context, request replicaInfo) {
	tried := map[string]bool{}
	for queue := n.peerNames(); len(queue) > 0; queue = queue[1:] {
		name := queue[0]
		if tried[name] || name == n.cfg.Name {
			continue
		}
		tried[name] = true
		reply, err := n.queryPeer(ctx, name, request)
		if err == nil && reply.Leader == reply.Name {
			return
		}
		if err == nil && reply.Leader != "" {
			queue = append(queue, reply.Leader)
			continue
		}
		n.log.Debug("join request failed", "by", name, "error", err)
	}
}

func (n *Node) queryPeer(ctx context.Context, name string, request replicaInfo) (replicaInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	var reply replicaInfo
	err := n.transport.Call(ctx, name, wire.KindBootstrap, request, &reply)
	return reply, err
}

// handleBootstrap replies to another entry's KindBootstrap request. If the
// sender asks to join and this replica leads, it adds the sender as a learner.
func (n *Node) handleBootstrap(ctx context.Context, sender replicaInfo) (replicaInfo, error) {
	self := n.localInfo()
	if !sender.Join {
		return self, nil
	}
	if sender.Cluster != self.Cluster {
		return self, result.New(result.WrongCluster, "%s belongs to cluster %s, this replica to %s", sender.Name, sender.Cluster, self.Cluster)
	}
	if !n.IsLeader() {
		return self, nil
	}
	added := make(chan error, 1)
	err := n.submit(ctx, func(r *replica) { added <- r.admitLearner(sender) })
	if err != nil {
		return self, err
	}
	select {
	case err := <-added:
		return self, err
	case <-n.done:
		return self, result.New(result.NoQuorum, "the replica stopped")
	case <-ctx.Done():
		return self, result.New(result.NoQuorum, "%v", ctx.Err())
	}
}
