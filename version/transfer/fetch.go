package transfer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
	"github.com/waxwingpost/waxwingpost/version/planner"
	"github.com/waxwingpost/waxwingpost/version/source"
)

// maxHaveBytes bounds the answer to a question after chunks held.
const maxHaveBytes = 1 << 20

// haveGrace is added to the time that a peer may hold a question open.
const haveGrace = 3 * time.Second

// job is one request for a chunk.
type job struct {
	t       *task
	chunk   manifest.Chunk
	open    func(ctx context.Context) (io.ReadCloser, error)
	buckets []*bucket
	// from is the kind of the sender, for the metrics.
	from string
	// counts get the bytes that arrive, whether they prove sound or not.
	counts []*atomic.Int64
}

func (t *task) newJob(r planner.Request) *job {
	j := &job{t: t, chunk: t.man.Chunks[r.Chunk], from: "peer", buckets: []*bucket{t.m.down}}
	if r.FromSource() {
		t.sourceJob(j, t.view.Sources[r.Source], t.view.Paths[t.man.Version], t.offsets[r.Chunk])
		return j
	}
	peer := t.peers[r.From]
	j.open = func(ctx context.Context) (io.ReadCloser, error) { return t.m.openChunk(ctx, peer, j.chunk) }
	j.counts = append(j.counts, &t.count.fromPeers)
	if r.Far {
		j.counts = append(j.counts, &t.count.cross)
		j.buckets = append(j.buckets, t.m.pair(peer.Region))
	}
	return j
}

func (t *task) sourceJob(j *job, src wire.Source, path string, offset int64) {
	j.open = func(ctx context.Context) (io.ReadCloser, error) {
		return source.Content(ctx, t.m.client, src, path, offset, j.chunk.Size)
	}
	j.from = src.Kind
	if src.Kind == config.SourceOrigin {
		j.counts = append(j.counts, &t.count.fromOrigin)
	} else {
		j.counts = append(j.counts, &t.count.fromStore)
	}
	if t.crosses(src) {
		j.counts = append(j.counts, &t.count.cross)
		j.buckets = append(j.buckets, t.m.pair(src.Region))
	}
}

// crosses reports whether a source lies in another region of the fleet.
func (t *task) crosses(src wire.Source) bool {
	if src.Region == t.m.cfg.Self.Region {
		return false
	}
	for _, p := range t.view.Peers {
		if p.Region == src.Region {
			return true
		}
	}
	return false
}

// run opens the chunk, reads it into the store and ends it when it stalls.
func (j *job) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := newWatchdog(j.t.m.clock, j.t.m.cfg.StallTimeout, cancel)
	defer watchdog.stop()
	body, err := j.open(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	received := j.t.m.scope.Tagged(map[string]string{"from": j.from}).Counter("bytes_received")
	return j.t.m.store.Put(j.chunk, &pacedReader{ctx: ctx, r: body, buckets: j.buckets, progress: func(n int) {
		watchdog.reset()
		received.Inc(int64(n))
		for _, c := range j.counts {
			c.Add(int64(n))
		}
	}})
}

// watchdog calls a function when it is not reset in time.
type watchdog struct {
	timer   clockwork.Timer
	timeout time.Duration
}

func newWatchdog(clock clockwork.Clock, timeout time.Duration, expired func()) *watchdog {
	return &watchdog{timer: clock.AfterFunc(timeout, expired), timeout: timeout}
}

func (w *watchdog) reset() { w.timer.Reset(w.timeout) }
func (w *watchdog) stop()  { w.timer.Stop() }

// get asks a peer. The caller must close the body.
func (m *Manager) get(ctx context.Context, peer wire.Peer, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.Address+path, nil)
	if err != nil {
		return nil, result.New(result.LinkLost, "%s: %v", peer.Name, err)
	}
	req.Header.Set(wire.HeaderAgent, m.cfg.Self.Name)
	m.auth.Sign(req)
	resp, err := m.client.Do(req)
	if err != nil {
		return nil, result.New(result.LinkLost, "%s: %v", peer.Name, err)
	}
	return resp, nil
}

// openChunk asks a peer for a chunk.
func (m *Manager) openChunk(ctx context.Context, peer wire.Peer, c manifest.Chunk) (io.ReadCloser, error) {
	resp, err := m.get(ctx, peer, chunkPath(c.Digest))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp.Body, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, peerRefusal(peer, resp)
}

func peerRefusal(peer wire.Peer, resp *http.Response) error {
	code := result.LinkLost
	switch resp.StatusCode {
	case http.StatusNotFound:
		code = result.ChunkMissing
	case http.StatusServiceUnavailable:
		code = result.QueueFull
	case http.StatusForbidden:
		code = result.Unauthenticated
	}
	return result.New(code, "%s answered %s", peer.Name, resp.Status)
}

// watch asks a neighbor for its news until ctx ends.
func (t *task) watch(ctx context.Context, peer wire.Peer) {
	var seq uint64
	for ctx.Err() == nil {
		pause := t.m.cfg.HaveInterval
		reply, err := t.m.askHave(ctx, peer, t.man.Digest(), seq)
		if err != nil {
			pause = max(pause, t.m.cfg.Planner.SuspectAfter/4)
		} else if reply.Active {
			news := reply.Seq != seq
			t.post(func() { t.heard(peer.Name, reply, news) })
			seq = reply.Seq
		}
		select {
		case <-t.m.clock.After(pause):
		case <-ctx.Done():
		}
	}
}

func (t *task) heard(name string, reply haveReply, news bool) {
	if !news {
		t.table.Alive(name, t.now())
		return
	}
	n := len(t.man.Chunks)
	t.table.Heard(name, planner.BitsFrom(reply.Have, n), planner.BitsFrom(reply.Claims, n), t.now())
}

func (m *Manager) askHave(ctx context.Context, peer wire.Peer, d manifest.Digest, seq uint64) (haveReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := m.clock.AfterFunc(m.cfg.HaveHold+haveGrace, cancel)
	defer timer.Stop()
	query := url.Values{queryManifest: {d.String()}, queryAfter: {strconv.FormatUint(seq, 10)}}
	var reply haveReply
	resp, err := m.get(ctx, peer, wire.PathHave+"?"+query.Encode())
	if err != nil {
		return reply, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return reply, peerRefusal(peer, resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxHaveBytes))
	if err != nil {
		return reply, result.New(result.LinkLost, "%s: %v", peer.Name, err)
	}
	if err := cbor.Unmarshal(data, &reply); err != nil {
		return reply, fmt.Errorf("have of %s: %w", peer.Name, err)
	}
	return reply, nil
}
