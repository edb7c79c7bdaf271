package raft

import "slices"

// Propose appends commands to the leader's log and returns the index of the
// first. They are not committed yet, and may never be.
func (r *Raft) Propose(commands ...[]byte) (uint64, error) {
	if r.role != Leader {
		return 0, ErrNotLeader
	}
	if r.log.last()-r.log.committed+uint64(len(commands)) > uint64(r.cfg.MaxUncommitted) {
		return 0, ErrBusy
	}
	first := r.log.last() + 1
	for _, data := range commands {
		r.pushOwn(Entry{Kind: EntryCommand, Data: data})
	}
	r.broadcastAppend()
	return first, nil
}

// ProposeMembers appends a membership that differs by at most one voter from
// the one in effect. The one before must be committed, and so must an entry of
// this term: else two leaders could each change the membership without a
// majority in common.
func (r *Raft) ProposeMembers(members Members) error {
	switch {
	case r.role != Leader:
		return ErrNotLeader
	case r.members.latest().index > r.log.committed || !r.committedInTerm():
		return ErrChangePending
	case !oneVoterApart(r.Members(), members):
		return ErrBadChange
	}
	r.appendEntry(Entry{Kind: EntryMembers, Members: members})
	return nil
}

// TransferLeadership asks the most advanced voter to campaign at once. It is
// of use before a planned stop; whether the voter wins is not known.
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

// ReportSnapshot tells the leader how the sending of a snapshot up to index
// ended.
func (r *Raft) ReportSnapshot(to string, index uint64, ok bool) {
	p := r.progress[to]
	if r.role != Leader || p == nil || p.state != installing {
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

// pushOwn adds an entry of this term to the leader's own log.
func (r *Raft) pushOwn(e Entry) {
	e.Index = r.log.last() + 1
	e.Term = r.term
	r.push(e)
}

func (r *Raft) appendEntry(e Entry) {
	r.pushOwn(e)
	r.broadcastAppend()
}

// trackMembers keeps progress for exactly the members in effect, and for the
// leader itself.
func (r *Raft) trackMembers() {
	members := r.Members()
	for _, m := range members {
		if r.progress[m.ID] == nil {
			r.progress[m.ID] = &progress{next: r.log.last() + 1, heard: r.now}
		}
	}
	if r.progress[r.cfg.ID] == nil {
		r.progress[r.cfg.ID] = &progress{next: r.log.last() + 1, heard: r.now}
	}
	for id := range r.progress {
		if _, ok := members.Get(id); !ok && id != r.cfg.ID {
			delete(r.progress, id)
		}
	}
}

func (r *Raft) tickLeader() {
	// Check-quorum: without a majority nothing can be committed, so the leader
	// stops claiming that it leads.
	if !r.quorumActive() {
		r.becomeFollower(r.term, "")
		return
	}
	if r.elapsed >= r.cfg.HeartbeatTicks {
		r.elapsed = 0
		r.broadcastHeartbeat()
	}
}

// active reports whether the replica answered within the election timeout.
func (r *Raft) active(p *progress) bool {
	return p != nil && r.now-p.heard <= uint64(r.cfg.ElectionTicks)
}

func (r *Raft) quorumActive() bool {
	count := 0
	for _, id := range r.Members().Voters() {
		if id == r.cfg.ID || r.active(r.progress[id]) {
			count++
		}
	}
	return count >= r.Members().Quorum()
}

// others returns the members that the leader sends to, in order.
func (r *Raft) others() []string {
	var ids []string
	for _, m := range r.Members() {
		if m.ID != r.cfg.ID {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (r *Raft) broadcastAppend() {
	for _, id := range r.others() {
		r.sendEntries(id)
	}
}

func (r *Raft) broadcastHeartbeat() {
	for _, id := range r.others() {
		// A replica must not commit what it is not known to hold.
		commit := min(r.progress[id].match, r.log.committed)
		r.send(Message{Kind: Heartbeat, To: id, Commit: commit, Round: r.reads.round})
	}
}

// sendEntries sends all that the flow control permits.
func (r *Raft) sendEntries(to string) {
	p := r.progress[to]
	for !p.blocked(r.cfg.MaxInFlight) && p.next <= r.log.last() {
		r.sendAppend(to)
	}
}

// sendAppend sends one append, maybe without entries, or asks the owner for a
// snapshot where the log no longer reaches back far enough.
func (r *Raft) sendAppend(to string) {
	p := r.progress[to]
	if p.blocked(r.cfg.MaxInFlight) {
		return
	}
	prev := p.next - 1
	prevTerm, held := r.log.term(prev)
	if !held {
		r.sendSnapshot(to, p)
		return
	}
	entries := r.log.limited(p.next, r.cfg.MaxAppendBytes)
	r.send(Message{
		Kind: Append, To: to, Index: prev, LogTerm: prevTerm,
		Entries: slices.Clone(entries), Commit: r.log.committed,
	})
	p.sent(prev+uint64(len(entries)), len(entries))
}

func (r *Raft) sendSnapshot(to string, p *progress) {
	if !r.active(p) {
		p.paused = true
		return
	}
	p.becomeInstalling()
	r.send(Message{Kind: InstallSnapshot, To: to})
}

func (r *Raft) handleAppendReply(m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.heard = r.now
	if m.Reject {
		hint := m.Hint
		if hint > r.log.baseIndex {
			hint, _ = r.log.highestBelow(m.Hint, m.HintTerm)
		}
		if p.rejected(m.Index, hint) {
			r.sendAppend(m.From)
		}
		return
	}
	if m.Index > r.log.last() || !p.acked(m.Index) {
		return
	}
	if p.state == probing || (p.state == installing && p.match >= r.log.baseIndex) {
		p.becomeReplicating()
	}
	if r.maybeCommit() {
		// The news of the commit goes out at once, not with a heartbeat.
		r.announceCommit()
		return
	}
	r.sendEntries(m.From)
}

func (r *Raft) handleHeartbeatReply(m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.heard = r.now
	p.round = max(p.round, m.Round)
	r.releaseReads()
	// A heartbeat passed; if an append was lost meanwhile, try again.
	p.paused = false
	if p.state == replicating && len(p.inFlight) >= r.cfg.MaxInFlight {
		p.inFlight = p.inFlight[1:]
	}
	if p.match < r.log.last() {
		r.sendAppend(m.From)
	}
}

// announceCommit sends each replica its missing entries, or an append without
// entries that carries the new commit index.
func (r *Raft) announceCommit() {
	for _, id := range r.others() {
		p := r.progress[id]
		if p.next <= r.log.last() {
			r.sendEntries(id)
			continue
		}
		r.sendAppend(id)
	}
}

// maybeCommit raises the commit index to what a majority of the voters holds
// on disk, provided that the entry there is of this term.
func (r *Raft) maybeCommit() bool {
	var held []uint64
	for _, id := range r.Members().Voters() {
		held = append(held, r.progress[id].match)
	}
	slices.Sort(held)
	index := min(held[len(held)-r.Members().Quorum()], r.copied())
	if index <= r.log.committed || !r.log.matches(index, r.term) {
		return false
	}
	r.commitTo(index)
	r.startWaitingReads()
	return true
}

// copied returns the index up to which enough disks hold the log, those of
// learners included.
func (r *Raft) copied() uint64 {
	if r.cfg.MinCopies <= 0 {
		return r.log.last()
	}
	var held []uint64
	for _, m := range r.Members() {
		if !m.Volatile {
			held = append(held, r.progress[m.ID].match)
		}
	}
	slices.Sort(held)
	return held[len(held)-min(r.cfg.MinCopies, len(held))]
}

func (r *Raft) committedInTerm() bool {
	return r.log.matches(r.log.committed, r.term)
}
