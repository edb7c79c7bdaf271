package pieces

import (
	"container/heap"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/version/planner"
)

// Piece size and link rates of the platform's smaller deployments. Rates are in
// bytes per second.
const (
	simPieceBytes = 32768
	simAgentRate  = 0.9 * 7.6e6 / 8
	simOriginRate = 9.9e6 / 8
	// simSlowOriginRate is the origin's rate in the larger deployments.
	simSlowOriginRate   = 5.94e6 / 8
	simLatency          = time.Millisecond
	simFirstByteTimeout = firstByteTimeout
	// simTimeBound is the platform's time limit for a version minus the final time
	// span in which entries no longer use old weights.
	simTimeBound = 6 * time.Second
)

// fleetSim simulates a transfer with the schedules of all agents over virtual
// links. An agent sends one piece at a time; the downloads from the origin share
// its link.
type fleetSim struct {
	now    time.Duration
	events eventHeap
	agents map[string]*agentSim
	// downloads are those in progress from the origin, as of originUpdated;
	// originGeneration is incremented on each change. The origin rejects requests
	// between downFrom and downUntil.
	downloads           []*download
	originUpdated       time.Duration
	originGeneration    int
	originRate          float64
	downFrom, downUntil time.Duration
	originSent          int
}

type agentSim struct {
	name         string
	fleet        *fleetSim
	plan         *Plan
	schedule     *schedule
	store        *versionPieces
	peerPieces   map[string]planner.Bits
	avoidedUntil map[string]time.Duration
	sendTimes    transferTimes
	// rate is the rate of the agent's link; slowLinkFreeAt is when the pieces
	// that are being sent to it over a slow link will have arrived.
	rate           float64
	slowLinkFreeAt time.Duration
	// frozenAt is when the agent stops sending requests and answers.
	frozenAt    time.Duration
	waiting     []*simulatedUpload
	sending     bool
	completedAt time.Duration
}

type simulatedUpload struct {
	uploadRequest
	from    *agentSim
	respond func(piece int)
	done    bool
}

type event struct {
	at  time.Duration
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const never = time.Hour

func newFleetSim(perRegion map[string]int) *fleetSim {
	return newFleetSimWithRate(perRegion, simOriginRate)
}

func newFleetSimWithRate(perRegion map[string]int, originRate float64) *fleetSim {
	f := &fleetSim{agents: map[string]*agentSim{}, downFrom: never, downUntil: never, originRate: originRate}
	nodes := testNodes(perRegion)
	for _, n := range nodes {
		originTime := pieceCount * (sendTime(originRate) - simLatency)
		plan := NewPlan(n, nodes, "a", Key{"m", 2}, nil, originTime, pieceCount)
		f.agents[n.Name] = &agentSim{
			name: n.Name, fleet: f, plan: plan, schedule: newSchedule(pieceCount, plan.originRequestLimit(0)), frozenAt: never, rate: simAgentRate,
			store:      &versionPieces{pieces: make([][]byte, pieceCount), sendCounts: make([]int, pieceCount)},
			peerPieces: map[string]planner.Bits{}, sendTimes: transferTimes{}, avoidedUntil: map[string]time.Duration{},
		}
	}
	return f
}

func (f *fleetSim) after(d time.Duration, run func()) { heap.Push(&f.events, event{f.now + d, run}) }

// run processes events until none is left or the limit has passed. It returns
// when the last agent that is not frozen completed the version, or the limit.
func (f *fleetSim) run(limit time.Duration) time.Duration {
	for _, name := range slices.Sorted(maps.Keys(f.agents)) {
		a := f.agents[name]
		f.after(0, a.tick)
	}
	for len(f.events) > 0 && f.now < limit {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	last := time.Duration(0)
	for _, a := range f.agents {
		switch {
		case a.frozenAt < never:
		case a.completedAt == 0:
			return limit
		default:
			last = max(last, a.completedAt)
		}
	}
	return last
}

func (a *agentSim) missing() []int {
	var list []int
	for i, p := range a.store.pieces {
		if p == nil {
			list = append(list, i)
		}
	}
	return list
}

// tick sends requests every retryDelay until the agent is complete or frozen.
func (a *agentSim) tick() {
	if a.completedAt == 0 && a.fleet.now < a.frozenAt {
		a.sendRequests()
		a.fleet.after(retryDelay, a.tick)
	}
}

func (a *agentSim) sendRequests() {
	peers := PeerState{
		Failed: func(name string) bool { return a.fleet.now < a.avoidedUntil[name] },
		Holds:  func(name string, piece int) bool { return a.peerPieces[name].Has(piece) },
	}
	for a.fleet.now < a.frozenAt {
		req := a.schedule.nextRequest(a.fleet.now, a.plan, a.missing(), peers)
		if req == nil {
			return
		}
		if req.From == Origin {
			a.fleet.after(simLatency, func() { a.fleet.requestOrigin(a, req) })
			continue
		}
		a.fleet.after(simLatency, func() { a.fleet.agents[req.From].handleRequest(req, a) })
	}
}

// handleRequest processes a request of another agent.
func (a *agentSim) handleRequest(req *Request, from *agentSim) {
	f := a.fleet
	r := &simulatedUpload{from: from, uploadRequest: uploadRequest{wanted: req.Pieces, far: req.Far, slow: a.sendTimes.slowAgents()[from.name]}}
	respond := func(piece int) {
		if r.done {
			return
		}
		r.done = true
		from.handleResponse(req, piece, a)
	}
	r.respond = respond
	f.after(simFirstByteTimeout, func() {
		if !r.done {
			from.avoidedUntil[a.name] = f.now + avoidDuration
		}
		respond(-1)
	})
	if f.now >= a.frozenAt {
		return
	}
	a.waiting = append(a.waiting, r)
	f.after(pieceWait, func() {
		if i := slices.Index(a.waiting, r); i >= 0 && f.now < a.frozenAt {
			a.waiting = slices.Delete(a.waiting, i, i+1)
			respond(-1)
		}
	})
	a.dispatch()
}

func (a *agentSim) dispatch() {
	if a.sending || a.fleet.now >= a.frozenAt {
		return
	}
	requests := make([]*uploadRequest, len(a.waiting))
	for i, r := range a.waiting {
		requests[i] = &r.uploadRequest
	}
	i, piece := selectNext(requests, map[Key]*versionPieces{{}: a.store}, true)
	if i < 0 {
		return
	}
	r := a.waiting[i]
	a.store.sendCounts[piece]++
	a.sending = true
	a.waiting = slices.Delete(a.waiting, i, i+1)
	duration := sendTime(min(a.rate, r.from.rate))
	a.sendTimes[r.from.name] = duration
	a.fleet.after(duration, func() {
		a.sending = false
		if a.fleet.now < a.frozenAt {
			r.respond(piece)
			a.dispatch()
		}
	})
}

func sendTime(rate float64) time.Duration {
	return simLatency + time.Duration(simPieceBytes/rate*float64(time.Second))
}

func (a *agentSim) handleResponse(req *Request, piece int, from *agentSim) {
	transferTime := time.Duration(0)
	if from != nil {
		transferTime = sendTime(min(a.rate, from.rate))
	}
	a.schedule.requestDone(a.fleet.now, req, piece >= 0, transferTime)
	if from != nil && a.fleet.now < from.frozenAt {
		held := planner.NewBits(pieceCount)
		for i, p := range from.store.pieces {
			if p != nil {
				held.Set(i)
			}
		}
		a.peerPieces[from.name] = held
	}
	if piece >= 0 {
		a.store.pieces[piece] = []byte{1}
		if a.completedAt == 0 && len(a.missing()) == 0 {
			a.completedAt = a.fleet.now
		}
		a.dispatch()
	}
	a.sendRequests()
}

func (f *fleetSim) originIsDown() bool { return f.now >= f.downFrom && f.now < f.downUntil }

// download is a piece being sent by the origin. All downloads share its link
// equally.
type download struct {
	remaining time.Duration // at the full rate
	done      func()
}

func (f *fleetSim) requestOrigin(a *agentSim, req *Request) {
	if f.originIsDown() {
		a.handleResponse(req, -1, nil)
		return
	}
	done := func() {
		f.originSent++
		a.handleResponse(req, req.Pieces.First(), nil)
	}
	if a.rate < simAgentRate {
		// The download uses a small part of the origin's link and is not counted.
		a.slowLinkFreeAt = max(a.slowLinkFreeAt, f.now) + sendTime(a.rate)
		f.after(a.slowLinkFreeAt-f.now, done)
		return
	}
	f.advanceDownloads()
	f.downloads = append(f.downloads, &download{sendTime(f.originRate) - simLatency, done})
	f.scheduleNextDownload()
}

// advanceDownloads subtracts what was sent since the last change from all
// downloads.
func (f *fleetSim) advanceDownloads() {
	if n := len(f.downloads); n > 0 {
		for _, d := range f.downloads {
			d.remaining -= (f.now - f.originUpdated) / time.Duration(n)
		}
	}
	f.originUpdated = f.now
}

// scheduleNextDownload schedules the end of the download that completes next.
func (f *fleetSim) scheduleNextDownload() {
	f.originGeneration++
	generation := f.originGeneration
	if len(f.downloads) == 0 {
		return
	}
	next := slices.MinFunc(f.downloads, func(a, b *download) int { return int(a.remaining - b.remaining) })
	f.after(max(next.remaining, 0)*time.Duration(len(f.downloads)), func() {
		if generation != f.originGeneration {
			return
		}
		f.advanceDownloads()
		f.downloads = slices.DeleteFunc(f.downloads, func(d *download) bool { return d == next })
		next.done()
		f.scheduleNextDownload()
	})
}

func TestTransferTimeIsNearTheLinkBound(t *testing.T) {
	for _, c := range []struct {
		regions map[string]int
		rate    float64
	}{
		{map[string]int{"a": 8, "b": 6, "c": 5}, simOriginRate},
		{map[string]int{"a": 14, "b": 13, "c": 13}, simSlowOriginRate},
		{map[string]int{"a": 23, "b": 23, "c": 22}, simSlowOriginRate},
		{map[string]int{"a": 15, "b": 15, "c": 14, "d": 14}, simSlowOriginRate},
	} {
		regions := c.regions
		f := newFleetSimWithRate(regions, c.rate)
		took := f.run(20 * time.Second)
		// An agent of the origin's region sends its part of the pieces to all others
		// in the region and once to each other region.
		n := regions["a"]
		sends := float64(pieceCount*(n-1+len(regions)-1)) / float64(n)
		bound := time.Duration(sends * simPieceBytes / simAgentRate * float64(time.Second))
		// The last piece is sent to as many agents after it has left the origin.
		last := sends / pieceCount * float64(n) * simPieceBytes / simAgentRate
		bound = max(bound, pieceCount*(sendTime(c.rate)-simLatency)+time.Duration(last*float64(time.Second)))
		t.Logf("%v: took %v, link bound %v, the origin sent %d pieces", regions, took, bound, f.originSent)
		if took > bound*12/10 {
			t.Errorf("%v: the transfer took %v, the link bound is %v", regions, took, bound)
		}
		if f.originSent != pieceCount {
			t.Errorf("%v: the origin sent %d pieces of %d", regions, f.originSent, pieceCount)
		}
	}
}

func TestPiecesOfFrozenAgentLeaveOriginInTime(t *testing.T) {
	for _, name := range []string{"a0", "a3", "b1"} {
		f := newFleetSim(map[string]int{"a": 8, "b": 6, "c": 5})
		f.agents[name].frozenAt = 650 * time.Millisecond
		f.downFrom = 2250 * time.Millisecond
		if took := f.run(20 * time.Second); took > 5*time.Second {
			t.Errorf("with %s frozen the transfer took %v", name, took)
		}
	}
}

func TestRecoveredOriginIsNotOverloaded(t *testing.T) {
	f := newFleetSim(map[string]int{"a": 9, "b": 9, "c": 9})
	f.downFrom, f.downUntil = 300*time.Millisecond, 6300*time.Millisecond
	took := f.run(20*time.Second) - f.downUntil
	t.Logf("%v after the origin came back; it sent %d pieces", took, f.originSent)
	if took > 4500*time.Millisecond {
		t.Errorf("the transfer took %v once the origin was back", took)
	}
	if f.originSent > pieceCount*5/4 {
		t.Errorf("the origin sent %d pieces of %d", f.originSent, pieceCount)
	}
}

func TestSlowLinkDoesNotDelayOtherAgents(t *testing.T) {
	f := newFleetSim(map[string]int{"a": 5, "b": 3, "c": 3})
	slow := []string{"a0", "a2"}
	for _, name := range slow {
		f.agents[name].rate = 1e6 / 8
	}
	f.run(30 * time.Second)
	for name, a := range f.agents {
		if !slices.Contains(slow, name) && (a.completedAt == 0 || a.completedAt > simTimeBound) {
			t.Errorf("%s completed the version after %v", name, a.completedAt)
		}
	}
	t.Logf("the origin sent %d pieces", f.originSent)
	// Agents behind slow links ask the origin for pieces that they can't get in
	// time from other agents.
	if f.originSent > 5*pieceCount/2 {
		t.Errorf("the origin sent %d pieces of %d", f.originSent, pieceCount)
	}
}
