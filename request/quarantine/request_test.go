package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/observation"
)

// endWith ends a server that has requests with the given candidates.
func (r *rig) endWith(requests ...[]Candidate) {
	r.ended++
	server := fmt.Sprint("server", r.ended)
	for _, candidates := range requests {
		r.table.RecordBrokenOff("", server, candidates, r.age.Now())
	}
	if r.table.StartCheck(server, r.age.Now()) {
		r.table.RecordRefused("", server, r.age.Now())
	}
	r.clock.Advance(time.Second)
	r.table.Decide(r.age.Now())
}

func (r *rig) refusedWith(candidates []Candidate) bool {
	_, _, refused := r.table.Refused(candidates, r.age.Now())
	return refused
}

func withParts(digest string, ids ...string) []Candidate {
	return append([]Candidate{RequestCandidate("", digest)}, Candidates("m", ids)...)
}

func TestRepeatedRequestIsRefusedWithoutThePartsOfItsPrompt(t *testing.T) {
	for name, ids := range map[string][]string{"no prompt": nil, "prompt": {"first", "topic"}} {
		r := newRig(t)
		r.prove()
		for range minMoments {
			r.endWith(withParts("bad", ids...))
		}
		if !r.refusedWith(withParts("bad", ids...)) {
			t.Errorf("%s: the request is not refused: %+v", name, r.table.Dump(r.age.Now()))
		}
		if r.refusedWith(withParts("another", ids...)) {
			t.Errorf("%s: another request with the same parts is refused", name)
		}
	}
}

func TestSoundRequestBesideACrashingOneIsNotRefused(t *testing.T) {
	r := newRig(t)
	r.prove()
	for range 2 * maxMoments {
		r.endWith(withParts("bad"), withParts("polled"))
		r.table.RecordProven(withParts("polled"), r.age.Now())
	}
	if !r.refusedWith(withParts("bad")) || r.refusedWith(withParts("polled")) {
		t.Errorf("got %+v", r.table.Dump(r.age.Now()))
	}
}

func TestSoundPartOfACrashingRequestIsNotSuspectedForOneFurtherEnd(t *testing.T) {
	r := newRig(t)
	r.prove()
	for range 2 {
		r.endWith(withParts("bad", "rare"))
	}
	r.endWith(withParts("once", "rare"))
	if r.refusedWith(withParts("another", "rare")) {
		t.Fatalf("after two ends of one request and one of another: %+v", r.table.Dump(r.age.Now()))
	}
	r.endWith(withParts("bad", "rare"))
	if !r.refusedWith(withParts("bad", "rare")) || r.refusedWith(withParts("another", "rare")) {
		t.Errorf("got %+v", r.table.Dump(r.age.Now()))
	}
}

func TestPartInSeveralCrashingRequestsIsSuspectedInTheirPlace(t *testing.T) {
	r := newRig(t)
	r.prove()
	for i := range minMoments + maxMoments {
		r.endWith(withParts(fmt.Sprint("request", i/2), "bad"))
	}
	if !r.refusedWith(withParts("another", "bad")) || r.refusedWith(withParts("request0")) {
		t.Errorf("got %+v", r.table.Dump(r.age.Now()))
	}
}

func TestRequestIsNotTriedMoreOftenThanTheBudgetOfRetriesAllows(t *testing.T) {
	r := newRig(t)
	r.prove()
	for range minMoments {
		r.endWith(withParts("bad"))
	}
	tried := 0
	for range 12 * 60 * 4 {
		if !r.refusedWith(withParts("bad")) {
			tried++
			r.endWith(withParts("bad"))
		}
		r.clock.Advance(15 * time.Second)
	}
	if tried > maxTrials {
		t.Errorf("the request was tried %d times in half a day, want at most %d", tried, maxTrials)
	}
}

func TestSoundTrafficOfAnotherServiceDoesNotLowerTheEvidenceThatIsRequired(t *testing.T) {
	r := newRig(t)
	polled := []Candidate{RequestCandidate("small", "polled")}
	for i := range 3 * minMoments {
		r.table.RecordProven([]Candidate{RequestCandidate("small", fmt.Sprint("sound", i))}, r.age.Now())
	}
	r.prove()
	for range minMoments {
		for i := range 4 {
			r.table.RecordBrokenOff("", fmt.Sprint("killed", r.ended), []Candidate{RequestCandidate("small", fmt.Sprint("cut", r.ended, i))}, r.age.Now())
		}
		r.endWith(polled)
		r.prove()
	}
	if r.refusedWith(polled) {
		t.Errorf("a request is refused after %d ends at a service that cuts most of its requests: %+v", minMoments, r.table.Dump(r.age.Now()))
	}
	r.clock.Advance(10 * cutMemory)
	r.prove()
	if n := r.table.required(Part{Request: true}, r.age.Now()); n != minMoments {
		t.Errorf("%d moments are required long after the last cut, want %d", n, minMoments)
	}
}

func TestFloodOfRequestsDoesNotDisplaceASuspectedOne(t *testing.T) {
	r := newRig(t)
	r.prove()
	for i := range 2 * maxEnds {
		requests := [][]Candidate{}
		for j := range 100 {
			requests = append(requests, withParts(fmt.Sprintf("flood-%032d", i*100+j)))
		}
		r.endWith(append(requests, withParts("bad"))...)
		for j := range 3 * maxProven / maxEnds {
			r.table.RecordProven(withParts(fmt.Sprint("proven", i, "-", j)), r.age.Now())
		}
		if i >= maxMoments && r.table.holds[RequestCandidate("", "bad").Part] == nil {
			t.Fatalf("the flood hides a request that ends servers after %d ends: %+v", i, r.table.Dump(r.age.Now()))
		}
	}
	if n := len(r.table.provenRequests.recent) + len(r.table.provenRequests.older); n > 2*maxProven || len(r.table.watched) > (maxEnds+1)*maxParts {
		t.Errorf("the table holds %d proofs, %d watched parts", n, len(r.table.watched))
	}
}

func TestProofsSurviveAFloodOfRequests(t *testing.T) {
	r := newRig(t)
	r.prove()
	r.endWith(withParts("polled", "first"))
	r.table.RecordProven(withParts("polled", "first"), r.age.Now())
	for i := range 3 * maxProven {
		r.table.RecordProven(withParts(fmt.Sprint("flood", i)), r.age.Now())
	}
	for range minMoments - 1 {
		r.endWith(withParts("polled", "first"))
	}
	if r.refusedWith(withParts("polled")) || r.refusedWith(withParts("another", "first")) {
		t.Errorf("an end before the proof counts: %+v", r.table.Dump(r.age.Now()))
	}
}

func TestReportOfManyCandidatesFitsIntoARecord(t *testing.T) {
	r := newRig(t)
	var report Report
	for i := range 400 {
		ids := []string{}
		for j := range 16 {
			ids = append(ids, fmt.Sprintf("part-%d-%d-with-27-bytes", i, j))
		}
		report, _ = r.table.RecordBrokenOff("", "server", withParts(fmt.Sprintf("%032d", i), ids...), r.age.Now())
	}
	body, err := cbor.Marshal(report)
	if err != nil || len(body) > observation.MaxBodyBytes {
		t.Errorf("a report has %d bytes, error %v", len(body), err)
	}
}

func BenchmarkDecide(b *testing.B) {
	clock := clockwork.NewFakeClock()
	age := boottime.NewFake(clock)
	table := NewTable(0)
	for i := range 30 {
		for j := range 22 {
			topic := fmt.Sprint("topic", (i+j)%40)
			table.RecordBrokenOff("", fmt.Sprint("server", i), withParts(fmt.Sprint("request", i, "-", j), "kind", topic, fmt.Sprint(topic, "-", i%7)), age.Now())
		}
		clock.Advance(time.Second)
	}
	for b.Loop() {
		table.decideUntil(age.Now())
		table.Decide(age.Now())
	}
}
