package raft

import (
	"math/rand/v2"
)

// Config holds what a core needs to know of its replica.
type Config struct {
	// ID is the replica's identity.
	ID string
	// ElectionTicks is the election timeout: a follower campaigns after one to
	// two of it without a word of the leader.
	ElectionTicks int
	// HeartbeatTicks is the pause between heartbeats.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries of one append, save for a single
	// larger one.
	MaxAppendBytes int
	// MaxInFlight bounds the unanswered appends to one replica.
	MaxInFlight int
	// MaxUncommitted bounds the entries that the leader holds uncommitted.
	MaxUncommitted int
	// NeverVote is set for a replica that keeps nothing on disk.
	NeverVote bool
	// MinCopies is on how many disks an entry must be before it is committed,
	// where the membership has that many. A majority is always needed.
	MinCopies int
}

// DefaultConfig returns the settings used in production, but for the ID.
func DefaultConfig() Config {
	return Config{
		ElectionTicks:  16,
		HeartbeatTicks: 4,
		MaxAppendBytes: 1 << 20,
		MaxInFlight:    64,
		MaxUncommitted: 16384,
	}
}

// Stored is what a replica finds on its disk at start.
type Stored struct {
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

	// now counts ticks since the start.
	now uint64
	// elapsed counts ticks since the leader was heard or a campaign began.
	elapsed int
	// timeout is the randomized election timeout in ticks.
	timeout int

	// votes holds the answers of the current campaign.
	votes map[string]bool
	// progress is kept by a leader for every member, itself included.
	progress map[string]*progress
	reads    readQueue

	// The fields below gather the next Ready.
	messages []Message
	answered []Read
	snapshot *Snapshot
	saved    HardState
}

// New returns the core of a replica that starts from what its disk holds.
func New(cfg Config, rnd *rand.Rand, stored Stored) *Raft {
	r := &Raft{cfg: cfg, rnd: rnd}
	r.log.reset(stored.Snapshot.Index, stored.Snapshot.Term)
	r.members = membersLog{{index: stored.Snapshot.Index, members: stored.Snapshot.Members}}
	r.push(stored.Entries...)
	r.log.stable = r.log.last()
	r.log.committed = min(max(stored.HardState.Commit, r.log.baseIndex), r.log.last())
	r.becomeFollower(max(stored.HardState.Term, r.log.lastTerm()), "")
	if stored.HardState.Term == r.term {
		r.vote = stored.HardState.Vote
	}
	r.saved = r.hardState()
	return r
}

// Tick advances the core's time by one tick.
func (r *Raft) Tick() {
	r.now++
	r.elapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.elapsed >= r.timeout && r.promotable() {
		r.campaign(PreCandidate, false)
	}
}

// Step takes a message from another replica. Messages that make no sense now
// are ignored.
func (r *Raft) Step(m Message) {
	if m.To != r.cfg.ID {
		return
	}
	if m.Term > r.term && !r.stepHigherTerm(m) {
		return
	}
	if m.Term < r.term {
		r.stepLowerTerm(m)
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		r.handleVote(m)
	case PreVoteReply, VoteReply:
		r.handleVoteReply(m)
	case Append, Heartbeat, InstallSnapshot:
		r.stepFromLeader(m)
	case AppendReply:
		r.handleAppendReply(m)
	case HeartbeatReply:
		r.handleHeartbeatReply(m)
	case TimeoutNow:
		if r.promotable() {
			r.campaign(Candidate, true)
		}
	}
}

// stepHigherTerm adopts a higher term where the message calls for it, and
// reports whether the message is to be looked at further.
func (r *Raft) stepHigherTerm(m Message) bool {
	switch m.Kind {
	case PreVote, Vote:
		// A replica that hears from its leader grants no vote, so that one
		// that was cut off can't depose a leader that works.
		if !m.Transfer && r.leader != "" && r.elapsed < r.cfg.ElectionTicks {
			return false
		}
		if m.Kind == PreVote {
			r.handleVote(m)
			return false
		}
		r.becomeFollower(m.Term, "")
	case PreVoteReply:
		if !m.Reject {
			// Granted for the term that this replica would campaign in.
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

// stepLowerTerm tells an outdated leader or candidate of the current term.
func (r *Raft) stepLowerTerm(m Message) {
	switch m.Kind {
	case Append, Heartbeat, InstallSnapshot:
		r.send(Message{Kind: AppendReply, To: m.From, Reject: true})
	case PreVote:
		r.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
	}
}

// stepFromLeader takes a message that only the leader of this term sends.
func (r *Raft) stepFromLeader(m Message) {
	if r.role == Leader {
		panic("raft: two leaders in one term")
	}
	if r.role != Follower {
		r.becomeFollower(r.term, m.From)
	}
	r.leader = m.From
	r.elapsed = 0
	switch m.Kind {
	case Append:
		r.handleAppend(m)
	case Heartbeat:
		r.commitTo(min(m.Commit, r.log.last()))
		r.send(Message{Kind: HeartbeatReply, To: m.From, Round: m.Round})
	case InstallSnapshot:
		r.handleSnapshot(m)
	}
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
	r.elapsed = 0
	r.timeout = r.cfg.ElectionTicks + r.rnd.IntN(r.cfg.ElectionTicks)
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

// push adds entries to the log and puts memberships among them into effect.
func (r *Raft) push(entries ...Entry) {
	r.log.push(entries...)
	for i := range entries {
		if entries[i].Kind == EntryMembers {
			r.members = r.members.add(entries[i].Index, entries[i].Members)
		}
	}
	if r.role == Leader {
		r.trackMembers()
	}
}
