// Package desired is the replicated state machine of a deployment. Its state is
// the configuration with the highest version, the newest version of each
// model's weights, and the evacuated zones. Neither version ever decreases.
//
// Apply, Snapshot and Restore are called by one goroutine; the other methods
// are safe for concurrent use. One mutex guards all fields; no other lock is
// taken while it is held.
package desired

import (
	"bytes"
	"compress/flate"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// maxPublished bounds the published versions that are listed for a model.
const maxPublished = 8

// State is the desired state of a deployment at one log index.
type State struct {
	// Revision is the log index of the last change.
	Revision uint64 `cbor:"1,keyasint"`
	// ConfigVersion is the version of Content, 0 before the first configuration.
	ConfigVersion uint64 `cbor:"2,keyasint"`
	// Content is the configuration, compressed with DEFLATE.
	Content []byte `cbor:"3,keyasint,omitempty"`
	// Weights maps each model to the newest version set for it.
	Weights map[string]int `cbor:"4,keyasint,omitempty"`
	// Published lists the latest published versions of each model in ascending order,
	// the newest included. It starts with the version before the first one that was
	// published after the state had this field.
	Published map[string][]int `cbor:"5,keyasint,omitempty"`
	// Digests holds the recorded digests of each model's pieces; see RecordedDigests.
	Digests map[string][]control.PieceDigests `cbor:"6,keyasint,omitempty"`
	// Evacuations holds the last command that concerned a zone, by zone.
	Evacuations map[string]Evacuation `cbor:"7,keyasint,omitempty"`
}

// Machine is the state machine of one replica.
type Machine struct {
	mu      sync.Mutex
	state   State
	changed chan struct{}
}

// New returns a machine with an empty state.
func New() *Machine { return &Machine{changed: make(chan struct{})} }

// Apply applies a command. A configuration or weights version that is not higher
// than the current one changes nothing; this is not an error.
func (m *Machine) Apply(index, term uint64, cmd control.Command) control.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	res := control.Result{Index: index, Term: term}
	switch {
	case cmd.Deploy != nil:
		if cmd.Deploy.Version > m.state.ConfigVersion {
			m.state.ConfigVersion, m.state.Content = cmd.Deploy.Version, cmd.Deploy.Content
			m.recordChange(index)
		}
	case cmd.Weights != nil:
		if w := cmd.Weights; w.Version > m.state.Weights[w.Model] {
			m.publish(w.Model, w.Version)
			m.recordChange(index)
		}
	case cmd.Pieces != nil:
		// The revision stays: followers ask for digests when they need them.
		m.recordDigests(*cmd.Pieces)
	case cmd.Evacuation != nil:
		return m.applyEvacuation(res, *cmd.Evacuation)
	default:
		res.Code, res.Detail = int(result.BadCommand), "the command has no deployment change"
	}
	res.Revision = m.state.Revision
	return res
}

// publish makes a version the newest one of a model. The maps are replaced, because
// Current has returned them. The caller holds the lock.
func (m *Machine) publish(model string, version int) {
	published := slices.Clone(m.state.Published[model])
	if previous := m.state.Weights[model]; len(published) == 0 && previous > 0 {
		published = append(published, previous)
	}
	published = append(published, version)
	m.state.Weights = withValue(m.state.Weights, model, version)
	m.state.Published = withValue(m.state.Published, model, published[max(0, len(published)-maxPublished):])
}

// withValue returns a copy of a map in which a key has a value.
func withValue[V any](old map[string]V, key string, value V) map[string]V {
	changed := make(map[string]V, len(old)+1)
	maps.Copy(changed, old)
	changed[key] = value
	return changed
}

// recordChange sets the revision and notifies waiters. The caller holds the
// lock.
func (m *Machine) recordChange(index uint64) {
	m.state.Revision = index
	close(m.changed)
	m.changed = make(chan struct{})
}

// Current returns the state and a channel that is closed at the next change.
// The state's content and map must not be modified.
func (m *Machine) Current() (State, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state, m.changed
}

// Snapshot encodes the state.
func (m *Machine) Snapshot() ([]byte, error) {
	s, _ := m.Current()
	return cbor.Marshal(s)
}

// Restore replaces the state by a snapshot.
func (m *Machine) Restore(data []byte) error {
	var s State
	if err := cbor.Unmarshal(data, &s); err != nil {
		return result.New(result.SnapshotDamaged, "decode snapshot: %v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = State{ConfigVersion: s.ConfigVersion, Content: s.Content, Weights: maps.Clone(s.Weights), Published: maps.Clone(s.Published), Digests: maps.Clone(s.Digests), Evacuations: maps.Clone(s.Evacuations)}
	m.recordChange(s.Revision)
	return nil
}

// Voters returns nil, so that the replicas keep their current voters.
func (m *Machine) Voters() []string { return nil }

// Compress compresses a document for the Content of a Deploy command.
func Compress(document []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(document); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// maxDocumentBytes bounds a decompressed configuration.
const maxDocumentBytes = 64 << 20

// Decompress decompresses the Content of a Deploy command.
func Decompress(content []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(content)), maxDocumentBytes+1))
	if err != nil {
		return nil, result.New(result.SnapshotDamaged, "decompress configuration: %v", err)
	}
	if len(data) > maxDocumentBytes {
		return nil, result.New(result.SnapshotDamaged, "decompress configuration: more than %d bytes", maxDocumentBytes)
	}
	return data, nil
}
