// Package loopback runs real transfer managers in one process, over TCP on loopback
// with limited links, to validate the results of package virtual.
//
// The link of each VM is limited by the pacing of its manager. What the VM sends is
// also limited by a limiter that all of its connections share, including those of
// live requests.
package loopback

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/waxwingpost/waxwingpost/bench/fakes"
	"github.com/waxwingpost/waxwingpost/bench/virtual"
	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/telemetry"
	"github.com/waxwingpost/waxwingpost/version/manifest"
	"github.com/waxwingpost/waxwingpost/version/store"
	"github.com/waxwingpost/waxwingpost/version/transfer"
)

const (
	versionName = "v1"
	versionPath = "models/" + versionName
	joinKey     = "loopback"
)

// Fleet is a set of agents and a weight origin. MeasureLive may run at the same time
// as Push; otherwise a Fleet must be used by one goroutine at a time.
type Fleet struct {
	params          virtual.Params
	dir             string
	origin          *fakes.Origin
	versionManifest *manifest.Manifest
	vms             []*vm
	servers         []*http.Server
	view            wire.AgentView
}

type vm struct {
	peer       wire.Peer
	manager    *transfer.Manager
	liveServer *liveServer
}

// Start starts the agents and the origin. The caller must call Close.
func Start(p virtual.Params, liveShare float64) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "wpbench-loopback-")
	if err != nil {
		return nil, errors.Wrap(err, "create folder")
	}
	f := &Fleet{params: p, dir: dir}
	if err := f.start(liveShare); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(liveShare float64) error {
	p := f.params
	f.origin = fakes.NewOrigin(fakes.OriginConfig{
		Versions:       map[string]int{versionPath: int(p.ModelBytes)},
		ChunkBytes:     int(p.ModelBytes) / p.Chunks,
		BytesPerSecond: int(p.OriginCopies * float64(p.ModelBytes) / p.Window.Seconds()),
		Seed:           p.Seed,
	})
	f.versionManifest = f.origin.Manifest(versionPath)
	address, err := f.serve(f.origin, nil)
	if err != nil {
		return err
	}
	for i := range p.VMs {
		if err := f.startVM(i); err != nil {
			return err
		}
	}
	f.view = wire.AgentView{
		Revision:                 1,
		Order:                    &control.Order{PlaceOrder: control.PlaceOrder{Version: versionName}},
		Manifests:                []manifest.Manifest{*f.versionManifest},
		Sources:                  []wire.Source{{Name: "origin", Kind: config.SourceOrigin, Address: address, BytesPerSecond: p.Links().Sources}},
		Objective:                p.Objective,
		RegionPairBytesPerSecond: p.PairBytesPerSecond,
		VMBytesPerSecond:         p.Links().VM,
		LiveShare:                liveShare,
		Paths:                    map[string]string{versionName: versionPath},
	}
	for _, v := range f.vms {
		f.view.Peers = append(f.view.Peers, v.peer)
	}
	return nil
}

// serve starts an HTTP server and returns its address. If limit is not nil, it limits
// what the server sends.
func (f *Fleet) serve(h http.Handler, limit *limiter) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	address := listener.Addr().String()
	if limit != nil {
		listener = limitedListener{listener, limit}
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, srv)
	go func() { _ = srv.Serve(listener) }()
	return address, nil
}

func (f *Fleet) startVM(i int) error {
	node := f.params.Node(i)
	spool, err := store.Open(store.Config{Dir: filepath.Join(f.dir, node.Name)})
	if err != nil {
		return err
	}
	peer := wire.Peer{Name: node.Name, Zone: node.Zone, Region: node.Region, Version: versionName}
	cfg := transfer.Config{
		Self:         peer,
		Planner:      f.params.Planner,
		UploadSlots:  f.params.UploadSlots,
		QueueWait:    f.params.QueueWait,
		HaveInterval: f.params.HaveInterval,
	}
	manager := transfer.New(cfg, spool,
		&http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8},
		link.Authenticator{Key: joinKey}, clockwork.NewRealClock(),
		rand.New(rand.NewPCG(f.params.Seed, uint64(i))),
		slog.New(slog.NewTextHandler(io.Discard, nil)), tally.NoopScope)
	v := &vm{peer: peer, manager: manager, liveServer: newLiveServer(manager)}
	mux := http.NewServeMux()
	mux.Handle("/", manager.Handler())
	mux.Handle(livePath, v.liveServer)
	var limit *limiter
	if rate := f.params.Links().VM; rate > 0 {
		limit = newLimiter(float64(rate))
	}
	v.peer.Address, err = f.serve(mux, limit)
	f.vms = append(f.vms, v)
	return err
}

// Close stops the fleet and removes its files.
func (f *Fleet) Close() {
	for _, srv := range f.servers {
		_ = srv.Close()
	}
	_ = os.RemoveAll(f.dir)
}

// Result is the measurement of a push.
type Result struct {
	Duration time.Duration
	// CPUSeconds is the CPU time that the process, with all agents and the origin,
	// used until all VMs were done.
	CPUSeconds       float64
	OriginBytes      int64
	CrossRegionBytes int64
}

// Push transfers the version to every VM and checks every copy.
func (f *Fleet) Push(ctx context.Context) (Result, error) {
	start, before := time.Now(), telemetry.ReadUsage().CPUSeconds
	for _, v := range f.vms {
		v.manager.SetView(f.view)
	}
	var group errgroup.Group
	paths := make([]string, len(f.vms))
	for i, v := range f.vms {
		group.Go(func() error {
			path, err := v.manager.Fetch(ctx, f.versionManifest)
			paths[i] = path
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return Result{}, err
	}
	r := Result{Duration: time.Since(start), CPUSeconds: telemetry.ReadUsage().CPUSeconds - before, OriginBytes: f.origin.Stats().ContentBytes}
	for i, v := range f.vms {
		r.CrossRegionBytes += v.manager.Progress().CrossRegion
		if err := checkFile(paths[i]); err != nil {
			return r, errors.Wrapf(err, "%s", v.peer.Name)
		}
	}
	return r, nil
}

func checkFile(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	name, err := fakes.CheckContent(data)
	if err == nil && name != versionPath {
		err = errors.Newf("unexpected content of %s", name)
	}
	return err
}

// limiter limits the rate at which a VM sends over all of its connections.
type limiter struct {
	mu       sync.Mutex
	rate     float64
	nextFree time.Time
}

// maxBurst is the maximum number of bytes sent at once, about one packet burst.
const maxBurst = 4 << 10

func newLimiter(rate float64) *limiter { return &limiter{rate: rate} }

// wait blocks until n bytes may be sent. Concurrent calls are served in order.
func (l *limiter) wait(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.nextFree.Before(now) {
		l.nextFree = now
	}
	l.nextFree = l.nextFree.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	due := l.nextFree
	l.mu.Unlock()
	time.Sleep(time.Until(due))
}

type limitedListener struct {
	net.Listener
	limiter *limiter
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return limitedConn{c, l.limiter}, nil
}

type limitedConn struct {
	net.Conn
	limiter *limiter
}

// Write implements net.Conn.
func (c limitedConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		part := p[written:min(len(p), written+maxBurst)]
		c.limiter.wait(len(part))
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
