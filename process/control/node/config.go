package node

import (
	"context"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/control/wal"
	"github.com/waxwingpost/waxwingpost/process/defaults"
)

// StateMachine is the deterministic state machine to which committed commands
// are applied. Apply, Snapshot and Restore are called from one goroutine.
type StateMachine interface {
	// Apply applies a command. A command whose ID was already applied has no
	// effect and returns the recorded result.
	Apply(index, term uint64, cmd control.Command) control.Result
	Snapshot() ([]byte, error)
	Restore(data []byte) error
	// Voters returns the names of the VMs whose replicas should be voters. If
	// it is empty, the voters stay as they are.
	Voters() []string
}

// Transport sends messages to other entries, addressed by VM name. Notify must
// not block.
type Transport interface {
	Notify(to string, kind wire.Kind, msg any) error
	Call(ctx context.Context, to string, kind wire.Kind, req, resp any) error
}

// Config holds a replica's settings. Zero values are replaced by defaults.
type Config struct {
	// Name is the VM's name.
	Name string
	// DataDir is the data folder. Without one the replica is an in-memory
	// learner that gets a new identity at each start and never votes.
	DataDir string
	// Peers are the names of all entries in the settings.
	Peers []string
	// Bootstrap are the names of the VMs that bootstrap the cluster. It is used
	// only while none of them belongs to a cluster.
	Bootstrap []string

	// FaultTolerance, if above 0, is the number of VMs that may lose their disks at
	// the same time. A change is then acknowledged once it is on FaultTolerance+1
	// disks and survives such a loss, every replica with a disk becomes a voter, and
	// an unresponsive voter is removed while at least 2*FaultTolerance+1 other voters
	// remain.
	FaultTolerance int
	// VoterRemovalTimeout is how long a voter may be unresponsive before that
	// removal.
	VoterRemovalTimeout time.Duration

	// Tick is the unit of ElectionTicks and HeartbeatTicks.
	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEntries and SnapshotBytes bound the log that is replayed at start.
	SnapshotEntries int
	SnapshotBytes   int64
	// RetainEntries and RetainBytes bound the applied entries kept in memory
	// for members that lag a little.
	RetainEntries int
	RetainBytes   int
	// RetryInterval is the pause before a request is retried.
	RetryInterval time.Duration
	// CallTimeout bounds one call to another entry.
	CallTimeout time.Duration
	// VolatileRemovalTimeout and ReplicaRemovalTimeout are how long a learner
	// without and with a disk may be unresponsive before it is removed.
	VolatileRemovalTimeout time.Duration
	ReplicaRemovalTimeout  time.Duration
	// MaxMembers bounds the membership.
	MaxMembers int
	// MaxBatch bounds the queued work that is processed before one sync.
	MaxBatch int
	// SegmentBytes is the size from which a log segment is closed and a new one
	// started after a snapshot.
	SegmentBytes int64
	// FS is the file system of the data folder.
	FS wal.FS
}

// Defaults of Config.
const (
	defaultTick                   = 50 * time.Millisecond
	defaultSnapshotEntries        = 1000
	defaultSnapshotBytes          = 32 << 20
	defaultRetainEntries          = 1000
	defaultRetainBytes            = 16 << 20
	defaultRetryInterval          = 100 * time.Millisecond
	defaultCallTimeout            = 2 * time.Second
	defaultVolatileRemovalTimeout = 30 * time.Second
	defaultReplicaRemovalTimeout  = 10 * time.Minute
	defaultVoterRemovalTimeout    = 2 * time.Second
	defaultMaxMembers             = 64
	defaultMaxBatch               = 1024
	defaultSegmentBytes           = 8 << 20
)

func (c Config) withDefaults() Config {
	raftDefaults := raft.DefaultConfig()
	defaults.IfZero(&c.Tick, defaultTick)
	defaults.IfZero(&c.ElectionTicks, raftDefaults.ElectionTicks)
	defaults.IfZero(&c.HeartbeatTicks, raftDefaults.HeartbeatTicks)
	defaults.IfZero(&c.SnapshotEntries, defaultSnapshotEntries)
	defaults.IfZero(&c.SnapshotBytes, defaultSnapshotBytes)
	defaults.IfZero(&c.RetainEntries, defaultRetainEntries)
	defaults.IfZero(&c.RetainBytes, defaultRetainBytes)
	defaults.IfZero(&c.SegmentBytes, defaultSegmentBytes)
	defaults.IfZero(&c.RetryInterval, defaultRetryInterval)
	defaults.IfZero(&c.CallTimeout, defaultCallTimeout)
	defaults.IfZero(&c.VolatileRemovalTimeout, defaultVolatileRemovalTimeout)
	defaults.IfZero(&c.ReplicaRemovalTimeout, defaultReplicaRemovalTimeout)
	defaults.IfZero(&c.VoterRemovalTimeout, defaultVoterRemovalTimeout)
	defaults.IfZero(&c.MaxMembers, defaultMaxMembers)
	defaults.IfZero(&c.MaxBatch, defaultMaxBatch)
	if c.FS == nil {
		c.FS = wal.OS{}
	}
	return c
}

func (c Config) diskless() bool { return c.DataDir == "" }

// electionTimeout is the shortest time without contact after which a leader is
// replaced.
func (c Config) electionTimeout() time.Duration {
	return time.Duration(c.ElectionTicks) * c.Tick
}

// ticksFor converts a duration to ticks, rounded up.
func (c Config) ticksFor(d time.Duration) uint64 {
	return uint64((d + c.Tick - 1) / c.Tick)
}

// raftConfig returns the settings of the consensus core for a replica ID.
func (c Config) raftConfig(id string) raft.Config {
	rc := raft.DefaultConfig()
	rc.ID = id
	rc.ElectionTicks = c.ElectionTicks
	rc.HeartbeatTicks = c.HeartbeatTicks
	rc.NeverVote = c.diskless()
	if c.FaultTolerance > 0 {
		rc.MinCopies = c.FaultTolerance + 1
	}
	return rc
}
