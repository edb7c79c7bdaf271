package planner

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Node is an agent that takes part in a transfer.
type Node struct {
	Name   string
	Zone   string
	Region string
}

// Arrangement says which agents fetch into their region and which exchange
// chunks with each other. It depends on the nodes, the version and the
// settings alone, so agents with equal views agree on it. It is immutable.
type Arrangement struct {
	set     Settings
	seed    uint64
	regions map[string]*region
	names   []string // regions, sorted
}

type region struct {
	fetchers []string
	// ranks holds every agent's place in the order of fetchers.
	ranks map[string]int
	rings []ring
}

// ring is a cyclic order; each node is a neighbor of the one before and after.
type ring struct {
	order []string
	index map[string]int
}

// Arrange computes the arrangement of the nodes for a version.
func Arrange(nodes []Node, version manifest.Digest, set Settings) *Arrangement {
	a := &Arrangement{
		set:     set,
		seed:    binary.LittleEndian.Uint64(version[:8]),
		regions: make(map[string]*region),
	}
	byRegion := make(map[string][]Node)
	for _, n := range nodes {
		byRegion[n.Region] = append(byRegion[n.Region], n)
	}
	for name, members := range byRegion {
		a.regions[name] = a.arrangeRegion(members)
		a.names = append(a.names, name)
	}
	slices.Sort(a.names)
	return a
}

func (a *Arrangement) arrangeRegion(members []Node) *region {
	r := &region{ranks: make(map[string]int, len(members))}
	byHash := a.ranked(members, "fetchers")
	for i, name := range byHash {
		r.ranks[name] = i
	}
	r.fetchers = byHash[:min(a.set.Fetchers, len(byHash))]
	zones := make(map[string][]Node)
	for _, n := range members {
		zones[n.Zone] = append(zones[n.Zone], n)
	}
	for i := range a.set.RegionRings {
		r.rings = append(r.rings, newRing(a.ranked(members, "region"+string(rune('a'+i)))))
	}
	for i := range a.set.ZoneRings {
		for _, zone := range zones {
			r.rings = append(r.rings, newRing(a.ranked(zone, "zone"+string(rune('a'+i)))))
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

// around returns the nodes before and after name, if it is on the ring.
func (r ring) around(name string) []string {
	i, ok := r.index[name]
	if !ok || len(r.order) < 2 {
		return nil
	}
	n := len(r.order)
	return []string{r.order[(i+1)%n], r.order[(i+n-1)%n]}
}

// ranked orders the nodes by rendezvous hash under a salt.
func (a *Arrangement) ranked(nodes []Node, salt string) []string {
	names := make([]string, len(nodes))
	for i, n := range nodes {
		names[i] = n.Name
	}
	return a.rank(names, salt, 0)
}

func (a *Arrangement) rank(names []string, salt string, number int) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, name := range names {
		all[i] = scored{name, hash(a.seed, salt, number, name)}
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

func hash(seed uint64, salt string, number int, name string) uint64 {
	buf := make([]byte, 0, 64)
	buf = binary.LittleEndian.AppendUint64(buf, seed)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(number))
	buf = append(buf, salt...)
	buf = append(buf, 0)
	buf = append(buf, name...)
	return xxhash.Sum64(buf)
}

// Fetchers returns the agents of a region that may fetch into it.
func (a *Arrangement) Fetchers(name string) []string {
	r := a.regions[name]
	if r == nil {
		return nil
	}
	return r.fetchers
}

// rankOf returns an agent's place in the order of its region's fetchers.
func (a *Arrangement) rankOf(n Node) int {
	r := a.regions[n.Region]
	if r == nil {
		return 0
	}
	return r.ranks[n.Name]
}

// Owners returns a region's fetchers in the order in which they are in charge
// of a chunk.
func (a *Arrangement) Owners(name string, chunk int) []string {
	return a.rank(a.Fetchers(name), "owner", chunk)
}

// Homes returns the regions in the order in which they are in charge of
// taking a relayed chunk from a source.
func (a *Arrangement) Homes(chunk int) []string {
	return a.rank(a.names, "home", chunk)
}

// Relayed reports whether a chunk leaves the sources once, given the share of
// chunks that do.
func (a *Arrangement) Relayed(chunk int, share float64) bool {
	const unit = 1 << 53
	return float64(hash(a.seed, "relay", chunk, "")%unit)/unit < share
}

// Neighbors returns the agents that self exchanges chunks with inside its
// region. A fetcher also has the other fetchers of its region.
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
		add(ring.around(self.Name)...)
	}
	if slices.Contains(r.fetchers, self.Name) {
		add(r.fetchers...)
	}
	return out
}

// FarNeighbors returns the fetchers of all other regions by region if self is
// a fetcher, else nothing.
func (a *Arrangement) FarNeighbors(self Node) map[string][]string {
	if !slices.Contains(a.Fetchers(self.Region), self.Name) {
		return nil
	}
	out := make(map[string][]string)
	for _, name := range a.names {
		if name != self.Region {
			out[name] = a.Fetchers(name)
		}
	}
	return out
}
