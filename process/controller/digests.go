package controller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/desired"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// maxPendingDigests bounds the reports of digests that wait to be recorded.
const maxPendingDigests = 32

// reportDigests queues the digests that an agent reports to be recorded.
func (c *Controller) reportDigests(d wire.PieceDigests) {
	reported := control.PieceDigests(d)
	if len(d.Digests) > desired.MaxDigestBytes {
		return
	}
	if r := c.replica.Load(); r != nil {
		if s, _ := r.machine.Current(); !s.NeedsDigests(reported) {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := slices.ContainsFunc(c.pendingDigests, func(p control.PieceDigests) bool {
		return p.Model == d.Model && p.Version == d.Version && slices.Equal(p.Digests, d.Digests)
	})
	if pending || len(c.pendingDigests) >= maxPendingDigests {
		return
	}
	c.pendingDigests = append(c.pendingDigests, reported)
	select {
	case c.digestsReported <- struct{}{}:
	default:
	}
}

// recordDigests records the digests that agents reported, until ctx ends. It tries again
// while there is no quorum.
func (c *Controller) recordDigests(ctx context.Context) {
	for {
		c.mu.Lock()
		pending := slices.Clone(c.pendingDigests)
		c.mu.Unlock()
		done := 0
		for done < len(pending) && c.proposeDigests(ctx, pending[done]) {
			done++
		}
		c.mu.Lock()
		c.pendingDigests = slices.Delete(c.pendingDigests, 0, done)
		c.mu.Unlock()
		if done < len(pending) {
			select {
			case <-ctx.Done():
				return
			case <-c.Clock.After(retryAfter):
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-c.digestsReported:
		}
	}
}

// proposeDigests records digests, unless they are not needed any more. It reports whether
// nothing is left to do.
func (c *Controller) proposeDigests(ctx context.Context, d control.PieceDigests) bool {
	r := c.replica.Load()
	if r == nil {
		return false
	}
	if s, _ := r.machine.Current(); !s.NeedsDigests(d) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	res, err := r.node.Propose(ctx, control.Command{
		ID:     fmt.Sprintf("pieces/%s/%d/%x", hex.EncodeToString([]byte(d.Model)), d.Version, xxhash.Sum64(d.Digests)),
		Pieces: &d,
	})
	rejected := err == nil && res.Code != 0
	if rejected {
		err = result.New(result.Code(res.Code), "%s", res.Detail)
	}
	if err != nil {
		c.Log.Warn("failed to record digests of pieces", "model", d.Model, "version", d.Version, "code", int(result.CodeOf(err)), "error", err)
		return rejected
	}
	c.Log.Info("digests of pieces recorded", "model", d.Model, "version", d.Version, "pieces", len(d.Digests)/sha256.Size)
	return true
}

// recordedDigests answers an agent's query.
func (c *Controller) recordedDigests(q wire.DigestsQuery) wire.PieceDigests {
	reply := wire.PieceDigests{Model: q.Model, Version: q.Version}
	if r := c.replica.Load(); r != nil {
		s, _ := r.machine.Current()
		reply.Digests = s.RecordedDigests(q.Model, q.Version)
	}
	return reply
}
