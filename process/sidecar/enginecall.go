package sidecar

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

// digestBufferBytes is the size of the buffer through which staged pieces are verified.
const digestBufferBytes = 8 << 10

// stagedDigest reads a staged piece back and returns its digest. The piece is not kept: all
// pieces are read back several times per version.
func (u *updater) stagedDigest(ctx context.Context, key pieces.Key, piece int) (digest, error) {
	ex, err := u.startEngineCall(ctx, &backend.Request{Method: http.MethodGet, Target: platform.StageGetPath(key.Model, piece)})
	if err != nil {
		return digest{}, err
	}
	defer ex.Close()
	if u.digestBuffer == nil {
		u.digestBuffer = make([]byte, digestBufferBytes)
	}
	hash := sha256.New()
	n, err := io.CopyBuffer(hash, io.LimitReader(ex, maxEngineBody+1), u.digestBuffer)
	if err == nil && n > maxEngineBody {
		err = errors.New("piece too large")
	}
	if err != nil {
		return digest{}, result.New(result.EngineUnreadable, "staged piece %d: %v", piece, err)
	}
	if err := statusError(ex, http.MethodGet, platform.StageGetPath(key.Model, piece), nil); err != nil {
		return digest{}, err
	}
	staged := digest(hash.Sum(nil))
	if !ex.Framed() && !u.sidecar.store.HasDigest(key, piece, staged) {
		return digest{}, result.New(result.EngineUnreadable, "staged piece %d has none of the known digests, and may be cut off", piece)
	}
	return staged, nil
}

// stagedPiece returns a staged piece.
func (u *updater) stagedPiece(ctx context.Context, key pieces.Key, piece int) ([]byte, error) {
	ex, err := u.startEngineCall(ctx, &backend.Request{Method: http.MethodGet, Target: platform.StageGetPath(key.Model, piece)})
	if err != nil {
		return nil, err
	}
	defer ex.Close()
	m, _ := u.sidecar.store.Manifest(key)
	data, err := ex.ReadAll(pieces.PieceLimit(m))
	if err != nil {
		return nil, result.New(result.EngineUnreadable, "staged piece %d: %v", piece, err)
	}
	if err := statusError(ex, http.MethodGet, platform.StageGetPath(key.Model, piece), data); err != nil {
		return nil, err
	}
	return data, nil
}

// startEngineCall sends a call to the engine. The caller reads the response and closes the
// exchange.
func (u *updater) startEngineCall(ctx context.Context, req *backend.Request) (*backend.Exchange, error) {
	deadline := time.Now().Add(engineTimeout)
	req.Host, req.HeadDeadline = u.sidecar.settings.BackendAddress, deadline
	ex, err := u.sidecar.client.Do(ctx, u.sidecar.settings.BackendAddress, req)
	if err != nil {
		return nil, result.New(result.EngineUnreadable, "%s %s: %v", req.Method, req.Target, err)
	}
	ex.SetReadDeadline(deadline)
	return ex, nil
}

// statusError returns the error of a call whose response, with the body data, was read. A refusal
// that may have been cut off is none.
func statusError(ex *backend.Exchange, method, target string, data []byte) error {
	switch {
	case ex.Status >= 300 && !ex.Framed():
		return result.New(result.EngineUnreadable, "%s %s: the response with status %d may be cut off", method, target, ex.Status)
	case ex.Status == http.StatusNotFound:
		return errors.Mark(result.New(result.EngineRefused, "%s %s: status %d", method, target, ex.Status), errNotFound)
	case ex.Status >= 300:
		return result.New(result.EngineRefused, "%s %s: status %d: %.100s", method, target, ex.Status, data)
	default:
		return nil
	}
}
