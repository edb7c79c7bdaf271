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

// callInput and callOutput describe one operation as the client observed it.
type callInput struct{ key string }

type callOutput struct {
	// kind is "answered", "not-run" or "unknown".
	kind  string
	value string
}

// mayHaveRun is the state of a key whose call may have run.
const mayHaveRun = "?"

// onceModel maps each key to the only response that it may have. A call
// reported as not run leaves the state unchanged; a call without a response
// may have run.
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
		current, out := state.(string), output.(callOutput)
		switch out.kind {
		case "answered":
			if current == "" || current == mayHaveRun || current == out.value {
				return []any{out.value}
			}
			return nil
		case "not-run":
			return []any{current}
		default:
			if current != "" {
				return []any{current}
			}
			return []any{"", mayHaveRun}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// faultyTransport injects faults into exchanges between an entry and agents,
// chosen by a seeded generator.
type faultyTransport struct {
	next    http.RoundTripper
	mu      sync.Mutex
	rnd     *rand.Rand
	enabled bool
}

func (f *faultyTransport) nextFault() (float64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.enabled {
		return 1, 0
	}
	return f.rnd.Float64(), time.Duration(f.rnd.IntN(15)) * time.Millisecond
}

// RoundTrip implements http.RoundTripper.
func (f *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	p, delay := f.nextFault()
	time.Sleep(delay)
	if p < 0.05 {
		return nil, fmt.Errorf("request lost before the agent")
	}
	if p < 0.1 && strings.HasPrefix(r.URL.Path, wire.PathDispatch) {
		return f.sendTwice(r)
	}
	resp, err := f.next.RoundTrip(r)
	if err == nil && p < 0.15 {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("response lost")
	}
	if err == nil && p < 0.2 && strings.HasPrefix(r.URL.Path, wire.PathDispatch) {
		resp.Body = &brokenBody{resp.Body}
	}
	return resp, err
}

// sendTwice delivers a dispatch twice and returns the second response.
func (f *faultyTransport) sendTwice(r *http.Request) (*http.Response, error) {
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

type brokenBody struct{ body interface{ Close() error } }

func (c *brokenBody) Read([]byte) (int, error) { return 0, fmt.Errorf("connection reset") }
func (c *brokenBody) Close() error             { return c.body.Close() }

// TestHistoryOfCallsIsAtMostOnce runs clients that resend calls, while entries
// are partitioned, exchanges are lost and agents restart and freeze. It checks
// the responses that the clients saw for linearizability with onceModel.
func TestHistoryOfCallsIsAtMostOnce(t *testing.T) {
	totals := map[string]int{}
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			for kind, n := range runHistory(t, uint64(seed)) {
				totals[kind] += n
			}
		})
	}
	if totals["answered"] == 0 || totals["unknown"] == 0 || totals["not-run"] == 0 {
		t.Errorf("the runs did not produce every kind of outcome: %v", totals)
	}
}

const (
	historyClients        = 8
	historyKeys           = 200
	historyCallsPerClient = 60
)

func runHistory(t *testing.T, seed uint64) map[string]int {
	t.Logf("repeat with: go test ./request/api -run TestHistoryOfCallsIsAtMostOnce/seed=%d -seeds %d", seed, seed+1)
	f := newFleet(t, 3)
	service := newCountingService()
	for i, e := range f.entries {
		e.transport = &faultyTransport{next: stream.NewTransport(), rnd: rand.New(rand.NewPCG(seed, uint64(i))), enabled: true}
	}
	var agents []*testAgent
	for i := range 3 {
		agents = append(agents, f.addAgent(fmt.Sprintf("a%d", i), "desk", "", 4, service))
	}
	service.mu.Lock()
	service.onRun = func(string) { time.Sleep(3 * time.Millisecond) }
	service.mu.Unlock()
	stop := make(chan struct{})
	var injector, group sync.WaitGroup
	injector.Go(func() { injectFaults(f, agents, rand.New(rand.NewPCG(seed, 99)), stop) })
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	for c := range historyClients {
		group.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(1000+c)))
			for range historyCallsPerClient {
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
	injector.Wait()
	return checkHistory(t, history, service)
}

func clientCall(f *fleet, rnd *rand.Rand, client int, key string, start time.Time) porcupine.Operation {
	e := f.entries[rnd.IntN(len(f.entries))]
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(20+rnd.IntN(600))*time.Millisecond)
	defer cancel()
	op := porcupine.Operation{ClientId: client, Input: callInput{key}, Call: time.Since(start).Nanoseconds()}
	got := e.send(ctx, "POST", "/filings", key, wire.HeaderIdempotencyKey, key, wire.HeaderDeadlineMs, "500")
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

// injectFaults restarts and freezes agents and partitions entries, chosen by a
// seeded generator, until stop is closed.
func injectFaults(f *fleet, agents []*testAgent, rnd *rand.Rand, stop chan struct{}) {
	incarnations := map[*testAgent]int{}
	for {
		select {
		case <-stop:
			for _, e := range f.entries {
				e.partitioned.Store(false)
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
			e.partitioned.Store(!e.partitioned.Load())
		}
	}
}

// checkHistory checks the history against onceModel and compares the responses
// with the runs that the service counted.
func checkHistory(t *testing.T, history []porcupine.Operation, service *countingService) map[string]int {
	t.Helper()
	kindsByKey := map[string]map[string]int{}
	kinds := map[string]int{}
	for _, op := range history {
		key, out := op.Input.(callInput).key, op.Output.(callOutput)
		if kindsByKey[key] == nil {
			kindsByKey[key] = map[string]int{}
		}
		kindsByKey[key][out.kind]++
		kinds[out.kind]++
		if out.kind == "answered" && out.value != fmt.Sprintf("receipt for %s run 1", key) {
			t.Errorf("%s got response %q", key, out.value)
		}
	}
	model := onceModel.ToModel()
	if !porcupine.CheckOperations(model, history) {
		t.Error("the history violates at-most-once execution")
	}
	for key, kinds := range kindsByKey {
		runs := service.count(key)
		if runs > 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
		if runs == 0 && kinds["answered"] > 0 {
			t.Errorf("%s got a response but never ran", key)
		}
		if runs > 0 && kinds["answered"]+kinds["unknown"] == 0 {
			t.Errorf("%s ran although every response said that it did not", key)
		}
	}
	t.Logf("%d calls: %v", len(history), kinds)
	return kinds
}
