package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// peer is a replica with a perfect disk.
type peer struct {
	id   string
	core *Raft
	disk Stored
}

// group is a set of replicas whose every step is chosen by a number.
type group struct {
	rnd       *rand.Rand
	peers     []*peer
	net       []Message
	committed map[uint64]Entry
	leaders   map[uint64]string
	commands  int
	broken    string
}

func newGroup(voters, learners int) *group {
	g := &group{rnd: rand.New(rand.NewPCG(1, 2)), committed: map[uint64]Entry{}, leaders: map[uint64]string{}}
	var members Members
	for i := range voters {
		members = members.With(Member{ID: fmt.Sprint("r", i), Voter: true})
	}
	for i := range voters + learners {
		p := &peer{id: fmt.Sprint("r", i)}
		if i < voters {
			p.disk.Snapshot = Snapshot{Index: 1, Term: 1, Members: members}
		}
		p.core = New(g.config(p), g.rnd, p.disk)
		g.peers = append(g.peers, p)
	}
	return g
}

func (g *group) config(p *peer) Config {
	cfg := DefaultConfig()
	cfg.ID, cfg.ElectionTicks, cfg.HeartbeatTicks = p.id, 4, 1
	cfg.MaxAppendBytes, cfg.MaxInFlight = 100, 3
	return cfg
}

func (g *group) fail(format string, args ...any) {
	if g.broken == "" {
		g.broken = fmt.Sprintf(format, args...)
	}
}

// act carries out the action that a number stands for.
func (g *group) act(n int) {
	kind, rest := n%16, n/16
	p := g.peers[rest%len(g.peers)]
	switch {
	case kind < 4:
		for range rest%7 + 1 {
			p.core.Tick()
		}
	case kind < 11:
		g.deliver(rest, kind == 10)
		return
	case kind == 11:
		if len(g.net) > 0 {
			g.net = slices.Delete(g.net, rest%len(g.net), rest%len(g.net)+1)
		}
	case kind < 14:
		g.commands++
		_, _ = p.core.Propose(fmt.Append(nil, g.commands))
	case kind == 14:
		p.core = New(g.config(p), g.rnd, p.disk)
	default:
		g.change(p, rest/len(g.peers))
	}
	g.settle(p)
}

// deliver passes on a message, maybe keeping a copy for later.
func (g *group) deliver(rest int, keep bool) {
	if len(g.net) == 0 {
		return
	}
	at := rest % len(g.net)
	m := g.net[at]
	if !keep {
		g.net = slices.Delete(g.net, at, at+1)
	}
	for _, p := range g.peers {
		if p.id == m.To {
			p.core.Step(m)
			g.settle(p)
		}
	}
}

// change adds a learner, or turns the vote of a member.
func (g *group) change(p *peer, rest int) {
	other := g.peers[rest%len(g.peers)]
	m, known := p.core.Members().Get(other.id)
	if !known {
		m = Member{ID: other.id}
	} else {
		m.Voter = !m.Voter
	}
	_ = p.core.ProposeMembers(p.core.Members().With(m))
}

// settle saves, applies and sends what a replica has ready.
func (g *group) settle(p *peer) {
	for p.core.HasReady() {
		rd := p.core.Ready()
		p.save(rd)
		for _, e := range rd.Committed {
			if known, ok := g.committed[e.Index]; ok && (known.Term != e.Term || string(known.Data) != string(e.Data)) {
				g.fail("%s commits %v at %d, another %v", p.id, e, e.Index, known)
			}
			g.committed[e.Index] = e
		}
		p.core.Advance(rd)
		for _, m := range rd.Messages {
			if m.Kind == InstallSnapshot {
				m.Snapshot = p.snapshot()
				p.core.ReportSnapshot(m.To, m.Snapshot.Index, true)
			}
			g.net = append(g.net, m)
		}
	}
	if p.core.Role() == Leader {
		g.checkLeader(p)
	}
	if p.core.Applied() > p.disk.Snapshot.Index+6 {
		s := p.snapshot()
		p.disk.Entries = slices.Clone(p.disk.Entries[s.Index-p.disk.Snapshot.Index:])
		p.disk.Snapshot = *s
		p.core.Compact(2, 1000)
	}
}

func (p *peer) snapshot() *Snapshot {
	index := p.core.Applied()
	term, _ := p.core.TermAt(index)
	return &Snapshot{Index: index, Term: term, Members: p.core.MembersAt(index)}
}

func (p *peer) save(rd Ready) {
	if rd.HardState != nil {
		p.disk.HardState = *rd.HardState
	}
	if rd.Snapshot != nil {
		p.disk.Snapshot, p.disk.Entries = *rd.Snapshot, nil
	}
	if len(rd.Entries) > 0 {
		keep := rd.Entries[0].Index - p.disk.Snapshot.Index - 1
		p.disk.Entries = append(slices.Clone(p.disk.Entries[:keep]), rd.Entries...)
	}
}

// checkLeader tests election safety and leader completeness.
func (g *group) checkLeader(p *peer) {
	term := p.core.Term()
	if other, ok := g.leaders[term]; ok {
		if other != p.id {
			g.fail("%s and %s lead in term %d", other, p.id, term)
		}
		return
	}
	g.leaders[term] = p.id
	for index, e := range g.committed {
		if index > p.core.log.baseIndex && !p.core.log.matches(index, e.Term) {
			g.fail("%s leads term %d without the committed entry %d of term %d", p.id, term, index, e.Term)
		}
	}
}

// checkLogs tests log matching for each pair of replicas.
func (g *group) checkLogs() {
	for i, p := range g.peers {
		for _, q := range g.peers[:i] {
			a, b := &p.core.log, &q.core.log
			equal := false
			for index := min(a.last(), b.last()); index > max(a.baseIndex, b.baseIndex); index-- {
				term, _ := a.term(index)
				same := b.matches(index, term)
				if equal && !same {
					g.fail("%s and %s match above %d but not there", p.id, q.id, index)
				}
				equal = equal || same
			}
		}
	}
}

func (g *group) run(actions []int) bool {
	for i, n := range actions {
		g.act(n)
		if i%25 == 0 {
			g.checkLogs()
		}
		if g.broken != "" {
			return false
		}
	}
	g.checkLogs()
	return g.broken == ""
}

func TestCoreKeepsItsPromises(t *testing.T) {
	const seed, runs, steps = 20261203, 300, 900
	params := gopter.DefaultTestParametersWithSeed(seed)
	params.MinSuccessfulTests = runs
	properties := gopter.NewProperties(params)
	elected, committed := 0, 0
	for _, shape := range []struct{ voters, learners int }{{1, 2}, {3, 0}, {3, 2}, {5, 0}} {
		name := fmt.Sprintf("%d voters, %d learners, seed %d", shape.voters, shape.learners, seed)
		properties.Property(name, prop.ForAll(func(actions []int) string {
			g := newGroup(shape.voters, shape.learners)
			g.run(actions)
			elected += len(g.leaders)
			committed += len(g.committed)
			return g.broken
		}, gen.SliceOfN(steps, gen.IntRange(0, 1<<20))))
	}
	properties.TestingRun(t)
	t.Logf("%d leaders, %d committed entries", elected, committed)
	if elected < runs || committed < runs {
		t.Error("too little happened for the test to prove anything")
	}
}

// pump delivers all messages but those to or from the excluded replicas.
func (g *group) pump(excluded ...string) {
	for len(g.net) > 0 {
		m := g.net[0]
		g.net = g.net[1:]
		if slices.Contains(excluded, m.To) || slices.Contains(excluded, m.From) {
			continue
		}
		g.net = append(g.net, m)
		g.deliver(len(g.net)-1, false)
	}
}

// elect makes a replica the leader with the votes of all but the excluded.
func (g *group) elect(t *testing.T, id int, excluded ...string) *Raft {
	t.Helper()
	p := g.peers[id]
	for range 40 {
		if p.core.Role() == Leader {
			return p.core
		}
		for i, q := range g.peers {
			// The others only let their timers run out, so that they vote.
			if q.core.elapsed < 4 || i == id {
				q.core.Tick()
			}
			g.settle(q)
		}
		g.pump(excluded...)
	}
	t.Fatalf("%s was not elected", p.id)
	return nil
}

// An entry of an earlier term that a majority holds is not committed before one
// of the leader's own term is: until then a replica that lacks it may still win.
func TestEntryOfEarlierTermIsNotCommittedByCount(t *testing.T) {
	g := newGroup(3, 0)
	r := g.peers[0].core
	r.term, r.role, r.leader = 4, Leader, "r0"
	r.progress = map[string]*progress{}
	r.push(Entry{Index: 2, Term: 2}, Entry{Index: 3, Term: 4})
	r.log.stable = 3
	r.progress["r0"].match = 3
	r.Step(Message{Kind: AppendReply, From: "r1", To: "r0", Term: 4, Index: 2})
	if r.log.committed != 1 {
		t.Fatalf("committed %d by count of an earlier term", r.log.committed)
	}
	r.Step(Message{Kind: AppendReply, From: "r1", To: "r0", Term: 4, Index: 3})
	if r.log.committed != 3 {
		t.Fatalf("committed %d, want 3", r.log.committed)
	}
}

// With three voters a majority is two; where two disks may be lost at once an
// entry must be on three, and a learner's disk counts.
func TestEntryIsCommittedOnceEnoughDisksHoldIt(t *testing.T) {
	ack := func(r *Raft, from string) {
		r.Step(Message{Kind: AppendReply, From: from, To: "r0", Term: r.term, Index: 2})
	}
	lead := func(copies int, learners ...Member) *Raft {
		g := newGroup(3, 0)
		r := g.peers[0].core
		r.cfg.MinCopies = copies
		for _, m := range learners {
			r.members[0].members = r.members[0].members.With(m)
		}
		r.term, r.role, r.leader = 4, Leader, "r0"
		r.progress = map[string]*progress{}
		r.push(Entry{Index: 2, Term: 4})
		r.log.stable = 2
		r.progress["r0"].match = 2
		return r
	}
	r := lead(0)
	if ack(r, "r1"); r.log.committed != 2 {
		t.Error("without a bound a majority commits")
	}
	r = lead(3)
	if ack(r, "r1"); r.log.committed != 1 {
		t.Error("committed on two disks of three")
	}
	if ack(r, "r2"); r.log.committed != 2 {
		t.Error("not committed on three disks")
	}
	r = lead(3, Member{ID: "r3"}, Member{ID: "r4", Volatile: true})
	ack(r, "r1")
	if ack(r, "r4"); r.log.committed != 1 {
		t.Error("a member without a disk counts")
	}
	if ack(r, "r3"); r.log.committed != 2 {
		t.Error("the disk of a learner does not count")
	}
}

func TestMembershipChangesOneVoterAtATime(t *testing.T) {
	g := newGroup(3, 1)
	r := g.elect(t, 0)
	members := r.Members()
	two := members.With(Member{ID: "r3", Voter: true}).Without("r2")
	if err := r.ProposeMembers(two); !errors.Is(err, ErrBadChange) {
		t.Errorf("a swap of two voters: %v", err)
	}
	one := members.With(Member{ID: "r3"})
	if err := r.ProposeMembers(one); err != nil {
		t.Fatal(err)
	}
	if err := r.ProposeMembers(one.With(Member{ID: "r3", Voter: true})); !errors.Is(err, ErrChangePending) {
		t.Errorf("a change while another is uncommitted: %v", err)
	}
	g.settle(g.peers[0])
	g.pump()
	if err := r.ProposeMembers(one.With(Member{ID: "r3", Voter: true})); err != nil {
		t.Error(err)
	}
}

// A read is answered only after a majority confirmed the leader in a round that
// began after the call.
func TestReadWaitsForAQuorumRound(t *testing.T) {
	g := newGroup(3, 0)
	r := g.elect(t, 0)
	g.pump()
	if err := r.ReadIndex(7); err != nil {
		t.Fatal(err)
	}
	if rd := r.Ready(); len(rd.Reads) != 0 {
		t.Fatal("answered without a round")
	}
	// An answer to an earlier round confirms nothing.
	r.Step(Message{Kind: HeartbeatReply, From: "r1", To: "r0", Term: r.term, Round: r.reads.round - 1})
	if rd := r.Ready(); len(rd.Reads) != 0 {
		t.Fatal("answered on an old round")
	}
	r.Step(Message{Kind: HeartbeatReply, From: "r1", To: "r0", Term: r.term, Round: r.reads.round})
	if rd := r.Ready(); len(rd.Reads) != 1 || rd.Reads[0].Token != 7 {
		t.Fatalf("reads %v", rd.Reads)
	}
}

// Neither a replica that was cut off and returns, nor one that can speak but
// does not hear the leader, deposes a leader that works.
func TestCutOffReplicaDoesNotDepose(t *testing.T) {
	for name, lost := range map[string]func(Message) bool{
		"both ways": func(m Message) bool { return m.To == "r2" || m.From == "r2" },
		"one way":   func(m Message) bool { return m.To == "r2" && m.From == "r0" },
	} {
		g := newGroup(3, 0)
		r := g.elect(t, 0)
		g.pump()
		term := r.Term()
		for i := range 120 {
			for _, p := range g.peers {
				p.core.Tick()
				g.settle(p)
			}
			if i < 100 {
				g.net = slices.DeleteFunc(g.net, lost)
			}
			for len(g.net) > 0 {
				g.deliver(0, false)
				if i < 100 {
					g.net = slices.DeleteFunc(g.net, lost)
				}
			}
		}
		if r.Role() != Leader || r.Term() != term {
			t.Errorf("%s: role %v in term %d, led in term %d", name, r.Role(), r.Term(), term)
		}
		if g.peers[2].core.LeaderID() != "r0" {
			t.Errorf("%s: the replica that returned does not follow", name)
		}
	}
}

// A leader that no majority answers stops claiming that it leads.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	g := newGroup(3, 0)
	r := g.elect(t, 0)
	g.pump()
	for range 10 {
		r.Tick()
		g.settle(g.peers[0])
	}
	if r.Role() == Leader {
		t.Error("still leads")
	}
}
