// Package raft is the consensus core: it decides which commands are committed,
// and in what order, among the replicas of the control state.
//
// # What a consensus log is
//
// Each replica keeps a log: a list of entries, numbered by index. A majority
// of the voters elects a leader for a term; there is at most one leader in a
// term, and terms only grow. Only the leader adds entries. It sends them to
// the others, and once a majority of the voters has them on disk, the entry is
// committed: it stays in every later leader's log for good. Every replica
// applies the committed entries in order to a deterministic state machine, so
// that all hold the same state.
//
// # Promises
//
//   - Election safety: at most one leader in a term. Each voter grants one
//     vote a term, and the vote is on disk before it is sent.
//   - Log matching: two logs that have the same term at the same index are
//     equal up to there. An append names the entry before it, and is refused
//     by a replica that does not have that entry.
//   - Leader completeness: a leader has every committed entry. A voter refuses
//     a candidate whose log is older than its own, and a majority that commits
//     shares a voter with the majority that elects.
//   - Linearizable reads: ReadIndex yields an index that holds all that was
//     committed before the call. A majority confirms the leader after the call
//     began; no clock is asked.
//
// # How it is used
//
// The core does no I/O, reads no clock and starts no goroutine. The owner calls
// Tick at a steady pace, Step with each message that arrives, and Propose,
// ProposeMembers and ReadIndex on behalf of clients. After each of these it
// takes the work that results and carries it out in this order:
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
// Step 1 before step 2 is what every promise rests on: a replica never tells
// another about anything that a crash could make it forget.
//
// Messages may be lost, delayed, repeated and reordered. A Raft is not safe for
// concurrent use: one goroutine owns it.
//
// # Choices
//
//   - Pre-vote: a replica asks whether it could win before it raises its term,
//     so one that was cut off does not disturb the others when it returns.
//   - Check-quorum: a leader that does not hear from a majority for an election
//     timeout steps down, and a replica that hears from its leader ignores
//     candidates.
//   - Membership changes one voter at a time. A change takes effect once it is
//     in the log; the next one waits until it is committed.
//   - Learners receive the log and count in no majority.
//   - A leader begins its term with an empty entry, since only an entry of its
//     own term tells it what is committed.
package raft
