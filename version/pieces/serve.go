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
	// Prefix begins the paths that agents serve each other.
	Prefix = "/v1/pieces/"
	// holdFor is how long a request waits for a piece that is on its way, and for
	// its turn: a dozen others are served before at the platform's narrow links.
	// An agent that does not answer for longer has failed.
	holdFor = 500 * time.Millisecond
	// newsLimit is the same where the version is not known.
	newsLimit = 300 * time.Millisecond
	// turnLimit is the same where the request does not ask to wait: an agent
	// behind a narrow link sends others to those that have the piece by now.
	turnLimit = 300 * time.Millisecond
	// headerHeld tells with each answer which pieces of the version are held.
	headerHeld = "Waxwingpost-Held"
	// headerPiece tells which piece an answer holds.
	headerPiece = "Waxwingpost-Piece"
	// waitQuery asks to wait; ofQuery lists the pieces, any of which will do;
	// farQuery tells that the agent is in another region.
	waitQuery, ofQuery, farQuery = "wait", "of", "far"
	// maxWanted bounds the list of pieces, in bytes.
	maxWanted = 8 << 10
	// manifestName and anyName end the paths of a manifest and of a piece.
	manifestName, anyName = "manifest", "any"
)

func path(k Key, name string) string {
	return Prefix + url.PathEscape(k.Model) + "/" + strconv.Itoa(k.Version) + "/" + name
}

// askPath returns the path that asks for any of some pieces.
func askPath(k Key, a *Ask) string {
	target := path(k, anyName) + "?" + ofQuery + "=" + hex.EncodeToString(a.Pieces.Bytes())
	if a.Wait {
		target += "&" + waitQuery
	}
	if a.Far {
		target += "&" + farQuery
	}
	return target
}

// ServeHTTP serves pieces and manifests to other agents.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, Prefix), "/")
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
	if err != nil || len(wanted) > maxWanted {
		http.Error(w, "unreadable list of pieces", http.StatusBadRequest)
		return
	}
	wait, limit := query.Has(waitQuery), turnLimit
	if wait {
		limit = holdFor
		if s.Held(k) == nil {
			// News of the version may be on its way here.
			limit = newsLimit
			select {
			case s.news <- struct{}{}:
			default:
			}
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	asked := &waiter{key: k, wanted: planner.BitsFrom(wanted, 8*len(wanted)), from: from, far: query.Has(farQuery)}
	piece, data := s.take(ctx, asked, wait)
	// An agent without the manifest takes no part and tells nothing.
	if held := s.Held(k); held != nil {
		w.Header().Set(headerHeld, hex.EncodeToString(held.Bytes()))
	}
	if data == nil {
		http.NotFound(w, r)
		return
	}
	began := time.Now()
	defer func() { s.release(asked, time.Since(began)) }()
	w.Header().Set(headerPiece, strconv.Itoa(piece))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	s.send(r.Context(), w, data)
}

// sendLimit bounds the sending of a piece, by about the rate of a link that was
// narrowed to a tenth.
const sendLimit = time.Second

// sliceBytes is how much of a piece is sent at once: few milliseconds on the
// platform's slowest links.
const sliceBytes = 4 << 10

// send writes a piece in paced slices. An agent that got no whole piece asks
// elsewhere.
func (s *Store) send(ctx context.Context, w http.ResponseWriter, data []byte) {
	out := http.NewResponseController(w)
	_ = out.SetWriteDeadline(time.Now().Add(sendLimit)) // without one the server's own limits hold
	defer func() { _ = out.SetWriteDeadline(time.Time{}) }()
	for len(data) > 0 {
		n := min(sliceBytes, len(data))
		if err := s.pace.WaitN(ctx, n); err != nil {
			return
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		if err := out.Flush(); err != nil {
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
	_, _ = w.Write(data) // the agent asks again
}

// encodedManifest returns a manifest that is known, or one that arrives soon if
// asked to wait; nil otherwise.
func (s *Store) encodedManifest(ctx context.Context, k Key, wait bool) []byte {
	m, ok := s.Manifest(k)
	if !ok && wait {
		ctx, cancel := context.WithTimeout(ctx, holdFor)
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
