package transfer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/version/manifest"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

// publication is the state of a manifest's chunks that this agent reports to its
// peers.
type publication struct {
	man    *manifest.Manifest
	chunks map[manifest.Digest]manifest.Chunk

	mu  sync.Mutex
	seq uint64
	// active is set once the held chunks are known.
	active  bool
	have    planner.Bits
	claims  planner.Bits
	changed chan struct{}
}

func newPublication(man *manifest.Manifest, seqBase uint64) *publication {
	p := &publication{
		man:     man,
		chunks:  make(map[manifest.Digest]manifest.Chunk, len(man.Chunks)),
		seq:     seqBase,
		have:    planner.NewBits(len(man.Chunks)),
		claims:  planner.NewBits(len(man.Chunks)),
		changed: make(chan struct{}),
	}
	for _, c := range man.Chunks {
		p.chunks[c.Digest] = c
	}
	return p
}

func (p *publication) update(have, claims planner.Bits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = true
	p.have, p.claims = have.Clone(), claims.Clone()
	p.notifyLocked()
}

func (p *publication) setComplete() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = true
	for i := range p.man.Chunks {
		p.have.Set(i)
	}
	p.claims = planner.NewBits(len(p.man.Chunks))
	p.notifyLocked()
}

func (p *publication) notifyLocked() {
	p.seq++
	close(p.changed)
	p.changed = make(chan struct{})
}

// haveReply is the answer to a request for the chunks that an agent holds.
type haveReply struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Active is false until the agent fetches or holds the version.
	Active bool   `cbor:"2,keyasint"`
	Have   []byte `cbor:"3,keyasint,omitempty"`
	Claims []byte `cbor:"4,keyasint,omitempty"`
}

// waitForChange returns the state immediately if it is active and its sequence
// number differs from seq. Otherwise it returns the state after the next change,
// after hold or when ctx ends.
func (p *publication) waitForChange(ctx context.Context, clock clockwork.Clock, seq uint64, hold time.Duration) haveReply {
	reply, changed := p.snapshot()
	if reply.Seq != seq && reply.Active {
		return reply
	}
	timer := clock.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.Chan():
	case <-ctx.Done():
	}
	reply, _ = p.snapshot()
	return reply
}

func (p *publication) snapshot() (haveReply, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return haveReply{Seq: p.seq, Active: p.active, Have: p.have.Bytes(), Claims: p.claims.Bytes()}, p.changed
}
