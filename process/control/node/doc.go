// Package node runs one replica of the control state. It connects the consensus
// core to the disk, to the other entries and to the state machine, and
// implements control.Store for the rest of the process.
//
// # Parts
//
//   - replica (replica.go) is deterministic: it holds the core, the storage and
//     the state machine, and its methods never wait for other goroutines.
//   - Node (node.go) owns a replica on one goroutine, passes it ticks, messages
//     and requests, and sends the resulting messages. It processes all queued
//     work before it syncs the log once (group commit).
//   - bootstrap.go decides whether a replica with an empty data folder
//     bootstraps a cluster, joins one, or waits.
//   - members.go decides which membership change the leader proposes next.
//
// # Identity
//
// A replica's identity belongs to its data folder, not to its VM. A VM that
// lost its disk is a new replica: it joins as a learner, is promoted once it
// has caught up, and the old identity is removed. An empty disk therefore never
// votes under an identity that had acknowledged entries.
//
// A cluster is bootstrapped only if every entry in the settings is reachable
// and none has ever belonged to a cluster. The cluster ID is a digest of the
// initial members' identities, so no second cluster can have the same one, and
// every message between replicas carries it.
//
// # Guarantees
//
// Propose returns a result only after the command was committed and applied.
// Its error says NotRun only if no replica can have appended the command.
// After a restart the local state may be older than before the restart, so a
// process calls Barrier before it reports ready.
//
// # Locks
//
// Only the goroutine of Run accesses the replica. Node.mu guards the published
// status and the incoming snapshots; it is never held during a call that
// blocks or takes another lock.
package node
