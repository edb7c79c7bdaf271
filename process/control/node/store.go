package node

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// proposeResult is the result of one attempt to propose a command.
type proposeResult struct {
	res control.Result
	err error
}

// Propose implements control.Store.
func (n *Node) Propose(ctx context.Context, cmd control.Command) (control.Result, error) {
	if cmd.ID == "" {
		cmd.ID = uuid.New().String()
	}
	if cmd.VM == "" {
		cmd.VM = n.cfg.Name
	}
	if cmd.Time == 0 {
		cmd.Time = n.clock.Now().UnixMilli()
	}
	mayHaveRun := false
	for {
		res, err := n.proposeOnce(ctx, cmd)
		if err == nil {
			return res, nil
		}
		e := result.From(err)
		mayHaveRun = mayHaveRun || e.Ran != result.NotRun
		if !retryable(e.Code) {
			return res, err
		}
		if !n.waitRetry(ctx) {
			return res, n.unfinishedProposalError(e, mayHaveRun)
		}
	}
}

// unfinishedProposalError returns the error of a proposal that had no result
// when ctx or the node ended.
func (n *Node) unfinishedProposalError(last *result.Error, mayHaveRun bool) error {
	if mayHaveRun {
		return result.New(result.NoQuorum, "no proposal result in time: %v", last)
	}
	return result.Refuse(result.NoQuorum, n.cfg.electionTimeout(), "no leader reached: %v", last)
}

// retryable reports whether another attempt may succeed.
func retryable(code result.Code) bool {
	switch code {
	case result.NoQuorum, result.NotLeader, result.ProposalLost, result.LinkLost, result.QueueFull:
		return true
	default:
		return false
	}
}

// waitRetry waits for the retry interval. It reports false if ctx or the node
// ended, so that no retry is due.
func (n *Node) waitRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.done:
		return false
	case <-n.clock.After(n.cfg.RetryInterval):
		return ctx.Err() == nil
	}
}

// proposeOnce makes one attempt, locally or with a call to the leader.
func (n *Node) proposeOnce(ctx context.Context, cmd control.Command) (control.Result, error) {
	leader := n.Leader()
	switch {
	case n.IsLeader():
		return n.proposeLocal(ctx, cmd)
	case leader == "" || leader == n.cfg.Name:
		return control.Result{}, result.Refuse(result.NoQuorum, 0, "no leader is known")
	}
	var res control.Result
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	if err := n.transport.Call(ctx, leader, wire.KindPropose, cmd, &res); err != nil {
		return res, err
	}
	// The leader's result is final. Waiting for the local state lets the caller
	// read its own write; if that times out, the result is returned regardless.
	n.waitApplied(ctx, res.Index)
	return res, nil
}

// proposeLocal appends the command to this leader's log and waits until it is
// applied.
func (n *Node) proposeLocal(ctx context.Context, cmd control.Command) (control.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	results := make(chan proposeResult, 1)
	err := n.submit(ctx, func(r *replica) {
		r.propose(proposal{cmd: cmd, done: func(res control.Result, err error) {
			results <- proposeResult{res: res, err: err}
		}})
	})
	if err != nil {
		return control.Result{}, err
	}
	select {
	case r := <-results:
		return r.res, r.err
	case <-ctx.Done():
		return control.Result{}, result.New(result.ProposalLost, "command not applied before the deadline")
	case <-n.done:
		return control.Result{}, result.New(result.ProposalLost, "the replica stopped")
	}
}

// Barrier implements control.Store.
func (n *Node) Barrier(ctx context.Context) error {
	for {
		index, err := n.readIndex(ctx)
		if err == nil && n.waitApplied(ctx, index) {
			return nil
		}
		if err != nil && !retryable(result.CodeOf(err)) {
			return err
		}
		if !n.waitRetry(ctx) {
			return result.Refuse(result.NoQuorum, n.cfg.electionTimeout(), "no quorum confirmation before the deadline: %v", err)
		}
	}
}

// readIndex gets a read index from the leader, confirmed by a quorum round.
func (n *Node) readIndex(ctx context.Context) (uint64, error) {
	leader := n.Leader()
	if n.IsLeader() {
		return n.readIndexLocal(ctx)
	}
	if leader == "" || leader == n.cfg.Name {
		return 0, result.Refuse(result.NoQuorum, 0, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	var reply wire.BarrierReply
	err := n.transport.Call(ctx, leader, wire.KindBarrier, wire.Empty{}, &reply)
	return reply.Index, err
}

func (n *Node) readIndexLocal(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	type readResult struct {
		index uint64
		err   error
	}
	results := make(chan readResult, 1)
	err := n.submit(ctx, func(r *replica) {
		r.read(func(index uint64, err error) { results <- readResult{index, err} })
	})
	if err != nil {
		return 0, err
	}
	select {
	case r := <-results:
		return r.index, r.err
	case <-ctx.Done():
		return 0, result.Refuse(result.NoQuorum, 0, "no quorum confirmation before the deadline")
	case <-n.done:
		return 0, result.Refuse(result.NoQuorum, 0, "the replica stopped")
	}
}

// waitApplied waits until the entry at index is applied locally. It returns
// false if ctx ended first.
func (n *Node) waitApplied(ctx context.Context, index uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	applied := make(chan struct{})
	err := n.submit(ctx, func(r *replica) {
		r.whenApplied(index, func() { close(applied) })
	})
	if err != nil {
		return false
	}
	select {
	case <-applied:
		return true
	case <-ctx.Done():
		return false
	case <-n.done:
		return false
	}
}

// Call handles a request from another entry.
func (n *Node) Call(ctx context.Context, from wire.Hello, kind wire.Kind, body cbor.RawMessage) (any, error) {
	switch kind {
	case wire.KindPropose:
		return n.handlePropose(ctx, body)
	case wire.KindBarrier:
		if !n.IsLeader() {
			return nil, result.Refuse(result.NotLeader, 0, "%s is not the leader", n.cfg.Name)
		}
		index, err := n.readIndexLocal(ctx)
		return wire.BarrierReply{Index: index}, err
	case wire.KindBootstrap:
		var sender replicaInfo
		if err := decode(body, &sender); err != nil {
			return nil, err
		}
		return n.handleBootstrap(ctx, sender)
	case wire.KindSnapshot:
		var p snapshotPart
		if err := decode(body, &p); err != nil {
			return nil, err
		}
		return wire.Empty{}, n.receivePart(ctx, from, p)
	default:
		return nil, result.New(result.BadMessage, "unsupported message kind %d", kind)
	}
}

func (n *Node) handlePropose(ctx context.Context, body cbor.RawMessage) (any, error) {
	var cmd control.Command
	if err := decode(body, &cmd); err != nil {
		return nil, err
	}
	if cmd.ID == "" {
		return nil, result.Refuse(result.BadCommand, 0, "the command has no ID")
	}
	if !n.IsLeader() {
		return nil, result.Refuse(result.NotLeader, 0, "%s is not the leader", n.cfg.Name)
	}
	return n.proposeLocal(ctx, cmd)
}

func decode(body cbor.RawMessage, v any) error {
	if err := cbor.Unmarshal(body, v); err != nil {
		return result.Refuse(result.BadMessage, 0, "decode message: %v", err)
	}
	return nil
}
