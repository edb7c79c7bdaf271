package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

const (
	gopterSeed = 20261203
	runs       = 40
	maxSteps   = 40000
)

func check(t *testing.T, name string, property gopter.Prop) {
	t.Helper()
	params := gopter.DefaultTestParametersWithSeed(gopterSeed)
	params.MinSuccessfulTests = runs
	properties := gopter.NewProperties(params)
	properties.Property(name, property)
	properties.TestingRun(t)
}

// fleetGens yield a seed, the numbers of agents, regions and chunks and the
// relayed share in quarters.
func fleetGens() []gopter.Gen {
	return []gopter.Gen{gen.UInt64(), gen.IntRange(1, 14), gen.IntRange(1, 3), gen.IntRange(1, 70), gen.IntRange(0, 4)}
}

func TestEachChunkEntersARegionOnce(t *testing.T) {
	check(t, "without faults", prop.ForAll(func(seed uint64, agents, regions, chunks, quarters int) string {
		w := newWorld(seed, agents, regions, chunks, float64(quarters)/4)
		if !w.run(maxSteps) {
			return "not complete"
		}
		for region, counts := range w.entered {
			for c, n := range counts {
				if n != 1 {
					return fmt.Sprintf("chunk %d entered %s %d times", c, region, n)
				}
			}
		}
		for c, n := range w.left {
			if w.arr.Relayed(c, w.ways.Share) && n != 1 {
				return "a relayed chunk left the source more than once"
			}
		}
		return verdict(w)
	}, fleetGens()...))
}

func TestNothingEntersTwiceWhileOrdersSpread(t *testing.T) {
	check(t, "ramp", prop.ForAll(func(seed uint64, agents, regions, chunks, quarters int) string {
		w := newWorld(seed, 1, regions, chunks, float64(quarters)/4)
		for i := range agents {
			w.step()
			w.join(i+1, regions)
			w.arrange()
		}
		if !w.run(maxSteps) && w.broken == nil {
			return "not complete"
		}
		for region, counts := range w.entered {
			for c, n := range counts {
				if n > 1 {
					return fmt.Sprintf("chunk %d entered %s %d times", c, region, n)
				}
			}
		}
		return verdict(w)
	}, fleetGens()...))
}

func TestARegionWhoseFetchersTakeNoPartCompletes(t *testing.T) {
	check(t, "mute fetchers", prop.ForAll(func(seed uint64, agents, regions, chunks, quarters int) string {
		w := newWorld(seed, agents+6*regions, regions, chunks, float64(quarters)/4)
		w.set.OrphanAfter = 3 * time.Second
		for _, a := range w.agents {
			a.table.set = w.set
		}
		w.mute = make(map[string]bool)
		for _, name := range w.arr.Fetchers("r0") {
			w.mute[name] = true
		}
		if !w.run(maxSteps) && w.broken == nil {
			return "not complete"
		}
		return verdict(w)
	}, fleetGens()...))
}

func verdict(w *world) string {
	if w.broken != nil {
		return w.broken.Error()
	}
	return ""
}

func TestBoundsAndDemotionHoldUnderFaults(t *testing.T) {
	check(t, "under faults", prop.ForAll(func(seed uint64, agents, regions, chunks, quarters int) string {
		w := newWorld(seed, agents, regions, chunks, float64(quarters)/4)
		w.faulty = 0.3
		if !w.run(maxSteps) && w.broken == nil {
			return "not complete"
		}
		return verdict(w)
	}, fleetGens()...))
}

func TestEveryChurnScheduleCompletes(t *testing.T) {
	check(t, "under churn", prop.ForAll(func(seed uint64, agents, regions, chunks, quarters int) string {
		w := newWorld(seed, agents, regions, chunks, float64(quarters)/4)
		w.faulty = 0.1
		next := agents
		for range 30 {
			w.run(40)
			if len(w.names) > 1 && w.rnd.IntN(2) == 0 {
				w.leave(w.names[w.rnd.IntN(len(w.names))])
			} else {
				w.join(next, regions)
				next++
			}
			// Some changes reach the views late.
			if w.rnd.IntN(3) > 0 {
				w.arrange()
			}
		}
		w.arrange()
		if !w.run(maxSteps) && w.broken == nil {
			return "not complete"
		}
		return verdict(w)
	}, fleetGens()...))
}

func TestASilentFetchersChunksAreTakenOver(t *testing.T) {
	check(t, "silent fetchers", prop.ForAll(func(seed uint64, agents, regions, chunks, quarters int) string {
		w := newWorld(seed, agents+4, regions, chunks, float64(quarters)/4)
		w.run(10)
		// The views keep the dead: only their silence tells.
		for range min(3, len(w.names)-1) {
			w.leave(w.names[w.rnd.IntN(len(w.names))])
		}
		if !w.run(maxSteps) && w.broken == nil {
			return "not complete"
		}
		return verdict(w)
	}, fleetGens()...))
}

func TestNeighborsStayFewAndMutual(t *testing.T) {
	set := DefaultSettings()
	bound := 2*(set.RegionRings+set.ZoneRings) + set.Fetchers - 1
	for _, n := range []int{1, 2, 3, 50, 700} {
		var nodes []Node
		for i := range n {
			w := worldNode(i)
			nodes = append(nodes, w)
		}
		arr := Arrange(nodes, manifest.Sum([]byte("x")), set)
		sets := make(map[string]map[string]bool)
		for _, node := range nodes {
			sets[node.Name] = make(map[string]bool)
			for _, name := range arr.Neighbors(node) {
				sets[node.Name][name] = true
			}
			if len(sets[node.Name]) > bound {
				t.Errorf("n=%d: %s has %d neighbors", n, node.Name, len(sets[node.Name]))
			}
		}
		for a, others := range sets {
			for b := range others {
				if !sets[b][a] {
					t.Errorf("n=%d: %s watches %s but not the other way round", n, a, b)
				}
			}
		}
	}
}

func worldNode(i int) Node {
	w := &world{agents: map[string]*worldAgent{}, entered: map[string][]int{}, chunks: 1}
	w.join(i, 3)
	return w.agents[w.names[0]].node
}

func TestTheFastestWayFollowsTheLinks(t *testing.T) {
	const size = 1 << 30
	rate := int64(size / 600)
	thick := Links{Sources: 4 * rate, VM: 2 * rate, RegionPair: rate, Regions: 5}
	if e := Fastest(thick, size); e.Share != 1 || e.Duration > 301*time.Second {
		t.Errorf("thick pairs: %+v", e)
	}
	thin := thick
	thin.RegionPair = 1
	if e := Fastest(thin, size); e.Share != 0 || e.SourceBytes != 5*size {
		t.Errorf("thin pairs: %+v", e)
	}
	middle := thick
	middle.RegionPair = rate / 10
	if e := Fastest(middle, size); e.Share <= 0 || e.Share >= 1 || e.Duration >= 750*time.Second {
		t.Errorf("pairs between: %+v", e)
	}
	if e := FewestBytes(thin, size); e.Share != 1 || e.SourceBytes != size {
		t.Errorf("fewest bytes: %+v", e)
	}
}

func TestBitsSurviveTheirEncoding(t *testing.T) {
	b := NewBits(130)
	for _, i := range []int{0, 63, 64, 129} {
		b.Set(i)
	}
	got := BitsFrom(b.Bytes(), 130)
	for i := range 130 {
		if got.Has(i) != b.Has(i) {
			t.Errorf("index %d differs", i)
		}
	}
	if BitsFrom([]byte{0xff}, 3).Count() != 3 || BitsFrom(nil, 3).Count() != 0 {
		t.Error("indexes past the end or missing bytes read as present")
	}
}

func TestRequestsToANeighborThatCameBackAreCounted(t *testing.T) {
	a, b := Node{Name: "a", Region: "r"}, Node{Name: "b", Region: "r"}
	lookup := func(name string) Node { return Node{Name: name, Region: "r"} }
	version := manifest.Sum([]byte("v"))
	with, without := Arrange([]Node{a, b}, version, DefaultSettings()), Arrange([]Node{a}, version, DefaultSettings())
	table := NewTable(a, 4, DefaultSettings())
	table.SetArrangement(with, Ways{}, lookup, 0)
	have := NewBits(4)
	have.Set(0)
	have.Set(1)
	table.Heard("b", have, NewBits(4), 0)
	first := Plan(table, 0)
	if len(first) != 1 || first[0].From != "b" {
		t.Fatalf("planned %v", first)
	}
	table.Started(first[0], 0)
	table.SetArrangement(without, Ways{}, lookup, 0)
	table.SetArrangement(with, Ways{}, lookup, 0)
	table.Heard("b", have, NewBits(4), 0)
	if again := Plan(table, 0); len(again) != 0 {
		t.Errorf("planned %v while %v is in flight to the same neighbor", again, first)
	}
}
