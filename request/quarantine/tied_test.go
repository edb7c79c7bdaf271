package quarantine

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// deadlyPartsVariable is set to 2 to play two parts that crash servers, in turn in one place of a
// prompt.
const deadlyPartsVariable = "WAXWINGPOST_QUARANTINE_DEADLY"

// tiedLoad is a load in which a part that crashes servers is among parts that all its prompts have.
type tiedLoad struct {
	s *sim
	// parts is the prompt that crashes servers, by the part at index bad.
	parts []string
	bad   int
	// second, if not empty, crashes servers too and takes the place of the part in half of the prompts.
	second string
	// otherCompany is the fraction of prompts that have only some of the other parts.
	otherCompany float64
	badInterval  time.Duration
	perSecond    float64
	// quietFrom and quietUntil bound the time without sound requests.
	quietFrom, quietUntil time.Duration
	lastBad               time.Duration
}

func newTiedLoad(s *sim) *tiedLoad {
	l := &tiedLoad{s: s, badInterval: time.Duration(60+s.rng.IntN(1500)) * time.Millisecond, perSecond: 1 + 12*s.rng.Float64()}
	for i := range 2 + s.rng.IntN(5) {
		l.parts = append(l.parts, fmt.Sprint("part", i))
	}
	if s.rng.IntN(8) == 0 {
		for i := range 300 {
			l.parts = append(l.parts, fmt.Sprint("many", i))
		}
	}
	l.bad = s.rng.IntN(len(l.parts))
	s.bad[l.parts[l.bad]] = true
	if os.Getenv(deadlyPartsVariable) == "2" {
		l.second = "second"
		s.bad[l.second] = true
	}
	if s.rng.IntN(2) == 0 {
		l.otherCompany = s.rng.Float64() / 2
	}
	return l
}

// sendSound sends sound requests, which have another part in place of the one that crashes servers.
func (l *tiedLoad) sendSound() {
	s := l.s
	if s.now < l.quietFrom || s.now >= l.quietUntil {
		parts := slices.Clone(l.parts)
		parts[l.bad] = fmt.Sprint("sound", s.rng.IntN(3))
		s.send(s.rng.IntN(len(s.tables)), s.request(parts...), false)
	}
	s.after(time.Duration(s.rng.ExpFloat64()/l.perSecond*float64(time.Second)), l.sendSound)
}

func (l *tiedLoad) sendBad() {
	s := l.s
	var parts []string
	bad := l.parts[l.bad]
	if l.second != "" && s.rng.IntN(2) == 0 {
		bad = l.second
	}
	for i, p := range l.parts {
		if i == l.bad {
			p = bad
		}
		if i == l.bad || s.rng.Float64() >= l.otherCompany {
			parts = append(parts, p)
		}
	}
	s.send(s.rng.IntN(len(s.tables)), s.request(parts...), false)
	l.lastBad = s.now
	s.after(time.Duration(s.rng.ExpFloat64()*float64(l.badInterval)), l.sendBad)
}

// play starts the load. Sound requests stop before the first crash, or go on; entries start again.
func (l *tiedLoad) play() {
	s := l.s
	for i := range s.tables {
		s.after(time.Duration(i)*time.Millisecond, func() { s.decide(i) })
	}
	start := time.Duration(2000+s.rng.IntN(3000)) * time.Millisecond
	if s.rng.IntN(3) != 0 {
		l.quietFrom = start - time.Second
		l.quietUntil = start + time.Duration(s.rng.IntN(10000))*time.Millisecond
	}
	if s.rng.IntN(4) == 0 {
		l.quietFrom = 0 // nothing was proven before
	}
	s.after(0, l.sendSound)
	s.after(start, l.sendBad)
	for range s.rng.IntN(3) {
		entry := s.rng.IntN(len(s.tables))
		s.after(time.Duration(s.rng.IntN(10000))*time.Millisecond, func() { s.restart(entry) })
	}
	s.run()
}

// requireService requires that sound requests are served from twice the contact time after the
// fifth crash, or the last one, while requests that crash servers still come.
func (l *tiedLoad) requireService() {
	s := l.s
	s.t.Helper()
	crashes := s.crashes[l.parts[l.bad]]
	if len(crashes) == 0 {
		return
	}
	from := crashes[min(len(crashes), evidence(l.parts[l.bad]))-1] + 2*simContact
	count := func(times []time.Duration) (n int) {
		for _, at := range times {
			if at >= from && at <= l.lastBad {
				n++
			}
		}
		return n
	}
	sent, served := count(s.soundSent), count(s.soundServed)
	if sent >= 20 && 2*served < sent {
		s.t.Errorf("%d of %d sound requests were sent to a server later than %v, want half", served, sent, from)
	}
	s.t.Logf("%d entries, %d servers, part %d of %d, other company %.2f, crashes %d, sound requests %d of %d", len(s.tables), len(s.servers), l.bad, len(l.parts), l.otherCompany, len(crashes), served, sent)
}

// Of several parts in the same ends, one that all sound prompts have was suspected.
func TestSoundPromptsAreServedWhilePartsOfTheirsAreTied(t *testing.T) {
	for seed := range seedsOfSimulation() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed)
			l := newTiedLoad(s)
			l.play()
			s.requireBudget()
			l.requireService()
			for _, what := range s.suspected {
				t.Errorf("a sound part was suspected: %s", what)
			}
		})
	}
}

// Of several parts in the same ends, the last one was suspected whatever was proven before.
func TestTiedPartsAreToldApartWhereverTheCrashingOneStands(t *testing.T) {
	const parts = 4
	for _, proofs := range []int{0, 1, 24, 2000} {
		for bad := range parts {
			t.Run(fmt.Sprint(proofs, " proofs, part ", bad), func(t *testing.T) {
				r := newRig(t)
				crashing := []string{"a", "b", "c", "d"}
				sound := slices.Clone(crashing)
				crashing[bad], sound[bad] = "bad", "other"
				for range proofs {
					r.table.RecordProven(Candidates("m", sound), r.age.Now())
				}
				r.clock.Advance(time.Second)
				for range maxMoments {
					r.end(crashing)
					r.table.Decide(r.age.Now())
				}
				if !r.refused(crashing...) {
					t.Fatalf("the prompt that crashes servers is not refused: %+v", r.table.Dump(r.age.Now()))
				}
				if r.refused(sound...) {
					t.Fatalf("a sound prompt is refused: %+v", r.table.Dump(r.age.Now()))
				}
				trials := r.table.StartTrial(Candidates("m", sound))
				if proofs == 0 && !r.refused(sound...) {
					t.Error("two prompts of which nothing is known are tried at the same time")
				}
				r.table.EndTrial(trials)
				r.clock.Advance(time.Second)
				r.table.RecordProven(Candidates("m", sound), r.age.Now())
				r.table.Decide(r.age.Now())
				if !r.refused("bad") || !r.refused("x", "bad", "y") || r.refused(sound...) {
					t.Errorf("after a proof: %+v", r.table.Dump(r.age.Now()))
				}
			})
		}
	}
}

// Guards against a sound part being suspected because a server ended with it by another cause.
func TestPartThatWasProvenIsNotSuspectedAloneForOneFurtherEnd(t *testing.T) {
	r := newRig(t)
	for range 24 {
		r.table.RecordProven(Candidates("m", []string{"first", "topic"}), r.age.Now())
	}
	r.clock.Advance(time.Second)
	r.end([]string{"first", "topic"})
	for range maxMoments - 1 {
		r.end([]string{"first", "bad"})
		r.table.Decide(r.age.Now())
	}
	if r.refused("first", "topic") || !r.refused("first", "bad") {
		t.Errorf("got %+v", r.table.Dump(r.age.Now()))
	}
}

// Guards against proofs from before the first end clearing a part for good.
func TestPartThatWasProvenBeforeIsFoundOnceItCrashesServers(t *testing.T) {
	r := newRig(t)
	for range 24 {
		r.table.RecordProven(Candidates("m", []string{"first", "bad", "last"}), r.age.Now())
	}
	r.clock.Advance(time.Second)
	for range maxMoments {
		r.end([]string{"first", "bad", "last"})
		r.table.Decide(r.age.Now())
	}
	if !r.refused("first", "bad", "last") {
		t.Fatalf("the prompt that crashes servers is not refused: %+v", r.table.Dump(r.age.Now()))
	}
	for range tiedLead {
		if r.refused("other", "bad") {
			t.Fatalf("a prompt that tells the parts apart is refused: %+v", r.table.Dump(r.age.Now()))
		}
		r.end([]string{"other", "bad"})
		r.clock.Advance(trialRetryAfter)
		r.table.Decide(r.age.Now())
	}
	if !r.refused("another", "bad") || r.refused("first", "last") {
		t.Errorf("got %+v", r.table.Dump(r.age.Now()))
	}
}

func TestHoldOfMorePartsDoesNotReplaceANarrowerOne(t *testing.T) {
	r := newRig(t)
	part := func(id string) Part { return Part{Model: "m", ID: id} }
	wide := Hold{Part: part("last"), With: []Part{part("first"), part("bad")}, Count: 1}
	narrow := Hold{Part: part("bad"), Count: 1}
	if !r.table.ApplyHold(wide, r.age.Now()) || !r.refused("first", "bad", "last") || r.refused("bad") {
		t.Fatalf("after the wide hold: %+v", r.table.Dump(r.age.Now()))
	}
	r.clock.Advance(time.Second)
	if !r.table.ApplyHold(narrow, r.age.Now()) || !r.refused("bad") || len(r.table.holds) != 1 {
		t.Fatalf("after the narrow hold: %+v", r.table.Dump(r.age.Now()))
	}
	r.clock.Advance(time.Second)
	wide.Part, wide.With = part("bad"), []Part{part("first"), part("last")}
	if r.table.ApplyHold(wide, r.age.Now()) || !r.refused("bad") {
		t.Errorf("a later hold of more parts is applied: %+v", r.table.Dump(r.age.Now()))
	}
}
