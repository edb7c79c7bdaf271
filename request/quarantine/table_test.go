package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

// rig is a table with a clock of its own.
type rig struct {
	t     *testing.T
	clock *clockwork.FakeClock
	age   boottime.Clock
	table *Table
	ended int
}

func newRig(t *testing.T) *rig {
	clock := clockwork.NewFakeClock()
	return &rig{t: t, clock: clock, age: boottime.NewFake(clock), table: NewTable(0)}
}

// prove lets many requests of other prompts pass.
func (r *rig) prove() {
	for i := range 2000 {
		r.table.RecordProven(Candidates("m", []string{fmt.Sprint("other", i%20)}), r.age.Now())
	}
}

// end ends a server that has requests with the given prompts.
func (r *rig) end(prompts ...[]string) {
	r.ended++
	server := fmt.Sprint("server", r.ended)
	for _, ids := range prompts {
		r.table.RecordBrokenOff("", server, Candidates("m", ids), r.age.Now())
	}
	r.table.RecordRefused("", server, r.age.Now())
	r.clock.Advance(time.Second)
}

func (r *rig) refused(ids ...string) bool {
	_, _, refused := r.table.Refused(Candidates("m", ids), r.age.Now())
	return refused
}

// suspect ends servers until the part is suspected.
func (r *rig) suspect(part string) {
	r.t.Helper()
	r.prove()
	for range minMoments {
		r.end([]string{"first", part}, []string{"first", fmt.Sprint("topic", r.ended)})
		r.table.RecordProven(Candidates("m", []string{"first"}), r.age.Now())
		r.table.Decide(r.age.Now())
	}
	if !r.refused("first", part) || r.refused("first", "topic0") {
		r.t.Fatalf("after %d ends: %+v", r.ended, r.table.Dump(r.age.Now()))
	}
}

func TestRequestsWithOtherPartsOfASuspectedPromptAreNotRefused(t *testing.T) {
	r := newRig(t)
	r.suspect("bad")
	for _, ids := range [][]string{{"first"}, {"first", "topic1"}, {"topic2", "first"}, nil} {
		if r.refused(ids...) {
			t.Errorf("a request with parts %v is refused", ids)
		}
	}
	if _, _, refused := r.table.Refused(Candidates("another model", []string{"bad"}), r.age.Now()); refused {
		t.Error("the part is refused to another model")
	}
}

func TestServersThatEndAtTheSameMomentSuspectNoPart(t *testing.T) {
	r := newRig(t)
	r.prove()
	for i := range 40 {
		server := fmt.Sprint("server", i)
		for _, id := range []string{"common", "rare"} {
			r.table.RecordBrokenOff("", server, Candidates("m", []string{id}), r.age.Now())
		}
	}
	r.clock.Advance(time.Second)
	if d := r.table.Decide(r.age.Now()); len(d) != 0 {
		t.Errorf("decisions %+v", d)
	}
}

func TestBrokenConnectionsOfLiveServersSuspectNoPart(t *testing.T) {
	for name, alive := range map[string]bool{"sign of life": true, "single connections": false} {
		r := newRig(t)
		r.prove()
		for i := range 10 {
			server := fmt.Sprint("server", i)
			r.table.RecordBrokenOff("", server, Candidates("m", []string{"part"}), r.age.Now())
			if alive {
				r.table.RecordBrokenOff("", server, Candidates("m", []string{"part"}), r.age.Now())
				r.clock.Advance(2 * aliveMargin)
				if !r.table.RecordAlive(server, r.age.Now()) {
					t.Errorf("%s: a sign of life does not refute the end", name)
				}
			}
			r.clock.Advance(time.Second)
			if d := r.table.Decide(r.age.Now()); len(d) != 0 {
				t.Errorf("%s: decisions %+v", name, d)
			}
		}
	}
}

func TestConnectionThatBreaksJustBeforeAnEndDoesNotHideIt(t *testing.T) {
	r := newRig(t)
	r.prove()
	for i := range minMoments {
		server := fmt.Sprint("server", i)
		r.table.RecordBrokenOff("", server, Candidates("m", []string{"other"}), r.age.Now())
		r.clock.Advance(2 * aliveMargin)
		alive := r.age.Now()
		r.clock.Advance(2 * aliveMargin)
		for range 2 {
			r.table.RecordBrokenOff("", server, Candidates("m", []string{"bad"}), r.age.Now())
		}
		r.table.ApplyAlive(server, alive)
		r.table.RecordProven(Candidates("m", []string{"other"}), r.age.Now())
		r.clock.Advance(time.Second)
		r.table.Decide(r.age.Now())
	}
	if !r.refused("bad") {
		t.Errorf("got %+v", r.table.Dump(r.age.Now()))
	}
}

func TestPartThatOnlyAccompaniesASuspectedOneIsCleared(t *testing.T) {
	r := newRig(t)
	r.prove()
	for range maxMoments {
		r.end([]string{"bad", "companion"})
		r.table.Decide(r.age.Now())
	}
	if !r.refused("bad", "companion") {
		t.Fatal("parts that nothing distinguishes are not refused together")
	}
	for range maxMoments {
		r.end([]string{"bad", "topic"})
		r.table.Decide(r.age.Now())
	}
	if r.refused("companion") || !r.refused("bad") || !r.refused("bad", "topic") {
		t.Errorf("got %+v", r.table.Dump(r.age.Now()))
	}
}

func TestSuspectedPartIsTriedOnceAtATimeAfterItsHold(t *testing.T) {
	r := newRig(t)
	r.suspect("bad")
	r.clock.Advance(firstHold - time.Minute)
	if !r.refused("bad") {
		t.Error("the part is not refused before the end of its hold")
	}
	r.clock.Advance(2 * time.Minute)
	if r.refused("bad") {
		t.Fatal("the part is not tried after its hold")
	}
	trials := r.table.StartTrial(Candidates("m", []string{"bad"}))
	if !r.refused("bad") {
		t.Error("a second request is tried at the same time")
	}
	r.table.EndTrial(trials)
	r.end([]string{"bad"})
	if !r.refused("bad") {
		t.Error("the part is tried again before the trial is judged")
	}
	if d := r.table.Decide(r.age.Now()); len(d) != 1 || d[0].Action != Suspected || d[0].Hold.Count != 2 {
		t.Errorf("after a failed trial: %+v", d)
	}
	r.clock.Advance(2*firstHold + time.Second)
	if r.refused("bad") {
		t.Fatal("the part is not tried after its second hold")
	}
	r.table.RecordProven(Candidates("m", []string{"bad"}), r.age.Now())
	if d := r.table.Decide(r.age.Now()); len(d) != 1 || d[0].Action != Cleared || r.refused("bad") {
		t.Errorf("after a trial that succeeded: %+v", d)
	}
}

func TestLateHoldOfAnotherEntryDoesNotBringBackAClearedPart(t *testing.T) {
	r := newRig(t)
	r.suspect("bad")
	held := r.age.Now().Add(-time.Second)
	r.clock.Advance(time.Second)
	r.table.RecordProven(Candidates("m", []string{"bad"}), r.age.Now())
	r.table.Decide(r.age.Now())
	if r.table.ApplyHold(Hold{Part: Part{Model: "m", ID: "bad"}, Count: 1}, held) || r.refused("bad") {
		t.Error("the earlier hold is in force again")
	}
	if !r.table.ApplyHold(Hold{Part: Part{Model: "m", ID: "bad"}, Count: 1}, r.age.Now().Add(time.Second)) {
		t.Error("a later hold is ignored")
	}
}

func TestFloodOfPartsDoesNotDisplaceASuspectedOne(t *testing.T) {
	r := newRig(t)
	r.suspect("bad")
	for i := range 2 * maxEnds {
		var prompts [][]string
		for j := range 15 {
			ids := []string{}
			for k := range 16 {
				ids = append(ids, fmt.Sprintf("flood-%d-%d-%d-with-a-name-that-is-too-long-to-be-kept", i, j, k))
			}
			prompts = append(prompts, ids)
		}
		r.end(append(prompts, []string{"next"})...)
		r.table.RecordProven(Candidates("m", []string{fmt.Sprint("once", i)}), r.age.Now())
		r.table.Decide(r.age.Now())
		if i == 3*maxMoments && !r.refused("next") {
			t.Error("the flood hides a part that ends servers")
		}
	}
	if len(r.table.ends) > maxEnds || len(r.table.watched) > (maxEnds+1)*maxParts || len(r.table.holds) > maxHolds || len(r.table.provenParts.recent) > maxProven {
		t.Errorf("the table holds %d ends, %d watched parts, %d holds, %d proofs", len(r.table.ends), len(r.table.watched), len(r.table.holds), len(r.table.provenParts.recent))
	}
}

// Each outage of a zone pushed out the ends that a part had caused between them.
func TestOutagesDoNotDisplaceTheEndsOfASuspectedPart(t *testing.T) {
	r := newRig(t)
	for i := range maxMoments {
		r.end([]string{"first", "bad"}, []string{"first", fmt.Sprint("topic", i)})
		for j := range maxEnds - 1 {
			server := fmt.Sprint("zone", i, "-", j)
			for k := range 2 {
				r.table.RecordBrokenOff("", server, Candidates("m", []string{"first", fmt.Sprint("topic", i, "-", j, "-", k)}), r.age.Now())
			}
		}
		r.clock.Advance(time.Second)
		r.prove()
		r.table.RecordProven(Candidates("m", []string{"first"}), r.age.Now())
	}
	r.clock.Advance(time.Second)
	r.table.Decide(r.age.Now())
	if !r.refused("bad") || r.refused("first", "topic0-0-0") {
		t.Errorf("after %d ends: %+v", r.ended, r.table.Dump(r.age.Now()))
	}
	if len(r.table.ends) > maxEnds {
		t.Errorf("the table holds %d ends", len(r.table.ends))
	}
}

// A report that came before the end was confirmed made room for the next one on another server.
func TestReportOnAnotherServerDoesNotDisplaceAnEndBeforeItIsConfirmed(t *testing.T) {
	r := newRig(t)
	for i := range maxEnds {
		server := fmt.Sprint("zone", i)
		for j := range 2 {
			r.table.RecordBrokenOff("", server, Candidates("m", []string{fmt.Sprint("topic", i, "-", j)}), r.age.Now())
		}
	}
	for i := range maxMoments {
		r.clock.Advance(time.Second)
		r.prove()
		server := fmt.Sprint("server", i)
		r.table.RecordBrokenOff("", server, Candidates("m", []string{"bad"}), r.age.Now())
		r.clock.Advance(sameMoment / 4)
		r.table.RecordBrokenOff("", fmt.Sprint("reset", i), Candidates("m", []string{fmt.Sprint("other", i)}), r.age.Now())
		r.clock.Advance(sameMoment / 4)
		r.table.RecordRefused("", server, r.age.Now())
	}
	r.clock.Advance(time.Second)
	r.table.Decide(r.age.Now())
	if !r.refused("bad") {
		t.Errorf("after %d ends: %+v", maxMoments, r.table.Dump(r.age.Now()))
	}
}
