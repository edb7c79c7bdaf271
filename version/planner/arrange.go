package planner

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Node is an agent in a transfer.
type Node struct {
	Name   string
	Zone   string
	Region string
}

// Arrangement is the topology of a transfer: which agents are the fetchers of
// their region and which exchange chunks with each other. It depends on the
// nodes, the version and the settings only, so agents with equal views compute
// the same one. It is immutable.
type Arrangement struct {
	settings    Settings
	seed        uint64
	regions     map[string]*region
	regionNames []string // regions, sorted
}

type region struct {
	fetchers []string
	// ranks holds the position of every agent in the order of fetchers.
	ranks map[string]int
	rings []ring
}

// ring is a cyclic order of nodes; each node is a neighbor of the ones before
// and after it.
type ring struct {
	order []string
	index map[string]int
}

// Arrange computes the arrangement of the nodes for a version.
func Arrange(nodes []Node, version manifest.Digest, settings Settings) *Arrangement {
	a := &Arrangement{
		settings: settings,
		seed:     binary.LittleEndian.Uint64(version[:8]),
		regions:  make(map[string]*region),
	}
	byRegion := make(map[string][]Node)
	for _, n := range nodes {
		byRegion[n.Region] = append(byRegion[n.Region], n)
	}
	for name, members := range byRegion {
		a.regions[name] = a.arrangeRegion(members)
		a.regionNames = append(a.regionNames, name)
	}
	slices.Sort(a.regionNames)
	return a
}

func (a *Arrangement) arrangeRegion(members []Node) *region {
	r := &region{ranks: make(map[string]int, len(members))}
	byHash := a.rankNodes(members, "fetchers")
	for i, name := range byHash {
		r.ranks[name] = i
	}
	r.fetchers = byHash[:min(a.settings.Fetchers, len(byHash))]
	zones := make(map[string][]Node)
	for _, n := range members {
		zones[n.Zone] = append(zones[n.Zone], n)
	}
	for i := range a.settings.RegionRings {
		r.rings = append(r.rings, newRing(a.rankNodes(members, "region"+string(rune('a'+i)))))
	}
	for i := range a.settings.ZoneRings {
		for _, zone := range zones {
			r.rings = append(r.rings, newRing(a.rankNodes(zone, "zone"+string(rune('a'+i)))))
		}
	}
	return r
}

func newRing(order []string) ring {
	r := ring{order: order, index: make(map[string]int, len(order))}
	for i, name := range order {
		r.index[name] = i
	}
	return r
}

// adjacent returns the nodes after and before name, or nil if name is not on
// the ring or alone on it.
func (r ring) adjacent(name string) []string {
	i, ok := r.index[name]
	if !ok || len(r.order) < 2 {
		return nil
	}
	n := len(r.order)
	return []string{r.order[(i+1)%n], r.order[(i+n-1)%n]}
}

// rankNodes returns the names of the nodes ordered by rendezvous hash.
func (a *Arrangement) rankNodes(nodes []Node, salt string) []string {
	names := make([]string, len(nodes))
	for i, n := range nodes {
		names[i] = n.Name
	}
	return a.rankNames(names, salt, 0)
}

func (a *Arrangement) rankNames(names []string, salt string, index int) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, name := range names {
		all[i] = scored{name, hash(a.seed, salt, index, name)}
	}
	slices.SortFunc(all, func(x, y scored) int {
		return cmp.Or(cmp.Compare(x.score, y.score), cmp.Compare(x.name, y.name))
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.name
	}
	return out
}

func hash(seed uint64, salt string, index int, name string) uint64 {
	buf := make([]byte, 0, 64)
	buf = binary.LittleEndian.AppendUint64(buf, seed)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(index))
	buf = append(buf, salt...)
	buf = append(buf, 0)
	buf = append(buf, name...)
	return xxhash.Sum64(buf)
}

// Fetchers returns the fetchers of a region.
func (a *Arrangement) Fetchers(name string) []string {
	r := a.regions[name]
	if r == nil {
		return nil
	}
	return r.fetchers
}

// fetcherRank returns an agent's position in its region's order of fetchers.
func (a *Arrangement) fetcherRank(n Node) int {
	r := a.regions[n.Region]
	if r == nil {
		return 0
	}
	return r.ranks[n.Name]
}

// Owners returns a region's fetchers in the order of their responsibility for
// a chunk.
func (a *Arrangement) Owners(name string, chunk int) []string {
	return a.rankNames(a.Fetchers(name), "owner", chunk)
}

// HomeRegions returns the regions in the order of their responsibility for
// fetching a relayed chunk from a source.
func (a *Arrangement) HomeRegions(chunk int) []string {
	return a.rankNames(a.regionNames, "home", chunk)
}

// IsRelayed reports whether a chunk leaves the sources only once and is relayed
// between regions, given the share of chunks that are.
func (a *Arrangement) IsRelayed(chunk int, share float64) bool {
	const unit = 1 << 53
	return float64(hash(a.seed, "relay", chunk, "")%unit)/unit < share
}

// Neighbors returns the agents that self exchanges chunks with inside its
// region. The neighbors of a fetcher include the region's other fetchers.
func (a *Arrangement) Neighbors(self Node) []string {
	r := a.regions[self.Region]
	if r == nil {
		return nil
	}
	var out []string
	add := func(names ...string) {
		for _, name := range names {
			if name != self.Name && !slices.Contains(out, name) {
				out = append(out, name)
			}
		}
	}
	for _, ring := range r.rings {
		add(ring.adjacent(self.Name)...)
	}
	if slices.Contains(r.fetchers, self.Name) {
		add(r.fetchers...)
	}
	return out
}

// FarNeighbors returns the fetchers of all other regions, by region, if self
// is a fetcher, and nil otherwise.
func (a *Arrangement) FarNeighbors(self Node) map[string][]string {
	if !slices.Contains(a.Fetchers(self.Region), self.Name) {
		return nil
	}
	out := make(map[string][]string)
	for _, name := range a.regionNames {
		if name != self.Region {
			out[name] = a.Fetchers(name)
		}
	}
	return out
}
