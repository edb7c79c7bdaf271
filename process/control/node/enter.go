package node

import (
	"context"
	"sync"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// enter waits until this data folder founded or joined a cluster.
func (n *Node) enter(ctx context.Context) error {
	asked := n.peers()
	for ctx.Err() == nil {
		self := n.introduction()
		how, id, err := decideStart(self, n.askAll(ctx, asked, self), len(asked))
		if err != nil {
			n.log.Warn("no cluster entered", "code", int(result.CodeOf(err)), "error", err)
		}
		if how != planWait && ctx.Err() == nil {
			n.log.Info("cluster entered", "cluster", id.Cluster, "founds", how == planFound)
			if err := enterCluster(n.cfg, id); err != nil {
				return err
			}
			return n.openReplica(id)
		}
		select {
		case <-ctx.Done():
		case <-n.clock.After(n.cfg.RetryAfter):
		}
	}
	return nil
}

// peers returns the names of all other entries.
func (n *Node) peers() []string {
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

// MemberNames returns the names of the members' VMs as this replica knows them,
// this one's included.
func (n *Node) MemberNames() []string {
	var names []string
	for _, m := range n.current().core.Members {
		names = append(names, m.Name)
	}
	return names
}

// introduction returns what this replica tells others about itself.
func (n *Node) introduction() introduction {
	s := n.current()
	return introduction{
		Name: n.cfg.Name, Replica: s.identity.Replica, Cluster: s.identity.Cluster,
		Volatile: n.cfg.diskless(), Bootstrap: n.cfg.Bootstrap,
		Founders: s.identity.Founders, Leader: s.leader,
	}
}

// askAll asks the entries who they are and returns the answers that came.
func (n *Node) askAll(ctx context.Context, names []string, self introduction) []introduction {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	var mu sync.Mutex
	var answers []introduction
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() {
			var answer introduction
			if err := n.tr.Call(ctx, name, wire.KindBootstrap, self, &answer); err != nil {
				n.log.Debug("entry not reached", "entry", name, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer)
		})
	}
	wg.Wait()
	return answers
}

// askToJoin asks the leader to admit this replica while no leader speaks to
// it. A voter does so too: it may have been removed while it was down.
func (n *Node) askToJoin(ctx context.Context) {
	if n.joining {
		return
	}
	silent, led := n.replica.core.SilentTicks()
	if led && silent < n.cfg.ElectionTicks {
		return
	}
	n.joining = true
	request := n.introduction()
	request.Join = true
	go func() {
		n.join(ctx, request)
		_ = n.submit(ctx, func(*replica) { n.joining = false })
	}()
}

// join tries the entries in turn, and the leader that one of them names.
func (n *Node) join(ctx context.Context, request introduction) {
	tried := map[string]bool{}
	for queue := n.peers(); len(queue) > 0; queue = queue[1:] {
		name := queue[0]
		if tried[name] || name == n.cfg.Name {
			continue
		}
		tried[name] = true
		answer, err := n.askOne(ctx, name, request)
		if err == nil && answer.Leader == answer.Name {
			return
		}
		if err == nil && answer.Leader != "" {
			queue = append(queue, answer.Leader)
			continue
		}
		n.log.Debug("not admitted", "by", name, "error", err)
	}
}

func (n *Node) askOne(ctx context.Context, name string, request introduction) (introduction, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	var answer introduction
	err := n.tr.Call(ctx, name, wire.KindBootstrap, request, &answer)
	return answer, err
}

// serveIntroduction answers another entry; the leader admits it if it asks.
func (n *Node) serveIntroduction(ctx context.Context, in introduction) (introduction, error) {
	self := n.introduction()
	if !in.Join {
		return self, nil
	}
	if in.Cluster != self.Cluster {
		return self, result.New(result.WrongCluster, "%s is of cluster %s, this replica of %s", in.Name, in.Cluster, self.Cluster)
	}
	if !n.IsLeader() {
		return self, nil
	}
	admitted := make(chan error, 1)
	err := n.submit(ctx, func(r *replica) { admitted <- r.admit(in) })
	if err != nil {
		return self, err
	}
	select {
	case err := <-admitted:
		return self, err
	case <-n.done:
		return self, result.New(result.NoQuorum, "the replica stopped")
	case <-ctx.Done():
		return self, result.New(result.NoQuorum, "%v", ctx.Err())
	}
}
