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
	gopterSeed         = 20261203
	minSuccessfulTests = 40
	maxSteps           = 40000
)

func checkProperty(t *testing.T, name string, property gopter.Prop) {
	t.Helper()
	params := gopter.DefaultTestParametersWithSeed(gopterSeed)
	params.MinSuccessfulTests = minSuccessfulTests
	properties := gopter.NewProperties(params)
	properties.Property(name, property)
	properties.TestingRun(t)
}

// fleetGenerators generate a seed, the numbers of agents, regions and chunks,
// and the relayed share in quarters.
func fleetGenerators() []gopter.Gen {
	return []gopter.Gen{gen.UInt64(), gen.IntRange(1, 14), gen.IntRange(1, 3), gen.IntRange(1, 70), gen.IntRange(0, 4)}
}

func TestEachChunkIsIngestedOncePerRegion(t *testing.T) {
	checkProperty(t, "without faults", prop.ForAll(func(seed uint64, agents, regions, chunks, quarters int) string {
		s := newSimulation(seed, agents, regions, chunks, float64(quarters)/4)
		if !s.run(maxSteps) {
			return "transfer did not complete"
		}
		for region, counts := range s.ingested {
			for c, n := range counts {
				if n != 1 {
					return fmt.Sprintf("chunk %d was ingested into %s %d times", c, region, n)
				}
			}
		}
		for c, n := range s.sourceReads {
			if s.arr.IsRelayed(c, s.policy.RelayShare) && n != 1 {
				return "a relayed chunk was read from the source more than once"
			}
		}
		return failureMessage(s)
	}, fleetGenerators()...))
}

func TestNoChunkIsIngestedTwiceWhileAgentsJoin(t *testing.T) {
	checkProperty(t, "ramp", prop.ForAll(func(seed uint64, agents, regions, chunks, quarters int) string {
		s := newSimulation(seed, 1, regions, chunks, float64(quarters)/4)
		for i := range agents {
			s.step()
			s.addAgent(i+1, regions)
			s.arrange()
		}
		if !s.run(maxSteps) && s.violation == nil {
			return "transfer did not complete"
		}
		for region, counts := range s.ingested {
			for c, n := range counts {
				if n > 1 {
					return fmt.Sprintf("chunk %d was ingested into %s %d times", c, region, n)
				}
			}
		}
		return failureMessage(s)
	}, fleetGenerators()...))
}

func TestRegionCompletesWithoutItsFetchers(t *testing.T) {
	checkProperty(t, "inactive fetchers", prop.ForAll(func(seed uint64, agents, regions, chunks, quarters int) string {
		s := newSimulation(seed, agents+6*regions, regions, chunks, float64(quarters)/4)
		s.settings.SourceFallbackAfter = 3 * time.Second
		for _, a := range s.agents {
			a.table.settings = s.settings
		}
		s.inactive = make(map[string]bool)
		for _, name := range s.arr.Fetchers("r0") {
			s.inactive[name] = true
		}
		if !s.run(maxSteps) && s.violation == nil {
			return "transfer did not complete"
		}
		return failureMessage(s)
	}, fleetGenerators()...))
}

func failureMessage(s *simulation) string {
	if s.violation != nil {
		return s.violation.Error()
	}
	return ""
}

func TestBoundsAndDemotionHoldUnderFaults(t *testing.T) {
	checkProperty(t, "under faults", prop.ForAll(func(seed uint64, agents, regions, chunks, quarters int) string {
		s := newSimulation(seed, agents, regions, chunks, float64(quarters)/4)
		s.faultRate = 0.3
		if !s.run(maxSteps) && s.violation == nil {
			return "transfer did not complete"
		}
		return failureMessage(s)
	}, fleetGenerators()...))
}

func TestTransferCompletesUnderChurn(t *testing.T) {
	checkProperty(t, "under churn", prop.ForAll(func(seed uint64, agents, regions, chunks, quarters int) string {
		s := newSimulation(seed, agents, regions, chunks, float64(quarters)/4)
		s.faultRate = 0.1
		next := agents
		for range 30 {
			s.run(40)
			if len(s.live) > 1 && s.rnd.IntN(2) == 0 {
				s.removeAgent(s.live[s.rnd.IntN(len(s.live))])
			} else {
				s.addAgent(next, regions)
				next++
			}
			// Some changes are applied to the views later.
			if s.rnd.IntN(3) > 0 {
				s.arrange()
			}
		}
		s.arrange()
		if !s.run(maxSteps) && s.violation == nil {
			return "transfer did not complete"
		}
		return failureMessage(s)
	}, fleetGenerators()...))
}

func TestChunksOfSilentFetchersAreTakenOver(t *testing.T) {
	checkProperty(t, "silent fetchers", prop.ForAll(func(seed uint64, agents, regions, chunks, quarters int) string {
		s := newSimulation(seed, agents+4, regions, chunks, float64(quarters)/4)
		s.run(10)
		// The views still contain the removed agents; only missing messages show
		// that they have failed.
		for range min(3, len(s.live)-1) {
			s.removeAgent(s.live[s.rnd.IntN(len(s.live))])
		}
		if !s.run(maxSteps) && s.violation == nil {
			return "transfer did not complete"
		}
		return failureMessage(s)
	}, fleetGenerators()...))
}

func TestNeighborsAreBoundedAndMutual(t *testing.T) {
	settings := DefaultSettings()
	bound := 2*(settings.RegionRings+settings.ZoneRings) + settings.Fetchers - 1
	for _, n := range []int{1, 2, 3, 50, 700} {
		var nodes []Node
		for i := range n {
			node := testNode(i)
			nodes = append(nodes, node)
		}
		arr := Arrange(nodes, manifest.Sum([]byte("x")), settings)
		neighbors := make(map[string]map[string]bool)
		for _, node := range nodes {
			neighbors[node.Name] = make(map[string]bool)
			for _, name := range arr.Neighbors(node) {
				neighbors[node.Name][name] = true
			}
			if len(neighbors[node.Name]) > bound {
				t.Errorf("n=%d: %s has %d neighbors", n, node.Name, len(neighbors[node.Name]))
			}
		}
		for a, others := range neighbors {
			for b := range others {
				if !neighbors[b][a] {
					t.Errorf("n=%d: %s has neighbor %s but not vice versa", n, a, b)
				}
			}
		}
	}
}

func testNode(i int) Node {
	s := &simulation{agents: map[string]*simulatedAgent{}, ingested: map[string][]int{}, chunks: 1}
	s.addAgent(i, 3)
	return s.agents[s.live[0]].node
}

func TestFastestRelayShareDependsOnLinkRates(t *testing.T) {
	const size = 1 << 30
	rate := int64(size / 600)
	fastPairs := Links{Sources: 4 * rate, VM: 2 * rate, RegionPair: rate, Regions: 5}
	if e := FastestEstimate(fastPairs, size); e.Share != 1 || e.Duration > 301*time.Second {
		t.Errorf("fast region pairs: %+v", e)
	}
	slowPairs := fastPairs
	slowPairs.RegionPair = 1
	if e := FastestEstimate(slowPairs, size); e.Share != 0 || e.SourceBytes != 5*size {
		t.Errorf("slow region pairs: %+v", e)
	}
	mediumPairs := fastPairs
	mediumPairs.RegionPair = rate / 10
	if e := FastestEstimate(mediumPairs, size); e.Share <= 0 || e.Share >= 1 || e.Duration >= 750*time.Second {
		t.Errorf("medium region pairs: %+v", e)
	}
	if e := FewestBytesEstimate(slowPairs, size); e.Share != 1 || e.SourceBytes != size {
		t.Errorf("fewest bytes: %+v", e)
	}
}

func TestBitsRoundTrip(t *testing.T) {
	b := NewBits(130)
	for _, i := range []int{0, 63, 64, 129} {
		b.Set(i)
	}
	got := BitsFrom(b.Bytes(), 130)
	for i := range 130 {
		if got.Has(i) != b.Has(i) {
			t.Errorf("index %d differs after decoding", i)
		}
	}
	if BitsFrom([]byte{0xff}, 3).Count() != 3 || BitsFrom(nil, 3).Count() != 0 {
		t.Error("BitsFrom sets indexes past n or in missing bytes")
	}
}

func TestRequestsToAReturningNeighborAreCounted(t *testing.T) {
	a, b := Node{Name: "a", Region: "r"}, Node{Name: "b", Region: "r"}
	lookup := func(name string) Node { return Node{Name: name, Region: "r"} }
	version := manifest.Sum([]byte("v"))
	both, alone := Arrange([]Node{a, b}, version, DefaultSettings()), Arrange([]Node{a}, version, DefaultSettings())
	table := NewTable(a, 4, DefaultSettings())
	table.SetArrangement(both, IngestPolicy{}, lookup, 0)
	have := NewBits(4)
	have.Set(0)
	have.Set(1)
	table.UpdateNeighbor("b", have, NewBits(4), 0)
	first := Plan(table, 0)
	if len(first) != 1 || first[0].From != "b" {
		t.Fatalf("planned %v", first)
	}
	table.RequestStarted(first[0], 0)
	table.SetArrangement(alone, IngestPolicy{}, lookup, 0)
	table.SetArrangement(both, IngestPolicy{}, lookup, 0)
	table.UpdateNeighbor("b", have, NewBits(4), 0)
	if repeated := Plan(table, 0); len(repeated) != 0 {
		t.Errorf("planned %v while %v is in flight to the same neighbor", repeated, first)
	}
}

func TestRequestEndsAfterItsSourceWasDropped(t *testing.T) {
	for name, outcome := range map[string]Outcome{"received": Received, "failed": Failed, "corrupt": Corrupt, "missing": Missing, "busy": Busy, "canceled": Canceled} {
		table := NewTable(Node{Name: "a", Zone: "z", Region: "r"}, 4, DefaultSettings())
		table.SetSources([]SourceState{{Origin: true}, {}})
		r := Request{Chunk: 1, Source: 1}
		table.RequestStarted(r, 0)
		table.SetSources([]SourceState{{Origin: true}})
		table.SourceThrottled(r, time.Second)
		table.RequestEnded(r, outcome, time.Second)
		if held := table.have.Has(1); held != (outcome == Received) {
			t.Errorf("%s: chunk held %v", name, held)
		}
		if len(table.active) > 0 {
			t.Errorf("%s: the request is still in flight", name)
		}
	}
}
