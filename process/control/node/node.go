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

// inboxSize bounds the work queued for the replica's goroutine.
const inboxSize = 4096

// Node is a replica of the control state. It implements control.Store. All
// methods are safe for concurrent use.
type Node struct {
	cfg       Config
	sm        StateMachine
	transport Transport
	clock     clockwork.Clock
	rnd       *rand.Rand
	log       *slog.Logger
	scope     tally.Scope
	dirLock   io.Closer

	// inbox queues work for the goroutine of Run.
	inbox chan func(*replica)
	// done is closed when Run returns.
	done chan struct{}
	// contactsChanged is signaled when reportedMembers changes.
	contactsChanged chan struct{}

	// mu guards the fields below.
	mu              sync.Mutex
	status          status
	partialMessages map[string]*partialMessage
	vmNames         map[string]string
	// peers are the names of the entries in the current settings, reportedMembers those
	// of the members that other replicas reported while this one was not a member.
	peers           []string
	reportedMembers []string

	// The fields below belong to the goroutine of Run.
	replica               *replica
	lastTick              time.Time
	ticksSinceMemberCheck int
	joining               bool
	// isolatedSince is when contact with a leader was first missing, zero while there is
	// contact; lastJoinWarning is when that was last logged.
	isolatedSince   time.Time
	lastJoinWarning time.Time
	// fatalErr makes the goroutine return with this error.
	fatalErr error
	// runCtx is the context of Run.
	runCtx context.Context
	// background tracks the goroutines that write snapshots.
	background sync.WaitGroup
}

var _ control.Store = (*Node)(nil)

// status is the state that a node publishes to other goroutines.
type status struct {
	identity wal.Identity
	core     raft.Status
	// leader is the name of the leader's VM.
	leader string
	// lastContact is when this replica last heard from the leader, or as
	// leader from a majority.
	lastContact time.Time
	// runErr is the error that ended Run.
	runErr  error
	dropped uint64
}

// New opens the data folder, restores its state and returns the node. Damaged
// files are reported with code LogDamaged or SnapshotDamaged. The operator must
// then move the folder away, and the VM rejoins as a learner.
func New(cfg Config, sm StateMachine, tr Transport, clock clockwork.Clock, rnd *rand.Rand,
	log *slog.Logger, scope tally.Scope,
) (*Node, error) {
	cfg = cfg.withDefaults()
	n := &Node{
		cfg: cfg, sm: sm, transport: tr, clock: clock, rnd: rnd,
		log:             log.With("part", "control"),
		scope:           scope.SubScope("control"),
		inbox:           make(chan func(*replica), inboxSize),
		done:            make(chan struct{}),
		partialMessages: map[string]*partialMessage{},
		vmNames:         map[string]string{},
		peers:           cfg.Peers,
		contactsChanged: make(chan struct{}, 1),
	}
	if err := n.openDataDir(); err != nil {
		return nil, err
	}
	return n, nil
}

func (n *Node) openDataDir() error {
	if !n.cfg.diskless() {
		if err := n.cfg.FS.MkdirAll(n.cfg.DataDir); err != nil {
			return result.New(result.DiskFailed, "create data folder: %v", err)
		}
		dirLock, err := n.cfg.FS.Lock(n.cfg.DataDir)
		if err != nil {
			return err
		}
		n.dirLock = dirLock
	}
	id, err := loadOrCreateIdentity(n.cfg)
	if err == nil {
		n.status.identity = id
		if id.Cluster != "" {
			err = n.openReplica(id)
		}
	}
	if err != nil {
		n.unlockDataDir()
	}
	return err
}

func (n *Node) unlockDataDir() {
	if n.dirLock != nil {
		_ = n.dirLock.Close()
	}
}

// openReplica opens the replica of a data folder that belongs to a cluster.
func (n *Node) openReplica(id wal.Identity) error {
	store, stored, err := openStorage(n.cfg, id)
	if err != nil {
		return err
	}
	r, err := newReplica(n.cfg, id, store, stored, n.sm, n.rnd, n.log, n.scope)
	if err != nil {
		_ = store.Close()
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
	defer n.unlockDataDir()
	defer close(n.done)
	err := n.run(ctx)
	n.mu.Lock()
	n.status.runErr = err
	n.status.lastContact = time.Time{}
	n.mu.Unlock()
	if err != nil {
		n.log.Error("replica stopped", "code", int(result.CodeOf(err)), "error", err)
	}
	return err
}

func (n *Node) run(ctx context.Context) error {
	if n.replica == nil {
		if err := n.bootstrapOrJoin(ctx); err != nil || n.replica == nil {
			return err
		}
	}
	r := n.replica
	runCtx, stopBackground := context.WithCancel(ctx)
	n.runCtx = runCtx
	r.runInBackground = n.runInBackground
	defer func() {
		// Nothing takes work from the inbox any more, so that submit could block for good.
		stopBackground()
		n.background.Wait()
		r.failPending(result.New(result.ProposalLost, "the replica stopped"))
		_ = r.storage.Close()
	}()
	n.log.Info("replica started", "replica", r.id.Replica, "cluster", r.id.Cluster,
		"term", r.core.Term(), "applied", r.core.Applied())
	ticker := n.clock.NewTicker(n.cfg.Tick)
	defer ticker.Stop()
	n.lastTick = n.clock.Now()
	if err := n.flush(ctx); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return n.stop(ctx, ticker.Chan())
		case work := <-n.inbox:
			work(r)
			n.processQueued()
		case <-ticker.Chan():
			n.processQueued()
			n.tick(ctx)
		}
		if err := n.flush(ctx); err != nil {
			return err
		}
	}
}

// processQueued runs further queued work, so that one sync covers all of it.
func (n *Node) processQueued() {
	for range n.cfg.MaxBatch - 1 {
		select {
		case work := <-n.inbox:
			work(n.replica)
		default:
			return
		}
	}
}

// flush saves and applies the pending work and sends the resulting messages.
func (n *Node) flush(ctx context.Context) error {
	if n.fatalErr != nil {
		return n.fatalErr
	}
	out, err := n.replica.flush()
	if err != nil {
		return err
	}
	n.publishStatus()
	n.sendMessages(ctx, out)
	return nil
}

// runInBackground runs work on another goroutine, then onDone on the replica's.
func (n *Node) runInBackground(work func() error, onDone func(error) error) error {
	n.background.Go(func() {
		err := work()
		_ = n.submit(n.runCtx, func(*replica) {
			if err := onDone(err); err != nil {
				n.fatalErr = err
			}
		})
	})
	return nil
}

// tick advances the core and regularly checks the membership. After a process was
// frozen, the first call makes an expired leader step down.
func (n *Node) tick(ctx context.Context) {
	n.advanceClock()
	n.ticksSinceMemberCheck++
	if n.ticksSinceMemberCheck >= n.cfg.ElectionTicks/2 {
		n.ticksSinceMemberCheck = 0
		n.replica.proposeMemberChange()
		n.requestJoinIfIsolated(ctx)
	}
}

// advanceClock advances the core by the ticks elapsed since the last call.
func (n *Node) advanceClock() {
	now := n.clock.Now()
	count := int(now.Sub(n.lastTick) / n.cfg.Tick)
	n.lastTick = n.lastTick.Add(time.Duration(count) * n.cfg.Tick)
	for range min(count, 2*n.cfg.ElectionTicks) {
		n.replica.core.Tick()
	}
}

// publishStatus makes the replica's status visible to other goroutines.
func (n *Node) publishStatus() {
	core := n.replica.core
	s := core.Status()
	ticks, known := core.TicksSinceContact()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordMemberNames(s.Members)
	n.status.core = s
	n.status.leader = n.vmNames[s.Leader]
	n.status.lastContact = time.Time{}
	if known {
		n.status.lastContact = n.lastTick.Add(-time.Duration(ticks) * n.cfg.Tick)
	}
	n.scope.Gauge("applied_index").Update(float64(s.Applied))
	n.scope.Gauge("term").Update(float64(s.Term))
}

// recordMemberNames records the VM name of each member. vmNames also holds
// senders that are not members; it is cleared first once it grows too large.
// The caller holds n.mu.
func (n *Node) recordMemberNames(members raft.Members) {
	if len(n.vmNames) > 4*n.cfg.MaxMembers {
		clear(n.vmNames)
	}
	for _, m := range members {
		n.vmNames[m.ID] = m.Name
	}
}

func (n *Node) currentStatus() status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status
}

// InQuorum implements control.Store.
func (n *Node) InQuorum() bool {
	lastContact := n.currentStatus().lastContact
	return !lastContact.IsZero() && n.clock.Since(lastContact) <= n.cfg.electionTimeout()
}

// IsLeader implements control.Store.
func (n *Node) IsLeader() bool {
	s := n.currentStatus()
	return s.runErr == nil && s.core.Role == raft.Leader.String()
}

// Leader returns the name of the leader's VM, or "" if no leader is known.
func (n *Node) Leader() string { return n.currentStatus().leader }

// ReplicaID returns the ID of this replica.
func (n *Node) ReplicaID() string { return n.currentStatus().identity.Replica }

// stateDump is the node's part of the process's state dump.
type stateDump struct {
	Identity wal.Identity `json:"identity"`
	Leader   string       `json:"leader"`
	InQuorum bool         `json:"in_quorum"`
	Core     raft.Status  `json:"core"`
	Dropped  uint64       `json:"messages_dropped"`
	Failure  string       `json:"failure,omitempty"`
}

// Dump returns the node's state for the process's dump.
func (n *Node) Dump() any {
	s := n.currentStatus()
	d := stateDump{Identity: s.identity, Leader: s.leader, InQuorum: n.InQuorum(), Core: s.core, Dropped: s.dropped}
	if s.runErr != nil {
		d.Failure = s.runErr.Error()
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

// Notify handles a one-way message from another entry. It never blocks: if the
// inbox is full the message is dropped, and the sender retransmits as it does
// after a loss in the network. An error means that no message was taken; with code
// BadMessage, the sender can't be trusted any more.
func (n *Node) Notify(from wire.Hello, kind wire.Kind, body cbor.RawMessage) error {
	if kind != wire.KindRaft {
		return nil
	}
	messages, err := n.decodeBatch(from, body)
	if err != nil {
		n.log.Warn("messages rejected", "code", int(result.CodeOf(err)), "from", from.Name, "error", err)
		return err
	}
	if len(messages) == 0 {
		return nil
	}
	work := func(r *replica) {
		for _, m := range messages {
			n.step(r, m)
		}
	}
	select {
	case n.inbox <- work:
	default:
		n.mu.Lock()
		n.status.dropped++
		n.mu.Unlock()
	}
	return nil
}
