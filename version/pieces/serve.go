package pieces

import (
	"context"
	"encoding/hex"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/platform"
)

const (
	// Prefix begins the paths that agents serve each other.
	Prefix = "/v1/pieces/"
	// holdFor is how long a request waits for a piece that is on its way.
	holdFor = 1500 * time.Millisecond
	// newsLimit is the same where the version is not known.
	newsLimit = 300 * time.Millisecond
	// turnLimit bounds the wait for the turn to send: an agent behind a narrow
	// link sends others to those that have the piece by now.
	turnLimit = 500 * time.Millisecond
	// headerHeld tells with each answer which pieces of the version are held.
	headerHeld = "Waxwingpost-Held"
	// waitQuery asks to wait.
	waitQuery = "wait"
	// manifestName takes the place of a piece's number in the manifest's path.
	manifestName = "manifest"
)

func path(k Key, name string) string {
	return Prefix + url.PathEscape(k.Model) + "/" + strconv.Itoa(k.Version) + "/" + name
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
	var data []byte
	if parts[2] == manifestName {
		data = s.encodedManifest(r.Context(), k, r.URL.Query().Has(waitQuery))
	} else if piece, err := strconv.Atoi(parts[2]); err == nil {
		data = s.find(r.Context(), k, piece, r.URL.Query().Has(waitQuery))
	}
	// An agent without the manifest takes no part and tells nothing.
	if held := s.Held(k); held != nil {
		w.Header().Set(headerHeld, hex.EncodeToString(held.Bytes()))
	}
	if data == nil {
		http.NotFound(w, r)
		return
	}
	if !s.begin(r.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.sending }()
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	s.send(r.Context(), w, data)
}

// find returns a piece that is held, or one that arrives soon if asked to wait.
func (s *Store) find(ctx context.Context, k Key, piece int, wait bool) []byte {
	if !wait {
		return s.Piece(k, piece)
	}
	limit := holdFor
	if s.Held(k) == nil {
		// News of the version may be on its way here.
		limit = newsLimit
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return s.Wait(ctx, k, piece)
}

// begin waits for the turn to send and reports whether it came soon enough.
func (s *Store) begin(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, turnLimit)
	defer cancel()
	select {
	case s.sending <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// sliceBytes is how much of a piece is sent at once: few milliseconds on the
// platform's slowest links.
const sliceBytes = 4 << 10

// send writes a piece in paced slices. An agent that got no whole piece asks
// elsewhere.
func (s *Store) send(ctx context.Context, w http.ResponseWriter, data []byte) {
	out := http.NewResponseController(w)
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
