package raft

import (
	"math/rand/v2"
)

// Config holds the settings of a core.
type Config struct {
	// ID is the replica's identity.
	ID string
	// ElectionTicks is the election timeout. A follower campaigns after a random
	// time between one and two timeouts without contact to the leader.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries of one append, unless a single entry is
	// larger.
	MaxAppendBytes int
	// MaxInFlight bounds the unacknowledged appends to one replica.
	MaxInFlight int
	// MaxUncommitted bounds the uncommitted entries in the leader's log.
	MaxUncommitted int
	// NeverVote is set for a replica without a disk.
	NeverVote bool
	// MinCopies is the number of disks that must hold an entry before it is
	// committed, or all disks of the membership if there are fewer. A majority
	// is required in any case.
	MinCopies int
}

// DefaultConfig returns the production settings, without the ID.
func DefaultConfig() Config {
	return Config{
		ElectionTicks:  16,
		HeartbeatTicks: 4,
		MaxAppendBytes: 1 << 20,
		MaxInFlight:    64,
		MaxUncommitted: 16384,
	}
}

// StoredState is the state that a replica reads from its disk at start.
type StoredState struct {
	HardState HardState
	// Snapshot's Data is not used by the core.
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Raft is the consensus core of one replica. Not safe for concurrent use.
type Raft struct {
	cfg Config
	rnd *rand.Rand

	role   Role
	term   uint64
	vote   string
	leader string
	log    log
	// members holds the memberships in the log; the latest is in effect.
	members membersLog
	// replaced holds the members that are known to be lost for good, lost those of them
	// that were known when the current campaign or term began.
	replaced, lost map[string]bool

	// tickCount counts ticks since the start.
	tickCount uint64
	// elapsedTicks counts ticks since the last message from the leader or the
	// start of a campaign. On the leader it counts from the last heartbeat.
	elapsedTicks int
	// electionTimeout is the randomized election timeout in ticks.
	electionTimeout int

	// votes holds the replies of the current campaign by replica ID.
	votes map[string]bool
	// progress is the leader's record of every member, including itself.
	progress map[string]*progress
	reads    readQueue
	// settledFrom is the index of the entry that the leader appended after it committed the last
	// membership: whoever holds it knows of that.
	settledFrom uint64

	// The fields below collect the next Ready.
	messages       []Message
	readyReads     []ReadState
	snapshot       *Snapshot
	savedHardState HardState
}

// New returns the core of a replica that starts from its stored state.
func New(cfg Config, rnd *rand.Rand, stored StoredState) *Raft {
	r := &Raft{cfg: cfg, rnd: rnd}
	r.log.reset(stored.Snapshot.Index, stored.Snapshot.Term)
	r.members = membersLog{{index: stored.Snapshot.Index, members: stored.Snapshot.Members}}
	r.appendToLog(stored.Entries...)
	r.log.stable = r.log.lastIndex()
	r.log.committed = min(max(stored.HardState.Commit, r.log.baseIndex), r.log.lastIndex())
	r.becomeFollower(max(stored.HardState.Term, r.log.lastTerm()), "")
	if stored.HardState.Term == r.term {
		r.vote = stored.HardState.Vote
	}
	r.savedHardState = r.hardState()
	return r
}

// Tick advances the core's time by one tick.
func (r *Raft) Tick() {
	r.tickCount++
	r.elapsedTicks++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.elapsedTicks >= r.electionTimeout && r.promotable() {
		r.campaign(PreCandidate, false)
	}
}

// Step processes a message from another replica. Messages that do not apply in
// the current state are ignored. A message that no correct replica sends changes nothing
// and causes an error that is marked with ErrInvalidMessage.
func (r *Raft) Step(m Message) error {
	if m.To != r.cfg.ID {
		return nil
	}
	if err := m.Validate(); err != nil {
		return err
	}
	if m.Term > r.term && !r.handleHigherTerm(m) {
		return nil
	}
	if m.Term < r.term {
		r.handleLowerTerm(m)
		return nil
	}
	switch m.Kind {
	case PreVote, Vote:
		r.handleVote(m)
	case PreVoteReply, VoteReply:
		r.handleVoteReply(m)
	case Append, Heartbeat, InstallSnapshot:
		return r.handleLeaderMessage(m)
	case AppendReply, HeartbeatReply:
		if err := r.validateReply(m); err != nil {
			return err
		}
		r.handleReply(m)
	case TimeoutNow:
		if r.promotable() {
			r.campaign(Candidate, true)
		}
	}
	return nil
}

// handleHigherTerm handles a message with a higher term. It adopts the term if
// the kind of message requires that, and reports whether Step has to process the
// message further.
func (r *Raft) handleHigherTerm(m Message) bool {
	switch m.Kind {
	case PreVote, Vote:
		// A replica in contact with its leader grants no vote, so that a
		// reconnecting replica can't depose a working leader.
		if !m.Transfer && r.leader != "" && r.elapsedTicks < r.cfg.ElectionTicks {
			return false
		}
		if m.Kind == PreVote {
			r.handleVote(m)
			return false
		}
		r.becomeFollower(m.Term, "")
	case PreVoteReply:
		if !m.Reject {
			// A granted pre-vote carries the term of the future campaign, which
			// this replica has not adopted yet.
			r.handleVoteReply(m)
			return false
		}
		r.becomeFollower(m.Term, "")
	case Append, Heartbeat, InstallSnapshot:
		r.becomeFollower(m.Term, m.From)
	default:
		r.becomeFollower(m.Term, "")
	}
	return true
}

// handleLowerTerm replies to an outdated leader or pre-candidate with the
// current term.
func (r *Raft) handleLowerTerm(m Message) {
	switch m.Kind {
	case Append, Heartbeat, InstallSnapshot:
		r.send(Message{Kind: AppendReply, To: m.From, Reject: true})
	case PreVote:
		r.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
	}
}

// handleLeaderMessage processes a message that only the leader of this term
// sends.
func (r *Raft) handleLeaderMessage(m Message) error {
	if r.role == Leader {
		return invalidMessage("%s claims to lead term %d, which this replica leads", m.From, m.Term)
	}
	if r.role != Follower {
		r.becomeFollower(r.term, m.From)
	}
	r.leader = m.From
	r.elapsedTicks = 0
	switch m.Kind {
	case Append:
		r.handleAppend(m)
	case Heartbeat:
		r.commitTo(min(m.Commit, r.log.lastIndex()))
		r.send(Message{Kind: HeartbeatReply, To: m.From, ReadRound: m.ReadRound})
	case InstallSnapshot:
		r.handleSnapshot(m)
	}
	return nil
}

// handleReply processes a follower's reply to the leader.
func (r *Raft) handleReply(m Message) {
	if m.Kind == AppendReply {
		r.handleAppendReply(m)
		return
	}
	r.handleHeartbeatReply(m)
}

func (r *Raft) becomeFollower(term uint64, leader string) {
	if term != r.term {
		r.vote = ""
	}
	r.role = Follower
	r.term = term
	r.leader = leader
	r.progress = nil
	r.votes = nil
	r.reads.clear()
	r.resetTimer()
}

func (r *Raft) resetTimer() {
	r.elapsedTicks = 0
	r.electionTimeout = r.cfg.ElectionTicks + r.rnd.IntN(r.cfg.ElectionTicks)
}

// promotable reports whether this replica may campaign.
func (r *Raft) promotable() bool {
	return !r.cfg.NeverVote && r.Members().IsVoter(r.cfg.ID)
}

func (r *Raft) send(m Message) {
	m.From = r.cfg.ID
	if m.Term == 0 {
		m.Term = r.term
	}
	r.messages = append(r.messages, m)
}

func (r *Raft) hardState() HardState {
	return HardState{Term: r.term, Vote: r.vote, Commit: r.log.committed}
}

// appendToLog appends entries to the log. Memberships among them take effect.
func (r *Raft) appendToLog(entries ...Entry) {
	r.log.append(entries...)
	for i := range entries {
		if entries[i].Kind == EntryMembers {
			r.members = r.members.add(entries[i].Index, entries[i].Members)
		}
	}
	if r.role == Leader {
		r.updateProgress()
	}
}
