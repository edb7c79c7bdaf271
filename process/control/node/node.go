package node

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/control/wal"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// inboxSize is how much may wait for the replica's goroutine.
const inboxSize = 4096

// Node is a replica of the control state. It implements control.Store. All
// methods are safe for concurrent use.
type Node struct {
	cfg   Config
	sm    StateMachine
	tr    Transport
	clock clockwork.Clock
	rnd   *rand.Rand
	log   *slog.Logger
	scope tally.Scope
	lock  io.Closer

	// inbox holds work for the goroutine of Run.
	inbox chan func(*replica)
	// done is closed when Run returned.
	done chan struct{}

	// mu guards the fields below.
	mu     sync.Mutex
	status status
	parts  map[string]*assembly
	names  map[string]string

	// The fields below belong to the goroutine of Run.
	replica  *replica
	lastTick time.Time
	policyAt int
	joining  bool
	// failed is why the goroutine must end.
	failed error
	// stopping ends when Run is to end.
	stopping context.Context
	// beside counts the goroutines that write snapshots.
	beside sync.WaitGroup
}

var _ control.Store = (*Node)(nil)

// status is what a node publishes of itself.
type status struct {
	identity wal.Identity
	core     raft.Status
	// leader is the name of the leader's VM.
	leader string
	// heard is when a majority, or the leader, was last heard.
	heard time.Time
	// failure is why Run ended.
	failure error
	dropped uint64
}

// New returns a node; it opens the data folder and restores what that holds.
// Damage is reported with code LogDamaged or SnapshotDamaged: the folder must
// then be moved away, and the VM joins as a learner.
func New(cfg Config, sm StateMachine, tr Transport, clock clockwork.Clock, rnd *rand.Rand,
	log *slog.Logger, scope tally.Scope,
) (*Node, error) {
	cfg = cfg.withDefaults()
	n := &Node{
		cfg: cfg, sm: sm, tr: tr, clock: clock, rnd: rnd,
		log:   log.With("part", "control"),
		scope: scope.SubScope("control"),
		inbox: make(chan func(*replica), inboxSize),
		done:  make(chan struct{}),
		parts: map[string]*assembly{},
		names: map[string]string{},
	}
	if err := n.openFolder(); err != nil {
		return nil, err
	}
	return n, nil
}

func (n *Node) openFolder() error {
	if !n.cfg.diskless() {
		if err := n.cfg.FS.MkdirAll(n.cfg.DataDir); err != nil {
			return result.New(result.DiskFailed, "create data folder: %v", err)
		}
		lock, err := n.cfg.FS.Lock(n.cfg.DataDir)
		if err != nil {
			return err
		}
		n.lock = lock
	}
	id, err := loadIdentity(n.cfg)
	if err == nil {
		n.status.identity = id
		if id.Cluster != "" {
			err = n.openReplica(id)
		}
	}
	if err != nil {
		n.unlock()
	}
	return err
}

func (n *Node) unlock() {
	if n.lock != nil {
		_ = n.lock.Close()
	}
}

// openReplica starts the replica of a data folder that belongs to a cluster.
func (n *Node) openReplica(id wal.Identity) error {
	d, stored, err := openDisk(n.cfg, id)
	if err != nil {
		return err
	}
	r, err := newReplica(n.cfg, id, d, stored, n.sm, n.rnd, n.log, n.scope)
	if err != nil {
		_ = d.Close()
		return err
	}
	n.replica = r
	n.mu.Lock()
	n.status.identity = id
	n.mu.Unlock()
	return nil
}

// Run runs the replica until ctx ends or the disk fails.
func (n *Node) Run(ctx context.Context) error {
	defer n.unlock()
	defer close(n.done)
	err := n.run(ctx)
	n.mu.Lock()
	n.status.failure = err
	n.status.heard = time.Time{}
	n.mu.Unlock()
	if err != nil {
		n.log.Error("replica stopped", "code", int(result.CodeOf(err)), "error", err)
	}
	return err
}

func (n *Node) run(ctx context.Context) error {
	if n.replica == nil {
		if err := n.enter(ctx); err != nil || n.replica == nil {
			return err
		}
	}
	r := n.replica
	n.stopping = ctx
	r.beside = n.runBeside
	defer func() {
		n.beside.Wait()
		r.abandon(result.New(result.ProposalLost, "the replica stopped"))
		_ = r.disk.Close()
	}()
	n.log.Info("replica started", "replica", r.id.Replica, "cluster", r.id.Cluster,
		"term", r.core.Term(), "applied", r.core.Applied())
	ticker := n.clock.NewTicker(n.cfg.Tick)
	defer ticker.Stop()
	n.lastTick = n.clock.Now()
	if err := n.turn(ctx); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return n.leave(ctx)
		case work := <-n.inbox:
			work(r)
			n.drain()
		case <-ticker.Chan():
			n.drain()
			n.tick(ctx)
		}
		if err := n.turn(ctx); err != nil {
			return err
		}
	}
}

// drain takes in what else waits, so that one sync serves it all.
func (n *Node) drain() {
	for range n.cfg.MaxBatch - 1 {
		select {
		case work := <-n.inbox:
			work(n.replica)
		default:
			return
		}
	}
}

// turn saves, applies and sends what has gathered.
func (n *Node) turn(ctx context.Context) error {
	if n.failed != nil {
		return n.failed
	}
	out, err := n.replica.flush()
	if err != nil {
		return err
	}
	n.publish()
	n.send(ctx, out)
	return nil
}

// runBeside runs work on another goroutine and what follows on the replica's.
func (n *Node) runBeside(work func() error, then func(error) error) error {
	n.beside.Go(func() {
		err := work()
		_ = n.submit(n.stopping, func(*replica) {
			if err := then(err); err != nil {
				n.failed = err
			}
		})
	})
	return nil
}

// tick passes the time that went by. A process that was frozen so notices at
// once that its leadership is over.
func (n *Node) tick(ctx context.Context) {
	now := n.clock.Now()
	count := int(now.Sub(n.lastTick) / n.cfg.Tick)
	n.lastTick = n.lastTick.Add(time.Duration(count) * n.cfg.Tick)
	for range min(count, 2*n.cfg.ElectionTicks) {
		n.replica.core.Tick()
	}
	n.policyAt++
	if n.policyAt >= n.cfg.ElectionTicks/2 {
		n.policyAt = 0
		n.replica.changeMembers()
		n.askToJoin(ctx)
	}
}

// leave hands the leadership on before a planned stop.
func (n *Node) leave(ctx context.Context) error {
	n.replica.core.TransferLeadership()
	return n.turn(context.WithoutCancel(ctx))
}

// publish makes the replica's state visible to other goroutines.
func (n *Node) publish() {
	core := n.replica.core
	s := core.Status()
	silent, led := core.SilentTicks()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nameMembers(s.Members)
	n.status.core = s
	n.status.leader = n.names[s.Leader]
	n.status.heard = time.Time{}
	if led {
		n.status.heard = n.lastTick.Add(-time.Duration(silent) * n.cfg.Tick)
	}
	n.scope.Gauge("applied_index").Update(float64(s.Applied))
	n.scope.Gauge("term").Update(float64(s.Term))
}

// nameMembers notes the VM of each member. Senders that are no members are
// forgotten once there are many. The caller holds n.mu.
func (n *Node) nameMembers(members raft.Members) {
	if len(n.names) > 4*n.cfg.MaxMembers {
		clear(n.names)
	}
	for _, m := range members {
		n.names[m.ID] = m.Name
	}
}

func (n *Node) current() status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status
}

// InQuorum implements control.Store.
func (n *Node) InQuorum() bool {
	heard := n.current().heard
	return !heard.IsZero() && n.clock.Since(heard) <= n.cfg.electionTimeout()
}

// IsLeader implements control.Store.
func (n *Node) IsLeader() bool {
	s := n.current()
	return s.failure == nil && s.core.Role == raft.Leader.String()
}

// Leader returns the name of the leader's VM; empty when not known.
func (n *Node) Leader() string { return n.current().leader }

// Replica returns the identity of this replica.
func (n *Node) Replica() string { return n.current().identity.Replica }

// dump is the node's part of the process's state dump.
type dump struct {
	Identity wal.Identity `json:"identity"`
	Leader   string       `json:"leader"`
	InQuorum bool         `json:"in_quorum"`
	Core     raft.Status  `json:"core"`
	Dropped  uint64       `json:"messages_dropped"`
	Failure  string       `json:"failure,omitempty"`
}

// Dump returns the node's state for the process's dump.
func (n *Node) Dump() any {
	s := n.current()
	d := dump{Identity: s.identity, Leader: s.leader, InQuorum: n.InQuorum(), Core: s.core, Dropped: s.dropped}
	if s.failure != nil {
		d.Failure = s.failure.Error()
	}
	return d
}

// submit queues work for the replica's goroutine.
func (n *Node) submit(ctx context.Context, work func(*replica)) error {
	select {
	case n.inbox <- work:
		return nil
	case <-n.done:
		return result.Refuse(result.NoQuorum, 0, "the replica stopped")
	case <-ctx.Done():
		return result.Refuse(result.NoQuorum, 0, "%v", ctx.Err())
	}
}

// Notify takes a notification of another entry. It does not block: under
// overload messages are dropped, as the network may do as well.
func (n *Node) Notify(from wire.Hello, kind wire.Kind, body cbor.RawMessage) {
	if kind != wire.KindRaft {
		return
	}
	messages, err := n.decodeBatch(from, body)
	if err != nil {
		n.log.Warn("messages refused", "code", int(result.CodeOf(err)), "from", from.Name, "error", err)
		return
	}
	if len(messages) == 0 {
		return
	}
	work := func(r *replica) {
		for _, m := range messages {
			r.core.Step(m)
		}
	}
	select {
	case n.inbox <- work:
	default:
		n.mu.Lock()
		n.status.dropped++
		n.mu.Unlock()
	}
}
