package raft

// handleAppend appends the leader's entries if the logs match at the preceding
// entry.
func (r *Raft) handleAppend(m Message) {
	if m.Index < r.log.committed {
		r.send(Message{Kind: AppendReply, To: m.From, Index: r.log.committed})
		return
	}
	if !r.log.matchTerm(m.Index, m.LogTerm) {
		hint, hintTerm := r.log.findConflictByTerm(m.Index, m.LogTerm)
		r.send(Message{
			Kind: AppendReply, To: m.From, Index: m.Index, Reject: true, RejectHint: hint, RejectHintTerm: hintTerm,
		})
		return
	}
	// Keep entries that already match: a delayed older append must not drop
	// later entries that were already acknowledged.
	if firstNew := r.log.firstConflict(m.Entries); firstNew < len(m.Entries) {
		r.overwriteEntries(m.Entries[firstNew:])
	}
	lastIndex := m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, lastIndex))
	r.send(Message{Kind: AppendReply, To: m.From, Index: lastIndex})
}

// overwriteEntries drops the log from the first entry's index on and appends
// the entries.
func (r *Raft) overwriteEntries(entries []Entry) {
	first := entries[0].Index
	if first <= r.log.lastIndex() {
		r.log.truncate(first)
		r.members = r.members.truncate(first)
	}
	r.appendToLog(entries...)
}

// handleSnapshot replaces the log if the snapshot is ahead of the commit index
// and the log does not contain its last entry.
func (r *Raft) handleSnapshot(m Message) {
	s := m.Snapshot
	switch {
	case s.Index <= r.log.committed:
	case r.log.matchTerm(s.Index, s.Term):
		r.commitTo(s.Index)
	default:
		r.log.reset(s.Index, s.Term)
		r.members = membersLog{{index: s.Index, members: s.Members}}
		r.snapshot = s
	}
	r.send(Message{Kind: AppendReply, To: m.From, Index: r.log.committed})
}

// commitTo raises the commit index; it never decreases.
func (r *Raft) commitTo(index uint64) {
	r.log.committed = max(r.log.committed, index)
}
