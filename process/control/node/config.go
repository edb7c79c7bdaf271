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

// StateMachine is the deterministic state that the log drives. Apply, Snapshot
// and Restore are called from one goroutine.
type StateMachine interface {
	// Apply carries out a command. A command whose ID was applied before has
	// no further effect and yields the recorded result.
	Apply(index, term uint64, cmd control.Command) control.Result
	Snapshot() ([]byte, error)
	Restore(data []byte) error
	// Voters returns the names of the VMs that are to hold voters; empty
	// leaves them as they are.
	Voters() []string
}

// Transport sends to the other entries, which it knows by the VM's name.
// Notify must not block.
type Transport interface {
	Notify(to string, kind wire.Kind, msg any) error
	Call(ctx context.Context, to string, kind wire.Kind, req, resp any) error
}

// Config holds a replica's settings. Zero values are replaced by defaults.
type Config struct {
	// Name is the VM's name.
	Name string
	// DataDir is the data folder. Without one the replica is a learner in
	// memory, with a new identity at each start, and never votes.
	DataDir string
	// Peers are the names of all entries in the settings.
	Peers []string
	// Bootstrap are the names of the VMs that found the cluster. It is used
	// only while none of them belongs to a cluster.
	Bootstrap []string

	// Tolerance, where it is above 0, is how many VMs may lose their disks at
	// once: a change is acknowledged once Tolerance+1 disks hold it, every
	// replica with a disk becomes a voter, and a voter that is silent for long
	// is removed as soon as 2*Tolerance+1 others answer.
	Tolerance int
	// ForgetVoter is how long such a voter may be silent.
	ForgetVoter time.Duration

	// Tick is the unit of the timeouts below that count ticks.
	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEvery and SnapshotBytes bound what is replayed at start.
	SnapshotEvery int
	SnapshotBytes int64
	// RetainEntries and RetainBytes bound the applied entries kept in memory
	// for members that lag a little.
	RetainEntries int
	RetainBytes   int
	// RetryAfter is the pause before a request is sent again.
	RetryAfter time.Duration
	// CallTimeout bounds one call to another entry.
	CallTimeout time.Duration
	// ForgetVolatile and ForgetReplica are how long a learner without and with
	// a disk may be silent before it is removed.
	ForgetVolatile time.Duration
	ForgetReplica  time.Duration
	// MaxMembers bounds the membership.
	MaxMembers int
	// MaxBatch bounds how much waiting work is taken in before one sync.
	MaxBatch int
	// SegmentBytes is the size from which on a part of the log is ended when a
	// snapshot was saved.
	SegmentBytes int64
	// FS is the file system of the data folder.
	FS wal.FS
}

// Defaults of Config.
const (
	defaultTick           = 50 * time.Millisecond
	defaultSnapshotEvery  = 1000
	defaultSnapshotBytes  = 32 << 20
	defaultRetainEntries  = 1000
	defaultRetainBytes    = 16 << 20
	defaultRetryAfter     = 100 * time.Millisecond
	defaultCallTimeout    = 2 * time.Second
	defaultForgetVolatile = 30 * time.Second
	defaultForgetReplica  = 10 * time.Minute
	defaultForgetVoter    = 5 * time.Second
	defaultMaxMembers     = 64
	defaultMaxBatch       = 1024
	defaultSegmentBytes   = 8 << 20
)

func (c Config) withDefaults() Config {
	core := raft.DefaultConfig()
	defaults.IfZero(&c.Tick, defaultTick)
	defaults.IfZero(&c.ElectionTicks, core.ElectionTicks)
	defaults.IfZero(&c.HeartbeatTicks, core.HeartbeatTicks)
	defaults.IfZero(&c.SnapshotEvery, defaultSnapshotEvery)
	defaults.IfZero(&c.SnapshotBytes, defaultSnapshotBytes)
	defaults.IfZero(&c.RetainEntries, defaultRetainEntries)
	defaults.IfZero(&c.RetainBytes, defaultRetainBytes)
	defaults.IfZero(&c.SegmentBytes, defaultSegmentBytes)
	defaults.IfZero(&c.RetryAfter, defaultRetryAfter)
	defaults.IfZero(&c.CallTimeout, defaultCallTimeout)
	defaults.IfZero(&c.ForgetVolatile, defaultForgetVolatile)
	defaults.IfZero(&c.ForgetReplica, defaultForgetReplica)
	defaults.IfZero(&c.ForgetVoter, defaultForgetVoter)
	defaults.IfZero(&c.MaxMembers, defaultMaxMembers)
	defaults.IfZero(&c.MaxBatch, defaultMaxBatch)
	if c.FS == nil {
		c.FS = wal.OS{}
	}
	return c
}

func (c Config) diskless() bool { return c.DataDir == "" }

// electionTimeout is the shortest silence after which a leader is replaced.
func (c Config) electionTimeout() time.Duration {
	return time.Duration(c.ElectionTicks) * c.Tick
}

// ticks converts a duration, rounding up.
func (c Config) ticks(d time.Duration) uint64 {
	return uint64((d + c.Tick - 1) / c.Tick)
}

// core returns the settings of the consensus core.
func (c Config) core(id string) raft.Config {
	rc := raft.DefaultConfig()
	rc.ID = id
	rc.ElectionTicks = c.ElectionTicks
	rc.HeartbeatTicks = c.HeartbeatTicks
	rc.NeverVote = c.diskless()
	if c.Tolerance > 0 {
		rc.MinCopies = c.Tolerance + 1
	}
	return rc
}
