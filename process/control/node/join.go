package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// admissionWarnInterval is how long a replica may lack contact with a leader before
// each attempt to join is logged as a warning.
const admissionWarnInterval = time.Second

// bootstrapOrJoin retries until this replica has bootstrapped or joined a
// cluster, or ctx ends.
func (n *Node) bootstrapOrJoin(ctx context.Context) error {
	started := n.clock.Now()
	var warned time.Time
	for ctx.Err() == nil {
		self := n.localInfo()
		names := n.peerNames()
		replies := n.queryPeers(ctx, names, self)
		unanswered := unansweredNames(slices.Concat(n.cfg.Peers, n.cfg.Bootstrap), n.cfg.Name, replies)
		action, id, err := chooseStartAction(self, replies, len(replies)+len(unanswered))
		if now := n.clock.Now(); err != nil || action == startWait && now.Sub(started) >= admissionWarnInterval && now.Sub(warned) >= admissionWarnInterval {
			warned = now
			n.log.Warn("neither bootstrapped nor joined", "code", int(result.CodeOf(err)), "since", now.Sub(started),
				"asked", names, "replies", len(replies), "unanswered", unanswered, "error", err)
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

// unansweredNames returns the names, other than self, from which no reply arrived.
func unansweredNames(names []string, self string, replies []replicaInfo) []string {
	missing := uniqueNames(self, names)
	return slices.DeleteFunc(missing, func(name string) bool {
		return slices.ContainsFunc(replies, func(reply replicaInfo) bool { return reply.Name == name })
	})
}

// uniqueNames concatenates the lists without duplicates and without self.
func uniqueNames(self string, lists ...[]string) []string {
	seen := map[string]bool{self: true}
	var names []string
	for _, name := range slices.Concat(lists...) {
		if !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	return names
}

// peerNames returns the names of all other entries: those in the settings, the known
// members, and the members that other replicas reported.
func (n *Node) peerNames() []string {
	n.mu.Lock()
	peers, reported := n.peers, n.reportedMembers
	n.mu.Unlock()
	return uniqueNames(n.cfg.Name, peers, n.cfg.Bootstrap, n.MemberNames(), reported)
}

// ContactNames returns the names of the VMs to which this replica needs links: the other
// members and, while it has no contact with a leader, every other entry that it knows.
func (n *Node) ContactNames() []string {
	if n.InQuorum() {
		return uniqueNames(n.cfg.Name, n.MemberNames())
	}
	return n.peerNames()
}

// SetPeers replaces the entries of Config.Peers for joining. A cluster is still
// bootstrapped only with the replies of those in Config.
func (n *Node) SetPeers(names []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = slices.Clone(names)
}

// recordReportedMembers replaces the members that other replicas reported by those in
// the replies, unless these report none.
func (n *Node) recordReportedMembers(replies []replicaInfo) {
	var lists [][]string
	for _, reply := range replies {
		lists = append(lists, reply.Members[:min(len(reply.Members), n.cfg.MaxMembers)])
	}
	names := uniqueNames(n.cfg.Name, lists...)
	if len(names) == 0 {
		return
	}
	names = names[:min(len(names), 2*n.cfg.MaxMembers)]
	n.mu.Lock()
	changed := !slices.Equal(names, n.reportedMembers)
	n.reportedMembers = names
	n.mu.Unlock()
	if changed {
		select {
		case n.contactsChanged <- struct{}{}:
		default:
		}
	}
}

// ContactsChanged returns a channel that receives a value after ContactNames may have
// grown.
func (n *Node) ContactsChanged() <-chan struct{} { return n.contactsChanged }

// IsMember reports whether this replica is a member as far as it knows.
func (n *Node) IsMember() bool {
	s := n.currentStatus()
	_, ok := s.core.Members.Get(s.identity.Replica)
	return ok
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
	members := n.MemberNames()
	if len(members) == 0 {
		n.mu.Lock()
		members = n.reportedMembers
		n.mu.Unlock()
	}
	return replicaInfo{
		Name: n.cfg.Name, Replica: s.identity.Replica, Cluster: s.identity.Cluster,
		Volatile: n.cfg.diskless(), Bootstrap: n.cfg.Bootstrap,
		InitialMembers: s.identity.InitialMembers, Leader: s.leader, Members: members,
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
	n.recordReportedMembers(replies)
	return replies
}

// requestJoinIfIsolated asks the leader to add this replica if it has not heard
// from a leader for an election timeout, or if it released its vote before it was
// restarted. Voters do so too, because they may have been removed while they were down.
func (n *Node) requestJoinIfIsolated(ctx context.Context) {
	if n.joining {
		return
	}
	ticks, known := n.replica.core.TicksSinceContact()
	connected := known && ticks < n.cfg.ElectionTicks
	if connected {
		n.isolatedSince = time.Time{}
	}
	if self, _ := n.replica.core.Members().Get(n.replica.id.Replica); connected && !self.Released {
		return
	}
	now := n.clock.Now()
	if n.isolatedSince.IsZero() {
		n.isolatedSince, n.lastJoinWarning = now, now
	}
	warn := now.Sub(n.lastJoinWarning) >= admissionWarnInterval
	if warn {
		n.lastJoinWarning = now
	}
	n.joining = true
	request := n.localInfo()
	request.Join = true
	voters := n.replica.core.ElectingVoters()
	isolated := now.Sub(n.isolatedSince)
	go func() {
		if answers := n.join(ctx, request, voters); warn {
			n.log.Warn("not admitted by a leader", "since", isolated, "answers", answers)
		}
		_ = n.submit(ctx, func(*replica) { n.joining = false })
	}()
}

// join sends the request to one entry after the other, and to each leader that
// they name, until the leader has accepted it. It returns what each of them answered.
// voters are those that elect a leader, as of before the first request.
func (n *Node) join(ctx context.Context, request replicaInfo, voters raft.Members) (answers []string) {
	var replies []replicaInfo
	defer func() { n.recordReportedMembers(replies) }()
	tried := map[string]bool{}
	for queue := n.peerNames(); len(queue) > 0; queue = queue[1:] {
		name := queue[0]
		if tried[name] || name == n.cfg.Name {
			continue
		}
		tried[name] = true
		reply, err := n.queryPeer(ctx, name, request)
		if err != nil {
			answers = append(answers, fmt.Sprintf("%s: %v", name, err))
			continue
		}
		answers = append(answers, fmt.Sprintf("%s: leader %q", name, reply.Leader))
		if reply.Leader == reply.Name {
			return answers
		}
		n.recordReplaced(ctx, name, reply, voters)
		replies = append(replies, reply)
		if reply.Leader != "" {
			queue = append(queue, reply.Leader)
		}
	}
	return answers
}

// recordReplaced records the voters in whose place the named VM now runs another replica.
// voters were known before the VM was asked: a VM has one replica at a time, so they lost their
// disk before the reply. A request from the VM would not show that, as it may be older.
func (n *Node) recordReplaced(ctx context.Context, name string, reply replicaInfo, voters raft.Members) {
	replaced := replacedVoters(voters, name, reply, n.currentStatus().identity.Cluster)
	if len(replaced) == 0 {
		return
	}
	_ = n.submit(ctx, func(r *replica) {
		for _, id := range replaced {
			if !r.core.Replaced(id) {
				r.log.Info("voter is lost, its VM has a new replica", "vm", name, "replica", id, "new", reply.Replica)
			}
			r.core.MarkReplaced(id)
		}
	})
}

// replacedVoters returns the IDs of the voters in whose place the named VM runs another
// replica according to its reply.
func replacedVoters(voters raft.Members, name string, reply replicaInfo, cluster string) []string {
	if reply.Name != name || reply.Cluster != cluster || reply.Replica == "" || reply.Volatile {
		return nil
	}
	var ids []string
	for _, m := range voters {
		if m.Name == name && m.ID != reply.Replica {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (n *Node) queryPeer(ctx context.Context, name string, request replicaInfo) (replicaInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	var reply replicaInfo
	err := n.transport.Call(ctx, name, wire.KindBootstrap, request, &reply)
	return reply, err
}

// handleBootstrap replies to another entry's KindBootstrap request. If this replica
// leads, it adds a sender that asks to join as a learner, and takes the vote of one that
// releases it.
func (n *Node) handleBootstrap(ctx context.Context, sender replicaInfo) (replicaInfo, error) {
	self := n.localInfo()
	if !sender.Join && !sender.Release {
		return self, nil
	}
	if sender.Cluster != self.Cluster {
		return self, result.New(result.WrongCluster, "%s belongs to cluster %s, this replica to %s", sender.Name, sender.Cluster, self.Cluster)
	}
	if !n.IsLeader() {
		return self, nil
	}
	finished := make(chan error, 2)
	err := n.submit(ctx, func(r *replica) {
		if sender.Join {
			finished <- r.admitLearner(sender)
			return
		}
		if err := r.releaseVote(sender, func() { finished <- nil }); err != nil {
			finished <- err
		}
	})
	if err != nil {
		return self, err
	}
	select {
	case err := <-finished:
		return self, err
	case <-n.done:
		return self, result.New(result.NoQuorum, "the replica stopped")
	case <-ctx.Done():
		return self, result.New(result.NoQuorum, "%v", ctx.Err())
	}
}
