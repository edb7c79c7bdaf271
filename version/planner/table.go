package planner

import (
	"slices"
	"time"
)

// Request asks for one chunk of a neighbor, or of a source where From is empty.
type Request struct {
	Chunk int
	// From is the neighbor's name.
	From string
	// Far is set when From is in another region.
	Far bool
	// Source is the index of the source where From is empty.
	Source int
}

// FromSource reports whether the request goes to a source.
func (r Request) FromSource() bool { return r.From == "" }

// entering reports whether the request brings a chunk into the region.
func (r Request) entering() bool { return r.Far || r.From == "" }

// Outcome tells how a request ended.
type Outcome int

// Outcomes of a request.
const (
	// Received means that the chunk is whole, verified and held.
	Received Outcome = iota
	// Corrupt means that what arrived failed its digest or size.
	Corrupt
	// Failed means an error, a lost link or a timeout.
	Failed
	// Missing means that the neighbor does not hold the chunk.
	Missing
	// Busy means that the neighbor serves too many others for now.
	Busy
	// Canceled means that the driver gave the request up for its own reasons.
	Canceled
)

// SourceState is a source as the table sees it.
type SourceState struct {
	// BytesPerSecond is its rate, zero for unlimited.
	BytesPerSecond int64
	// Origin is set for the origin, whose bytes are counted.
	Origin bool
	// Near is set for a source in the agent's own region.
	Near bool
}

type source struct {
	SourceState
	until    time.Duration
	failures int
	inFlight int
}

// neighbor is what is known of another agent.
type neighbor struct {
	// index is the place in Table.neighbors.
	index   int
	name    string
	zone    string
	region  string
	far     bool
	fetcher bool
	have    Bits
	// claims are the chunks that it is bringing into its region.
	claims Bits
	// heard is the time of its last message, progress of its last new chunk.
	heard    time.Duration
	progress time.Duration
	demoted  time.Duration
	busy     time.Duration
	failures int
	inFlight int
}

type flight struct {
	Request
	since time.Duration
}

// Table is what one agent knows of one transfer.
type Table struct {
	set    Settings
	self   Node
	chunks int

	have Bits
	// need holds the chunks that are neither held nor asked for.
	need      Bits
	arr       *Arrangement
	ways      Ways
	fetcher   bool
	neighbors []*neighbor
	byName    map[string]*neighbor
	sources   []source
	flights   []flight
	// rank is self's place in the order of its region's fetchers.
	rank int
	// received is when self last got a chunk.
	received time.Duration
	// settled is when the fetchers of the region last changed.
	settled time.Duration
	// entered is when self's last request that brought in a chunk ended.
	entered time.Duration
	// counts holds, for each chunk, how many near neighbors hold it; pending
	// how many requests for it are in flight.
	counts  []int
	pending []int
	// farSince is when another region was first known to hold each chunk.
	farSince []time.Duration
	// ties orders equally rare chunks, differently on each agent.
	ties []uint64
	// owners holds the order of the owners of each chunk, homes that of the
	// regions where the chunk is relayed; both only on a fetcher.
	owners [][]string
	homes  [][]string
}

// NewTable returns the table of a transfer of n chunks.
func NewTable(self Node, n int, set Settings) *Table {
	t := &Table{
		set:      set,
		self:     self,
		chunks:   n,
		have:     NewBits(n),
		byName:   make(map[string]*neighbor),
		counts:   make([]int, n),
		pending:  make([]int, n),
		farSince: make([]time.Duration, n),
		ties:     make([]uint64, n),
	}
	t.need = NewBits(n)
	for c := range n {
		t.need.Set(c)
		t.ties[c] = hash(0, "tie", c, self.Name) >> 32
	}
	return t
}

// SetSources replaces the sources. Requests in flight keep their index.
func (t *Table) SetSources(states []SourceState) {
	next := make([]source, len(states))
	for i, state := range states {
		next[i].SourceState = state
		if i < len(t.sources) {
			next[i].until = t.sources[i].until
			next[i].failures = t.sources[i].failures
		}
	}
	t.sources = next
	t.recountFlights()
}

// SetArrangement replaces the neighbors, keeping what is known of those that
// stay. Nodes gives zone and region of every agent.
func (t *Table) SetArrangement(arr *Arrangement, ways Ways, nodes func(name string) Node, now time.Duration) {
	if t.arr == nil || !slices.Equal(t.arr.Fetchers(t.self.Region), arr.Fetchers(t.self.Region)) {
		t.settled = now
	}
	if t.arr == nil {
		t.received = now
	}
	t.arr = arr
	t.rank = arr.rankOf(t.self)
	t.ways = ways
	t.fetcher = slices.Contains(arr.Fetchers(t.self.Region), t.self.Name)
	old := t.byName
	t.byName = make(map[string]*neighbor)
	t.neighbors = nil
	for _, name := range arr.Neighbors(t.self) {
		t.adopt(old[name], nodes(name), now)
	}
	far := arr.FarNeighbors(t.self)
	for _, region := range arr.names {
		for _, name := range far[region] {
			t.adopt(old[name], nodes(name), now)
		}
	}
	t.recount()
	t.recountFlights()
	t.owners, t.homes = nil, nil
	if t.fetcher {
		t.rankChunks()
	}
}

func (t *Table) adopt(n *neighbor, node Node, now time.Duration) {
	if n == nil {
		n = &neighbor{name: node.Name, have: NewBits(t.chunks), claims: NewBits(t.chunks), heard: now, progress: now}
	}
	n.zone, n.region = node.Zone, node.Region
	n.far = node.Region != t.self.Region
	n.fetcher = slices.Contains(t.arr.Fetchers(node.Region), node.Name)
	n.index = len(t.neighbors)
	t.neighbors = append(t.neighbors, n)
	t.byName[n.name] = n
}

func (t *Table) recount() {
	clear(t.counts)
	for _, n := range t.neighbors {
		if !n.far {
			n.have.each(func(i int) { t.counts[i]++ })
		}
	}
}

// recountFlights counts the requests in flight anew: an agent may have ceased
// to be a neighbor and become one again meanwhile.
func (t *Table) recountFlights() {
	for _, n := range t.neighbors {
		n.inFlight = 0
	}
	for i := range t.sources {
		t.sources[i].inFlight = 0
	}
	for _, f := range t.flights {
		t.countFlight(f.Request, 1)
	}
}

func (t *Table) rankChunks() {
	t.owners = make([][]string, t.chunks)
	t.homes = make([][]string, t.chunks)
	for c := range t.chunks {
		t.owners[c] = t.arr.Owners(t.self.Region, c)
		if t.arr.Relayed(c, t.ways.Share) {
			t.homes[c] = t.arr.Homes(c)
		}
	}
}

// Hold notes that the agent holds a chunk, whole and verified.
func (t *Table) Hold(chunk int) {
	t.have.Set(chunk)
	t.need.Clear(chunk)
}

// Drop notes that a chunk was found bad and is no longer held.
func (t *Table) Drop(chunk int) {
	t.have.Clear(chunk)
	t.wantAgain(chunk)
}

func (t *Table) wantAgain(chunk int) {
	if !t.have.Has(chunk) && t.pending[chunk] == 0 {
		t.need.Set(chunk)
	}
}

// Have returns the chunks that are held. The caller must not change it.
func (t *Table) Have() Bits { return t.have }

// Complete reports whether every chunk is held.
func (t *Table) Complete() bool { return t.have.Count() == t.chunks }

// Claims returns the chunks that the agent is bringing into its region.
func (t *Table) Claims() Bits {
	b := NewBits(t.chunks)
	for _, f := range t.flights {
		if f.entering() {
			b.Set(f.Chunk)
		}
	}
	return b
}

// Neighbors returns the names of all neighbors, near and far.
func (t *Table) Neighbors() []string {
	names := make([]string, len(t.neighbors))
	for i, n := range t.neighbors {
		names[i] = n.name
	}
	return names
}

// Heard notes what a neighbor says that it holds and is bringing in. Others
// than neighbors are ignored. The caller must not change the sets afterwards.
func (t *Table) Heard(name string, have, claims Bits, now time.Duration) {
	n := t.byName[name]
	if n == nil {
		return
	}
	n.heard = now
	n.claims = claims
	for w := range n.have {
		gained, lost := have[w]&^n.have[w], n.have[w]&^have[w]
		if gained|lost == 0 {
			continue
		}
		n.progress = now
		if n.far {
			t.noteFar(w, gained, now)
			continue
		}
		t.count(w, gained, 1)
		t.count(w, lost, -1)
	}
	n.have = have
}

func (t *Table) noteFar(word int, set uint64, now time.Duration) {
	Bits{set}.each(func(i int) {
		if c := word*wordBits + i; t.farSince[c] == 0 {
			t.farSince[c] = now
		}
	})
}

func (t *Table) count(word int, set uint64, by int) {
	Bits{set}.each(func(i int) { t.counts[word*wordBits+i] += by })
}

// Alive notes that a neighbor answered without news.
func (t *Table) Alive(name string, now time.Duration) {
	if n := t.byName[name]; n != nil {
		n.heard = now
	}
}

// Started notes that a request was sent.
func (t *Table) Started(r Request, now time.Duration) {
	t.flights = append(t.flights, flight{r, now})
	t.pending[r.Chunk]++
	t.need.Clear(r.Chunk)
	t.countFlight(r, 1)
}

func (t *Table) countFlight(r Request, by int) {
	if r.FromSource() {
		if r.Source < len(t.sources) {
			t.sources[r.Source].inFlight += by
		}
		return
	}
	if n := t.byName[r.From]; n != nil {
		n.inFlight += by
	}
}

// Ended notes the outcome of a request.
func (t *Table) Ended(r Request, out Outcome, now time.Duration) {
	i := slices.IndexFunc(t.flights, func(f flight) bool { return f.Request == r })
	if i < 0 {
		return
	}
	t.flights = slices.Delete(t.flights, i, i+1)
	t.pending[r.Chunk]--
	t.countFlight(r, -1)
	if r.entering() {
		t.entered = now
	}
	switch out {
	case Received:
		t.Hold(r.Chunk)
		t.received = now
		t.succeeded(r, now)
	case Corrupt, Failed:
		t.failed(r, now)
	case Missing:
		t.forget(r)
	case Busy:
		t.paused(r, now)
	case Canceled:
	}
	t.wantAgain(r.Chunk)
}

func (t *Table) succeeded(r Request, now time.Duration) {
	if r.FromSource() {
		t.sources[r.Source].failures = 0
		return
	}
	if n := t.byName[r.From]; n != nil {
		n.heard = now
		n.failures = 0
	}
}

func (t *Table) failed(r Request, now time.Duration) {
	if r.FromSource() {
		s := &t.sources[r.Source]
		s.failures++
		s.until = now + t.backoff(s.failures)
		return
	}
	if n := t.byName[r.From]; n != nil {
		n.failures++
		n.demoted = now + t.backoff(n.failures)
	}
}

func (t *Table) backoff(failures int) time.Duration {
	d := t.set.Demotion
	for range failures - 1 {
		d = min(2*d, t.set.MaxDemotion)
	}
	return d
}

func (t *Table) forget(r Request) {
	n := t.byName[r.From]
	if n == nil || !n.have.Has(r.Chunk) {
		return
	}
	n.have = n.have.Clone()
	n.have.Clear(r.Chunk)
	if !n.far {
		t.counts[r.Chunk]--
	}
}

func (t *Table) paused(r Request, now time.Duration) {
	if n := t.byName[r.From]; n != nil {
		n.heard = now
		n.busy = now + t.set.BusyPause
	}
}

// Needless returns the requests in flight for chunks that are held. The driver
// should cancel them.
func (t *Table) Needless() []Request {
	var out []Request
	for _, f := range t.flights {
		if t.have.Has(f.Chunk) {
			out = append(out, f.Request)
		}
	}
	return out
}

// Throttled notes that a source asked to be left alone until a time.
func (t *Table) Throttled(r Request, until time.Duration) {
	if r.Source < len(t.sources) {
		s := &t.sources[r.Source]
		s.until = max(s.until, until)
	}
}
