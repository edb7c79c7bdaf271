// Package raft is the consensus core: it decides which commands are committed,
// and in what order, among the replicas of the control state.
//
// # Overview
//
// Each replica keeps a log: a list of entries, numbered by index. A majority
// of the voters elects a leader for a term; there is at most one leader per
// term, and terms only increase. Only the leader appends entries and replicates
// them to the others. An entry is committed once a majority of the voters has
// it on disk; every later leader's log then contains it. Each replica applies
// the committed entries in order to a deterministic state machine, so all
// replicas reach the same state.
//
// # Guarantees
//
//   - Election safety: at most one leader per term. Each voter grants one vote
//     per term, and the vote is on disk before it is sent.
//   - Log matching: two logs that have the same term at the same index are
//     equal up to that index. An append names the preceding entry, and a
//     replica that does not have that entry rejects it.
//   - Leader completeness: a leader has every committed entry. A voter rejects
//     a candidate whose log is older than its own, and the majority that
//     commits an entry shares a voter with the majority that elects a leader.
//   - Linearizable reads: ReadIndex returns an index that covers everything
//     committed before the call. A majority confirms the leader after the call
//     began, so reads do not depend on clocks.
//
// # Usage
//
// The core does no I/O, reads no clock and starts no goroutine. The owner calls
// Tick at regular intervals, Step for each incoming message, and Propose,
// ProposeMembers and ReadIndex on behalf of clients. After each of these calls
// it processes the resulting work in this order:
//
//	for core.HasReady() {
//		rd := core.Ready()
//		// 1. Save rd.Snapshot, rd.HardState and rd.Entries, and sync them.
//		// 2. Send rd.Messages.
//		// 3. Restore rd.Snapshot, then apply rd.Committed.
//		// 4. Answer rd.Reads whose index is applied.
//		core.Advance(rd)
//	}
//
// All guarantees depend on step 1 before step 2: a replica must never send a
// message about state that it could lose in a crash.
//
// Messages may be lost, delayed, duplicated and reordered. A Raft is not safe
// for concurrent use; it is owned by one goroutine.
//
// # Design
//
//   - Pre-vote: before a replica raises its term it asks whether it could win,
//     so a replica that was partitioned does not depose the leader when it
//     reconnects.
//   - Check-quorum: a leader without contact to a majority for an election
//     timeout steps down, and a replica in contact with its leader ignores
//     candidates.
//   - Membership changes one voter at a time. A change takes effect once it is
//     in the log; the next one must wait until it is committed. Until then each
//     decision needs a quorum of the membership before as well.
//   - Half of an even number of voters is a quorum once one of them is known to
//     be lost for good (MarkReplaced): it has no vote that could decide for the
//     other half. A term uses the losses that were known when it began.
//   - Learners receive the log but do not count toward a majority.
//   - A leader starts its term with an empty entry, because only an entry of its
//     own term lets it determine what is committed.
package raft
