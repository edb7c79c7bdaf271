package raft

import "slices"

// Propose appends commands to the leader's log and returns the index of the
// first. They are not committed at that point and may never be. It fails with
// ErrNotLeader, or with ErrBusy if too many entries are uncommitted.
func (r *Raft) Propose(commands ...[]byte) (uint64, error) {
	if r.role != Leader {
		return 0, ErrNotLeader
	}
	if r.log.lastIndex()-r.log.committed+uint64(len(commands)) > uint64(r.cfg.MaxUncommitted) {
		return 0, ErrBusy
	}
	first := r.log.lastIndex() + 1
	for _, data := range commands {
		r.appendNewEntry(Entry{Kind: EntryCommand, Data: data})
	}
	r.broadcastAppend()
	return first, nil
}

// ProposeMembers appends a membership that differs by at most one voter from
// the one in effect. The latter must be committed, and so must an entry of this
// term. Otherwise two leaders could each change the membership without an
// overlapping majority. It fails with ErrNotLeader, ErrChangePending or
// ErrBadChange.
func (r *Raft) ProposeMembers(members Members) error {
	switch {
	case r.role != Leader:
		return ErrNotLeader
	case r.members.latest().index > r.log.committed || !r.committedInTerm():
		return ErrChangePending
	case !differByOneVoter(r.Members(), members):
		return ErrBadChange
	}
	r.appendAndBroadcast(Entry{Kind: EntryMembers, Members: members})
	return nil
}

// TransferLeadership asks the most up-to-date voter to campaign immediately. It
// is used before a planned stop. The transfer is best effort.
func (r *Raft) TransferLeadership() {
	if r.role != Leader {
		return
	}
	best, match := "", uint64(0)
	for _, id := range r.Members().Voters() {
		p := r.progress[id]
		if id != r.cfg.ID && r.active(p) && p.match >= match {
			best, match = id, p.match
		}
	}
	if best != "" {
		r.send(Message{Kind: TimeoutNow, To: best})
	}
}

// ReportSnapshot reports to the leader whether a snapshot up to index was
// delivered.
func (r *Raft) ReportSnapshot(to string, index uint64, ok bool) {
	p := r.progress[to]
	if r.role != Leader || p == nil || p.state != sendingSnapshot {
		return
	}
	if !ok {
		p.becomeProbing(p.match + 1)
		p.paused = true
		return
	}
	p.becomeProbing(index + 1)
	r.sendAppend(to)
}

// appendNewEntry appends an entry of this term to the leader's log.
func (r *Raft) appendNewEntry(e Entry) {
	e.Index = r.log.lastIndex() + 1
	e.Term = r.term
	r.appendToLog(e)
}

func (r *Raft) appendAndBroadcast(e Entry) {
	r.appendNewEntry(e)
	r.broadcastAppend()
}

// updateProgress adds and removes progress records, so that there is one for each replica that
// gets the log and for the leader itself.
func (r *Raft) updateProgress() {
	targets := r.replicationTargets()
	for _, id := range append(targets, r.cfg.ID) {
		if r.progress[id] == nil {
			r.progress[id] = &progress{next: r.log.lastIndex() + 1, lastReply: r.tickCount}
		}
	}
	for id := range r.progress {
		if id != r.cfg.ID && !slices.Contains(targets, id) {
			delete(r.progress, id)
		}
	}
}

// replicationTargets returns the IDs of the replicas to which the leader replicates: the other
// members, and while the latest membership is not known to be committed the voters that it
// removes, since the commit may depend on them.
func (r *Raft) replicationTargets() []string {
	var ids []string
	for _, m := range slices.Concat(r.Members(), r.ElectingVoters()) {
		if m.ID != r.cfg.ID && !slices.Contains(ids, m.ID) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (r *Raft) tickLeader() {
	// Check-quorum: without a majority nothing can be committed, so the leader
	// steps down.
	if !r.quorumActive() {
		r.becomeFollower(r.term, "")
		return
	}
	if r.elapsedTicks >= r.cfg.HeartbeatTicks {
		r.elapsedTicks = 0
		r.broadcastHeartbeat()
	}
}

// active reports whether the replica replied within the election timeout.
func (r *Raft) active(p *progress) bool {
	return p != nil && r.tickCount-p.lastReply <= uint64(r.cfg.ElectionTicks)
}

func (r *Raft) quorumActive() bool {
	return r.hasQuorum(func(id string) bool { return id == r.cfg.ID || r.active(r.progress[id]) })
}

func (r *Raft) broadcastAppend() {
	for _, id := range r.replicationTargets() {
		r.sendEntries(id)
	}
}

func (r *Raft) broadcastHeartbeat() {
	for _, id := range r.replicationTargets() {
		// A replica must not commit entries that it may not have.
		commit := min(r.progress[id].match, r.log.committed)
		r.send(Message{Kind: Heartbeat, To: id, Commit: commit, ReadRound: r.reads.round})
	}
}

// sendEntries sends as many entries as flow control permits.
func (r *Raft) sendEntries(to string) {
	p := r.progress[to]
	for !p.blocked(r.cfg.MaxInFlight) && p.next <= r.log.lastIndex() {
		r.sendAppend(to)
	}
}

// sendAppend sends one append, possibly without entries. If the log no longer
// contains the required entries it requests a snapshot from the owner instead.
func (r *Raft) sendAppend(to string) {
	p := r.progress[to]
	if p.blocked(r.cfg.MaxInFlight) {
		return
	}
	prev := p.next - 1
	prevTerm, ok := r.log.term(prev)
	if !ok {
		r.sendSnapshot(to, p)
		return
	}
	entries := r.log.sliceLimited(p.next, r.cfg.MaxAppendBytes)
	r.send(Message{
		Kind: Append, To: to, Index: prev, LogTerm: prevTerm,
		Entries: slices.Clone(entries), Commit: r.log.committed,
	})
	p.recordSend(prev+uint64(len(entries)), len(entries))
}

func (r *Raft) sendSnapshot(to string, p *progress) {
	if !r.active(p) {
		p.paused = true
		return
	}
	p.becomeSendingSnapshot()
	r.send(Message{Kind: InstallSnapshot, To: to})
}

func (r *Raft) handleAppendReply(m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.lastReply = r.tickCount
	if m.Reject {
		hint := m.RejectHint
		if hint > r.log.baseIndex {
			hint, _ = r.log.findConflictByTerm(m.RejectHint, m.RejectHintTerm)
		}
		if p.handleReject(m.Index, hint) {
			r.sendAppend(m.From)
		}
		return
	}
	if !p.recordAck(m.Index) {
		return
	}
	if p.state == probing || (p.state == sendingSnapshot && p.match >= r.log.baseIndex) {
		p.becomeReplicating()
	}
	if r.maybeCommit() {
		// Send the new commit index immediately, not with the next heartbeat.
		r.broadcastCommit()
		return
	}
	r.sendEntries(m.From)
}

func (r *Raft) handleHeartbeatReply(m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.lastReply = r.tickCount
	p.round = max(p.round, m.ReadRound)
	r.releaseReads()
	// The link works again; resume sending in case an append was lost.
	p.paused = false
	if p.state == replicating && len(p.inFlight) >= r.cfg.MaxInFlight {
		p.inFlight = p.inFlight[1:]
	}
	if p.match < r.log.lastIndex() {
		r.sendAppend(m.From)
	}
}

// broadcastCommit sends each replica its missing entries, or an empty append
// with the new commit index.
func (r *Raft) broadcastCommit() {
	for _, id := range r.replicationTargets() {
		p := r.progress[id]
		if p.next <= r.log.lastIndex() {
			r.sendEntries(id)
			continue
		}
		r.sendAppend(id)
	}
}

// maybeCommit raises the commit index to the highest index that a quorum has on disk, if the
// entry at that index is of this term.
func (r *Raft) maybeCommit() bool {
	advanced := false
	// Once a membership is committed, the one before it need not have a quorum any more.
	for {
		index := min(r.quorumValue(r.matchOf), r.minCopiesIndex())
		if index <= r.log.committed || !r.log.matchTerm(index, r.term) {
			return advanced
		}
		membersCommitted := r.members.latest().index > r.log.committed && r.members.latest().index <= index
		r.commitTo(index)
		r.updateProgress()
		r.startDeferredReads()
		if membersCommitted {
			r.appendAndBroadcast(Entry{Kind: EntryEmpty})
			r.settledFrom = r.log.lastIndex()
		}
		advanced = true
	}
}

// matchOf returns the highest index known to be on a replica's disk.
func (r *Raft) matchOf(id string) uint64 {
	if p := r.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// minCopiesIndex returns the highest index that is on MinCopies disks,
// including those of learners.
func (r *Raft) minCopiesIndex() uint64 {
	if r.cfg.MinCopies <= 0 {
		return r.log.lastIndex()
	}
	var matches []uint64
	for _, m := range r.Members() {
		if !m.Volatile {
			matches = append(matches, r.progress[m.ID].match)
		}
	}
	slices.Sort(matches)
	return matches[len(matches)-min(r.cfg.MinCopies, len(matches))]
}

func (r *Raft) committedInTerm() bool {
	return r.log.matchTerm(r.log.committed, r.term)
}
