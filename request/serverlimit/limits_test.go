package serverlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

func TestUnusableLimitsAreIgnored(t *testing.T) {
	for text, want := range map[string]Statement{"1.5": {1.5, true}, "0": {0, true}, " 3 ": {3, true}, "": {}, "1e300": {1<<31 - 1, true}} {
		if got, ok := Parse(text); !ok || got != want {
			t.Errorf("Parse(%q) = %v, %v, want %v", text, got, ok, want)
		}
	}
	for _, text := range []string{"-1", "NaN", "many", "1,5", "+-2"} {
		if got, ok := Parse(text); ok {
			t.Errorf("Parse(%q) = %v, want none", text, got)
		}
	}
}

func TestLatestStatementOfAServerHolds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	age := boottime.NewFake(clock)
	table := NewTable(func() float64 { return 0 })
	if _, tell := table.Record("s", Statement{}, age.Now()); tell || len(table.servers) != 0 {
		t.Error("a server without a limit is recorded")
	}
	clock.Advance(time.Second)
	named := age.Now()
	if changed, tell := table.Record("s", Statement{2, true}, named); !changed || !tell {
		t.Error("a new limit is not told")
	}
	clock.Advance(time.Second)
	if changed, tell := table.Record("s", Statement{2, true}, age.Now()); changed || tell {
		t.Error("the same limit is told again at once")
	}
	clock.Advance(refreshInterval)
	if _, tell := table.Record("s", Statement{2, true}, age.Now()); !tell {
		t.Error("a limit that still holds is not told again")
	}
	clock.Advance(time.Second)
	if !table.Apply("s", Statement{}, age.Now()) {
		t.Error("the end of the limit changes nothing")
	}
	if table.Apply("s", Statement{2, true}, named) {
		t.Error("an earlier statement is in force again")
	}
	if _, limited := table.Limit("s"); limited {
		t.Error("the limit has not ended")
	}
	table.Keep(func(string) bool { return false })
	if len(table.servers) != 0 {
		t.Error("a server that is gone is still recorded")
	}
}

// fleet plays the entries of a deployment and a server in steps of ten milliseconds.
type fleet struct {
	rng     *rand.Rand
	tables  []*Table
	demand  []float64
	known   []float64
	arrived []time.Duration
}

const step = 10 * time.Millisecond

func newFleet(seed uint64, limit float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 5))}
	for range 1 + f.rng.IntN(40) {
		table := NewTable(f.rng.Float64)
		table.Apply("s", Statement{limit, true}, boottime.Instant{}.Add(time.Second))
		f.tables = append(f.tables, table)
	}
	f.demand, f.known = make([]float64, len(f.tables)), make([]float64, len(f.tables))
	return f
}

// run lets entries send whenever they may and have requests. Their demand changes, and is
// known half a second later.
func (f *fleet) run(length time.Duration) {
	start := time.Unix(1000, 0)
	for now := time.Duration(0); now < length; now += step {
		if now%(500*time.Millisecond) == 0 {
			copy(f.known, f.demand)
			for i := range f.demand {
				if f.rng.IntN(8) == 0 || now == 0 {
					f.demand[i] = f.rng.ExpFloat64() * float64(f.rng.IntN(3))
				}
			}
		}
		total := 0.0
		for _, d := range f.known {
			total += d
		}
		for i, table := range f.tables {
			p := Part{Share: 1 / float64(len(f.tables)), Entries: len(f.tables)}
			if total > 0 {
				p.Share = f.known[i] / max(total, f.known[i])
			}
			at := start.Add(now)
			for range 3 {
				if f.rng.Float64() < f.demand[i] && table.Due("s", p, at) {
					table.Take("s", p, at)
					f.arrived = append(f.arrived, now)
				}
			}
		}
	}
}

// most returns the greatest number of requests within any four seconds.
func (f *fleet) most() int {
	most, first := 0, 0
	for i, at := range f.arrived {
		for at-f.arrived[first] > 4*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestAllEntriesTogetherKeepWithinTheLimit(t *testing.T) {
	for seed := range uint64(200) {
		limit := []float64{0, 0.3, 1, 1.5, 4, 20, 120}[seed%7]
		f := newFleet(seed, limit)
		f.run(2 * time.Minute)
		if most, allowed := f.most(), int(6*limit+5); most > allowed {
			t.Errorf("seed %d: %d entries sent %d requests in 4 s to a server with a limit of %v a second, allowed %d", seed, len(f.tables), most, limit, allowed)
		}
	}
}

func TestMostOfALimitIsUsed(t *testing.T) {
	for entries := 1; entries <= 30; entries += 7 {
		for _, limit := range []float64{1, 5, 50} {
			t.Run(fmt.Sprintf("%d entries, %v a second", entries, limit), func(t *testing.T) {
				f := &fleet{rng: rand.New(rand.NewPCG(uint64(entries), 5)), demand: make([]float64, entries), known: make([]float64, entries)}
				for range entries {
					table := NewTable(f.rng.Float64)
					table.Apply("s", Statement{limit, true}, boottime.Instant{}.Add(time.Second))
					f.tables = append(f.tables, table)
				}
				// One entry has most of the traffic.
				at := time.Unix(1000, 0)
				sent := 0
				for range 10000 {
					at = at.Add(step)
					for i, table := range f.tables {
						p := Part{Share: 0.2 / float64(entries), Entries: entries}
						if i == 0 {
							p.Share += 0.8
						}
						if table.Due("s", p, at) {
							table.Take("s", p, at)
							sent++
						}
					}
				}
				if want := 100 * limit * usedFraction; float64(sent) < 0.9*want {
					t.Errorf("%d requests were sent in 100 s, want about %v", sent, want)
				}
			})
		}
	}
}
