package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelName  = "model-1"
	pieceCount = 64
	pieceBytes = 32768
	layerCount = 16
)

// piece returns the bytes of a piece of a version.
func piece(version, num int) []byte {
	data := make([]byte, pieceBytes)
	r := rand.New(rand.NewPCG(uint64(version), uint64(num)))
	for i := range data {
		data[i] = byte(r.Uint32())
	}
	return data
}

// digests holds the digests of the pieces of the versions.
var digests = struct {
	sync.Mutex
	of map[int][]string
}{of: map[int][]string{}}

func digestsOf(version int) []string {
	digests.Lock()
	defer digests.Unlock()
	if digests.of[version] == nil {
		var list []string
		for num := range pieceCount {
			sum := sha256.Sum256(piece(version, num))
			list = append(list, hex.EncodeToString(sum[:]))
		}
		digests.of[version] = list
	}
	return digests.of[version]
}

// origin is the service that sends weights.
type origin struct {
	s       *site
	address string

	mu sync.Mutex
	// newest is the newest named version.
	newest int
	// corrupt is the number of manifests of which a digit is still to be changed.
	corrupt int
	sent    map[string]int
}

func (s *site) startOrigin(n int) (*origin, error) {
	o := &origin{s: s, address: fmt.Sprintf("%s:%d", s.ip(n), 8006), newest: 1, sent: map[string]int{}}
	l, err := net.Listen("tcp", o.address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, o) }()
	return o, nil
}

func (o *origin) name(version int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = version
}

func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	newest := o.newest
	o.mu.Unlock()
	version := newest
	if v := r.URL.Query().Get("version"); v != "" {
		version, _ = strconv.Atoi(v)
	}
	switch {
	case version > newest || version < 1:
		http.Error(w, "unknown version", http.StatusNotFound)
		return
	case version <= newest-2:
		http.Error(w, "too old", http.StatusGone)
		return
	}
	switch r.URL.Path {
	case "/-/manifest/" + modelName:
		list := append([]string{}, digestsOf(version)...)
		o.mu.Lock()
		spoil := o.corrupt > 0 && version == newest
		if spoil {
			o.corrupt--
			list[9] = otherDigit(list[9])
		}
		o.mu.Unlock()
		o.s.note("origin: manifest of version %d sent, corrupted on its way: %v", version, spoil)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(object{"model": modelName, "version": version, "chunkBytes": pieceBytes, "layers": layerCount, "digests": list})
	case "/-/piece/" + modelName:
		num, err := strconv.Atoi(r.URL.Query().Get("num"))
		if err != nil || num < 0 || num >= pieceCount {
			http.Error(w, "no such piece", http.StatusNotFound)
			return
		}
		o.mu.Lock()
		o.sent[fmt.Sprint(version, "/", num)]++
		o.mu.Unlock()
		_, _ = w.Write(piece(version, num))
	default:
		http.NotFound(w, r)
	}
}

// otherDigit changes one bit of the first digit of a digest so that it stays a digit.
func otherDigit(digest string) string {
	const digits = "0123456789abcdef"
	for bit := range 7 {
		if c := digest[0] ^ 1<<bit; strings.IndexByte(digits, c) >= 0 {
			return string(c) + digest[1:]
		}
	}
	return digest
}

// sentOf returns how many pieces of a version were sent.
func (o *origin) sentOf(version int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for key, count := range o.sent {
		if strings.HasPrefix(key, fmt.Sprint(version, "/")) {
			n += count
		}
	}
	return n
}

// fleetConfig returns a configuration with a service of engines, the origin and a route
// of streams.
func fleetConfig(version int, o *origin) object {
	routes := []object{{
		"name": "r-stream", "host": "a.example", "pathPrefix": "/draft/", "type": "stream", "timeoutMs": 6000, "latencyTargetMs": 500,
		"priority": 1, "service": "drafter", "maxAttempts": 2, "public": true, "sticky": true, "resumable": true, "itlTargetMs": 400,
	}}
	services := []object{
		{"name": "drafter", "healthPath": "/healthz", "maxConns": 424, "protocol": "h1", "tls": false, "engine": object{
			"slots": 16, "kvCapacity": 1180000, "kvTokenBytes": 163840, "linkMbps": 400000.0, "stride": 5,
			"models": []object{{"name": modelName, "pace": 1.0, "loadS": 4.0, "warmS": 0.3}}, "sizeMb": 266000.0,
			"adapterSlots": 8, "loadsPerS": 0.0, "step_ms": 8.87, "per_seq_ms": 0.0388, "context_per_k": 0.0227, "read_per_s": 19100.0,
			"pairs_per_m": 1.47, "chunk": 2048, "report_lag_ms": 200.0, "loads_at_once": 8, "delays": []object{},
			"usual": object{"prompt": 977, "answer": 94}, "layers": layerCount, "layer_mb": 4540.0, "act_bytes": 16384, "pipe_mbps": 0.0,
			"chunks": pieceCount, "chunkBytes": pieceBytes,
		}},
		{"name": "members-desk", "origin": o.address, "zone": "zone-a", "linkMbps": 9.9, "maxConns": 48},
	}
	return object{
		"version": version, "routes": routes, "services": services, "tenants": []object{},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// nameVersion names a version of the weights, as the operator does, and returns the
// time of the acknowledgement.
func (s *site) nameVersion(o *origin, version int, controls []string) (time.Time, bool) {
	o.name(version)
	ok := s.put(fmt.Sprintf("weights version %d", version), "/-/version-put", object{"model": modelName, "version": version}, controls, 8*time.Second)
	return time.Now(), ok
}
