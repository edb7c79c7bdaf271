package pieces

import (
	"context"
	"encoding/hex"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/version/planner"
)

const (
	// PathPrefix is the path prefix of the requests between agents.
	PathPrefix = "/v1/pieces/"
	// pieceWait is how long a request waits for a piece that has not arrived yet
	// and for a send slot: on the platform's low-bandwidth links a dozen other
	// requests may be answered first. An agent that takes longer to answer counts
	// as failed.
	pieceWait = 500 * time.Millisecond
	// unknownVersionWait is the same limit if the version is not known.
	unknownVersionWait = 300 * time.Millisecond
	// queueWait is the same limit if the request does not ask to wait. It is
	// shorter because other agents hold the piece by now and can send it instead
	// of an agent behind a slow link.
	queueWait = 300 * time.Millisecond
	// headerHeld lists in each answer the pieces of the version that are held.
	headerHeld = "Waxwingpost-Held"
	// headerPiece is the index of the piece in the answer.
	headerPiece = "Waxwingpost-Piece"
	// waitQuery asks the agent to wait for a piece; ofQuery lists the pieces, any
	// one of which is sent; farQuery marks an agent of another region; waveQuery is the
	// wave of the agent, which agents of earlier releases don't send and ignore.
	waitQuery, ofQuery, farQuery, waveQuery = "wait", "of", "far", "wave"
	// maxPieceListBytes limits the list of pieces in a request.
	maxPieceListBytes = 8 << 10
	// manifestName and anyName are the last path elements of requests for a
	// manifest and for a piece.
	manifestName, anyName = "manifest", "any"
)

func requestPath(k Key, name string) string {
	return PathPrefix + url.PathEscape(k.Model) + "/" + strconv.Itoa(k.Version) + "/" + name
}

// pieceRequestPath returns the path of a request for any one of a set of pieces.
func pieceRequestPath(k Key, r *Request) string {
	target := requestPath(k, anyName) + "?" + ofQuery + "=" + hex.EncodeToString(r.Pieces.Bytes())
	if r.Wait {
		target += "&" + waitQuery
	}
	if r.Far {
		target += "&" + farQuery
	}
	if r.Wave > 0 {
		target += "&" + waveQuery + "=" + strconv.Itoa(r.Wave)
	}
	return target
}

// ServeHTTP serves pieces and manifests to other agents.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, PathPrefix), "/")
	if len(parts) != 3 {
		http.NotFound(w, r)
		return
	}
	version, err := strconv.Atoi(parts[1])
	if err != nil {
		http.NotFound(w, r)
		return
	}
	k := Key{Model: parts[0], Version: version}
	query := r.URL.Query()
	if parts[2] == manifestName {
		s.serveManifest(w, r, k, query.Has(waitQuery))
		return
	}
	wanted, err := hex.DecodeString(query.Get(ofQuery))
	if err != nil || len(wanted) > maxPieceListBytes {
		http.Error(w, "invalid list of pieces", http.StatusBadRequest)
		return
	}
	wait, limit := query.Has(waitQuery), queueWait
	if wait {
		limit = pieceWait
		if s.Held(k) == nil {
			// The announcement of the version may still be on its way to this agent.
			limit = unknownVersionWait
			select {
			case s.unknownVersion <- struct{}{}:
			default:
			}
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	wave, _ := strconv.Atoi(query.Get(waveQuery)) // 0 if it is missing or malformed
	req := &uploadRequest{key: k, wanted: planner.BitsFrom(wanted, 8*len(wanted)), from: from, far: query.Has(farQuery), wave: max(0, wave)}
	piece, data := s.acquire(ctx, req, wait)
	// Without the manifest this agent takes no part in the transfer and reports
	// no pieces.
	if held := s.Held(k); held != nil {
		w.Header().Set(headerHeld, hex.EncodeToString(held.Bytes()))
	}
	if data == nil {
		http.NotFound(w, r)
		return
	}
	started := time.Now()
	defer func() { s.release(req, time.Since(started)) }()
	w.Header().Set(headerPiece, strconv.Itoa(piece))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	s.sendPaced(r.Context(), w, data)
}

// sendTimeout limits the sending of a piece. It allows for a link with about a
// tenth of the full rate.
const sendTimeout = time.Second

// sliceBytes is how much of a piece is written at once: a few milliseconds on
// the platform's slowest links.
const sliceBytes = 4 << 10

// sendPaced writes a piece in rate-limited slices. Errors are ignored: a receiver
// of an incomplete piece asks another agent.
func (s *Store) sendPaced(ctx context.Context, w http.ResponseWriter, data []byte) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(sendTimeout)) // if it fails, the server's own limits apply
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	for len(data) > 0 {
		n := min(sliceBytes, len(data))
		if err := s.pace.WaitN(ctx, n); err != nil {
			return
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		if err := rc.Flush(); err != nil {
			return
		}
		data = data[n:]
	}
}

func (s *Store) serveManifest(w http.ResponseWriter, r *http.Request, k Key, wait bool) {
	data := s.encodedManifest(r.Context(), k, wait)
	if data == nil {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data) // after an error the other agent asks again
}

// encodedManifest returns the encoded manifest of a version, or nil if it is not
// known. If wait is set it waits up to pieceWait for the manifest.
func (s *Store) encodedManifest(ctx context.Context, k Key, wait bool) []byte {
	m, ok := s.Manifest(k)
	if !ok && wait {
		ctx, cancel := context.WithTimeout(ctx, pieceWait)
		defer cancel()
		m, ok = s.WaitManifest(ctx, k)
	}
	if !ok {
		return nil
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil
	}
	return data
}

func decodeManifest(data []byte) (platform.Manifest, error) {
	var m platform.Manifest
	err := cbor.Unmarshal(data, &m)
	return m, err
}
