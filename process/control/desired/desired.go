// Package desired is the replicated state of a deployment: the configuration
// with the highest version, and the newest version of each model's weights.
// Neither ever goes back.
//
// Apply, Snapshot and Restore are called by one goroutine; the other methods
// are safe for concurrent use. One mutex guards all fields and is a leaf.
package desired

import (
	"bytes"
	"compress/flate"
	"io"
	"maps"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// State is what is desired at one point of the log.
type State struct {
	// Revision is the log index of the last change.
	Revision uint64 `cbor:"1,keyasint"`
	// ConfigVersion is 0 before the first configuration.
	ConfigVersion uint64 `cbor:"2,keyasint"`
	// Content is the configuration, compressed with DEFLATE.
	Content []byte `cbor:"3,keyasint,omitempty"`
	// Weights maps a model to the newest named version.
	Weights map[string]int `cbor:"4,keyasint,omitempty"`
}

// Machine is the state machine of one replica.
type Machine struct {
	mu      sync.Mutex
	state   State
	changed chan struct{}
}

// New returns a machine that holds nothing.
func New() *Machine { return &Machine{changed: make(chan struct{})} }

// Apply carries out a command. A configuration or version that is not higher
// than the one held changes nothing and is no error.
func (m *Machine) Apply(index, term uint64, cmd control.Command) control.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	res := control.Result{Index: index, Term: term}
	switch {
	case cmd.Deploy != nil:
		if cmd.Deploy.Version > m.state.ConfigVersion {
			m.state.ConfigVersion, m.state.Content = cmd.Deploy.Version, cmd.Deploy.Content
			m.noteChange(index)
		}
	case cmd.Weights != nil:
		if w := cmd.Weights; w.Version > m.state.Weights[w.Model] {
			weights := map[string]int{w.Model: w.Version}
			for model, version := range m.state.Weights {
				if model != w.Model {
					weights[model] = version
				}
			}
			m.state.Weights = weights
			m.noteChange(index)
		}
	default:
		res.Code, res.Detail = int(result.BadCommand), "the command changes no deployment"
	}
	res.Revision = m.state.Revision
	return res
}

// noteChange wakes those that wait for changes. The caller holds the lock.
func (m *Machine) noteChange(index uint64) {
	m.state.Revision = index
	close(m.changed)
	m.changed = make(chan struct{})
}

// Current returns the state and a channel that is closed at the next change.
// The state's content and map must not be changed.
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

// Restore replaces the state by an encoded one.
func (m *Machine) Restore(data []byte) error {
	var s State
	if err := cbor.Unmarshal(data, &s); err != nil {
		return result.New(result.SnapshotDamaged, "decode: %v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = State{ConfigVersion: s.ConfigVersion, Content: s.Content, Weights: maps.Clone(s.Weights)}
	m.noteChange(s.Revision)
	return nil
}

// Voters leaves the choice of voters to the replicas.
func (m *Machine) Voters() []string { return nil }

// Compress returns a document as Deploy carries it.
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

// maxDocument bounds a configuration after it was expanded.
const maxDocument = 64 << 20

// Expand returns the document of a Deploy.
func Expand(content []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(content)), maxDocument))
	if err != nil {
		return nil, result.New(result.SnapshotDamaged, "expand configuration: %v", err)
	}
	return data, nil
}
