package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

const (
	// simSeeds is the number of seeds; the variable overrides it.
	simSeeds         = 30
	simSeedsVariable = "WAXWINGPOST_QUARANTINE_SEEDS"
	simContact       = 3 * time.Second
	simLength        = 30 * time.Second
)

// simEvent happens at a time of the simulation.
type simEvent struct {
	at time.Duration
	do func()
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simServer is a server in the simulation, and simRun a request at one.
type simServer struct {
	name        string
	zone        int
	incarnation int
	up          bool
	// runs holds the runs in the order in which they were sent.
	runs []*simRun
}

func (s *simServer) remove(r *simRun) {
	s.runs = slices.DeleteFunc(s.runs, func(o *simRun) bool { return o == r })
}

type simRun struct {
	entry      int
	candidates []Candidate
	events     int
	retry      bool
	trials     []Part
}

// reportKey identifies the reports of an entry on a server at another entry.
type reportKey struct {
	to     *Table
	from   int
	server string
}

// sim plays entries, servers, requests and the messages between the entries.
type sim struct {
	t       *testing.T
	rng     *rand.Rand
	clock   *clockwork.FakeClock
	age     boottime.Clock
	now     time.Duration
	queue   simQueue
	tables  []*Table
	servers []*simServer
	bad     map[string]bool
	// requests numbers the requests that are not repeated.
	requests int
	// crashes are the times at which servers crashed on a part, badSent those at which
	// requests with such a part were sent.
	crashes, badSent map[string][]time.Duration
	// reports counts the reports; applied holds the number of the last one that arrived.
	reports      int
	applied      map[reportKey]int
	soundRefused int
	sound        int
	// soundSent and soundServed are the times at which sound requests came, and at which those came
	// that were sent to a server.
	soundSent, soundServed []time.Duration
	// told holds all messages between the entries, which an entry that starts again gets.
	told      []func(*Table)
	suspected []string
	// trace is called with what happens, if it is set.
	trace func(format string, args ...any)
}

func newSim(t *testing.T, seed uint64) *sim {
	clock := clockwork.NewFakeClock()
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), clock: clock, age: boottime.NewFake(clock),
		bad: map[string]bool{}, crashes: map[string][]time.Duration{}, badSent: map[string][]time.Duration{}, applied: map[reportKey]int{},
		trace: func(string, ...any) {},
	}
	for range 2 + s.rng.IntN(12) {
		s.tables = append(s.tables, NewTable(s.rng.Float64()))
	}
	for i := range 6 + s.rng.IntN(50) {
		s.servers = append(s.servers, &simServer{name: fmt.Sprint("s", i), zone: i % 3, up: true})
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) { heap.Push(&s.queue, simEvent{s.now + d, do}) }

func (s *sim) run() {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		if e.at > simLength {
			return
		}
		s.clock.Advance(e.at - s.now)
		s.now = e.at
		e.do()
	}
}

// tell calls apply for all other entries after the delay of a message.
func (s *sim) tell(from int, apply func(*Table)) {
	s.told = append(s.told, apply)
	for i := range s.tables {
		if i != from {
			s.after(time.Duration(30+s.rng.IntN(110))*time.Millisecond, func() { apply(s.tables[i]) })
		}
	}
}

// restart starts an entry again, which has only what the entries have told each other.
func (s *sim) restart(entry int) {
	s.trace("%v entry %d starts again", s.now, entry)
	s.tables[entry] = NewTable(s.rng.Float64())
	for _, apply := range s.told {
		apply(s.tables[entry])
	}
}

// tellReport tells a report. As in package observation, one that arrives after a later
// one of the same entry is ignored.
func (s *sim) tellReport(from int, server string, r Report, at boottime.Instant) {
	s.reports++
	number := s.reports
	s.tell(from, func(t *Table) {
		key := reportKey{t, from, server}
		if s.applied[key] < number {
			s.applied[key] = number
			_ = t.ApplyReport(strconv.Itoa(from), server, r, at, s.age.Now())
		}
	})
}

func (s *sim) tellProven(from int, parts []Part) {
	at := s.age.Now()
	for _, p := range parts {
		s.tell(from, func(t *Table) { t.ApplyProven(p, at) })
	}
}

func (s *sim) decide(entry int) {
	for _, d := range s.tables[entry].Decide(s.age.Now()) {
		s.trace("%v entry %d: %+v", s.now, entry, d)
		if (d.Action == Suspected || d.Action == Narrowed) && !slices.ContainsFunc(d.Hold.parts(), func(p Part) bool { return s.bad[p.ID] }) {
			s.suspected = append(s.suspected, fmt.Sprintf("%s at %v: %d moments, runner-up %d", d.Hold.Part.ID, s.now, d.Moments, d.RunnerUp))
		}
		s.tell(entry, func(t *Table) { t.ApplyHold(d.Hold, d.At) })
	}
	s.after(50*time.Millisecond, func() { s.decide(entry) })
}

// send sends a request to a random server, or refuses it.
func (s *sim) send(entry int, candidates []Candidate, retry bool) {
	bad := ""
	for _, c := range candidates {
		if s.bad[c.Part.ID] {
			bad = c.Part.ID
		}
	}
	table := s.tables[entry]
	_, _, refused := table.Refused(candidates, s.age.Now())
	if bad == "" {
		s.sound++
		s.soundSent = append(s.soundSent, s.now)
		if refused {
			s.soundRefused++
		} else {
			s.soundServed = append(s.soundServed, s.now)
		}
	}
	srv := s.servers[s.rng.IntN(len(s.servers))]
	s.trace("%v entry %d: request %v to %s, up %v, refused %v", s.now, entry, candidates, s.id(srv), srv.up, refused)
	if refused {
		return
	}
	if !srv.up {
		if r, at, news := table.RecordRefused(strconv.Itoa(entry), s.id(srv), s.age.Now()); news {
			s.tellReport(entry, s.id(srv), r, at)
		}
		return
	}
	if bad != "" {
		s.badSent[bad] = append(s.badSent[bad], s.now)
	}
	r := &simRun{entry: entry, candidates: candidates, retry: retry, trials: table.StartTrial(candidates)}
	srv.runs = append(srv.runs, r)
	length := 3 + s.rng.IntN(40)
	s.after(time.Duration(40+s.rng.IntN(300))*time.Millisecond, func() { s.write(srv, r, bad, length) })
}

// write sends the next event of a run.
func (s *sim) write(srv *simServer, r *simRun, bad string, length int) {
	if !slices.Contains(srv.runs, r) {
		return
	}
	if bad != "" {
		s.after(time.Duration(30+s.rng.IntN(80))*time.Millisecond, func() {
			if slices.Contains(srv.runs, r) {
				s.crashes[bad] = append(s.crashes[bad], s.now)
				s.crash(srv)
			}
		})
		return
	}
	table := s.tables[r.entry]
	if table.RecordAlive(s.id(srv), s.age.Now()) {
		at, id := s.age.Now(), s.id(srv)
		s.tell(r.entry, func(t *Table) { t.ApplyAlive(id, at) })
	}
	r.events++
	if r.events == ProvenEvents || r.events == length {
		s.tellProven(r.entry, table.RecordProven(r.candidates, s.age.Now()))
	}
	if r.events == length {
		srv.remove(r)
		table.EndTrial(r.trials)
		return
	}
	s.after(50*time.Millisecond, func() { s.write(srv, r, bad, length) })
}

func (s *sim) id(srv *simServer) string { return fmt.Sprint(srv.name, "/", srv.incarnation) }

// breakOff ends a run at its entry, which may send the request again.
func (s *sim) breakOff(srv *simServer, r *simRun) {
	srv.remove(r)
	table := s.tables[r.entry]
	table.EndTrial(r.trials)
	var candidates []Candidate
	if r.events < ProvenEvents {
		candidates = r.candidates
	}
	id := s.id(srv)
	own, at := table.RecordBrokenOff(strconv.Itoa(r.entry), id, candidates, s.age.Now())
	s.trace("%v entry %d: %s broke off a request, report %+v", s.now, r.entry, id, own)
	s.tellReport(r.entry, id, own, at)
	if table.StartCheck(id, s.age.Now()) {
		s.after(time.Duration(1+s.rng.IntN(8))*time.Millisecond, func() { s.check(r.entry, srv, id) })
	}
	if !r.retry && (candidates == nil || !table.Doubtful(candidates)) {
		s.after(time.Duration(1+s.rng.IntN(30))*time.Millisecond, func() { s.send(r.entry, r.candidates, true) })
	}
}

// check connects to the address of a server that has broken off a request.
func (s *sim) check(entry int, srv *simServer, id string) {
	if srv.up {
		return
	}
	if r, at, news := s.tables[entry].RecordRefused(strconv.Itoa(entry), id, s.age.Now()); news {
		s.tellReport(entry, id, r, at)
	}
}

func (s *sim) crash(srv *simServer) {
	if !srv.up {
		return
	}
	srv.up = false
	for len(srv.runs) > 0 {
		s.breakOff(srv, srv.runs[0])
	}
	s.after(3500*time.Millisecond, func() { srv.up, srv.incarnation = true, srv.incarnation+1 })
}

// request returns the candidates of a request with shared parts that is not repeated.
func (s *sim) request(ids ...string) []Candidate {
	s.requests++
	return append(Candidates("m", ids), RequestCandidate("", fmt.Sprint("request", s.requests)))
}

// traffic sends sound requests.
func (s *sim) traffic(perSecond float64) {
	kind := s.rng.IntN(3)
	topic := int(60 * s.rng.Float64() * s.rng.Float64())
	s.send(s.rng.IntN(len(s.tables)), s.request(fmt.Sprint("kind", kind), fmt.Sprint("topic", kind, "-", topic)), false)
	s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), func() { s.traffic(perSecond) })
}

// badTraffic sends requests with a part that crashes servers.
func (s *sim) badTraffic(part string, interval time.Duration, first bool) {
	parts := []string{fmt.Sprint("kind", s.rng.IntN(3)), part}
	if first {
		parts = []string{part, fmt.Sprint("topic0-", s.rng.IntN(60))}
	}
	s.send(s.rng.IntN(len(s.tables)), s.request(parts...), false)
	s.after(time.Duration(s.rng.ExpFloat64()*float64(interval)), func() { s.badTraffic(part, interval, first) })
}

// repeated sends one request again and again.
func (s *sim) repeated(candidates []Candidate, interval time.Duration) {
	s.send(s.rng.IntN(len(s.tables)), candidates, false)
	s.after(time.Duration(s.rng.ExpFloat64()*float64(interval)), func() { s.repeated(candidates, interval) })
}

// repeatedRequests starts sound requests that are repeated, and up to two that crash servers.
func (s *sim) repeatedRequests() {
	start := func(id string, after time.Duration) {
		candidates := []Candidate{RequestCandidate("", id)}
		if s.rng.IntN(2) == 0 {
			candidates = append(candidates, Candidates("m", []string{"kind0", fmt.Sprint("topic0-", s.rng.IntN(60))})...)
		}
		interval := time.Duration(40+s.rng.IntN(4000)) * time.Millisecond
		s.after(after, func() { s.repeated(candidates, interval) })
	}
	for i := range s.rng.IntN(6) {
		start(fmt.Sprint("polled", i), 0)
	}
	for i := range s.rng.IntN(3) {
		id := fmt.Sprint("bad-request", i)
		s.bad[id] = true
		start(id, time.Duration(2000+s.rng.IntN(6000))*time.Millisecond)
	}
}

// outages crashes all servers of a zone at the same time, or single ones.
func (s *sim) outages(single bool) {
	zone, one := s.rng.IntN(3), s.servers[s.rng.IntN(len(s.servers))]
	for _, srv := range s.servers {
		if single && srv == one || !single && srv.zone == zone {
			s.crash(srv)
		}
	}
	s.after(time.Duration(400+s.rng.IntN(6000))*time.Millisecond, func() { s.outages(single) })
}

// resets breaks off single answers of servers that go on.
func (s *sim) resets() {
	srv := s.servers[s.rng.IntN(len(s.servers))]
	if n := len(srv.runs); n > 0 {
		s.breakOff(srv, srv.runs[s.rng.IntN(n)])
	}
	s.after(time.Duration(s.rng.IntN(120))*time.Millisecond, s.resets)
}

// play starts the traffic and troubles of a seed.
func (s *sim) play() {
	for i := range s.tables {
		s.after(time.Duration(i)*time.Millisecond, func() { s.decide(i) })
	}
	perSecond := float64(len(s.servers)) * (2 + 7*s.rng.Float64())
	s.after(0, func() { s.traffic(perSecond) })
	troubles := s.rng.IntN(16)
	if troubles&1 != 0 {
		s.after(3*time.Second, s.resets)
	}
	if troubles&2 != 0 {
		s.after(4*time.Second, func() { s.outages(true) })
	}
	if troubles&4 != 0 {
		s.after(5*time.Second, func() { s.outages(false) })
	}
	for i := range s.rng.IntN(3) {
		part := fmt.Sprint("bad", i)
		s.bad[part] = true
		interval := time.Duration(40+s.rng.IntN(2000)) * time.Millisecond
		first := s.rng.IntN(3) == 0
		s.after(time.Duration(2000+s.rng.IntN(6000))*time.Millisecond, func() { s.badTraffic(part, interval, first) })
	}
	s.repeatedRequests()
	s.run()
}

// evidence returns the number of crashes after which something is suspected: the platform's
// bounds for a part of a prompt and for a repeated request.
func evidence(id string) int {
	if strings.HasPrefix(id, "bad-request") {
		return 3
	}
	return 5
}

// requireBudget requires that parts and requests that crash servers are refused in time.
func (s *sim) requireBudget() {
	s.t.Helper()
	for part, crashes := range s.crashes {
		n := evidence(part)
		if len(crashes) < n {
			continue
		}
		late := 0
		for _, at := range s.badSent[part] {
			if at > crashes[n-1]+simContact {
				late++
			}
		}
		if late > 3 {
			s.t.Errorf("%d requests with %s were sent later than %v after crash %d, want at most 3", late, part, simContact, n)
		}
	}
}

func seedsOfSimulation() uint64 {
	if n, err := strconv.ParseUint(os.Getenv(simSeedsVariable), 10, 64); err == nil {
		return n
	}
	return simSeeds
}

func TestOnlyPartsAndRequestsThatCrashServersAreSuspected(t *testing.T) {
	for seed := range seedsOfSimulation() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed)
			s.play()
			s.requireBudget()
			for _, what := range s.suspected {
				t.Errorf("a sound part was suspected: %s", what)
			}
			t.Logf("%d entries, %d servers, crashes %d, %d by requests, sound requests refused %d of %d",
				len(s.tables), len(s.servers), len(s.crashes["bad0"])+len(s.crashes["bad1"]), len(s.crashes["bad-request0"])+len(s.crashes["bad-request1"]), s.soundRefused, s.sound)
		})
	}
}
