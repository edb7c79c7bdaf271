package api_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

var seeds = flag.Int("seeds", 3, "number of seeds of the history test")

// callInput and callOutput are one operation as the client saw it.
type callInput struct{ key string }

type callOutput struct {
	// kind is "answered", "not-run" or "unknown".
	kind  string
	value string
}

// maybe is the state of a key whose call may have run.
const maybe = "?"

// onceModel is a map from keys to the one answer that each may have. A call
// told "not run" leaves no trace; one without an answer may have run.
var onceModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(callInput).key
			byKey[key] = append(byKey[key], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byKey))
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		have, out := state.(string), output.(callOutput)
		switch out.kind {
		case "answered":
			if have == "" || have == maybe || have == out.value {
				return []any{out.value}
			}
			return nil
		case "not-run":
			return []any{have}
		default:
			if have != "" {
				return []any{have}
			}
			return []any{"", maybe}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// faults breaks exchanges between an entry and agents by seed.
type faults struct {
	next http.RoundTripper
	mu   sync.Mutex
	rnd  *rand.Rand
	on   bool
}

func (f *faults) draw() (float64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.on {
		return 1, 0
	}
	return f.rnd.Float64(), time.Duration(f.rnd.IntN(15)) * time.Millisecond
}

// RoundTrip implements http.RoundTripper.
func (f *faults) RoundTrip(r *http.Request) (*http.Response, error) {
	p, delay := f.draw()
	time.Sleep(delay)
	if p < 0.05 {
		return nil, fmt.Errorf("lost before the agent")
	}
	if p < 0.1 && strings.HasPrefix(r.URL.Path, wire.PathDispatch) {
		return f.twice(r)
	}
	resp, err := f.next.RoundTrip(r)
	if err == nil && p < 0.15 {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("answer lost")
	}
	if err == nil && p < 0.2 && strings.HasPrefix(r.URL.Path, wire.PathDispatch) {
		resp.Body = &cutBody{resp.Body}
	}
	return resp, err
}

// twice delivers a dispatch two times and returns the second answer.
func (f *faults) twice(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	first, second := r.Clone(r.Context()), r.Clone(r.Context())
	first.Body, second.Body = io.NopCloser(bytes.NewReader(body)), io.NopCloser(bytes.NewReader(body))
	if resp, err := f.next.RoundTrip(first); err == nil {
		_ = resp.Body.Close()
	}
	return f.next.RoundTrip(second)
}

type cutBody struct{ body interface{ Close() error } }

func (c *cutBody) Read([]byte) (int, error) { return 0, fmt.Errorf("connection reset") }
func (c *cutBody) Close() error             { return c.body.Close() }

// TestHistoryOfCallsIsAtMostOnce runs clients with resends against entries
// that are cut off, exchanges that are lost and agents that restart and
// freeze, and judges what the clients saw.
func TestHistoryOfCallsIsAtMostOnce(t *testing.T) {
	seen := map[string]int{}
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			for kind, n := range runHistory(t, uint64(seed)) {
				seen[kind] += n
			}
		})
	}
	if seen["answered"] == 0 || seen["unknown"] == 0 || seen["not-run"] == 0 {
		t.Errorf("the runs provoked too little: %v", seen)
	}
}

const (
	historyClients = 8
	historyKeys    = 200
	historySends   = 60
)

func runHistory(t *testing.T, seed uint64) map[string]int {
	t.Logf("repeat with: go test ./request/api -run TestHistoryOfCallsIsAtMostOnce/seed=%d -seeds %d", seed, seed+1)
	f := newFleet(t, 3)
	service := newFilings()
	for i, e := range f.entries {
		e.rt = &faults{next: stream.NewTransport(), rnd: rand.New(rand.NewPCG(seed, uint64(i))), on: true}
	}
	var agents []*testAgent
	for i := range 3 {
		agents = append(agents, f.addAgent(fmt.Sprintf("a%d", i), "desk", "", 4, service))
	}
	service.mu.Lock()
	service.before = func(string) { time.Sleep(3 * time.Millisecond) }
	service.mu.Unlock()
	stop := make(chan struct{})
	var chaos, group sync.WaitGroup
	chaos.Go(func() { disturb(f, agents, rand.New(rand.NewPCG(seed, 99)), stop) })
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	for c := range historyClients {
		group.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(1000+c)))
			for range historySends {
				key := fmt.Sprintf("k%d", rnd.IntN(historyKeys))
				op := clientCall(f, rnd, c, key, start)
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	close(stop)
	chaos.Wait()
	return judge(t, history, service)
}

func clientCall(f *fleet, rnd *rand.Rand, client int, key string, start time.Time) porcupine.Operation {
	e := f.entries[rnd.IntN(len(f.entries))]
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(20+rnd.IntN(600))*time.Millisecond)
	defer cancel()
	op := porcupine.Operation{ClientId: client, Input: callInput{key}, Call: time.Since(start).Nanoseconds()}
	got := e.send(ctx, "POST", "/filings", key, wire.HeaderKey, key, wire.HeaderDeadlineMs, "500")
	op.Return = time.Since(start).Nanoseconds()
	switch {
	case got.err == nil && got.status == 200:
		op.Output = callOutput{"answered", got.body}
	case got.notRun():
		op.Output = callOutput{"not-run", ""}
	default:
		op.Output = callOutput{"unknown", ""}
	}
	return op
}

// disturb restarts and freezes agents and cuts entries off, by seed.
func disturb(f *fleet, agents []*testAgent, rnd *rand.Rand, stop chan struct{}) {
	incarnations := map[*testAgent]int{}
	for {
		select {
		case <-stop:
			for _, e := range f.entries {
				e.cut.Store(false)
			}
			return
		case <-time.After(time.Duration(10+rnd.IntN(40)) * time.Millisecond):
		}
		a, e := agents[rnd.IntN(len(agents))], f.entries[rnd.IntN(len(f.entries))]
		switch rnd.IntN(4) {
		case 0:
			if incarnations[a] < 7 {
				incarnations[a]++
				f.startAgent(a, fmt.Sprint(incarnations[a]+1), nil)
			}
		case 1:
			a.freeze()
			time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
			a.unfreeze()
		default:
			e.cut.Store(!e.cut.Load())
		}
	}
}

// judge checks the history, and what clients were told against the runs that
// the service counted.
func judge(t *testing.T, history []porcupine.Operation, service *filings) map[string]int {
	t.Helper()
	told := map[string]map[string]int{}
	kinds := map[string]int{}
	for _, op := range history {
		key, out := op.Input.(callInput).key, op.Output.(callOutput)
		if told[key] == nil {
			told[key] = map[string]int{}
		}
		told[key][out.kind]++
		kinds[out.kind]++
		if out.kind == "answered" && out.value != fmt.Sprintf("receipt for %s run 1", key) {
			t.Errorf("%s was answered %q", key, out.value)
		}
	}
	model := onceModel.ToModel()
	if !porcupine.CheckOperations(model, history) {
		t.Error("the history is not at most once")
	}
	for key, kinds := range told {
		runs := service.count(key)
		if runs > 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
		if runs == 0 && kinds["answered"] > 0 {
			t.Errorf("%s was answered and never ran", key)
		}
		if runs > 0 && kinds["answered"]+kinds["unknown"] == 0 {
			t.Errorf("%s ran although every caller was told that it did not", key)
		}
	}
	t.Logf("%d calls: %v", len(history), kinds)
	return kinds
}
