package feed

import (
	"context"

	"github.com/waxwingpost/waxwingpost/connection/wire"
)

// RecordedDigests asks the linked control processes for the digests of a version's pieces,
// and returns those of the first one that has them, or nil. Control processes of earlier
// releases have none.
func (f *Follower) RecordedDigests(ctx context.Context, model string, version int) []byte {
	for _, c := range f.mesh.Conns() {
		var reply wire.PieceDigests
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.Call(callCtx, wire.KindDigestsQuery, wire.DigestsQuery{Model: model, Version: version}, &reply)
		cancel()
		if err == nil && reply.Model == model && reply.Version == version && len(reply.Digests) > 0 {
			return reply.Digests
		}
	}
	return nil
}
