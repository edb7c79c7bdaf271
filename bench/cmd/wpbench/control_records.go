package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/waxwingpost/waxwingpost/bench/figure"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/node"
	"github.com/waxwingpost/waxwingpost/process/control/state"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

func init() {
	register(experiment{
		Name: "records",
		Help: "replicas within this process on real disks: latency of a change, and records per second with and without group commit.",
		Run:  runRecords,
	})
}

const (
	recordWriters      = 256
	recordDuration     = 8 * time.Second
	recordVoters       = 3
	recordChanges      = 300
	recordWarmup       = time.Second
	targetGroup        = ">=5"
	recordSetupTimeout = 20 * time.Second
	maxRecords         = 10_000_000
)

// recordRig is a control set within this process. Its replicas use real disks and
// no network.
type recordRig struct {
	mu    sync.Mutex
	nodes map[string]*node.Node
	names []string
}

// recordTransport is the transport of one replica. It calls the other replicas
// directly, with encoded messages.
type recordTransport struct {
	rig  *recordRig
	name string
}

func (t recordTransport) peer(to string) (*node.Node, error) {
	t.rig.mu.Lock()
	defer t.rig.mu.Unlock()
	if n := t.rig.nodes[to]; n != nil {
		return n, nil
	}
	return nil, result.New(result.LinkLost, "%s is not running", to)
}

// Notify implements node.Transport.
func (t recordTransport) Notify(to string, kind wire.Kind, msg any) error {
	n, err := t.peer(to)
	if err != nil {
		return err
	}
	body, err := cbor.Marshal(msg)
	if err == nil {
		_ = n.Notify(wire.Hello{Name: t.name}, kind, body)
	}
	return err
}

// Call implements node.Transport.
func (t recordTransport) Call(ctx context.Context, to string, kind wire.Kind, req, resp any) error {
	n, err := t.peer(to)
	if err != nil {
		return err
	}
	body, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	answer, err := n.Call(ctx, wire.Hello{Name: t.name}, kind, body)
	if err != nil || resp == nil {
		return err
	}
	data, err := cbor.Marshal(answer)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, resp)
}

func runRecords(ctx context.Context, opts options) error {
	for _, voters := range []int{3, 5} {
		if err := measureProposals(ctx, opts, voters); err != nil {
			return err
		}
	}
	var rates []float64
	for _, c := range []struct {
		name  string
		batch int
	}{{"one_sync_each", 1}, {"group_commit", 0}} {
		rate, err := recordRate(ctx, opts, c.batch)
		if err != nil {
			return err
		}
		rates = append(rates, rate)
		figure.Print(opts.Out, "control_records_"+c.name, rate, "per_second", "")
	}
	figure.Print(opts.Out, "control_records_group_over_single", rates[1]/rates[0], "ratio", targetGroup)
	return nil
}

// measureProposals proposes changes one after the other, each at the next replica,
// and measures the time from the proposal to its result at that replica.
func measureProposals(ctx context.Context, opts options, voters int) error {
	var times []time.Duration
	err := withRecordRig(ctx, opts, voters, 0, func(rig *recordRig) error {
		for i := range recordChanges {
			name := rig.names[i%len(rig.names)]
			start := time.Now()
			res, err := rig.nodes[name].Propose(ctx, reservation(0, i))
			if err != nil || res.Code != 0 {
				return errors.CombineErrors(err, errors.Newf("code %d: %s", res.Code, res.Detail))
			}
			times = append(times, time.Since(start))
		}
		return nil
	})
	if err != nil {
		return err
	}
	slices.Sort(times)
	p99 := times[len(times)*99/100]
	name := fmt.Sprintf("control_accept_p99_r%d", voters)
	figure.Print(opts.Out, name, float64(p99.Microseconds())/1000, "ms", targetAccept)
	return nil
}

// recordRate returns how many reservations per second a control set commits for
// concurrent writers. A batch of 1 syncs each record separately; 0 means the
// default batch size.
func recordRate(ctx context.Context, opts options, batch int) (rate float64, err error) {
	err = withRecordRig(ctx, opts, recordVoters, batch, func(rig *recordRig) (err error) {
		rate, err = rig.measureRate(ctx)
		return err
	})
	return rate, err
}

// withRecordRig runs measure on a new rig once all replicas have the bootstrap
// state.
func withRecordRig(ctx context.Context, opts options, voters, batch int, measure func(*recordRig) error) error {
	dir, err := os.MkdirTemp("", "wpbench-records")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running errgroup.Group
	rig, err := newRecordRig(ctx, &running, opts, dir, voters, batch)
	if err == nil {
		err = rig.awaitState(ctx)
	}
	if err == nil {
		err = measure(rig)
	}
	cancel()
	return errors.CombineErrors(err, running.Wait())
}

func newRecordRig(ctx context.Context, running *errgroup.Group, opts options, dir string, voters, batch int) (*recordRig, error) {
	rig := &recordRig{nodes: map[string]*node.Node{}}
	for i := range voters {
		rig.names = append(rig.names, fmt.Sprintf("entry-%d", i+1))
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for i, name := range rig.names {
		cfg := node.Config{
			Name: name, DataDir: filepath.Join(dir, name), Peers: rig.names, Bootstrap: rig.names, MaxBatch: batch,
		}
		rnd := rand.New(rand.NewPCG(opts.Seed, uint64(i)))
		n, err := node.New(cfg, state.New(state.Options{MaxCalls: maxRecords}), recordTransport{rig, name},
			clockwork.NewRealClock(), rnd, log, tally.NoopScope)
		if err != nil {
			return nil, err
		}
		rig.mu.Lock()
		rig.nodes[name] = n
		rig.mu.Unlock()
		running.Go(func() error { return n.Run(ctx) })
	}
	return rig, nil
}

// awaitState waits until every replica has the bootstrap state.
func (r *recordRig) awaitState(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recordSetupTimeout)
	defer cancel()
	for _, name := range r.names {
		if err := r.nodes[name].Barrier(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *recordRig) measureRate(ctx context.Context) (float64, error) {
	var count atomic.Int64
	deadline := time.Now().Add(recordWarmup + recordDuration)
	var writers errgroup.Group
	for w := range recordWriters {
		writers.Go(func() error { return r.write(ctx, w, deadline, &count) })
	}
	time.Sleep(recordWarmup)
	first, start := count.Load(), time.Now()
	time.Sleep(time.Until(deadline))
	rate := float64(count.Load()-first) / time.Since(start).Seconds()
	return rate, writers.Wait()
}

// write reserves calls one after the other until the deadline.
func (r *recordRig) write(ctx context.Context, writer int, deadline time.Time, count *atomic.Int64) error {
	n := r.nodes[r.names[writer%len(r.names)]]
	for i := 0; time.Now().Before(deadline); i++ {
		res, err := n.Propose(ctx, reservation(writer, i))
		if err != nil {
			return err
		}
		if res.Code != 0 {
			return errors.Newf("reservation refused with code %d: %s", res.Code, res.Detail)
		}
		count.Add(1)
	}
	return nil
}

// reservation returns a command that reserves a unique call.
func reservation(writer, i int) control.Command {
	return control.Command{
		ID: fmt.Sprintf("w%d-%d", writer, i),
		Reserve: &control.Reserve{
			Account: "bench", Key: fmt.Sprintf("key-%d-%d", writer, i), BodyDigest: manifest.Sum([]byte{byte(i)}),
			Service: "desk", Agent: "agent-1", Incarnation: "i", Attempt: 1, Entry: "entry-1",
		},
	}
}
