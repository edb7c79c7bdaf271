// Package node runs one replica of the control state: it joins the consensus
// core with the disk, the links to the other entries and the state machine,
// and gives the rest of the process a control.Store.
//
// # Parts
//
//   - replica (replica.go) is deterministic: it holds core, disk and state
//     machine, and each call runs to its end without waiting for others.
//   - Node (node.go) owns a replica on one goroutine, feeds it ticks, messages
//     and requests, and sends what it yields. It takes all that waits before
//     it saves once: the group commit.
//   - bootstrap.go decides whether an empty data folder founds a cluster, joins
//     one, or waits.
//   - members.go decides which change of the membership the leader makes next.
//
// # Identity
//
// A replica's identity belongs to its data folder, not to its VM. A VM whose
// disk was lost is a new replica: it joins as a learner, is promoted once it
// caught up, and the old identity is removed. An empty disk so never votes in
// the place of one that had acknowledged entries.
//
// A cluster is founded only when every entry in the settings is reachable and
// none has ever belonged to a cluster. Its name is a digest of the founders'
// identities, so that no second cluster can have it, and every message between
// replicas carries it.
//
// # What is promised to callers
//
// Propose returns a result only after the command was committed and applied.
// Its error says NotRun only when no replica can have appended the command.
// After a restart the local state may be older than before: a process calls
// Barrier before it reports ready.
//
// # Locks
//
// The replica belongs to the goroutine of Run. Node.mu guards the published
// status and the assembly of incoming snapshots; it is never held while
// anything is called that blocks or takes a lock.
package node
