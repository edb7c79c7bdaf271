package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
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
		Help: "records of calls that may not be repeated: one sync for many records beside one sync a record.",
		Run:  runRecords,
	})
}

const (
	recordWriters   = 256
	recordSpan      = 8 * time.Second
	recordVoters    = 3
	recordWarmup    = time.Second
	targetGroup     = ">=5"
	recordSetupTime = 20 * time.Second
	recordLimit     = 10_000_000
)

// recordRig is a control set within this process, on real disks, without a
// network between its replicas.
type recordRig struct {
	mu    sync.Mutex
	nodes map[string]*node.Node
	names []string
}

// recordPort is the transport of one replica.
type recordPort struct {
	rig  *recordRig
	name string
}

func (p recordPort) peer(to string) (*node.Node, error) {
	p.rig.mu.Lock()
	defer p.rig.mu.Unlock()
	if n := p.rig.nodes[to]; n != nil {
		return n, nil
	}
	return nil, result.New(result.LinkLost, "%s is not running", to)
}

// Notify implements node.Transport.
func (p recordPort) Notify(to string, kind wire.Kind, msg any) error {
	n, err := p.peer(to)
	if err != nil {
		return err
	}
	body, err := cbor.Marshal(msg)
	if err == nil {
		n.Notify(wire.Hello{Name: p.name}, kind, body)
	}
	return err
}

// Call implements node.Transport.
func (p recordPort) Call(ctx context.Context, to string, kind wire.Kind, req, resp any) error {
	n, err := p.peer(to)
	if err != nil {
		return err
	}
	body, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	answer, err := n.Call(ctx, wire.Hello{Name: p.name}, kind, body)
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

// recordRate returns how many reservations a second a control set records for
// many writers. A batch of 1 syncs each record by itself; 0 is the default.
func recordRate(ctx context.Context, opts options, batch int) (float64, error) {
	dir, err := os.MkdirTemp("", "wpbench-records")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running errgroup.Group
	rig, err := newRecordRig(ctx, &running, opts, dir, batch)
	if err != nil {
		return 0, err
	}
	rate, err := rig.measure(ctx)
	cancel()
	return rate, errors.CombineErrors(err, running.Wait())
}

func newRecordRig(ctx context.Context, running *errgroup.Group, opts options, dir string, batch int) (*recordRig, error) {
	rig := &recordRig{nodes: map[string]*node.Node{}}
	for i := range recordVoters {
		rig.names = append(rig.names, fmt.Sprintf("entry-%d", i+1))
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for i, name := range rig.names {
		cfg := node.Config{
			Name: name, DataDir: filepath.Join(dir, name), Peers: rig.names, Bootstrap: rig.names, MaxBatch: batch,
		}
		rnd := rand.New(rand.NewPCG(opts.Seed, uint64(i)))
		n, err := node.New(cfg, state.New(state.Options{MaxCalls: recordLimit}), recordPort{rig, name},
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

func (r *recordRig) measure(ctx context.Context) (float64, error) {
	ready, cancel := context.WithTimeout(ctx, recordSetupTime)
	defer cancel()
	for _, name := range r.names {
		if err := r.nodes[name].Barrier(ready); err != nil {
			return 0, err
		}
	}
	var count atomic.Int64
	until := time.Now().Add(recordWarmup + recordSpan)
	var writers errgroup.Group
	for w := range recordWriters {
		writers.Go(func() error { return r.write(ctx, w, until, &count) })
	}
	time.Sleep(recordWarmup)
	first, begin := count.Load(), time.Now()
	time.Sleep(time.Until(until))
	rate := float64(count.Load()-first) / time.Since(begin).Seconds()
	return rate, writers.Wait()
}

// write reserves calls one after the other until the time is over.
func (r *recordRig) write(ctx context.Context, writer int, until time.Time, count *atomic.Int64) error {
	n := r.nodes[r.names[writer%len(r.names)]]
	for i := 0; time.Now().Before(until); i++ {
		cmd := control.Command{
			ID: fmt.Sprintf("w%d-%d", writer, i),
			Reserve: &control.Reserve{
				Account: "bench", Key: fmt.Sprintf("key-%d-%d", writer, i), BodyDigest: manifest.Sum([]byte{byte(i)}),
				Service: "desk", Agent: "agent-1", Incarnation: "i", Attempt: 1, Entry: "entry-1",
			},
		}
		res, err := n.Propose(ctx, cmd)
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
