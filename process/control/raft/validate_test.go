package raft

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// newTestRaft returns replica r0 of three with the entries 2 to 4 of term 2, of which 3 are
// committed.
func newTestRaft() *Raft {
	members := Members{{ID: "r0", Voter: true}, {ID: "r1", Voter: true}, {ID: "r2", Voter: true}}
	cfg := DefaultConfig()
	cfg.ID = "r0"
	return New(cfg, rand.New(rand.NewPCG(1, 2)), StoredState{
		HardState: HardState{Term: 2, Commit: 3},
		Snapshot:  Snapshot{Index: 1, Term: 1, Members: members},
		Entries:   []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}, {Index: 4, Term: 2}},
	})
}

// elect makes a replica of newTestRaft the leader of term 3.
func elect(r *Raft) {
	r.campaign(Candidate, false)
	_ = r.Step(Message{Kind: VoteReply, From: "r1", To: "r0", Term: r.term})
}

func TestMessageThatMakesNoSenseIsRefused(t *testing.T) {
	voter := Members{{ID: "r0", Voter: true}}
	for name, c := range map[string]struct {
		leader bool
		m      Message
	}{
		"entries before a committed one":    {false, Message{Kind: Append, Term: 2, Index: 4, LogTerm: 2, Entries: []Entry{{Index: 3, Term: 3}}}},
		"entries behind a gap":              {false, Message{Kind: Append, Term: 2, Index: 4, LogTerm: 2, Entries: []Entry{{Index: 7, Term: 2}}}},
		"a gap between entries":             {false, Message{Kind: Append, Term: 2, Index: 4, LogTerm: 2, Entries: []Entry{{Index: 5, Term: 2}, {Index: 7, Term: 2}}}},
		"a term that falls":                 {false, Message{Kind: Append, Term: 2, Index: 4, LogTerm: 2, Entries: []Entry{{Index: 5, Term: 1}}}},
		"an entry of a later term":          {false, Message{Kind: Append, Term: 2, Index: 4, LogTerm: 2, Entries: []Entry{{Index: 5, Term: 9}}}},
		"an unknown kind of entry":          {false, Message{Kind: Append, Term: 2, Index: 4, LogTerm: 2, Entries: []Entry{{Index: 5, Term: 2, Kind: 9}}}},
		"a membership without a voter":      {false, Message{Kind: Append, Term: 2, Index: 4, LogTerm: 2, Entries: []Entry{{Index: 5, Term: 2, Kind: EntryMembers}}}},
		"the last index of all":             {false, Message{Kind: Append, Term: 2, Index: ^uint64(0), LogTerm: 2, Entries: []Entry{{Index: 0, Term: 2}}}},
		"no snapshot":                       {false, Message{Kind: InstallSnapshot, Term: 2}},
		"a snapshot of a later term":        {false, Message{Kind: InstallSnapshot, Term: 2, Snapshot: &Snapshot{Index: 9, Term: 3, Members: voter}}},
		"a snapshot without a voter":        {false, Message{Kind: InstallSnapshot, Term: 2, Snapshot: &Snapshot{Index: 9, Term: 2}}},
		"an unknown kind":                   {false, Message{Kind: 99, Term: 2}},
		"the last term of all":              {false, Message{Kind: Vote, Term: ^uint64(0)}},
		"an append of its own term":         {true, Message{Kind: Append, Term: 3, Index: 5, LogTerm: 3}},
		"a heartbeat of its own term":       {true, Message{Kind: Heartbeat, Term: 3}},
		"a snapshot of its own term":        {true, Message{Kind: InstallSnapshot, Term: 3, Snapshot: &Snapshot{Index: 9, Term: 3, Members: voter}}},
		"a reply to a later read round":     {true, Message{Kind: HeartbeatReply, Term: 3, ReadRound: 99}},
		"the acknowledgment of a later one": {true, Message{Kind: AppendReply, Term: 3, Index: 99}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRaft()
			if c.leader {
				elect(r)
			}
			role, term, last, committed := r.role, r.term, r.log.lastIndex(), r.log.committed
			c.m.From, c.m.To = "r1", "r0"
			if err := r.Step(c.m); !errors.Is(err, ErrInvalidMessage) {
				t.Errorf("got error %v", err)
			}
			if r.role != role || r.term != term || r.log.lastIndex() != last || r.log.committed != committed {
				t.Errorf("%s of term %d with log %d committed %d, was %s of term %d with %d and %d",
					r.role, r.term, r.log.lastIndex(), r.log.committed, role, term, last, committed)
			}
			if r.role == Leader && r.progress["r1"].round > r.reads.round {
				t.Error("a read round that was not begun counts as confirmed")
			}
		})
	}
}

func TestRefusedMessageLeavesTheReplicaUsable(t *testing.T) {
	r := newTestRaft()
	_ = r.Step(Message{Kind: Append, From: "r1", To: "r0", Term: 2, Index: 4, LogTerm: 2, Entries: []Entry{{Index: 7, Term: 2}}})
	if err := r.Step(Message{Kind: Append, From: "r1", To: "r0", Term: 2, Index: 4, LogTerm: 2, Entries: []Entry{{Index: 5, Term: 2}}, Commit: 5}); err != nil {
		t.Fatal(err)
	}
	if r.log.lastIndex() != 5 || r.log.committed != 5 {
		t.Errorf("log ends at %d, committed %d, want 5", r.log.lastIndex(), r.log.committed)
	}
}

// FuzzStep passes decoded messages to a follower and to a leader.
func FuzzStep(f *testing.F) {
	for _, messages := range [][]Message{
		{{Kind: Append, Term: 2, Index: 4, LogTerm: 2, Entries: []Entry{{Index: 3, Term: 2}}}},
		{{Kind: Append, Term: 3, Index: 4, LogTerm: 2, Entries: []Entry{{Index: 5, Term: 3}}, Commit: 5}, {Kind: Heartbeat, Term: 3, Commit: 5}},
		{{Kind: InstallSnapshot, Term: 3, Snapshot: &Snapshot{Index: 9, Term: 3, Members: Members{{ID: "r1", Voter: true}}}}},
		{{Kind: PreVote, Term: 4, Index: 9, LogTerm: 3}, {Kind: Vote, Term: 4, Index: 9, LogTerm: 3}, {Kind: VoteReply, Term: 4}, {Kind: TimeoutNow, Term: 4}},
		{{Kind: AppendReply, Term: 3, Index: 5}, {Kind: AppendReply, Term: 3, Reject: true, Index: 4, RejectHint: 2, RejectHintTerm: 2}, {Kind: HeartbeatReply, Term: 3, ReadRound: 1}},
	} {
		data, err := cbor.Marshal(messages)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, false)
		f.Add(data, true)
	}
	f.Fuzz(func(t *testing.T, data []byte, leader bool) {
		r := newTestRaft()
		if leader {
			elect(r)
		}
		var messages []Message
		if cbor.NewDecoder(bytes.NewReader(data)).Decode(&messages) != nil {
			return
		}
		for _, m := range messages {
			committed := r.log.committed
			m.From, m.To = "r1", "r0"
			_ = r.Step(m)
			if r.log.committed < committed || r.log.committed > r.log.lastIndex() {
				t.Fatalf("committed %d, was %d, log ends at %d", r.log.committed, committed, r.log.lastIndex())
			}
			for i, e := range r.log.entries {
				if e.Index != r.log.baseIndex+uint64(i)+1 {
					t.Fatalf("entry %d follows %d", e.Index, r.log.baseIndex+uint64(i))
				}
			}
			r.Tick()
		}
	})
}
