package planner

import (
	"slices"
	"time"
)

// Request asks a neighbor for one chunk, or a source if From is empty.
type Request struct {
	Chunk int
	// From is the neighbor's name.
	From string
	// Far is set when From is in another region.
	Far bool
	// Source is the index of the source if From is empty.
	Source int
}

// FromSource reports whether the request goes to a source.
func (r Request) FromSource() bool { return r.From == "" }

// isIngest reports whether the request brings a chunk into the region.
func (r Request) isIngest() bool { return r.Far || r.From == "" }

// Outcome is the result of a request.
type Outcome int

// Outcomes of a request.
const (
	// Received means that the chunk is complete, verified and stored.
	Received Outcome = iota
	// Corrupt means that the received data doesn't match the digest or size.
	Corrupt
	// Failed means an error, a lost link or a timeout.
	Failed
	// Missing means that the neighbor does not hold the chunk.
	Missing
	// Busy means that the neighbor is serving too many requests.
	Busy
	// Canceled means that the driver gave up the request; this is not counted
	// as a failure of the sender.
	Canceled
)

// SourceState describes a source.
type SourceState struct {
	// BytesPerSecond is the rate of the source; zero means unlimited.
	BytesPerSecond int64
	// Origin is set for the origin; the bytes read from it are counted.
	Origin bool
	// Near is set for a source in the agent's own region.
	Near bool
}

type source struct {
	SourceState
	notBefore time.Duration
	failures  int
	inFlight  int
}

// neighbor is the known state of another agent.
type neighbor struct {
	// index is the position in Table.neighbors.
	index   int
	name    string
	zone    string
	region  string
	far     bool
	fetcher bool
	have    Bits
	// claims are the chunks that it is ingesting into its region.
	claims Bits
	// lastHeard is the time of its last message, lastProgress that of its last
	// new chunk.
	lastHeard    time.Duration
	lastProgress time.Duration
	demotedUntil time.Duration
	busyUntil    time.Duration
	failures     int
	inFlight     int
}

type activeRequest struct {
	Request
	started time.Duration
}

// Table is the state of one agent in one transfer.
type Table struct {
	settings Settings
	self     Node
	chunks   int

	have Bits
	// unrequested holds the chunks that are neither held nor in flight.
	unrequested Bits
	arr         *Arrangement
	policy      IngestPolicy
	isFetcher   bool
	neighbors   []*neighbor
	byName      map[string]*neighbor
	sources     []source
	active      []activeRequest
	// fetcherRank is this agent's position in its region's order of fetchers.
	fetcherRank int
	// lastReceived is when this agent last received a chunk.
	lastReceived time.Duration
	// fetchersChanged is when the fetchers of the region last changed.
	fetchersChanged time.Duration
	// lastIngestEnd is when this agent's last ingest request ended.
	lastIngestEnd time.Duration
	// holderCounts holds, for each chunk, the number of neighbors in the region
	// that hold it; requestCounts the number of requests in flight.
	holderCounts  []int
	requestCounts []int
	// firstHeldFar holds, for each chunk, when another region was first known
	// to hold it.
	firstHeldFar []time.Duration
	// tieBreakers orders equally rare chunks, differently on each agent.
	tieBreakers []uint64
	// owners holds the ordered owners of each chunk, homes the ordered home
	// regions of each relayed chunk; both are set on fetchers only.
	owners [][]string
	homes  [][]string
}

// NewTable returns the table of a transfer of n chunks.
func NewTable(self Node, n int, settings Settings) *Table {
	t := &Table{
		settings:      settings,
		self:          self,
		chunks:        n,
		have:          NewBits(n),
		byName:        make(map[string]*neighbor),
		holderCounts:  make([]int, n),
		requestCounts: make([]int, n),
		firstHeldFar:  make([]time.Duration, n),
		tieBreakers:   make([]uint64, n),
	}
	t.unrequested = NewBits(n)
	for c := range n {
		t.unrequested.Set(c)
		t.tieBreakers[c] = hash(0, "tie", c, self.Name) >> 32
	}
	return t
}

// SetSources replaces the sources. Requests in flight keep their index.
func (t *Table) SetSources(states []SourceState) {
	next := make([]source, len(states))
	for i, state := range states {
		next[i].SourceState = state
		if i < len(t.sources) {
			next[i].notBefore = t.sources[i].notBefore
			next[i].failures = t.sources[i].failures
		}
	}
	t.sources = next
	t.recountRequests()
}

// SetArrangement replaces the neighbors and keeps the state of those that
// remain. lookup returns the node of an agent by its name.
func (t *Table) SetArrangement(arr *Arrangement, policy IngestPolicy, lookup func(name string) Node, now time.Duration) {
	if t.arr == nil || !slices.Equal(t.arr.Fetchers(t.self.Region), arr.Fetchers(t.self.Region)) {
		t.fetchersChanged = now
	}
	if t.arr == nil {
		t.lastReceived = now
	}
	t.arr = arr
	t.fetcherRank = arr.fetcherRank(t.self)
	t.policy = policy
	t.isFetcher = slices.Contains(arr.Fetchers(t.self.Region), t.self.Name)
	old := t.byName
	t.byName = make(map[string]*neighbor)
	t.neighbors = nil
	for _, name := range arr.Neighbors(t.self) {
		t.addNeighbor(old[name], lookup(name), now)
	}
	farNeighbors := arr.FarNeighbors(t.self)
	for _, region := range arr.regionNames {
		for _, name := range farNeighbors[region] {
			t.addNeighbor(old[name], lookup(name), now)
		}
	}
	t.recountHolders()
	t.recountRequests()
	t.owners, t.homes = nil, nil
	if t.isFetcher {
		t.assignOwners()
	}
}

func (t *Table) addNeighbor(n *neighbor, node Node, now time.Duration) {
	if n == nil {
		n = &neighbor{name: node.Name, have: NewBits(t.chunks), claims: NewBits(t.chunks), lastHeard: now, lastProgress: now}
	}
	n.zone, n.region = node.Zone, node.Region
	n.far = node.Region != t.self.Region
	n.fetcher = slices.Contains(t.arr.Fetchers(node.Region), node.Name)
	n.index = len(t.neighbors)
	t.neighbors = append(t.neighbors, n)
	t.byName[n.name] = n
}

func (t *Table) recountHolders() {
	clear(t.holderCounts)
	for _, n := range t.neighbors {
		if !n.far {
			n.have.each(func(i int) { t.holderCounts[i]++ })
		}
	}
}

// recountRequests recomputes the requests in flight per neighbor and source:
// an agent that was a neighbor before may have become one again.
func (t *Table) recountRequests() {
	for _, n := range t.neighbors {
		n.inFlight = 0
	}
	for i := range t.sources {
		t.sources[i].inFlight = 0
	}
	for _, f := range t.active {
		t.countRequest(f.Request, 1)
	}
}

func (t *Table) assignOwners() {
	t.owners = make([][]string, t.chunks)
	t.homes = make([][]string, t.chunks)
	for c := range t.chunks {
		t.owners[c] = t.arr.Owners(t.self.Region, c)
		if t.arr.IsRelayed(c, t.policy.RelayShare) {
			t.homes[c] = t.arr.HomeRegions(c)
		}
	}
}

// MarkHeld records that the agent holds a complete, verified chunk.
func (t *Table) MarkHeld(chunk int) {
	t.have.Set(chunk)
	t.unrequested.Clear(chunk)
}

// MarkMissing records that a chunk is not held, or is no longer held because it
// was found corrupt.
func (t *Table) MarkMissing(chunk int) {
	t.have.Clear(chunk)
	t.requeue(chunk)
}

func (t *Table) requeue(chunk int) {
	if !t.have.Has(chunk) && t.requestCounts[chunk] == 0 {
		t.unrequested.Set(chunk)
	}
}

// Have returns the chunks that are held. The caller must not modify it.
func (t *Table) Have() Bits { return t.have }

// Complete reports whether every chunk is held.
func (t *Table) Complete() bool { return t.have.Count() == t.chunks }

// Claims returns the chunks that the agent is ingesting into its region.
func (t *Table) Claims() Bits {
	b := NewBits(t.chunks)
	for _, f := range t.active {
		if f.isIngest() {
			b.Set(f.Chunk)
		}
	}
	return b
}

// Neighbors returns the names of all neighbors, those in other regions
// included.
func (t *Table) Neighbors() []string {
	names := make([]string, len(t.neighbors))
	for i, n := range t.neighbors {
		names[i] = n.name
	}
	return names
}

// UpdateNeighbor records the chunks that a neighbor reports as held and claimed.
// Names that aren't neighbors are ignored. The caller must not modify the sets
// afterwards.
func (t *Table) UpdateNeighbor(name string, have, claims Bits, now time.Duration) {
	n := t.byName[name]
	if n == nil {
		return
	}
	n.lastHeard = now
	n.claims = claims
	for w := range n.have {
		added, removed := have[w]&^n.have[w], n.have[w]&^have[w]
		if added|removed == 0 {
			continue
		}
		n.lastProgress = now
		if n.far {
			t.recordFarHeld(w, added, now)
			continue
		}
		t.addHolders(w, added, 1)
		t.addHolders(w, removed, -1)
	}
	n.have = have
}

func (t *Table) recordFarHeld(word int, set uint64, now time.Duration) {
	Bits{set}.each(func(i int) {
		if c := word*wordBits + i; t.firstHeldFar[c] == 0 {
			t.firstHeldFar[c] = now
		}
	})
}

func (t *Table) addHolders(word int, set uint64, delta int) {
	Bits{set}.each(func(i int) { t.holderCounts[word*wordBits+i] += delta })
}

// NeighborAlive records that a neighbor answered without changes.
func (t *Table) NeighborAlive(name string, now time.Duration) {
	if n := t.byName[name]; n != nil {
		n.lastHeard = now
	}
}

// RequestStarted records that a request was sent.
func (t *Table) RequestStarted(r Request, now time.Duration) {
	t.active = append(t.active, activeRequest{r, now})
	t.requestCounts[r.Chunk]++
	t.unrequested.Clear(r.Chunk)
	t.countRequest(r, 1)
}

// source returns the source of a request, or nil if it was dropped meanwhile.
func (t *Table) source(r Request) *source {
	if r.Source >= len(t.sources) {
		return nil
	}
	return &t.sources[r.Source]
}

func (t *Table) countRequest(r Request, delta int) {
	if r.FromSource() {
		if s := t.source(r); s != nil {
			s.inFlight += delta
		}
		return
	}
	if n := t.byName[r.From]; n != nil {
		n.inFlight += delta
	}
}

// RequestEnded records the outcome of a request. Requests that are not in flight
// are ignored.
func (t *Table) RequestEnded(r Request, out Outcome, now time.Duration) {
	i := slices.IndexFunc(t.active, func(f activeRequest) bool { return f.Request == r })
	if i < 0 {
		return
	}
	t.active = slices.Delete(t.active, i, i+1)
	t.requestCounts[r.Chunk]--
	t.countRequest(r, -1)
	if r.isIngest() {
		t.lastIngestEnd = now
	}
	switch out {
	case Received:
		t.MarkHeld(r.Chunk)
		t.lastReceived = now
		t.requestSucceeded(r, now)
	case Corrupt, Failed:
		t.requestFailed(r, now)
	case Missing:
		t.forgetHolder(r)
	case Busy:
		t.pauseNeighbor(r, now)
	case Canceled:
	}
	t.requeue(r.Chunk)
}

func (t *Table) requestSucceeded(r Request, now time.Duration) {
	if r.FromSource() {
		if s := t.source(r); s != nil {
			s.failures = 0
		}
		return
	}
	if n := t.byName[r.From]; n != nil {
		n.lastHeard = now
		n.failures = 0
	}
}

func (t *Table) requestFailed(r Request, now time.Duration) {
	if r.FromSource() {
		if s := t.source(r); s != nil {
			s.failures++
			s.notBefore = now + t.backoff(s.failures)
		}
		return
	}
	if n := t.byName[r.From]; n != nil {
		n.failures++
		n.demotedUntil = now + t.backoff(n.failures)
	}
}

func (t *Table) backoff(failures int) time.Duration {
	delay := t.settings.Demotion
	for range failures - 1 {
		delay = min(2*delay, t.settings.MaxDemotion)
	}
	return delay
}

func (t *Table) forgetHolder(r Request) {
	n := t.byName[r.From]
	if n == nil || !n.have.Has(r.Chunk) {
		return
	}
	n.have = n.have.Clone()
	n.have.Clear(r.Chunk)
	if !n.far {
		t.holderCounts[r.Chunk]--
	}
}

func (t *Table) pauseNeighbor(r Request, now time.Duration) {
	if n := t.byName[r.From]; n != nil {
		n.lastHeard = now
		n.busyUntil = now + t.settings.BusyPause
	}
}

// RedundantRequests returns the requests in flight for chunks that are already
// held. The driver should cancel them.
func (t *Table) RedundantRequests() []Request {
	var out []Request
	for _, f := range t.active {
		if t.have.Has(f.Chunk) {
			out = append(out, f.Request)
		}
	}
	return out
}

// SourceThrottled records that the source of a request must not be asked again
// before until.
func (t *Table) SourceThrottled(r Request, until time.Duration) {
	if s := t.source(r); s != nil {
		s.notBefore = max(s.notBefore, until)
	}
}
