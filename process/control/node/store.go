package node

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// answer is what one attempt at a proposal yielded.
type answer struct {
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
	mayRun := false
	for {
		res, err := n.proposeOnce(ctx, cmd)
		if err == nil {
			return res, nil
		}
		e := result.From(err)
		mayRun = mayRun || e.Ran != result.NotRun
		if !temporary(e.Code) {
			return res, err
		}
		if !n.pause(ctx) {
			return res, n.undecided(e, mayRun)
		}
	}
}

// undecided is the error of a proposal whose time ran out.
func (n *Node) undecided(last *result.Error, mayRun bool) error {
	if mayRun {
		return result.New(result.NoQuorum, "no verdict in time: %v", last)
	}
	return result.Refuse(result.NoQuorum, n.cfg.electionTimeout(), "no leader reached: %v", last)
}

// temporary reports whether another attempt may succeed.
func temporary(code result.Code) bool {
	switch code {
	case result.NoQuorum, result.NotLeader, result.ProposalLost, result.LinkLost, result.QueueFull:
		return true
	default:
		return false
	}
}

// pause waits before another attempt and reports whether there is to be one.
func (n *Node) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.done:
		return false
	case <-n.clock.After(n.cfg.RetryAfter):
		return ctx.Err() == nil
	}
}

// proposeOnce tries once, here or at the leader.
func (n *Node) proposeOnce(ctx context.Context, cmd control.Command) (control.Result, error) {
	leader := n.Leader()
	switch {
	case n.IsLeader():
		return n.proposeHere(ctx, cmd)
	case leader == "" || leader == n.cfg.Name:
		return control.Result{}, result.Refuse(result.NoQuorum, 0, "no leader is known")
	}
	var res control.Result
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	if err := n.tr.Call(ctx, leader, wire.KindPropose, cmd, &res); err != nil {
		return res, err
	}
	// The leader's answer is final. Waiting for the local state lets the
	// caller read what it wrote; when that takes long the answer goes first.
	n.awaitApplied(ctx, res.Index)
	return res, nil
}

// proposeHere puts the command into this leader's log and waits for it to be
// applied.
func (n *Node) proposeHere(ctx context.Context, cmd control.Command) (control.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	answers := make(chan answer, 1)
	err := n.submit(ctx, func(r *replica) {
		r.propose(proposal{cmd: cmd, done: func(res control.Result, err error) {
			answers <- answer{res: res, err: err}
		}})
	})
	if err != nil {
		return control.Result{}, err
	}
	select {
	case a := <-answers:
		return a.res, a.err
	case <-ctx.Done():
		return control.Result{}, result.New(result.ProposalLost, "not applied in time")
	case <-n.done:
		return control.Result{}, result.New(result.ProposalLost, "the replica stopped")
	}
}

// Barrier implements control.Store.
func (n *Node) Barrier(ctx context.Context) error {
	for {
		index, err := n.readIndex(ctx)
		if err == nil && n.awaitApplied(ctx, index) {
			return nil
		}
		if err != nil && !temporary(result.CodeOf(err)) {
			return err
		}
		if !n.pause(ctx) {
			return result.Refuse(result.NoQuorum, n.cfg.electionTimeout(), "no quorum confirmed in time: %v", err)
		}
	}
}

// readIndex asks the leader for an index that a quorum round confirmed.
func (n *Node) readIndex(ctx context.Context) (uint64, error) {
	leader := n.Leader()
	if n.IsLeader() {
		return n.readHere(ctx)
	}
	if leader == "" || leader == n.cfg.Name {
		return 0, result.Refuse(result.NoQuorum, 0, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	var reply wire.BarrierReply
	err := n.tr.Call(ctx, leader, wire.KindBarrier, wire.Empty{}, &reply)
	return reply.Index, err
}

func (n *Node) readHere(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	type outcome struct {
		index uint64
		err   error
	}
	outcomes := make(chan outcome, 1)
	err := n.submit(ctx, func(r *replica) {
		r.read(func(index uint64, err error) { outcomes <- outcome{index, err} })
	})
	if err != nil {
		return 0, err
	}
	select {
	case o := <-outcomes:
		return o.index, o.err
	case <-ctx.Done():
		return 0, result.Refuse(result.NoQuorum, 0, "no quorum answered in time")
	case <-n.done:
		return 0, result.Refuse(result.NoQuorum, 0, "the replica stopped")
	}
}

// awaitApplied waits until the local state holds index; false when ctx ended
// before.
func (n *Node) awaitApplied(ctx context.Context, index uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	reached := make(chan struct{})
	err := n.submit(ctx, func(r *replica) {
		r.whenApplied(index, func() { close(reached) })
	})
	if err != nil {
		return false
	}
	select {
	case <-reached:
		return true
	case <-ctx.Done():
		return false
	case <-n.done:
		return false
	}
}

// Call serves a call of another entry.
func (n *Node) Call(ctx context.Context, from wire.Hello, kind wire.Kind, body cbor.RawMessage) (any, error) {
	switch kind {
	case wire.KindPropose:
		return n.servePropose(ctx, body)
	case wire.KindBarrier:
		if !n.IsLeader() {
			return nil, result.Refuse(result.NotLeader, 0, "%s does not lead", n.cfg.Name)
		}
		index, err := n.readHere(ctx)
		return wire.BarrierReply{Index: index}, err
	case wire.KindBootstrap:
		var in introduction
		if err := decode(body, &in); err != nil {
			return nil, err
		}
		return n.serveIntroduction(ctx, in)
	case wire.KindSnapshot:
		var p part
		if err := decode(body, &p); err != nil {
			return nil, err
		}
		return wire.Empty{}, n.takePart(ctx, from, p)
	default:
		return nil, result.New(result.BadMessage, "kind %d is not served", kind)
	}
}

func (n *Node) servePropose(ctx context.Context, body cbor.RawMessage) (any, error) {
	var cmd control.Command
	if err := decode(body, &cmd); err != nil {
		return nil, err
	}
	if cmd.ID == "" {
		return nil, result.Refuse(result.BadCommand, 0, "the command has no ID")
	}
	if !n.IsLeader() {
		return nil, result.Refuse(result.NotLeader, 0, "%s does not lead", n.cfg.Name)
	}
	return n.proposeHere(ctx, cmd)
}

func decode(body cbor.RawMessage, v any) error {
	if err := cbor.Unmarshal(body, v); err != nil {
		return result.Refuse(result.BadMessage, 0, "decode: %v", err)
	}
	return nil
}
