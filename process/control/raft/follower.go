package raft

// handleAppend adds the leader's entries where the logs match before them.
func (r *Raft) handleAppend(m Message) {
	if m.Index < r.log.committed {
		r.send(Message{Kind: AppendReply, To: m.From, Index: r.log.committed})
		return
	}
	if !r.log.matches(m.Index, m.LogTerm) {
		hint, hintTerm := r.log.highestBelow(m.Index, m.LogTerm)
		r.send(Message{
			Kind: AppendReply, To: m.From, Index: m.Index, Reject: true, Hint: hint, HintTerm: hintTerm,
		})
		return
	}
	// What already matches stays: a late copy of an older append must not
	// drop entries that came after it and were acknowledged.
	if at := r.log.conflict(m.Entries); at < len(m.Entries) {
		r.replace(m.Entries[at:])
	}
	end := m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, end))
	r.send(Message{Kind: AppendReply, To: m.From, Index: end})
}

// replace drops what conflicts with entries and adds them.
func (r *Raft) replace(entries []Entry) {
	first := entries[0].Index
	if first <= r.log.last() {
		r.log.truncate(first)
		r.members = r.members.truncate(first)
	}
	r.push(entries...)
}

// handleSnapshot replaces the log when the snapshot holds more than is known to
// be committed here.
func (r *Raft) handleSnapshot(m Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	switch {
	case s.Index <= r.log.committed:
	case r.log.matches(s.Index, s.Term):
		r.commitTo(s.Index)
	default:
		r.log.reset(s.Index, s.Term)
		r.members = membersLog{{index: s.Index, members: s.Members}}
		r.snapshot = s
	}
	r.send(Message{Kind: AppendReply, To: m.From, Index: r.log.committed})
}

// commitTo raises the commit index; it never falls.
func (r *Raft) commitTo(index uint64) {
	r.log.committed = max(r.log.committed, index)
}
