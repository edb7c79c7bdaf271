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

// maxHaveBytes limits the size of an encoded haveReply.
const maxHaveBytes = 1 << 20

// haveTimeoutMargin is added to the time for which a peer may hold a request
// for its chunks open.
const haveTimeoutMargin = 3 * time.Second

// download is one request for a chunk.
type download struct {
	task    *task
	chunk   manifest.Chunk
	open    func(ctx context.Context) (io.ReadCloser, error)
	buckets []*bucket
	// senderKind is the kind of the sender for the metrics.
	senderKind string
	// counters count the bytes that arrive, including those of corrupt chunks.
	counters []*atomic.Int64
}

func (t *task) newDownload(r planner.Request) *download {
	d := &download{task: t, chunk: t.man.Chunks[r.Chunk], senderKind: "peer", buckets: []*bucket{t.m.downloadBucket}}
	if r.FromSource() {
		t.downloadFromSource(d, t.view.Sources[r.Source], t.view.Paths[t.man.Version], t.offsets[r.Chunk])
		return d
	}
	peer := t.peers[r.From]
	d.open = func(ctx context.Context) (io.ReadCloser, error) { return t.m.openChunk(ctx, peer, d.chunk) }
	d.counters = append(d.counters, &t.counters.fromPeers)
	if r.Far {
		d.counters = append(d.counters, &t.counters.crossRegion)
		d.buckets = append(d.buckets, t.m.pairBucket(peer.Region))
	}
	return d
}

func (t *task) downloadFromSource(d *download, src wire.Source, path string, offset int64) {
	d.open = func(ctx context.Context) (io.ReadCloser, error) {
		return source.OpenContent(ctx, t.m.client, src, path, offset, d.chunk.Size)
	}
	d.senderKind = src.Kind
	if src.Kind == config.SourceOrigin {
		d.counters = append(d.counters, &t.counters.fromOrigin)
	} else {
		d.counters = append(d.counters, &t.counters.fromStore)
	}
	if t.inOtherMemberRegion(src) {
		d.counters = append(d.counters, &t.counters.crossRegion)
		d.buckets = append(d.buckets, t.m.pairBucket(src.Region))
	}
}

// inOtherMemberRegion reports whether a source is in another region that has
// agents.
func (t *task) inOtherMemberRegion(src wire.Source) bool {
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

// run opens the chunk and reads it into the store. It fails if the read stalls.
func (d *download) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := newWatchdog(d.task.m.clock, d.task.m.cfg.StallTimeout, cancel)
	defer watchdog.stop()
	body, err := d.open(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	received := d.task.m.scope.Tagged(map[string]string{"from": d.senderKind}).Counter("bytes_received")
	return d.task.m.store.Put(d.chunk, &pacedReader{ctx: ctx, r: body, buckets: d.buckets, onRead: func(n int) {
		watchdog.reset()
		received.Inc(int64(n))
		for _, c := range d.counters {
			c.Add(int64(n))
		}
	}})
}

// watchdog calls a function if it is not reset within the timeout.
type watchdog struct {
	timer   clockwork.Timer
	timeout time.Duration
}

func newWatchdog(clock clockwork.Clock, timeout time.Duration, expired func()) *watchdog {
	return &watchdog{timer: clock.AfterFunc(timeout, expired), timeout: timeout}
}

func (w *watchdog) reset() { w.timer.Reset(w.timeout) }
func (w *watchdog) stop()  { w.timer.Stop() }

// getFromPeer sends an authenticated GET request to a peer. The caller must close
// the body.
func (m *Manager) getFromPeer(ctx context.Context, peer wire.Peer, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.Address+path, nil)
	if err != nil {
		return nil, result.New(result.LinkLost, "%s: %v", peer.Name, err)
	}
	req.Header.Set(wire.HeaderAgent, m.cfg.Self.Name)
	m.auth.SetJoinKey(req)
	resp, err := m.client.Do(req)
	if err != nil {
		return nil, result.New(result.LinkLost, "%s: %v", peer.Name, err)
	}
	return resp, nil
}

// openChunk requests a chunk from a peer. The caller must close the reader.
func (m *Manager) openChunk(ctx context.Context, peer wire.Peer, c manifest.Chunk) (io.ReadCloser, error) {
	resp, err := m.getFromPeer(ctx, peer, chunkPath(c.Digest))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp.Body, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, peerError(peer, resp)
}

func peerError(peer wire.Peer, resp *http.Response) error {
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

// pollNeighbor polls a neighbor for its held chunks and claims until ctx ends.
func (t *task) pollNeighbor(ctx context.Context, peer wire.Peer) {
	var seq uint64
	for ctx.Err() == nil {
		pause := t.m.cfg.HaveInterval
		reply, err := t.m.pollHave(ctx, peer, t.man.Digest(), seq)
		if err != nil {
			pause = max(pause, t.m.cfg.Planner.SuspectAfter/4)
		} else if reply.Active {
			changed := reply.Seq != seq
			t.post(func() { t.applyHave(peer.Name, reply, changed) })
			seq = reply.Seq
		}
		select {
		case <-t.m.clock.After(pause):
		case <-ctx.Done():
		}
	}
}

func (t *task) applyHave(name string, reply haveReply, changed bool) {
	if !changed {
		t.table.NeighborAlive(name, t.now())
		return
	}
	n := len(t.man.Chunks)
	t.table.UpdateNeighbor(name, planner.BitsFrom(reply.Have, n), planner.BitsFrom(reply.Claims, n), t.now())
}

func (m *Manager) pollHave(ctx context.Context, peer wire.Peer, d manifest.Digest, seq uint64) (haveReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := m.clock.AfterFunc(m.cfg.HaveHold+haveTimeoutMargin, cancel)
	defer timer.Stop()
	query := url.Values{queryManifest: {d.String()}, queryAfter: {strconv.FormatUint(seq, 10)}}
	var reply haveReply
	resp, err := m.getFromPeer(ctx, peer, wire.PathHeldChunks+"?"+query.Encode())
	if err != nil {
		return reply, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return reply, peerError(peer, resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxHaveBytes))
	if err != nil {
		return reply, result.New(result.LinkLost, "%s: %v", peer.Name, err)
	}
	if err := cbor.Unmarshal(data, &reply); err != nil {
		return reply, fmt.Errorf("decode held chunks of %s: %w", peer.Name, err)
	}
	return reply, nil
}
